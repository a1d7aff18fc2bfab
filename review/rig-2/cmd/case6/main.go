// Command case6 takes the last tenant out of the manifest and sends requests with the keys that it had, with a key that no
// manifest ever held, and without a key.
package main

import (
	"fmt"
	"time"

	"mangopass.example/review/rig-2/rig"
)

// Keys of the requesters.
const (
	firstKey  = "i9n73hh2b9wu3fexd9dn"
	secondKey = "t4kq81yy6c0az5mrpe2w"
	neverHeld = "zz0000000000000000zz"
)

// manifest returns a manifest with the given list of tenants.
func manifest(version int, tenants string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[`+
		`{"name":"order-confirm","host":"%[2]s","prefix":"/puxa403/","kind":"unsafe","timeout_ms":1500,"target_latency_ms":100,`+
		`"priority":2,"service":"order-desk","max_attempts":1,"public":false},`+
		`{"name":"stock-check","host":"%[2]s","prefix":"/cufi504/","kind":"safe","timeout_ms":1500,"target_latency_ms":100,`+
		`"priority":2,"service":"order-desk","max_attempts":2,"public":false}],`+
		`"services":[{"name":"order-desk","health_path":"/health"}],`+
		`"limits":{"header_bytes":16384,"body_bytes":4194304,"header_ms":3000,"idle_ms":15000},"tenants":%[3]s}`,
		version, rig.Host, tenants)
}

// tenants returns the list with the only tenant.
func tenants(keys string) string {
	return `[{"name":"hule930","keys":` + keys + `,"unit":"tokens","plain_tokens":200,"rate_per_s":0,"burst":0}]`
}

func main() {
	c := rig.New()
	c.StartStore()
	runners := []string{
		c.StartRunner("i-1", "order-desk", 15*time.Millisecond), c.StartRunner("i-2", "order-desk", 15*time.Millisecond),
	}
	c.PutManifest(manifest(7, tenants(`["`+firstKey+`","`+secondKey+`"]`)))
	entries := []*rig.Entry{c.StartEntry("front-dl-a-1"), c.StartEntry("front-dl-a-2")}
	for _, e := range entries {
		c.AwaitReady(e)
	}
	time.Sleep(rig.StableTime)

	var all []rig.Answer
	keyOf := make(map[string]string)
	send := func(round string) {
		for _, key := range []string{firstKey, secondKey, neverHeld, ""} {
			for _, e := range entries {
				for _, r := range []struct{ method, path, body string }{
					{"POST", "/puxa403/2f", "one crate of seed lilies"}, {"GET", "/cufi504/fi50/2f", ""},
				} {
					a := c.Send(e, r.method, r.path, key, r.body)
					all, keyOf[a.ID] = append(all, a), key
					c.Note("%s: %s %s to %s, key %q, request %s: status %d %v", round, r.method, r.path, e.Name, key, a.ID, a.Status, a.Err)
				}
			}
		}
	}
	send("all keys held")

	// The first key goes; the tenant stays with the other one.
	firstGone := c.PutManifest(manifest(9, tenants(`["`+secondKey+`"]`)))
	time.Sleep(rig.RevokeTime + time.Second)
	send("first key gone")

	// The second key goes, and with it the tenant, which was the last one.
	var lastGone time.Time
	if c.Trouble {
		lastGone = c.PutManifest(manifest(12, `[]`))
	} else {
		c.Note("without the disruption: the tenant stays")
	}
	time.Sleep(rig.RevokeTime + time.Second)
	for range 3 {
		send("at the end")
		time.Sleep(500 * time.Millisecond)
	}

	runs := c.Runs(runners...)
	revoked, unknown, served := 0, 0, 0
	for _, a := range all {
		key, ran := keyOf[a.ID], len(runs[a.ID]) > 0
		late := key == firstKey && a.Sent.After(firstGone.Add(rig.RevokeTime)) ||
			key == secondKey && !lastGone.IsZero() && a.Sent.After(lastGone.Add(rig.RevokeTime))
		switch {
		case !ran:
		case late:
			revoked++
			c.Note("BROKEN, CONFIG: request %s ran (%v), sent later than revoke_ms after its key %s was taken away", a.ID, runs[a.ID], key)
		case key == neverHeld || key == "":
			unknown++
			c.Note("BROKEN, ROUTE: request %s ran (%v), key %q was held by no manifest", a.ID, runs[a.ID], key)
		default:
			served++
		}
	}
	for _, e := range entries {
		for _, line := range e.Logs("manifest in force", 5) {
			c.Note("%s writes: %s", e.Name, line)
		}
	}
	detail := fmt.Sprintf("%d requests sent, %d ran with a key in force; %d ran with a key that was taken away, %d with no key that any manifest held",
		len(all), served, revoked, unknown)
	if served == 0 {
		c.End(rig.Failed, detail)
	}
	if revoked > 0 || unknown > 0 {
		c.End(rig.Broken, detail)
	}
	c.End(rig.Held, detail)
}
