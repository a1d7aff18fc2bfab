package entry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mangopass/mangopass/duty/ring"
	"github.com/mangopass/mangopass/fleet/link"
	"github.com/mangopass/mangopass/fleet/machine"
	"github.com/mangopass/mangopass/platform"
)

// at returns a position in the store's era of tests that know of no other.
func at(revision int64) link.Position { return link.Position{Revision: revision} }

// feedPair is a relay and a VM below it.
type feedPair struct {
	t            require
	relay, child *harness
}

// newFeedPair returns a pair that has read the store at revision 10 and has exchanged reports.
func newFeedPair(t require) *feedPair {
	f := &feedPair{t: t, relay: newHarness(), child: newHarnessOf("n2", "z", 5)}
	f.child.feeds = ring.New[storeFed]("feeds", 16)
	for _, h := range []*harness{f.relay, f.child} {
		h.apply(storeChanged{
			manifest: &platform.Entry{Key: platform.KeyManifest, Value: testManifest(1), Revision: 9}, complete: true,
			position: at(10), sent: h.now,
		})
	}
	f.relay.addPeerIn("z", "n2", 5)
	f.child.addPeerIn("z", "n1", 1)
	f.child.now = f.relay.now
	f.exchange()
	return f
}

func (f *feedPair) advance(d time.Duration) {
	f.relay.now, f.child.now = f.relay.now.Add(d), f.child.now.Add(d)
}

// exchange lets the child report and the relay answer.
func (f *feedPair) exchange() {
	f.advance(2 * reportPeriod)
	f.child.sendReports(f.child.now)
	f.relay.apply(peerReported{report: f.child.takeReport(f.t, "n1", true)})
	f.relay.sendReports(f.relay.now)
	f.child.apply(peerReported{report: f.relay.takeReport(f.t, "n2", true)})
}

// TestFeedReplacesWatch guards against a VM below a relay that misses a manifest, a withdrawn key or a runner, or that
// goes on to read the store itself.
func TestFeedReplacesWatch(t *testing.T) {
	f := newFeedPair(t)
	f.relay.apply(storeChanged{
		manifest: &platform.Entry{Key: platform.KeyManifest, Value: testManifest(2), Revision: 12},
		runners: []runnerChange{{
			id: "s1", entry: platform.Entry{Key: platform.PrefixRunners + "s1", Revision: 11, Value: []byte(
				`{"service":"s","address":"1.1.1.1:1","zone":"z","version":"v1","state":"ready","slots":6,"born":1,"sequence":1}`)},
			announcement: machine.Announcement{ID: "s1", Service: "s", Address: "1.1.1.1:1", Zone: "z", Slots: 6, Boot: 1},
		}},
		position: at(13), sent: f.relay.now,
	})
	f.exchange()
	if got := f.child.manifestVersion(); got != 2 {
		t.Errorf("manifest %d in force, want 2", got)
	}
	if f.child.fleet.Get("s1") == nil {
		t.Error("the new runner is unknown")
	}
	fed := storeFed{}
	for f.child.feeds.Len() > 0 {
		fed, _ = f.child.feeds.Pop(t.Context())
	}
	if fed.position.Revision != 13 {
		t.Errorf("the watch rests up to revision %d, want 13", fed.position.Revision)
	}
}

// TestHeartbeatsAreNotFed guards against traffic that grows with runners times VMs: most entries only say that a runner
// lives.
func TestHeartbeatsAreNotFed(t *testing.T) {
	f := newFeedPair(t)
	a := machine.Announcement{ID: "s1", Service: "s", Address: "1.1.1.1:1", Zone: "z", Slots: 6, Boot: 1}
	for beat := range int64(5) {
		a.Heartbeat = beat
		a.Draining = beat == 4
		f.relay.apply(storeChanged{position: at(20 + beat), sent: f.relay.now, runners: []runnerChange{{
			id: "s1", entry: platform.Entry{Key: "servers/s1", Revision: 20 + beat}, announcement: a,
		}}})
	}
	if news, ok := f.relay.changes.Since(at(10)); !ok || len(news) != 1 || news[0].Revision != 24 {
		t.Errorf("changes %+v, want only the one that says that the runner is draining", news)
	}
	f.relay.apply(storeChanged{position: at(30), sent: f.relay.now})
	if news, ok := f.relay.changes.Since(at(24)); !ok || len(news) != 0 {
		t.Errorf("changes %+v without one", news)
	}
}

