// Command case9 sends a request that crashes runners from four requesters at about the same time, each to an entry VM of its zone.
package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"mangopass.example/review/rig-2/rig"
)

const (
	key = "i9n73hh2b9wu3fexd9dn"
	// allowed is the number of retries that may reach runners later than rig.StableTime after the third crash.
	allowed    = 3
	crashLimit = 3

	poisonTimes  = 5
	poisonPeriod = 4 * time.Second
	poisonSpread = 40 * time.Millisecond // in which the requesters send it
	others       = 25 * time.Millisecond // between two ordinary requests
)

const manifest = `{"version":7,"routes":[` +
	`{"name":"truck-release","host":"ficu95.example","prefix":"/puxa403/","kind":"unsafe","timeout_ms":600,"target_latency_ms":100,` +
	`"priority":2,"service":"dispatch-app","max_attempts":1,"public":false},` +
	`{"name":"lot-lookup","host":"ficu95.example","prefix":"/cufi504/","kind":"safe","timeout_ms":600,"target_latency_ms":100,` +
	`"priority":2,"service":"dispatch-app","max_attempts":2,"public":false}],` +
	`"services":[{"name":"dispatch-app","health_path":"/health"}],` +
	`"limits":{"header_bytes":16384,"body_bytes":4194304,"header_ms":3000,"idle_ms":15000},` +
	`"tenants":[{"name":"hule930","keys":["` + key + `"],"unit":"tokens","plain_tokens":200,"rate_per_s":0,"burst":0}]}`

func main() {
	c := rig.New()
	c.StartStore()
	var runners []*rig.Plain
	for i := range 4 {
		p := &rig.Plain{
			Name: fmt.Sprint(i + 1), Service: "dispatch-app", Slots: 6, Work: 15 * time.Millisecond, Poison: "/lot-13/",
			PoisonWork: 60 * time.Millisecond, Crashes: c.Trouble, Down: 2 * time.Second,
		}
		p.Start(c)
		runners = append(runners, p)
	}
	c.PutManifest(manifest)
	var entries []*rig.Entry
	for _, zone := range []string{"dl-a", "dl-b", "dl-c", "dl-d"} {
		entries = append(entries, c.StartEntryIn("front-"+zone+"-1", zone))
	}
	for _, e := range entries {
		c.AwaitReady(e)
	}
	time.Sleep(rig.StableTime)

	// Ordinary requests, of which none may run twice.
	statuses, twice := make(map[int]int), 0
	var mu sync.Mutex
	var open sync.WaitGroup
	end := make(chan struct{})
	open.Add(1)
	go func() {
		defer open.Done()
		for n := 0; ; n++ {
			select {
			case <-end:
				return
			case <-time.After(others):
			}
			open.Add(1)
			go func() {
				defer open.Done()
				a := c.SendWithin(entries[n%len(entries)], "POST", fmt.Sprintf("/puxa403/%d/2f", n), key, "release", 600)
				mu.Lock()
				defer mu.Unlock()
				statuses[a.Status]++
			}()
		}
	}()

	// The request that comes again: the same path, caller and body, at any machine.
	for range poisonTimes {
		next := time.Now().Add(poisonPeriod)
		for _, e := range entries {
			open.Add(1)
			go func() {
				defer open.Done()
				time.Sleep(rand.N(poisonSpread))
				a := c.SendWithin(e, "POST", "/puxa403/lot-13/2f", key, "release", 600)
				c.Note("lot 13 to be released at %s, request %s: status %d %q after %v", e.Name, a.ID, a.Status, a.Body, time.Since(a.Sent))
			}()
		}
		time.Sleep(time.Until(next))
	}
	close(end)
	open.Wait()

	var begun []rig.Begun
	var crashes []time.Time
	for _, p := range runners {
		b, crashed := p.State()
		begun, crashes = append(begun, b...), append(crashes, crashed...)
	}
	slices.SortFunc(crashes, func(a, b time.Time) int { return a.Compare(b) })
	runs := make(map[string]int)
	late := make(map[string]bool)
	for _, b := range begun {
		if !strings.Contains(b.Path, "/lot-13/") {
			if runs[b.Request]++; runs[b.Request] == 2 {
				twice++
			}
			continue
		}
		c.Note("lot 13, request %s: begins to run at %.3f", b.Request, b.At.Sub(c.Begin).Seconds())
		if len(crashes) >= crashLimit && b.At.After(crashes[crashLimit-1].Add(rig.StableTime)) {
			late[b.Request] = true
		}
	}
	for _, e := range entries {
		for _, line := range e.Logs("blocked", 3) {
			c.Note("%s writes: %s", e.Name, line)
		}
	}
	detail := fmt.Sprintf("%d crashes; %d retries reached runners later than %v after the third one, %d are allowed; ordinary requests by status: %v, %d ran twice",
		len(crashes), len(late), rig.StableTime, allowed, statuses, twice)
	switch {
	case statuses[200] == 0 || c.Trouble && len(crashes) < crashLimit:
		c.End(rig.Failed, detail)
	case len(late) > allowed || twice > 0:
		c.End(rig.Broken, detail)
	}
	c.End(rig.Held, detail)
}
