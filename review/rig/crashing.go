package main

import (
	"flag"
	"fmt"
	"path/filepath"
	"sync"
	"time"
)

// crashingRequest sends a request that crashes each runner that runs it, again and again, with other requests beside it. It
// exits with 1 if the request reaches runners in more than three retries that were sent later than stable_ms after it had
// crashed the third.
func crashingRequest(args []string) int {
	f := flag.NewFlagSet("crashing-request", flag.ExitOnError)
	record := f.String("record", "record.txt", "file for the record")
	engine := f.Bool("engine", false, "model engines instead of instances of a plain service")
	after := f.Int("after", 0, "events that the request gets before its runner crashes")
	attempts := f.Int("attempts", 2, "max_attempts of the route")
	every := f.Duration("every", 3*time.Second, "time between two of its requester attempts")
	length := f.Duration("length", 36*time.Second, "time for which it comes again")
	_ = f.Parse(args)

	g, err := newRig()
	if err != nil {
		return fail("rig", err)
	}
	defer g.stop()
	if code := g.startForCrashes(*engine, *after, *attempts); code != 0 {
		return code
	}
	time.Sleep(4 * time.Second) // the VMs know each other, and have been in touch for longer than stable_ms

	target, header := "/stock/lot-7", map[string]string(nil)
	method, body := "GET", ""
	if *engine {
		target, method, body = "/chat/x", "POST", "CRASH: what is the grade of lot 7?"
		header = map[string]string{
			"X-Mangopass-Model": "tulip", "X-Mangopass-Token-Count": "650,40", "X-Mangopass-Prompt-Prefix": "5c1e07a2:155,91bd3f06:495",
		}
	}
	end := time.Now().Add(*length)
	var wait sync.WaitGroup
	lost := g.bystanders(*engine, end, &wait)
	for n := 1; time.Now().Before(end); n++ {
		next := time.Now().Add(*every)
		e := g.entries[n%len(g.entries)]
		id := fmt.Sprintf("again-%02d", n)
		a := g.send(e, method, target, id, header, body, 2500*time.Millisecond)
		g.noteAt(a.sent, "caller sends %s %s %s to %s", id, method, target, e.name)
		g.note("caller gets for %s: status %d, %d bytes, error %v", id, a.status, len(a.body), a.err)
		time.Sleep(time.Until(next))
	}
	wait.Wait()
	return g.judgeCrashes(*record, lost)
}

