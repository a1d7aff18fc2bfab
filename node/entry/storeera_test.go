package entry

import (
	"slices"
	"testing"
	"time"

	"github.com/mangopass/mangopass/duty/ring"
	"github.com/mangopass/mangopass/fleet/link"
	"github.com/mangopass/mangopass/fleet/machine"
	"github.com/mangopass/mangopass/platform"
)

// TestFeedOfAnotherEraIsIgnored guards against a VM that takes changes of a former era of the store for changes of the
// present one, or the other way round, because the relay passes them on by their revisions alone.
func TestFeedOfAnotherEraIsIgnored(t *testing.T) {
	for _, restored := range []string{"relay", "child"} {
		f := newFeedPair(t)
		first, second := f.relay, f.child
		if restored == "child" {
			first, second = f.child, f.relay
		}
		first.apply(storeChanged{complete: true, position: link.Position{Era: 1, Revision: 8}, sent: first.now})
		change := func(version int, p link.Position) storeChanged {
			return storeChanged{
				manifest: &platform.Entry{Key: platform.KeyManifest, Value: testManifest(version), Revision: p.Revision},
				position: p, sent: first.now,
			}
		}
		first.apply(change(3, link.Position{Era: 1, Revision: 12}))
		second.apply(change(2, link.Position{Revision: 11}))
		before, _ := f.child.freshness.ConfirmedAt()
		version := f.child.manifestVersion()
		f.exchange()
		f.exchange()
		if got := f.child.manifestVersion(); got != version {
			t.Errorf("%s in a new era: manifest %d from the feed, want %d as before", restored, got, version)
		}
		if at, _ := f.child.freshness.ConfirmedAt(); at > before {
			t.Errorf("%s in a new era: the feed proves the manifest to be the newest", restored)
		}
	}
}

// TestAnswerOfFormerEraIsIgnored guards against a manifest that is taken to be the newest because of an answer that the
// store gave before it returned from an older copy.
func TestAnswerOfFormerEraIsIgnored(t *testing.T) {
	h := newHarness()
	h.setUp()
	h.apply(storeChanged{complete: true, position: link.Position{Era: 1, Revision: 5}, sent: h.now})
	before, _ := h.freshness.ConfirmedAt()
	h.now += 1000
	h.apply(storeChanged{position: link.Position{Revision: 90}, sent: h.now, manifest: manifestEntry(testManifest(7))})
	if at, _ := h.freshness.ConfirmedAt(); at != before || h.manifestVersion() == 7 {
		t.Errorf("manifest %d, confirmed at %v, want the one of before, %v", h.manifestVersion(), at, before)
	}
}

// restored is a position in the era after the store's first return from an older copy.
func restored(revision int64) link.Position {
	return link.Position{Era: link.FirstEra + 1, Revision: revision}
}

// listed returns the listing of a store that holds a manifest, written at a revision.
func (h *harness) listed(p link.Position, version int, revision int64) storeChanged {
	entry := manifestEntry(testManifest(version))
	entry.Revision = revision
	return storeChanged{complete: true, position: p, sent: h.now, manifest: entry}
}

// newRestoredHarness returns a VM that has read manifest 4, written at revision 50, and did not reach the store since; it
// accepts no keys any more.
func newRestoredHarness(t *testing.T) *harness {
	t.Helper()
	h := newHarness()
	h.apply(h.listed(link.Position{Era: link.FirstEra, Revision: 60}, 4, 50))
	if !h.freshness.Fresh(h.now) {
		t.Fatal("the manifest of a store that was never restored does not count as the newest")
	}
	h.now = h.now.Add(6 * time.Second)
	return h
}

