package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// takeOver lets the store be down for a while with its leases paused, and later cuts an entry VM off from the store. It exits with 1 if a runner gets orders from two VMs within lease_ms.
func takeOver(args []string) int {
	f := flag.NewFlagSet("take-over", flag.ExitOnError)
	record := f.String("record", "record.txt", "file for the record")
	_ = f.Parse(args)
	g, err := newRig()
	if err != nil {
		return fail("rig", err)
	}
	defer g.stop()
	const models, runners = 8, 6
	proxies, code := g.startForTakeOver(models, runners)
	if code != 0 {
		return code
	}
	end := time.Now().Add(30 * time.Second)
	var wait sync.WaitGroup
	g.askForModels(models, end, &wait)
	time.Sleep(4 * time.Second)
	if g.trouble && os.Getenv("OUTAGE") != "0" {
		g.note("the store is down: it answers nothing, and leases pause")
		_ = post(g.store, "/standin/faults", object{"down": true}, nil)
		time.Sleep(4500 * time.Millisecond)
		_ = post(g.store, "/standin/faults", object{"down": false}, nil)
		g.note("the store is back")
	} else {
		time.Sleep(4500 * time.Millisecond)
	}
	time.Sleep(5 * time.Second)
	var healed time.Time
	if g.trouble {
		const cut = "front1" // the one that started last: the other one decides what is loaded
		g.note("%s is cut off from the store", cut)
		proxies[cut].setCut(true)
		time.Sleep(7 * time.Second)
		proxies[cut].setCut(false)
		healed = time.Now()
		g.note("%s reaches the store again", cut)
	}
	wait.Wait()
	return g.judgeTurns(*record, healed)
}