// TestFeedProvesNoMoreThanKnown guards against a withdrawn key that is used again. A relay can be suspended, cut off from
// the store or replaced, and its reports can be delayed or lost; whatever happens, a VM must not take the manifest to have
// been the newest at a later instant than the relay has shown.
func TestFeedProvesNoMoreThanKnown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFeedPair(t)
		newest := f.relay.now // when the store was last read by either VM
		var toRelay, toChild []link.Report
		pause := rapid.SampledFrom([]time.Duration{
			0, 20 * time.Millisecond, 120 * time.Millisecond, time.Second, 6 * time.Second,
		})
		take := func(reports *[]link.Report) (link.Report, bool) {
			if len(*reports) == 0 {
				return link.Report{}, false
			}
			first := (*reports)[0]
			*reports = (*reports)[1:]
			return first, true
		}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			f.advance(pause.Draw(t, "pause"))
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				f.relay.apply(storeChanged{position: at(f.relay.changes.Position().Revision + 1), sent: f.relay.now})
				newest = f.relay.now
			case 1:
				f.child.sendReports(f.child.now)
				if f.child.members.peers["n1"].outbox.Len() > 0 {
					toRelay = append(toRelay, f.child.takeReport(t, "n1", rapid.Bool().Draw(t, "confirmed")))
				}
			case 2:
				f.relay.sendReports(f.relay.now)
				if f.relay.members.peers["n2"].outbox.Len() > 0 {
					toChild = append(toChild, f.relay.takeReport(t, "n2", rapid.Bool().Draw(t, "confirmed")))
				}
			case 3:
				if in, ok := take(&toRelay); ok {
					f.relay.apply(peerReported{report: in})
				}
			case 4:
				if in, ok := take(&toChild); ok {
					f.child.apply(peerReported{report: in})
				}
			case 5:
				_, _ = take(&toChild)
			}
			if at, _ := f.child.freshness.ConfirmedAt(); at > newest {
				t.Fatalf("the manifest counts as the newest at %v, but the store was last read at %v", at, newest)
			}
		}
	})
}

// TestFeedWithGapIsIgnored guards against a VM that misses a change because a relay that has just read the whole store,
// or knows less than the VM, passes on what it knows.
func TestFeedWithGapIsIgnored(t *testing.T) {
	f := newFeedPair(t)
	f.relay.apply(storeChanged{complete: true, position: at(40), sent: f.relay.now})
	before, _ := f.child.freshness.ConfirmedAt()
	f.exchange()
	if at, _ := f.child.freshness.ConfirmedAt(); f.child.changes.Position().Revision != 10 || at > before {
		t.Errorf("the VM takes revision %d to be known at %v", f.child.changes.Position().Revision, at)
	}
	f.child.apply(storeChanged{position: at(41), sent: f.child.now})
	f.relay.apply(storeChanged{position: at(40), sent: f.relay.now.Add(time.Millisecond)})
	known := f.child.now
	f.exchange()
	if at, _ := f.child.freshness.ConfirmedAt(); f.child.changes.Position().Revision != 41 || at > known {
		t.Errorf("revision %d after the feed of a relay that knows 40, confirmed at %v", f.child.changes.Position().Revision, at)
	}
}

// TestOldFeedDoesNotRestWatch guards against a VM that uses an old manifest for too long, or stops serving keys, although
// it could read the store itself: its relay is cut off from the store and goes on to pass on what it knew. Manifests must
// be in force within two seconds; half a second of that is left for reading the store and what is on its way.
func TestOldFeedDoesNotRestWatch(t *testing.T) {
	const inForceWithin, reserve = 2 * time.Second, 500 * time.Millisecond
	f := newFeedPair(t)
	for range 50 {
		f.exchange()
		at, _ := f.child.freshness.ConfirmedAt()
		for f.child.feeds.Len() > 0 {
			fed, err := f.child.feeds.Pop(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			if age := f.child.now.Add(fed.rest).Sub(at); age > inForceWithin-reserve {
				t.Errorf("the watch rests until what it knows is %v old", age)
			}
		}
	}
}

// TestFeedPassesSoftwareVersionsOn guards against a VM below a relay that never learns of the software version of a runner which
// states no start, and takes its streams for those of the version of before.
func TestFeedPassesSoftwareVersionsOn(t *testing.T) {
	f := newFeedPair(t)
	entry := func(revision int64, version string) runnerChange {
		e := platform.Entry{Key: platform.PrefixRunners + "r", Revision: revision, Value: []byte(`{"service":"e","address":"1.1.1.1:1",
			"zone":"z","version":"` + version + `","slots":8,"state":"ready","stage":"mixed"}`)}
		a, err := platform.DecodeRunner(e)
		return runnerChange{id: "r", entry: e, announcement: a, invalid: err}
	}
	for i, version := range []machine.SoftwareVersion{"v1", "v2"} {
		revision := int64(12 + i)
		f.relay.apply(storeChanged{runners: []runnerChange{entry(revision, string(version))}, position: at(revision), sent: f.relay.now})
		f.exchange()
		f.exchange()
		if r := f.child.fleet.Get("r"); r == nil || r.Version != version {
			t.Errorf("the VM below knows %+v, want version %s", r, version)
		}
	}
}
