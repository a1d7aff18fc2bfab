package entry

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/link"
	"github.com/mangopass/mangopass/fleet/machine"
	"github.com/mangopass/mangopass/platform"
)

// withField returns testManifest with another value of a field; an empty value removes the field.
func withField(version int, name, value string) []byte {
	fields := make(map[string]json.RawMessage)
	if err := json.Unmarshal(testManifest(version), &fields); err != nil {
		panic(err)
	}
	if fields[name] = json.RawMessage(value); value == "" {
		delete(fields, name)
	}
	return marshal(fields)
}

// write applies a new value of the manifest's key.
func (h *harness) write(value []byte, revision int64) {
	h.apply(storeChanged{
		manifest: &platform.Entry{Key: platform.KeyManifest, Value: value, Revision: revision}, position: at(revision), sent: h.now,
	})
}

// TestEmptyListOfTenantsAdmitsNobody guards against a system that lets everybody in once its last organisation is removed: a list of
// organisations that is stated and empty is not a list that is left out.
func TestEmptyListOfTenantsAdmitsNobody(t *testing.T) {
	for tenants, code := range map[string]contract.Code{
		`[]`: contract.InvalidKey, `null`: contract.InvalidKey, `[{"name":"coop","keys":[]}]`: contract.InvalidKey,
		`[{"name":"coop"}]`: contract.InvalidKey, `[{"name":"coop","keys":null}]`: contract.InvalidKey, ``: "",
	} {
		h := newHarness()
		h.setUp("r1")
		h.write(withField(2, "tenants", tenants), 11)
		for _, key := range []string{"key", "unknown", ""} {
			_, d := h.admitCall("/confirm/", key)
			if code != "" {
				wantRefusal(t, d, code, false)
			} else if d == nil || d.refusal != nil {
				t.Errorf("tenants left out, key %q: decision %+v, want an attempt", key, d)
			}
		}
		if _, d := h.admitCall("/open/", ""); d == nil || d.refusal != nil {
			t.Errorf("tenants %s, public route: decision %+v, want an attempt", tenants, d)
		}
	}
}

// keepReading applies what the store shows for a time in which nothing changes.
func (h *harness) keepReading(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(500 * time.Millisecond)
		h.apply(storeChanged{sent: h.now, position: h.changes.Position()})
	}
	h.onTick(h.now)
}

// TestUnreadableManifestProvesNothing guards against keys that stay in force for good because the manifest that takes them away can't
// be read, or was removed: what the store shows no longer proves the one before. Public routes go on, and a sound manifest ends it.
func TestUnreadableManifestProvesNothing(t *testing.T) {
	for name, e := range map[string]platform.Entry{
		"broken off": {Value: []byte(`{"version":2`)}, "no object": {Value: []byte(`[2]`)}, "null": {Value: []byte(`null`)}, "empty": {},
		"removed": {Deleted: true},
	} {
		h := newHarness()
		h.setUp("r1")
		e.Key, e.Revision = platform.KeyManifest, 11
		h.apply(storeChanged{manifest: &e, position: at(11), sent: h.now})
		h.keepReading(h.rules.Revoke() * 3 / 4)
		for _, key := range []string{"key", "unknown"} {
			_, d := h.admitCall("/confirm/", key)
			wantRefusal(t, d, contract.ManifestStale, false)
		}
		if _, d := h.admitCall("/open/", ""); d == nil || d.refusal != nil {
			t.Errorf("%s, public route: decision %+v, want an attempt", name, d)
		}
		if reason := h.readiness.get(); reason != notReadyUnreadable {
			t.Errorf("%s: not ready for %q, want %q", name, reason, notReadyUnreadable)
		}
		if !h.viewIsRecent(h.now) {
			t.Errorf("%s: the view of the runners counts as old", name)
		}
		h.write(testManifest(3), 12)
		h.onTick(h.now)
		if _, d := h.admitCall("/confirm/", "key"); d == nil || d.refusal != nil || !h.isReady(h.now) {
			t.Errorf("%s, then a sound manifest: decision %+v, ready %v, want an attempt", name, d, h.isReady(h.now))
		}
	}
}