func (g *rig) startForTakeOver(models, runners int) (map[string]*proxy, int) {
	a, err := g.addresses(1 + 2 + runners)
	if err != nil {
		return nil, fail("addresses", err)
	}
	g.store = a[0]
	if _, err := g.start("store", nil, "review/.bin/rig", "store", "--listen", g.store); err != nil {
		return nil, fail("store", err)
	}
	if err := g.await("store", 10*time.Second, func() bool { return post(g.store, "/standin/faults", object{}, nil) == nil }); err != nil {
		return nil, fail("store", err)
	}
	names := []string{}
	list := []object{}
	for m := range models {
		name := fmt.Sprintf("model%02d", m)
		names = append(names, name)
		list = append(list, object{
			"name": name, "weights_mb": 34300.0, "load_s": 0.6, "adapters": 40, "adapter_mb": 40.0, "warm_s": 0.3, "disk_s": 0.4,
		})
	}
	for i := range runners {
		s := runnerSpec{
			ID: fmt.Sprintf("engine%d", i), Service: "engines", Address: a[3+i], Zone: "z-a", Store: g.store, Engine: true,
			Models: []string{names[2*i%models], names[(2*i+1)%models]}, Log: filepath.Join(g.dir, "runs.jsonl"), Slots: 32,
			EventMs: 10, Events: 5, HeartbeatMs: 1200, LoadMs: 350,
		}
		if err := g.supervise(s, 2*time.Second); err != nil {
			return nil, fail("runner", err)
		}
	}
	proxies := map[string]*proxy{}
	store := g.store
	for i := range 2 {
		name := fmt.Sprintf("front%d", i)
		if proxies[name], err = startProxy(a[1+i], store); err != nil {
			return nil, fail("proxy", err)
		}
		g.store = a[1+i] // of this VM
		err := g.startEntry(name, "z-a", map[string]string{"z-a": "r"})
		g.store = store
		if err != nil {
			return nil, fail("entry", err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(3 * time.Second) // the VMs know each other, and divide the engines among themselves when the manifest comes
	if err := g.putManifest(object{
		"version": 3,
		"routes": []object{{
			"name": "chat", "host": "coop.example", "prefix": "/chat/", "kind": "stream", "timeout_ms": 10000, "target_latency_ms": 600,
			"priority": 0, "service": "engines", "max_attempts": 2, "public": false, "sticky": true, "can_resume": true, "gap_aim_ms": 400,
		}},
		"services": []object{{
			"name": "engines", "health_path": "/health", "max_conns": 620, "protocol": "h1", "tls": false, "engine": object{
				"slots": 32, "kv_tokens": 150000, "weights_mb": 83000.0, "host_mb": 57000.0, "adapter_slots": 8, "loads_per_s": 7.5,
				"models": list,
			},
		}},
		"limits": object{"header_bytes": 16384, "body_bytes": 4194304, "header_ms": 3000, "idle_ms": 15000},
		"tenants": []object{{
			"name": "coop", "keys": []string{"key-of-the-cooperative"}, "priority": 1, "unit": "tokens", "plain_tokens": 200,
			"rate_per_s": 65908, "burst": 65908,
		}},
	}); err != nil {
		return nil, fail("manifest", err)
	}
	for _, e := range g.entries {
		if err := g.await(e.name+" ready", 15*time.Second, func() bool { return g.isReady(e) }); err != nil {
			return nil, fail("entry", err)
		}
	}
	return proxies, 0
}

// askForModels sends 30 requests a second for adapters of the models in turn, so that engines have to change their adapters.
func (g *rig) askForModels(models int, end time.Time, wait *sync.WaitGroup) {
	wait.Add(1)
	go func() {
		defer wait.Done()
		for n := 0; time.Now().Before(end); n++ {
			time.Sleep(33 * time.Millisecond)
			wait.Add(1)
			go func() {
				defer wait.Done()
				id := fmt.Sprintf("request-%03d", n)
				a := g.send(g.entries[n%2], "POST", "/chat/x", id, map[string]string{
					"X-Mangopass-Model": fmt.Sprintf("model%02d/a%d", n*3%models, n*7%40+1), "X-Mangopass-Token-Count": "650,40",
					"X-Mangopass-Prompt-Prefix": fmt.Sprintf("77aa0001:155,%x:495", 0x10000+n),
				}, fmt.Sprintf("question %d", n), 5*time.Second)
				g.noteAt(a.sent, "%s, sent to %s: status %d after %d ms", id, g.entries[n%2].name, a.status, a.took.Milliseconds())
			}()
		}
	}()
}

// judgeTurns leaves out orders that arrive within thaw_ms after the link healed.
func (g *rig) judgeTurns(record string, healed time.Time) int {
	const leaseMs, thaw = 3000, 300 * time.Millisecond
	lines, err := g.runnerLog()
	if err != nil {
		return fail("log", err)
	}
	last := map[string]logLine{}
	turns, short, orders, shortest := 0, 0, 0, int64(1<<40)
	for _, l := range lines {
		if l.What != "order" {
			continue
		}
		if since := time.UnixMilli(l.At).Sub(healed); !healed.IsZero() && since >= 0 && since <= thaw {
			continue
		}
		orders++
		g.noteAt(time.UnixMilli(l.At), "%s gets an order from %s: %s, fence %d", l.Runner, l.Holder, l.Detail, l.Fence)
		if before, ok := last[l.Runner]; ok && before.Holder != l.Holder {
			gap := l.At - before.At
			turns++
			shortest = min(shortest, gap)
			if gap < leaseMs {
				short++
				g.noteAt(time.UnixMilli(l.At), "  %d ms after the last order of %s", gap, before.Holder)
			}
		}
		last[l.Runner] = l
	}
	verdict, code := "held", 0
	if short > 0 {
		verdict, code = "broken", 1
	}
	if turns == 0 {
		shortest = 0
	}
	g.note("%d orders, %d changes of the holder at a runner, the shortest after %d ms, %d within %d ms; ONE %s", orders, turns, shortest,
		short, leaseMs, verdict)
	if err := g.writeRecord(record); err != nil {
		return fail("record", err)
	}
	fmt.Printf("ONE %s: %d orders, %d changes of the holder, the shortest after %d ms, %d within %d ms\n", verdict, orders, turns,
		shortest, short, leaseMs)
	if g.trouble && turns == 0 || orders == 0 {
		return 2
	}
	return code
}
