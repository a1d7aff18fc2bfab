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
