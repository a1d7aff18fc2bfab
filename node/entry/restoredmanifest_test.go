package entry

import (
	"testing"
	"time"

	"github.com/mangopass/mangopass/fleet/link"
)

// TestManifestThatPeersKnowIsWaitedFor guards withdrawn keys against a VM that missed their removal before the store returned
// from an older copy, while the operators have not written their manifest again. If they never do, the VM goes on later.
func TestManifestThatPeersKnowIsWaitedFor(t *testing.T) {
	read := func(h *harness, version int, revision int64) {
		m := h.listed(restored(revision), version, revision)
		m.complete = false
		h.apply(m)
	}
	for name, c := range map[string]struct {
		stated int64 // version that the peer knows of
		after  time.Duration
		next   int // version that is written then; zero: none
		fresh  bool
	}{
		"the peer knows no newer one": {stated: 4, after: link.RewriteGrace, fresh: true},
		"the peer knows a newer one":  {stated: 5, after: link.RewriteGrace},
		"it is written again":         {stated: 5, after: link.RewriteGrace, next: 5, fresh: true},
		"an earlier one is":           {stated: 6, after: link.RewriteGrace, next: 5},
		"it is never written again":   {stated: 5, after: lateRewrite, fresh: true},
	} {
		h := newRestoredHarness(t)
		h.addPeerIn("z", "n2", 2)
		h.apply(peerReported{report: link.Report{Node: "n2", Zone: "z", Boot: 2, Sequence: 1, Manifest: c.stated}})
		h.apply(h.listed(restored(55), 4, 48))
		h.now = h.now.Add(c.after)
		if h.apply(storeChanged{position: restored(56), sent: h.now}); c.next != 0 {
			read(h, c.next, 57)
		}
		if fresh := h.freshness.Fresh(h.now); fresh != c.fresh {
			t.Errorf("%s: the manifest counts as the newest: %v, want %v", name, fresh, c.fresh)
		}
	}
}

// TestOlderManifestOfStoreIsNoProof guards withdrawn keys against a VM that takes its manifest for the newest although the
// restored store shows an older one, so that the operators have not written theirs again. If they never do, the VM goes on later.
func TestOlderManifestOfStoreIsNoProof(t *testing.T) {
	for name, c := range map[string]struct {
		listed func(h *harness) storeChanged
		after  time.Duration
		next   int // version that is written then; zero: none
		fresh  bool
	}{
		"older than the one in force": {
			listed: func(h *harness) storeChanged { return h.listed(restored(49), 3, 40) }, after: link.RewriteGrace,
		},
		"none": {
			listed: func(h *harness) storeChanged {
				return storeChanged{complete: true, position: restored(9), sent: h.now}
			}, after: link.RewriteGrace,
		},
		"written again": {
			listed: func(h *harness) storeChanged { return h.listed(restored(49), 3, 40) }, after: link.RewriteGrace, next: 4, fresh: true,
		},
		"never written again": {
			listed: func(h *harness) storeChanged { return h.listed(restored(49), 3, 40) }, after: lateRewrite, fresh: true,
		},
	} {
		h := newRestoredHarness(t)
		h.apply(c.listed(h))
		h.now = h.now.Add(c.after)
		if h.apply(storeChanged{position: restored(56), sent: h.now}); c.next != 0 {
			m := h.listed(restored(57), c.next, 57)
			m.complete = false
			h.apply(m)
		}
		if fresh := h.freshness.Fresh(h.now); fresh != c.fresh {
			t.Errorf("%s: the manifest counts as the newest: %v, want %v", name, fresh, c.fresh)
		}
	}
}

// TestCopyOfEarlierEraIsNoProof guards withdrawn keys over two restores in a row. The second copy may show the manifest at a
// revision that this VM does not know, although the operators have not written theirs again since.
func TestCopyOfEarlierEraIsNoProof(t *testing.T) {
	again := func(h *harness, revision int64) storeChanged {
		return h.listed(link.Position{Era: link.FirstEra + 2, Revision: revision + 5}, 4, revision)
	}
	for name, c := range map[string]struct {
		between func(h *harness) // what the VM sees of the era between
		fresh   bool
	}{
		"the VM has missed the era between": {between: func(*harness) {}},
		"the second copy is older than the first": {between: func(h *harness) {
			h.apply(h.listed(restored(49), 4, 48))
		}},
		"the era between has not settled": {between: func(h *harness) {
			h.apply(h.listed(restored(55), 4, 50))
			h.now = h.now.Add(2 * maxCopyAge)
		}},
		"the era between was long": {between: func(h *harness) {
			h.apply(h.listed(restored(49), 4, 48))
			h.now = h.now.Add(2 * maxCopyAge)
			h.apply(storeChanged{position: restored(60), sent: h.now})
		}, fresh: true},
	} {
		h := newRestoredHarness(t)
		c.between(h)
		h.now = h.now.Add(6 * time.Second)
		h.apply(again(h, 30))
		if fresh := h.freshness.Fresh(h.now); fresh != c.fresh {
			t.Errorf("%s: the manifest counts as the newest: %v, want %v", name, fresh, c.fresh)
		}
	}
}