// TestRestoredManifestProvesNothing guards withdrawn keys. The manifest that a restored store shows may be older than one
// that this VM has missed. It counts as the newest only once the operators must have written theirs again, or have done
// so as far as this VM can tell, or once another VM has waited for that.
func TestRestoredManifestProvesNothing(t *testing.T) {
	written := func(h *harness, version int, revision int64) storeChanged {
		c := h.listed(restored(revision), version, revision)
		c.complete = false
		return c
	}
	for _, c := range []struct {
		name  string
		first func(h *harness) storeChanged
		next  func(h *harness) storeChanged // after, later; nil: none
		after time.Duration
		fresh bool
	}{
		{name: "copy of the manifest that is known", first: func(h *harness) storeChanged { return h.listed(restored(55), 4, 50) }},
		{name: "copy of a newer manifest", first: func(h *harness) storeChanged { return h.listed(restored(55), 5, 54) }},
		{name: "copy of an older manifest", first: func(h *harness) storeChanged { return h.listed(restored(49), 3, 40) }},
		{
			name: "the manifest that is known, at another revision", fresh: true,
			first: func(h *harness) storeChanged { return h.listed(restored(49), 4, 48) },
		},
		{
			name: "too early", first: func(h *harness) storeChanged { return h.listed(restored(55), 4, 50) },
			after: link.RewriteGrace - time.Millisecond,
			next:  func(h *harness) storeChanged { return storeChanged{position: restored(56), sent: h.now} },
		},
		{
			name: "after the grace period", first: func(h *harness) storeChanged { return h.listed(restored(55), 4, 50) },
			after: link.RewriteGrace, fresh: true,
			next: func(h *harness) storeChanged { return storeChanged{position: restored(56), sent: h.now} },
		},
		{
			name: "after the grace period, asked before", after: link.RewriteGrace,
			first: func(h *harness) storeChanged { return h.listed(restored(55), 4, 50) },
			next: func(h *harness) storeChanged {
				return storeChanged{position: restored(56), sent: h.now.Add(-time.Millisecond)}
			},
		},
		{
			name: "written again", first: func(h *harness) storeChanged { return h.listed(restored(55), 4, 50) },
			after: time.Millisecond, fresh: true, next: func(h *harness) storeChanged { return written(h, 5, 56) },
		},
		{
			name: "an older manifest is written", first: func(h *harness) storeChanged { return h.listed(restored(55), 4, 50) },
			after: time.Millisecond, next: func(h *harness) storeChanged { return written(h, 3, 56) },
		},
		{
			name: "settled", fresh: true, first: func(h *harness) storeChanged {
				m := h.listed(restored(55), 5, 52)
				m.ownKeys = []ownKeyChange{{
					key: keySettledEra, value: marshal(eraEntry{Settled: link.FirstEra + 1}), revision: 54,
				}}
				return m
			},
		},
		{
			name: "a former era is settled", first: func(h *harness) storeChanged {
				m := h.listed(restored(55), 5, 52)
				m.ownKeys = []ownKeyChange{{
					key: keySettledEra, value: marshal(eraEntry{Settled: link.FirstEra}), revision: 54,
				}}
				return m
			},
		},
	} {
		h := newRestoredHarness(t)
		h.apply(c.first(h))
		h.now = h.now.Add(c.after)
		if c.next != nil {
			h.apply(c.next(h))
		}
		if fresh := h.freshness.Fresh(h.now); fresh != c.fresh {
			t.Errorf("%s: the manifest counts as the newest: %v, want %v", c.name, fresh, c.fresh)
		}
	}
}

// TestSettledEraIsStored guards VMs that start long after a restore against waiting once more, and the store against
// writes of every VM.
func TestSettledEraIsStored(t *testing.T) {
	h := newRestoredHarness(t)
	h.keyWrites = ring.New[keyWrite]("keys", 8)
	h.apply(h.listed(restored(55), 4, 50))
	h.recordSettledEra(h.now)
	h.now = h.now.Add(link.RewriteGrace)
	h.recordSettledEra(h.now)
	if h.keyWrites.Len() != 0 {
		t.Fatal("the era counts as settled before the store was read again")
	}
	h.apply(storeChanged{position: restored(56), sent: h.now})
	h.recordSettledEra(h.now)
	h.recordSettledEra(h.now)
	want := keyWrite{key: keySettledEra, era: link.FirstEra + 1, value: eraEntry{Settled: link.FirstEra + 1}}
	if got, err := h.keyWrites.Pop(t.Context()); err != nil || got != want || h.keyWrites.Len() != 0 {
		t.Errorf("write %+v, error %v, %d more; want only %+v", got, err, h.keyWrites.Len(), want)
	}
	h.apply(storeChanged{position: restored(57), sent: h.now, ownKeys: []ownKeyChange{{
		key: keySettledEra, value: marshal(want.value), revision: 57,
	}}})
	h.now = h.now.Add(time.Minute)
	h.recordSettledEra(h.now)
	if h.keyWrites.Len() != 0 {
		t.Error("the era is recorded again although the store has it")
	}
}

// leads returns the entry of a shard's leader, as written in an era.
func leads(node string, era int64) holderEntry {
	return holderEntry{Node: node, Address: "10.0.0.1:7600", Boot: 1, Era: era}
}

