package manifesttest

import (
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// oddManifest is a manifest that takes a key away and says something else that is odd.
type oddManifest struct {
	name string
	make func(s *system) string

	// The statuses that callers get: with the removed key and with the other one on the route "stock", and without a key on the public route.
	removed, staying, open int
}

// replacing returns the manifest without the removed key, with one part of its text replaced.
func replacing(old, odd string) func(*system) string {
	return func(s *system) string {
		text := s.manifest(staying)
		if !strings.Contains(text, old) {
			s.t.Fatalf("%s is no part of %s", old, text)
		}
		return strings.Replace(text, old, odd, 1)
	}
}

const (
	ok           = http.StatusOK
	unauthorized = http.StatusUnauthorized
	unavailable  = http.StatusServiceUnavailable
)

var keysOfStaying = `"keys":["` + staying + `"]`

var oddManifests = []oddManifest{
	{"no tenants", func(s *system) string { return withTenants(s, `[]`) }, unauthorized, unauthorized, ok},
	{"null for tenants", func(s *system) string { return withTenants(s, `null`) }, unauthorized, unauthorized, ok},
	{"tenants of another type", func(s *system) string { return withTenants(s, `"all"`) }, unavailable, unavailable, ok},
	{"weights with fractions", replacing(`"service":"desk"`, `"backends":[{"service":"desk","weight":99.5},{"service":"new","weight":0}]`),
		unauthorized, ok, ok},
	{"timeout with a fraction", replacing(`"timeout_ms":`, `"timeout_ms":0.5e1,"x":`), unauthorized, ok, ok},
	{"timeout of another type", replacing(`"timeout_ms":`, `"timeout_ms":"8s","x":`), unauthorized, ok, ok},
	{"unknown kind", replacing(`"kind":"stream"`, `"kind":"batch"`), unauthorized, ok, ok},
	{"no services", replacing(`"services":[`, `"services":[],"x":[`), unauthorized, ok, ok},
	{"keys in another case beside", replacing(keysOfStaying, `"KEYS":["`+removed+`"],`+keysOfStaying), unauthorized, ok, ok},
	{"keys twice", replacing(keysOfStaying, keysOfStaying+`,"keys":["`+removed+`","`+staying+`"]`), unavailable, ok, ok},
	{"version of another type", replacing(`"version":`, `"version":"9","x":`), unauthorized, ok, ok},
	{"broken off", func(s *system) string { return s.manifest(staying)[:200] }, unavailable, unavailable, ok},
}

// withTenants returns the manifest with another list of tenants.
func withTenants(s *system, tenants string) string {
	return replacing(`"tenants":[`, `"tenants":`+tenants+`,"x":[`)(s)
}

// TestRemovedKeyEndsUnderOddManifests guards against a key that a manifest takes away and that stays in force for something else in it,
// and against keys that end with it though the rest can be read.
func TestRemovedKeyEndsUnderOddManifests(t *testing.T) {
	t.Parallel()
	s := start(t)
	for _, m := range oddManifests {
		s.write(s.manifest(staying, removed))
		for _, e := range s.Entries {
			if got := s.await(e, "stock", removed, ok, revokeTime); got != ok {
				t.Fatalf("before %s, %s: status %d under a sound manifest", m.name, e.Name, got)
			}
		}
		written := time.Now()
		s.write(m.make(s))
		for _, e := range s.Entries {
			if got := s.await(e, "stock", removed, m.removed, time.Until(written.Add(revokeTime))); got != m.removed {
				t.Errorf("%s, %s: status %d with the removed key after %v, want %d", m.name, e.Name, got, time.Since(written), m.removed)
			}
			if got := s.await(e, "stock", staying, m.staying, time.Second); got != m.staying {
				t.Errorf("%s, %s: status %d with the other key, want %d", m.name, e.Name, got, m.staying)
			}
			if got := s.get(e, "open", ""); got != m.open {
				t.Errorf("%s, %s: status %d on the public route, want %d", m.name, e.Name, got, m.open)
			}
		}
	}
}

// TestVMStartsUnderOddManifest guards against a rolling restart that ends the service, because a VM that starts reads nothing of a manifest
// that it can't read in full, and against one that starts with keys which it can't prove.
func TestVMStartsUnderOddManifest(t *testing.T) {
	t.Parallel()
	s := start(t)
	e := s.Entries[1]
	for _, m := range []struct {
		oddManifest
		logged string
	}{
		{oddManifest{"timeout of another type", replacing(`"timeout_ms":`, `"timeout_ms":"8s","x":`), unauthorized, ok, ok},
			"routes[0].timeout_ms: a string is no number"},
		{oddManifest{"broken off", func(s *system) string { return s.manifest(staying)[:200] }, unavailable, unavailable, unavailable},
			`"reason":"manifest_unreadable"`},
	} {
		s.write(m.make(s))
		e.Signal(syscall.SIGTERM)
		if _, err := e.Wait(15 * time.Second); err != nil {
			t.Fatal(err)
		}
		if err := s.Restart(e); err != nil {
			t.Fatal(err)
		}
		for _, c := range []struct {
			route, key string
			want       int
		}{{"stock", staying, m.staying}, {"stock", removed, m.removed}, {"open", "", m.open}} {
			if got := s.await(e, c.route, c.key, c.want, revokeTime); got != c.want {
				t.Errorf("%s: status %d on %s with key %q, want %d", m.name, got, c.route, c.key, c.want)
			}
		}
		if ready := s.Ready(t.Context(), e); ready != (m.staying == ok) {
			t.Errorf("%s: ready %v", m.name, ready)
		}
		if !strings.Contains(e.Log(), m.logged) {
			t.Errorf("%s: no %q in the log", m.name, m.logged)
		}
	}
	s.write(s.manifest(staying))
	if got := s.await(e, "stock", staying, ok, revokeTime); got != ok {
		t.Errorf("status %d after a sound manifest", got)
	}
}