// TestUnreadableManifestAtStart guards against a VM that takes an unreadable manifest for none, or that never recovers from it.
func TestUnreadableManifestAtStart(t *testing.T) {
	h := newHarness()
	h.apply(storeChanged{
		manifest: &platform.Entry{Key: platform.KeyManifest, Value: []byte(`{`), Revision: 11}, position: at(11), complete: true, sent: h.now,
	})
	for _, path := range []string{"/confirm/", "/none/"} {
		_, d := h.admitCall(path, "key")
		wantRefusal(t, d, contract.ManifestMissing, false)
	}
	if reason := h.notReady(h.now); reason != notReadyUnreadable {
		t.Errorf("not ready for %q, want %q", reason, notReadyUnreadable)
	}
	h.write(testManifest(3), 12)
	if !h.isReady(h.now) {
		t.Errorf("not ready for %q after a sound manifest", h.notReady(h.now))
	}
}

// TestFeedOfUnreadableManifestProvesNothing guards against VMs below a relay that go on with removed keys, because the relay passes on
// that it has read the store.
func TestFeedOfUnreadableManifestProvesNothing(t *testing.T) {
	f := newFeedPair(t)
	f.relay.write([]byte(`{"version":`), 12)
	for end := f.relay.now.Add(f.child.rules.Revoke() * 3 / 4); f.relay.now.Before(end); {
		f.exchange()
		f.relay.apply(storeChanged{sent: f.relay.now, position: f.relay.changes.Position()})
	}
	f.exchange()
	for name, h := range map[string]*harness{"relay": f.relay, "child": f.child} {
		if h.manifestVersion() != 1 || h.freshness.Fresh(h.now) {
			t.Errorf("%s: manifest %d, fresh %v, want manifest 1 without a proof", name, h.manifestVersion(), h.freshness.Fresh(h.now))
		}
	}
	f.relay.write(testManifest(3), 13)
	f.exchange()
	if h := f.child; h.manifestVersion() != 3 || !h.freshness.Fresh(h.now) {
		t.Errorf("after a sound manifest: manifest %d, fresh %v", h.manifestVersion(), h.freshness.Fresh(h.now))
	}
}

// TestRestOfManifestIsServed guards against a manifest that is rejected as a whole for one field, in VMs that run and in those that start
// under it: keys that it takes away go, and what does not depend on the field is served.
func TestRestOfManifestIsServed(t *testing.T) {
	odd := []byte(strings.Replace(string(withField(2, "tenants", `[{"name":"coop","keys":["stays"]}]`)), `"timeout_ms":10000`, `"timeout_ms":"10s"`, 1))
	for _, starts := range []bool{false, true} {
		h := newHarness()
		if !starts {
			h.setUp("r1")
			h.write(odd, 11)
		} else {
			h.apply(storeChanged{
				manifest: &platform.Entry{Key: platform.KeyManifest, Value: odd, Revision: 11}, position: at(11), complete: true, sent: h.now,
				runners: []runnerChange{{id: "r1", announcement: machine.Announcement{
					ID: "r1", Service: "s", Address: "1.1.1.1:1", Zone: "z", Slots: 6,
				}}},
			})
		}
		h.keepReading(h.rules.Revoke())
		if !h.isReady(h.now) || h.manifestVersion() != 2 {
			t.Errorf("starts %v: not ready for %q with manifest %d", starts, h.notReady(h.now), h.manifestVersion())
		}
		_, d := h.admitCall("/confirm/", "stays")
		wantRefusal(t, d, contract.ManifestInvalid, false)
		if d.refusal.RetryAfter == 0 {
			t.Error("a caller is not told when to come back")
		}
		if _, d = h.admitCall("/stock/", "stays"); d == nil || d.refusal != nil {
			t.Errorf("starts %v, a route beside: decision %+v, want an attempt", starts, d)
		}
		_, d = h.admitCall("/stock/", "key")
		wantRefusal(t, d, contract.InvalidKey, false)
	}
}

// TestUnreadableKeysMakeNotReady guards against a VM that gets new connections though it can admit no key.
func TestUnreadableKeysMakeNotReady(t *testing.T) {
	h := newHarness()
	h.setUp("r1")
	h.write(withField(2, "tenants", `"all"`), 11)
	h.onTick(h.now)
	if reason := h.readiness.get(); reason != notReadyUnreadable {
		t.Errorf("not ready for %q, want %q", reason, notReadyUnreadable)
	}
	_, d := h.admitCall("/stock/", "key")
	wantRefusal(t, d, contract.ManifestInvalid, false)
	if _, d := h.admitCall("/open/", ""); d == nil || d.refusal != nil {
		t.Errorf("public route: decision %+v, want an attempt", d)
	}
	h.write(testManifest(3), 12)
	if !h.isReady(h.now) {
		t.Errorf("not ready for %q after a sound manifest", h.notReady(h.now))
	}
}