// newLeader returns a VM that leads shard 3 with fence 40 in the store's first era.
func newLeader(t *testing.T) *harness {
	t.Helper()
	h := newHarness()
	h.apply(h.listed(link.Position{Era: link.FirstEra, Revision: 30}, 1, 20))
	h.apply(leaseRenewed{era: link.FirstEra, until: h.now.Add(leaseTTL)})
	h.apply(claimApplied{shard: 3, change: ownKeyChange{
		key: keyHolder(3), value: marshal(leads("n1", link.FirstEra)), era: link.FirstEra, revision: 40,
	}})
	if !h.leader.shards[3].leadership.MayOrder(h.now) {
		t.Fatal("the VM does not lead the shard")
	}
	return h
}

// withKeys adds the holder key and the last-term key of shard 3 to a listing.
func withKeys(m storeChanged, e holderEntry, revision int64) storeChanged {
	m.ownKeys = append(m.ownKeys, ownKeyChange{key: keyHolder(3), value: marshal(e), revision: revision},
		ownKeyChange{key: keyLastTerm(3), value: marshal(e), revision: revision})
	return m
}

// takeClaim lets time pass until the VM claims shard 3, for at most d, and returns the claim.
func (h *harness) takeClaim(t *testing.T, d time.Duration) claim {
	t.Helper()
	for end := h.now.Add(d); h.now.Before(end); h.now = h.now.Add(50 * time.Millisecond) {
		h.checkTerms(h.now)
		for h.leader.claims.Len() > 0 {
			if c, err := h.leader.claims.Pop(t.Context()); err != nil || c.shard == 3 {
				return c
			}
		}
	}
	t.Fatalf("no claim of shard 3 within %v", d)
	return claim{}
}

// TestLeaderContinuesAfterRestore guards shards against a long time without orders. The VM that leads when the store
// returns from an older copy claims its shard first, gives orders meanwhile, and goes on with a higher fence.
func TestLeaderContinuesAfterRestore(t *testing.T) {
	h := newLeader(t)
	s := &h.leader.shards[3]
	h.now = h.now.Add(time.Second)
	h.apply(withKeys(h.listed(restored(25), 1, 20), leads("n1", link.FirstEra), 15))
	if !s.leadership.MayOrder(h.now) {
		t.Error("the leader gives no orders although no other VM can")
	}
	h.apply(leaseRenewed{era: link.FirstEra + 1, until: h.now.Add(leaseTTL)})
	c := h.takeClaim(t, 100*time.Millisecond)
	if c.holderRevision != 15 || c.lastRevision != 15 || c.era != link.FirstEra+1 {
		t.Errorf("claim %+v, want one on the keys of the copy", c)
	}
	h.apply(claimApplied{shard: 3, change: ownKeyChange{
		key: keyHolder(3), value: marshal(leads("n1", c.era)), era: c.era, revision: 26,
	}})
	h.now = h.now.Add(platform.OrderTimeout)
	if fence := s.leadership.Term().Fence; fence <= 40 || !s.leadership.MayOrder(h.now) {
		t.Errorf("fence %d, orders allowed: %v; want a fence over 40 and orders", fence, s.leadership.MayOrder(h.now))
	}
}

// TestRenewalKeepsNoTermOfFormerEra guards against orders of a leader whose lease the store has renewed in a new era,
// although the holder keys under it are lost or the lease is another VM's.
func TestRenewalKeepsNoTermOfFormerEra(t *testing.T) {
	h := newLeader(t)
	h.apply(leaseRenewed{era: link.FirstEra + 1, until: h.now.Add(time.Minute)})
	if h.now = h.now.Add(leaseTTL); h.leader.shards[3].leadership.HoldsTerm(h.now) {
		t.Error("the term goes on after its own lease")
	}
}

// TestNewLeaderWaitsAfterRestore guards runners against orders of two leaders. Who led last before the store returned from
// an older copy is unknown, so that a new leader waits until the lease of that one has run out, and the pause after that,
// also if the copy names the new leader itself.
func TestNewLeaderWaitsAfterRestore(t *testing.T) {
	for _, former := range []string{"n1", "n2", ""} {
		h := newHarness()
		m := h.listed(restored(25), 1, 20)
		if former != "" {
			m = withKeys(m, leads(former, link.FirstEra), 15)
		}
		h.apply(m)
		h.apply(leaseRenewed{era: link.FirstEra + 1, until: h.now.Add(time.Hour)})
		c := h.takeClaim(t, 2*time.Second)
		h.apply(claimApplied{shard: 3, change: ownKeyChange{
			key: keyHolder(3), value: marshal(leads("n1", c.era)), era: c.era, revision: 26,
		}})
		leadership := &h.leader.shards[3].leadership
		wait := leaseTTL + h.rules.Lease()
		if leadership.MayOrder(h.now.Add(wait-time.Millisecond)) || !leadership.MayOrder(h.now.Add(wait)) {
			t.Errorf("led by %q in the copy: orders are not allowed %v after the claim, or sooner", former, wait)
		}
	}
}

