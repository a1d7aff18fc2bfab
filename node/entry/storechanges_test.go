package entry

import (
	"testing"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/link"
	"github.com/mangopass/mangopass/fleet/machine"
	"github.com/mangopass/mangopass/platform"
)

// removeRunner applies the removal of a runner's entry.
func (h *harness) removeRunner(id machine.RunnerID, outageEndedAt clock.Instant) {
	h.apply(storeChanged{
		sent: h.now, runners: []runnerChange{{id: id, gone: true}}, outage: link.Outage{EndedAt: outageEndedAt},
	})
	h.onTick(h.now)
}

// TestEntryRemovedAfterOutage guards runners that leave shortly after an outage of the store: the time in which lapsed
// entries come back counts from the end of the outage, not from the removal. One whose entry lapsed in the outage stays.
func TestEntryRemovedAfterOutage(t *testing.T) {
	for after, staysFor := range map[time.Duration]time.Duration{
		100 * time.Millisecond:  machine.MissingGrace - 100*time.Millisecond,
		2400 * time.Millisecond: machine.MissingGrace - 2400*time.Millisecond,
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

// TestRunnerThatRenewedItsEntryHasLeft guards against requests to a runner that leaves shortly after this VM was cut off from the
// store: it wrote its entry while the VM was cut off or since, so the entry has not lapsed in an outage.
func TestRunnerThatRenewedItsEntryHasLeft(t *testing.T) {
	for _, renewed := range []bool{true, false} {
		h := newHarness()
		h.setUp("r1")
		written := int64(40)
		if renewed {
			written = 60
		}
		h.apply(storeChanged{sent: h.now, outage: link.Outage{EndedAt: h.now, Before: at(50)}, runners: []runnerChange{{
			id: "r1", announcement: machine.Announcement{
				ID: "r1", Service: "s", Address: "1.1.1.1:1", Zone: "z", Slots: 6, Heartbeat: 9, Revision: written,
			},
		}}})
		h.now = h.now.Add(500 * time.Millisecond)
		h.apply(storeChanged{sent: h.now, runners: []runnerChange{{id: "r1", gone: true}}})
		if known := h.fleet.Get("r1") != nil; known == renewed {
			t.Errorf("entry renewed since the outage began: %v; the runner is known after its removal: %v", renewed, known)
		}
	}
}

// TestFeedStatesOutage guards VMs below a relay against dropping live runners after an outage of the store, whose entries
// lapsed in it, against keeping runners that left after it, and against keeping any if the relay alone was cut off from the store:
// the VMs below were in touch with it all the time.
func TestFeedStatesOutage(t *testing.T) {
	for _, c := range []struct {
		after      time.Duration // from the outage to the removal
		relayAlone bool
		kept       bool
	}{
		{500 * time.Millisecond, false, true}, {3 * time.Second, false, false}, {500 * time.Millisecond, true, false},
	} {
		f := newFeedPair(t)
		for _, h := range []*harness{f.relay, f.child} {
			h.announceEngines(1)
		}
		f.exchange()
		for range 30 {
			f.advance(100 * time.Millisecond)
			if c.relayAlone {
				f.child.apply(storeChanged{sent: f.child.now, position: f.child.changes.Position()})
			}
		}
		outage := link.Outage{EndedAt: f.relay.now, Before: f.relay.changes.Position()}
		for range c.after / (100 * time.Millisecond) {
			f.advance(100 * time.Millisecond)
			f.relay.apply(storeChanged{sent: f.relay.now, position: f.relay.changes.Position(), outage: outage})
			f.exchange()
		}
		revision := f.relay.changes.Position().Revision + 1
		f.relay.apply(storeChanged{
			sent: f.relay.now, position: at(revision), outage: outage, runners: []runnerChange{{
				id: "e0", gone: true, entry: platform.Entry{Key: platform.PrefixRunners + "e0", Revision: revision, Deleted: true},
			}},
		})
		f.exchange()
		if got := f.child.fleet.Get("e0") != nil; got != c.kept {
			t.Errorf("entry removed %v after the outage, of the relay alone %v: the runner is known below the relay: %v, want %v", c.after,
				c.relayAlone, got, c.kept)
		}
	}
}