// TestRewrittenManifestTakesKeysAway guards against a key that stays in force because the manifest which takes it away has the version of
// the one before, or one that can't be read: the store's revisions tell which is newer.
func TestRewrittenManifestTakesKeysAway(t *testing.T) {
	for name, version := range map[string]string{
		"the same": `1`, "a string": `"2"`, "a fraction": `1.5`, "missing": ``, "null": `null`, "zero": `0`, "negative": `-1`, "two": `2,"version":3`,
	} {
		rewritten := strings.Replace(string(testManifest(1)), `["key"]`, `["stays"]`, 1)
		rewritten = strings.Replace(rewritten, `"version":1`, `"version":`+version, 1)
		if version == "" {
			rewritten = strings.Replace(rewritten, `,"version":`, ``, 1)
		}
		for _, starts := range []bool{false, true} {
			h := newHarness()
			h.setUp("r1")
			if starts {
				h.manifest, h.manifestAt = nil, link.Position{}
			}
			h.write([]byte(rewritten), 11)
			h.keepReading(h.rules.Revoke())
			if _, d := h.admitCall("/stock/", "stays"); d == nil || d.refusal != nil {
				t.Errorf("version %s, starts %v: decision %+v, want an attempt", name, starts, d)
			}
			_, d := h.admitCall("/stock/", "key")
			wantRefusal(t, d, contract.InvalidKey, false)
			h.apply(storeChanged{ // a listing shows it again
				manifest: &platform.Entry{Key: platform.KeyManifest, Value: []byte(rewritten), Revision: 11}, position: at(12), complete: true, sent: h.now,
			})
			if h.freshness.Withdrawn() {
				t.Errorf("version %s, starts %v: the manifest in force proves nothing once it is listed again", name, starts)
			}
			h.write(testManifest(2), 13)
			if h.manifestVersion() != 2 {
				t.Errorf("version %s, starts %v: manifest %d in force, want 2", name, starts, h.manifestVersion())
			}
		}
	}
}

// TestRestoredManifestOfSameVersionGivesNoKeysBack guards against a removed key that an older copy of the store brings back, in a manifest
// of the version in force or without a version.
func TestRestoredManifestOfSameVersionGivesNoKeysBack(t *testing.T) {
	older := testManifest(1)
	for name, value := range map[string][]byte{"same version": older, "no version": []byte(strings.Replace(string(older), `"version":1`, `"version":"1"`, 1))} {
		h := newHarness()
		h.setUp("r1")
		h.write([]byte(strings.Replace(string(older), `["key"]`, `["stays"]`, 1)), 11)
		h.apply(storeChanged{
			manifest: &platform.Entry{Key: platform.KeyManifest, Value: value, Revision: 9}, complete: true,
			position: link.Position{Era: 1, Revision: 10}, sent: h.now,
		})
		h.keepReading(h.rules.Revoke() + lateRewrite)
		if _, d := h.admitCall("/stock/", "key"); d == nil || d.refusal == nil {
			t.Errorf("%s: decision %+v, want a refusal", name, d)
		}
	}
}

// TestLowerVersionTakesKeysAway guards against a key that stays in force because the manifest which takes it away was written later but
// with a lower version. Nothing else of that manifest comes into force.
func TestLowerVersionTakesKeysAway(t *testing.T) {
	h := newHarness()
	h.setUp("r1")
	h.write([]byte(strings.Replace(string(testManifest(9)), `["key"]`, `["key","stays"]`, 1)), 11)
	lower := withField(3, "tenants", `[{"name":"coop","keys":["stays","early"]},{"name":"other","keys":["key"]}]`)
	lower = []byte(strings.Replace(string(lower), `"prefix":"/stock/"`, `"prefix":"/stocks/"`, 1))
	h.apply(storeChanged{manifest: &platform.Entry{Key: platform.KeyManifest, Value: lower, Revision: 8}, position: at(11), sent: h.now})
	if _, d := h.admitCall("/stock/", "key"); d == nil || d.refusal != nil {
		t.Errorf("after an earlier write: decision %+v, want an attempt", d)
	}
	h.write(lower, 12)
	h.keepReading(h.rules.Revoke())
	if h.manifestVersion() != 9 {
		t.Errorf("manifest %d in force, want 9", h.manifestVersion())
	}
	if _, d := h.admitCall("/stock/", "stays"); d == nil || d.refusal != nil {
		t.Errorf("a key of both: decision %+v, want an attempt", d)
	}
	for _, key := range []string{"key", "early"} {
		_, d := h.admitCall("/stock/", key)
		wantRefusal(t, d, contract.ManifestInvalid, false)
	}
}
