package entry

import (
	"encoding/json"
	"testing"

	"github.com/mangopass/mangopass/fleet/contract"
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
