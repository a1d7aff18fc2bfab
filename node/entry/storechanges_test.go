package entry

import (
	"testing"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/machine"
	"github.com/mangopass/mangopass/platform"
)

// removeRunner applies the removal of a runner's entry.
func (h *harness) removeRunner(id machine.RunnerID, outageEndedAt clock.Instant) {
	h.apply(storeChanged{
		sent: h.now, runners: []runnerChange{{id: id, gone: true}}, outageEndedAt: outageEndedAt,
	})
	h.onTick(h.now)
}

// TestEntryRemovedAfterOutage guards runners that leave shortly after an outage of the store: the time in which lapsed
// entries come back counts from the end of the outage, not from the removal. One whose entry lapsed in the outage stays.
func TestEntryRemovedAfterOutage(t *testing.T) {
	for after, staysFor := range map[time.Duration]time.Duration{
		100 * time.Millisecond:  machine.MissingGrace - 100*time.Millisecond,
		2400 * time.Millisecond: 100 * time.Millisecond,
		3 * time.Second:         0,
	} {
		h := newHarness()
		h.setUp("r1")
		outageEndedAt := h.now
		h.now = h.now.Add(after)
		h.removeRunner("r1", outageEndedAt)
		if known := h.fleet.Get("r1") != nil; known != (staysFor > 0) {
			t.Errorf("removed %v after the outage: known is %v", after, known)
		}
		h.now = h.now.Add(staysFor + time.Millisecond)
		h.onTick(h.now)
		if h.fleet.Get("r1") != nil {
			t.Errorf("removed %v after the outage: known %v later, want %v at most", after, staysFor+time.Millisecond, staysFor)
		}
	}
}

// TestFeedStatesOutage guards VMs below a relay against dropping live runners after an outage of the store, whose entries
// lapsed in it, and against keeping runners that left after it.
func TestFeedStatesOutage(t *testing.T) {
	for after, kept := range map[time.Duration]bool{500 * time.Millisecond: true, 3 * time.Second: false} {
		f := newFeedPair(t)
		for _, h := range []*harness{f.relay, f.child} {
			h.announceEngines(1)
		}
		f.exchange()
		ended := f.relay.now
		for range after / (100 * time.Millisecond) {
			f.advance(100 * time.Millisecond)
			f.relay.apply(storeChanged{sent: f.relay.now, position: f.relay.changes.Position(), outageEndedAt: ended})
			f.exchange()
		}
		revision := f.relay.changes.Position().Revision + 1
		f.relay.apply(storeChanged{
			sent: f.relay.now, position: at(revision), outageEndedAt: ended, runners: []runnerChange{{
				id: "e0", gone: true, entry: platform.Entry{Key: platform.PrefixRunners + "e0", Revision: revision, Deleted: true},
			}},
		})
		f.exchange()
		if got := f.child.fleet.Get("e0") != nil; got != kept {
			t.Errorf("entry removed %v after the outage: the runner is known below the relay: %v, want %v", after, got, kept)
		}
	}
}
