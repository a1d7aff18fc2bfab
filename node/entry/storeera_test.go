package entry

import (
	"testing"

	"github.com/mangopass/mangopass/fleet/link"
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
