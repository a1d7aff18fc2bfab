package main

import (
	"bufio"
	"flag"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"time"
)

// doubleSlash sends requests on routes with the prefix "/", with trouble also some whose path begins with two slashes. It exits with 1
// if a runner runs a request with another path or query than its caller sent.
func doubleSlash(args []string) int {
	f := flag.NewFlagSet("double-slash", flag.ExitOnError)
	record := f.String("record", "record.txt", "file for the record")
	_ = f.Parse(args)
	g, err := newRig()
	if err != nil {
		return fail("rig", err)
	}
	defer g.stop()
	if err := g.startStore(); err != nil {
		return fail("store", err)
	}
	addresses, err := g.addresses(2)
	if err != nil {
		return fail("addresses", err)
	}
	for i, a := range addresses {
		if err := g.supervise(runnerSpec{
			ID: fmt.Sprintf("runner%d", i), Service: "desk", Address: a, Zone: "z-a", Store: g.store,
			Log: filepath.Join(g.dir, "runs.jsonl"), Slots: 32, WorkMs: 15, HeartbeatMs: 1200,
		}, 2*time.Second); err != nil {
			return fail("runner", err)
		}
	}
	for i := range 2 {
		if err := g.startEntry(fmt.Sprintf("front%d", i), "z-a", map[string]string{"z-a": "r"}); err != nil {
			return fail("entry", err)
		}
	}
	route := func(name, host, prefix string, public bool) object {
		return object{
			"name": name, "host": host, "prefix": prefix, "kind": "safe", "timeout_ms": 2000, "target_latency_ms": 100, "priority": 2,
			"service": "desk", "max_attempts": 2, "public": public, "sticky": false, "can_resume": false,
		}
	}
	if err := g.putManifest(object{
		"version": 3,
		"routes": []object{
			route("lots", "open.example", "/", true), route("orders", "coop.example", "/orders/", false),
		},
		"services": []object{{"name": "desk", "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false}},
		"limits":   object{"header_bytes": 16384, "body_bytes": 4194304, "header_ms": 3000, "idle_ms": 15000},
		"tenants": []object{{
			"name": "coop", "keys": []string{"key-of-the-cooperative"}, "priority": 1, "unit": "tokens", "plain_tokens": 200,
			"rate_per_s": 65908, "burst": 65908,
		}},
	}); err != nil {
		return fail("manifest", err)
	}
	for _, e := range g.entries {
		if err := g.await(e.name+" ready", 15*time.Second, func() bool { return g.isReady(e) }); err != nil {
			return fail("entry", err)
		}
	}
	time.Sleep(time.Second)
	type request struct{ host, target string }
	requests := []request{
		{"open.example", "/lots/7"}, {"open.example", "/lots/7?grade=A&x=%2F"}, {"open.example", "/lots//7"}, {"open.example", "/"},
	}
	if g.trouble {
		requests = append(requests, request{"open.example", "//lots/7"}, request{"open.example", "//coop.example/orders/12"})
	}
	sent := map[string]request{}
	for n := range 5 {
		for i, q := range requests {
			id, e := fmt.Sprintf("request-%d-%d", n, i), g.entries[(n+i)%2]
			sent[id] = q
			g.note("caller sends %s without a key to %s: GET %s, Host %s", id, e.name, q.target, q.host)
			status, err := rawGet(e.callers, q.host, q.target, id)
			g.note("caller gets for %s: status %d, error %v", id, status, err)
		}
	}
	lines, err := g.runnerLog()
	if err != nil {
		return fail("log", err)
	}
	runs, changed := 0, 0
	for _, l := range lines {
		q, known := sent[l.Request]
		if l.What != "run" || !known {
			continue
		}
		runs++
		g.noteAt(time.UnixMilli(l.At), "runner %s runs %s: %s %s, for host %s, tenant %q", l.Runner, l.Request, l.Method, l.Target, l.Host, l.Tenant)
		if pathOf(l.Target) != q.target {
			changed++
			g.noteAt(time.UnixMilli(l.At), "  its caller sent %s for host %s", q.target, q.host)
		}
	}
	verdict, code := "held", 0
	if changed > 0 {
		verdict, code = "broken", 1
	}
	g.note("%d requests sent, %d run, %d with another path; UNASKED %s", len(sent), runs, changed, verdict)
	if err := g.writeRecord(*record); err != nil {
		return fail("record", err)
	}
	fmt.Printf("UNASKED %s: %d requests sent, %d run, %d with another path\n", verdict, len(sent), runs, changed)
	if runs == 0 {
		return 2
	}
	return code
}

// pathOf returns the path and query of a request target, as a server reads it: without the scheme and host of the absolute form.
func pathOf(target string) string {
	rest, absolute := strings.CutPrefix(target, "http://")
	if !absolute {
		return target
	}
	if i := strings.IndexByte(rest, '/'); i >= 0 {
		return rest[i:]
	}
	return "/"
}

// rawGet sends a request line as it is given, and returns the status of the answer.
func rawGet(address, host, target, id string) (int, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	head := []string{"GET " + target + " HTTP/1.1", "Host: " + host, "X-Mangopass-Request-Id: " + id, "X-Mangopass-Deadline: 2000", "", ""}
	if _, err := conn.Write([]byte(strings.Join(head, "\r\n"))); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	_ = resp.Body.Close()
	return resp.StatusCode, nil
}
