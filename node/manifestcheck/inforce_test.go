package manifestcheck

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/mangopass/mangopass/platform"
)

// TestInForceFromVM guards against a comparison with the manifest of a VM that differs from that with its file, against keys in the answer
// of the VM, and against answers of another kind that are taken for a manifest.
func TestInForceFromVM(t *testing.T) {
	next, inForce := filepath.Join(examples, "manifest-9.json"), filepath.Join(examples, "manifest-7.json")
	text, err := os.ReadFile(inForce)
	if err != nil {
		t.Fatal(err)
	}
	f, err := platform.ReadManifest(text)
	if err != nil {
		t.Fatal(err)
	}
	redacted, err := f.Redacted()
	if err != nil {
		t.Fatal(err)
	}
	if strings.Contains(string(redacted), "-key-") {
		t.Errorf("the redacted manifest shows a key: %s", redacted)
	}
	want, err := Check(next, inForce)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name, body string
		status     int
		want       string // part of the error
	}{
		{"manifest in force", string(redacted), http.StatusOK, ""},
		{"none in force", "", http.StatusServiceUnavailable, "no manifest in force"},
		{"other listener", "", http.StatusNotFound, "status 404"},
		{"redirection", "", http.StatusFound, "status 302"},
		{"no JSON", "ready\n", http.StatusOK, "no JSON object"},
		{"keys not redacted", string(text), http.StatusOK, "tenants[0].keys[0] is not redacted"},
		{"too large", strings.Repeat(" ", maxFetchBytes+1), http.StatusOK, "over 16777216 bytes"},
	} {
		vm := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != PathInForce {
				t.Errorf("%s: asked for %s", c.name, r.URL.Path)
			}
			w.WriteHeader(c.status)
			_, _ = w.Write([]byte(c.body))
		}))
		report, err := Check(next, vm.Listener.Addr().String())
		vm.Close()
		switch {
		case c.want == "" && (err != nil || !reflect.DeepEqual(report, want)):
			t.Errorf("%s: %+v, %v, want the report of the file", c.name, report, err)
		case c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "-key-")):
			t.Errorf("%s: error %v, want %q", c.name, err, c.want)
		}
	}
	if _, err := Check(next, "127.0.0.1:1"); err == nil || !strings.Contains(err.Error(), "manifest in force") {
		t.Errorf("no VM there: %v", err)
	}
}