// announced is a change of a runner's entry.
func announced(id machine.RunnerID, boot, heartbeat int64) runnerChange {
	return runnerChange{id: id, announcement: machine.Announcement{
		ID: id, Service: "s", Address: "1.1.1.1:1", Zone: "z", Slots: 6, Boot: boot, Heartbeat: heartbeat,
	}}
}

// TestRunnerThatLeftStaysGone guards runners that left against requests after the store has returned from a copy in which
// their entries are still there. One that lives, because it starts again or its entry stays, is used again.
func TestRunnerThatLeftStaysGone(t *testing.T) {
	h := newHarness()
	m := h.listed(link.Position{Era: link.FirstEra, Revision: 30}, 1, 20)
	for _, id := range []machine.RunnerID{"gone", "back", "reborn", "stays"} {
		m.runners = append(m.runners, announced(id, 1, 9))
	}
	h.apply(m)
	for _, id := range []machine.RunnerID{"gone", "back", "reborn"} {
		h.apply(storeChanged{
			position: link.Position{Era: link.FirstEra, Revision: 40}, sent: h.now, runners: []runnerChange{{id: id, gone: true}},
		})
	}
	m = h.listed(restored(31), 1, 20)
	m.runners = []runnerChange{announced("gone", 1, 9), announced("back", 1, 8), announced("reborn", 2, 1), announced("stays", 1, 7)}
	h.apply(m)
	known := func(want ...machine.RunnerID) {
		t.Helper()
		h.onTick(h.now)
		var got []machine.RunnerID
		for _, r := range h.fleet.All() {
			got = append(got, r.ID)
		}
		if !slices.Equal(got, want) {
			t.Errorf("%v after the restore: runners %v, want %v", h.now.Sub(t0), got, want)
		}
	}
	known("reborn", "stays")
	h.apply(storeChanged{position: restored(33), sent: h.now, runners: []runnerChange{{id: "gone", gone: true}}})
	h.now = h.now.Add(3900 * time.Millisecond)
	known("reborn", "stays")
	h.now = h.now.Add(100 * time.Millisecond)
	known("back", "reborn", "stays")
}

// TestEntryThatTheCopyLacksComesBack guards live runners against being dropped when the store returns from a copy in which
// they have no entry yet, however short the store was away. One whose entry does not come back is gone.
func TestEntryThatTheCopyLacksComesBack(t *testing.T) {
	h := newHarness()
	m := h.listed(link.Position{Era: link.FirstEra, Revision: 30}, 1, 20)
	m.runners = []runnerChange{announced("new", 1, 1), announced("lost", 1, 1)}
	h.apply(m)
	h.apply(h.listed(restored(25), 1, 20))
	h.now = h.now.Add(2 * time.Second)
	h.onTick(h.now)
	h.apply(storeChanged{position: restored(26), sent: h.now, runners: []runnerChange{announced("new", 1, 2)}})
	if h.fleet.Get("new") == nil || h.fleet.Get("lost") == nil {
		t.Error("a runner is dropped before its entry can have come back")
	}
	h.now = h.now.Add(time.Second)
	h.onTick(h.now)
	if h.fleet.Get("new") == nil || h.fleet.Get("lost") != nil {
		t.Error("the runner whose entry is back is gone, or the one whose entry is not back is known")
	}
}

// TestUnblockedPartStaysUnblocked guards requests with a prompt part that has proved sound: a copy of the store in which
// the part is still blocked must not block it anew at a VM that has run since. A VM that starts blocks it.
func TestUnblockedPartStaysUnblocked(t *testing.T) {
	running, fresh := newHarness(), newHarness()
	running.apply(running.listed(link.Position{Era: link.FirstEra, Revision: 30}, 1, 20))
	for _, h := range []*harness{running, fresh} {
		m := h.listed(restored(25), 1, 24)
		m.ownKeys = []ownKeyChange{{key: prefixBlocked + "2", value: marshal(blockEntry{Blocks: 1}), revision: 7}}
		h.apply(m)
		if _, blocked := h.promptParts.Blocked([]uint64{2}, h.now); blocked != (h == fresh) {
			t.Errorf("the part is blocked: %v, want %v", blocked, h == fresh)
		}
		if h.storedBlocks[suspect{id: 2}].revision != 7 {
			t.Error("the stored part is unknown, so that it can't be removed")
		}
	}
}
