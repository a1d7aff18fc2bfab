package settings

import (
	"os"
	"strings"
	"testing"
	"time"
)

// TestTableIsOnThePage guards against an operators' page that lacks a setting or describes it differently, because a
// field changed and the page did not. Replace the table on the page by the output of mangopassd settings.
func TestTableIsOnThePage(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(page), Table()) {
		t.Errorf("the page does not contain the current table of settings:\n%s", Table())
	}
	for _, f := range Fields() {
		if f.Meaning == "" {
			t.Errorf("%s has no doc tag", f.Name)
		}
	}
}

// TestAdvertisedAddress guards against an entry VM that other VMs can't reach, because an address that is no address is taken
// for the one at which it can be reached.
func TestAdvertisedAddress(t *testing.T) {
	parse := func(advertise string) (*Entry, error) {
		return Parse([]byte(`{"id": "n", "ip": "10.0.0.1", "zone": "z", "ports": [7600, 7615], "store": "10.0.0.9:80",
			"listen": {"callers": "10.0.0.1:80", "ready": "10.0.0.1:81"}, "zones": {"z": "r"}, "advertise": "` + advertise + `"}`))
	}
	for advertise, want := range map[string]string{"": "10.0.0.1:7600", "192.0.2.7:9000": "192.0.2.7:9000"} {
		s, err := parse(advertise)
		if err != nil || s.AdvertisedAddress() != want || s.PeerAddress() != "10.0.0.1:7600" {
			t.Errorf("advertise %q: %v, error %v; want the other VMs to use %s", advertise, s, err, want)
		}
	}
	if _, err := parse("entry-1:7600"); err == nil || !strings.Contains(err.Error(), "settings: advertise:") {
		t.Errorf("error %v, want one that names the field", err)
	}
}

// TestNumbersOfSettings guards against a process that does not start, or keeps its old rules, for how the platform writes a number in its
// settings, and against settings that are taken from a field of another name or from one of two.
func TestNumbersOfSettings(t *testing.T) {
	with := func(rules string) string {
		return `{"id": "n", "ip": "10.0.0.1", "zone": "z", "ports": [7600.0, 7615], "store": "10.0.0.9:80", "zones": {"z": "r"},
			"listen": {"callers": "10.0.0.1:80", "ready": "10.0.0.1:81"}, "limits": {"memory_mb": 284.5, "max_fds": 4100.0}, "rules": {` + rules + `}}`
	}
	s, err := Parse([]byte(with(`"revoke_ms": 2500.5, "lease_ms": 3000.0, "grace_s": null, "Lease_ms": 1`)))
	if err != nil || s.Rules.Revoke() != 2500500*time.Microsecond || s.Rules.Lease() != 3*time.Second || s.Rules.GraceS != defaultGraceS ||
		s.Limits.MaxFDs != 4100 || s.Ports[0] != 7600 {
		t.Errorf("settings %+v, %v", s, err)
	}
	for _, rules := range []string{`"revoke_ms": "5000"`, `"revoke_ms": 5000, "revoke_ms": 60000`, `"Revoke_ms": 60000`} {
		if _, err := Parse([]byte(with(rules))); err == nil || !strings.Contains(err.Error(), "settings: rules.revoke_ms:") {
			t.Errorf("%s: error %v, want one that names the field", rules, err)
		}
	}
}

// TestUnknownSettingsAreNamed guards against a misspelt setting that silently has its default: it is named, and is no error.
func TestUnknownSettingsAreNamed(t *testing.T) {
	text := []byte(`{"id":"n","zones":{"z":"r"},"rules":{"revoke_ms":1,"revok_ms":2},"listen":{"api":""},"extra":{"a":1}}`)
	got, err := Unknown(text)
	if err != nil || strings.Join(got, " ") != "extra rules.revok_ms" {
		t.Errorf("unknown %v, %v", got, err)
	}
}