func (g *rig) startForCrashes(engine bool, after, attempts int) int {
	if err := g.startStore(); err != nil {
		return fail("store", err)
	}
	crash := ""
	if g.trouble {
		crash = "CRASH"
		if !engine {
			crash = "/stock/lot-7"
		}
	}
	addresses, err := g.addresses(4)
	if err != nil {
		return fail("addresses", err)
	}
	for i, a := range addresses {
		s := runnerSpec{
			ID: fmt.Sprintf("runner%d", i), Service: "desk", Address: a, Zone: []string{"z-a", "z-b"}[i%2], Store: g.store,
			Log: filepath.Join(g.dir, "runs.jsonl"), Slots: 32, WorkMs: 60, Crash: crash, HeartbeatMs: 1200,
		}
		if engine {
			s.Service, s.Engine, s.Models, s.EventMs, s.Events, s.CrashAfter, s.LoadMs = "engines", true, []string{"tulip"}, 30, 20, after, 700
		}
		if err := g.supervise(s, 2*time.Second); err != nil {
			return fail("runner", err)
		}
	}
	zones := map[string]string{"z-a": "r", "z-b": "r"}
	for i, zone := range []string{"z-a", "z-b"} {
		if err := g.startEntry(fmt.Sprintf("front%d", i), zone, zones); err != nil {
			return fail("entry", err)
		}
	}
	route := func(name, kind, service string, resume bool) object {
		return object{
			"name": name, "host": "coop.example", "prefix": "/" + name + "/", "kind": kind, "timeout_ms": 10000,
			"target_latency_ms": 600, "priority": 0, "service": service, "max_attempts": attempts, "public": false,
			"sticky": kind == "stream", "can_resume": resume, "gap_aim_ms": 400,
		}
	}
	manifest := object{
		"version": 3, "routes": []object{route("stock", "safe", "desk", false), route("chat", "stream", "engines", true)},
		"services": []object{
			{"name": "desk", "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false},
			{"name": "engines", "health_path": "/health", "max_conns": 620, "protocol": "h1", "tls": false, "engine": object{
				"slots": 32, "kv_tokens": 150000, "weights_mb": 83000.0, "host_mb": 57000.0, "adapter_slots": 8, "loads_per_s": 7.5,
				"models": []object{{
					"name": "tulip", "weights_mb": 34300.0, "load_s": 0.7, "adapters": 0, "adapter_mb": 40.0, "warm_s": 0.5, "disk_s": 0.6,
				}},
			}},
		},
		"limits": object{"header_bytes": 16384, "body_bytes": 4194304, "header_ms": 3000, "idle_ms": 15000},
		"tenants": []object{{
			"name": "coop", "keys": []string{"key-of-the-cooperative"}, "priority": 1, "unit": "tokens", "plain_tokens": 200,
			"rate_per_s": 65908, "burst": 65908,
		}},
	}
	if err := g.putManifest(manifest); err != nil {
		return fail("manifest", err)
	}
	for _, e := range g.entries {
		if err := g.await(e.name+" ready", 15*time.Second, func() bool { return g.isReady(e) }); err != nil {
			return fail("entry", err)
		}
	}
	return 0
}

// counts is what became of the requests of other callers.
type counts struct {
	mu                 sync.Mutex
	sent, served, lost int
}

// bystanders sends 20 ordinary requests a second until the end.
func (g *rig) bystanders(engine bool, end time.Time, wait *sync.WaitGroup) *counts {
	c := &counts{}
	wait.Add(1)
	go func() {
		defer wait.Done()
		for n := 0; time.Now().Before(end); n++ {
			time.Sleep(50 * time.Millisecond)
			wait.Add(1)
			go func() {
				defer wait.Done()
				id, e := fmt.Sprintf("other-%03d", n), g.entries[n%2]
				var a answer
				if engine {
					a = g.send(e, "POST", "/chat/x", id, map[string]string{
						"X-Mangopass-Model": "tulip", "X-Mangopass-Token-Count": "650,40",
						"X-Mangopass-Prompt-Prefix": fmt.Sprintf("77aa0001:155,%x:495", 0x10000+n),
					}, fmt.Sprintf("question %d", n), 5*time.Second)
				} else {
					a = g.send(e, "GET", fmt.Sprintf("/stock/other-%d", n), id, nil, "", 2*time.Second)
				}
				c.mu.Lock()
				defer c.mu.Unlock()
				if c.sent++; a.status == 200 && a.err == nil {
					c.served++
					return
				}
				c.lost++
				g.note("another caller's %s, sent to %s at %.3f, is not served: status %d, error %v", id, e.name,
					a.sent.Sub(g.begun).Seconds(), a.status, a.err)
			}()
		}
	}()
	return c
}

func (g *rig) judgeCrashes(record string, others *counts) int {
	const stable = 3 * time.Second
	lines, err := g.runnerLog()
	if err != nil {
		return fail("log", err)
	}
	var third time.Time
	crashes, late := 0, 0
	byAttempt := map[string]bool{}
	for _, l := range lines {
		if len(l.Request) < 6 || l.Request[:6] != "again-" {
			continue
		}
		at := time.UnixMilli(l.At)
		switch l.What {
		case "crash":
			if crashes++; crashes == 3 {
				third = at
			}
			g.noteAt(at, "runner %s crashes on %s (crash %d)", l.Runner, l.Request, crashes)
		case "run":
			g.noteAt(at, "runner %s begins to run %s, tenant %q, Last-Event-Id %q", l.Runner, l.Request, l.Tenant, l.Last)
			if !third.IsZero() && at.After(third.Add(stable)) {
				late++
				byAttempt[l.Request] = true
			}
		}
	}
	verdict, code := "held", 0
	if len(byAttempt) > 3 {
		verdict, code = "broken", 1
	}
	g.note("crashes of runners: %d; requests later than 3 s after the third crash that reached runners: %d, in %d requester attempts (3 allowed); "+
		"other callers: %d sent, %d served, %d not", crashes, late, len(byAttempt), others.sent, others.served, others.lost)
	if g.trouble && crashes < 3 {
		verdict = "held (fewer than three crashes)"
	}
	g.note("BUDGET %s", verdict)
	if err := g.writeRecord(record); err != nil {
		return fail("record", err)
	}
	fmt.Printf("BUDGET %s: %d crashes, %d late attempts that reached runners, other callers' requests lost: %d of %d\n",
		verdict, crashes, len(byAttempt), others.lost, others.sent)
	return code
}
