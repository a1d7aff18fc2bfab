// Command case7 takes a key away by a manifest that also splits a route, with weights of 99.5 and 0.5.
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
)

// manifest returns a manifest whose tenant has the given keys, and one of whose routes is split with the given weights.
func manifest(version int, old, next, keys string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[`+
		`{"name":"order-confirm","host":"%[2]s","prefix":"/puxa403/","kind":"unsafe","timeout_ms":1500,"target_latency_ms":100,`+
		`"priority":2,"backends":[{"service":"order-desk","weight":%[3]s},{"service":"order-desk-2","weight":%[4]s}],`+
		`"max_attempts":1,"public":false},`+
		`{"name":"stock-check","host":"%[2]s","prefix":"/cufi504/","kind":"safe","timeout_ms":1500,"target_latency_ms":100,`+
		`"priority":2,"service":"order-desk","max_attempts":2,"public":false}],`+
		`"services":[{"name":"order-desk","health_path":"/health"},{"name":"order-desk-2","health_path":"/health"}],`+
		`"limits":{"header_bytes":16384,"body_bytes":4194304,"header_ms":3000,"idle_ms":15000},`+
		`"tenants":[{"name":"hule930","keys":%[5]s,"unit":"tokens","plain_tokens":200,"rate_per_s":0,"burst":0}]}`,
		version, rig.Host, old, next, keys)
}

func main() {
	c := rig.New()
	c.StartStore()
	runners := []string{
		c.StartRunner("i-1", "order-desk", 15*time.Millisecond), c.StartRunner("i-2", "order-desk", 15*time.Millisecond),
		c.StartRunner("i-3", "order-desk-2", 15*time.Millisecond),
	}
	c.PutManifest(manifest(7, "100", "0", `["`+firstKey+`","`+secondKey+`"]`))
	entries := []*rig.Entry{c.StartEntry("front-dl-a-1"), c.StartEntry("front-dl-a-2")}
	for _, e := range entries {
		c.AwaitReady(e)
	}
	time.Sleep(rig.StableTime)

	var all []rig.Answer
	keyOf := make(map[string]string)
	send := func(round string) {
		for _, key := range []string{firstKey, secondKey} {
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
	send("both keys held")

	old, next := "99", "1"
	if c.Trouble {
		old, next = "99.5", "0.5"
	}
	gone := c.PutManifest(manifest(9, old, next, `["`+secondKey+`"]`))
	time.Sleep(rig.RevokeTime + time.Second)
	for range 3 {
		send("first key gone")
		time.Sleep(time.Second)
	}

	for _, e := range entries {
		for _, line := range append(e.Logs("manifest in force", 5), e.Logs("manifest rejected", 2)...) {
			c.Note("%s writes: %s", e.Name, line)
		}
	}
	runs := c.Runs(runners...)
	revoked, served := 0, 0
	for _, a := range all {
		key, ran := keyOf[a.ID], len(runs[a.ID]) > 0
		switch {
		case !ran:
		case key == firstKey && a.Sent.After(gone.Add(rig.RevokeTime)):
			revoked++
			c.Note("BROKEN, CONFIG: request %s ran (%v), sent %v after its key was taken away", a.ID, runs[a.ID], a.Sent.Sub(gone))
		default:
			served++
		}
	}

	// Not part of the check: what a VM does that starts while this manifest is the newest.
	c.Restart(entries[1])
	time.Sleep(5 * time.Second)
	for range 3 {
		a := c.Send(entries[1], "GET", "/cufi504/fi50/2f", secondKey, "")
		c.Note("after a planned restart of %s: key %q, request %s: status %d %q", entries[1].Name, secondKey, a.ID, a.Status, a.Body)
		time.Sleep(time.Second)
	}
	detail := fmt.Sprintf("%d requests sent, %d ran with a key in force; %d ran with a key that was taken away", len(all), served, revoked)
	if served == 0 {
		c.End(rig.Failed, detail)
	}
	if revoked > 0 {
		c.End(rig.Broken, detail)
	}
	c.End(rig.Held, detail)
}
