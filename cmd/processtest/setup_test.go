// Package processtest tests the real binaries, each started as a separate process on loopback, with stand-ins for the
// platform's store and the runners.
package processtest

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/mangopass/mangopass/standin/deploy"
	"github.com/mangopass/mangopass/standin/runner"
)

const callerKey = "key-of-the-cooperative"

// binaries is the folder into which TestMain builds the programs.
var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "mangopass-processtest")
	if err != nil {
		panic(err)
	}
	binaries = dir
	for _, program := range []string{"cmd/mangopassd", "cmd/mangopass", "standin/cmd/standin"} {
		build := exec.Command("go", "build", "-o", dir, "github.com/mangopass/mangopass/"+program)
		if out, err := build.CombinedOutput(); err != nil {
			panic(string(out))
		}
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

type object = map[string]any

// rateLimit is an organisation's rate and burst, in tokens.
type rateLimit struct{ perSecond, burst int }

// unreachedLimit is a limit that no test reaches, not even with the small part of the burst that an entry VM grants
// right after its start.
var unreachedLimit = rateLimit{perSecond: 400_000, burst: 600_000}

// manifest returns a manifest with these routes: chat (streams that can resume), draft (streams that can't), confirm
// (unsafe), stock (safe) and open (safe and public).
func manifest(version int, keys ...string) object {
	return limitedManifest(version, unreachedLimit, keys...)
}

// limitedManifest returns the same manifest with a limit for the organisation.
func limitedManifest(version int, limit rateLimit, keys ...string) object {
	route := func(name, kind, service string, attempts, timeoutMs int, resume, public bool) object {
		return object{
			"name": name, "host": "coop.example", "prefix": "/" + name + "/", "kind": kind, "timeout_ms": timeoutMs,
			"target_latency_ms": 600, "priority": 0, "service": service, "max_attempts": attempts, "public": public,
			"can_resume": resume, "gap_aim_ms": 400,
		}
	}
	models := []object{}
	for _, name := range []string{"tulip", "lily", "rose"} {
		models = append(models, object{
			"name": name, "weights_mb": 30000, "load_s": 0.3, "adapters": 4, "adapter_mb": 40, "warm_s": 0.1,
			"disk_s": 0.2,
		})
	}
	return object{
		"version": version,
		"routes": []object{
			route("chat", "stream", "engines", 2, 8000, true, false),
			route("draft", "stream", "engines", 1, 8000, false, false),
			route("confirm", "unsafe", "desk", 1, 2000, false, false),
			route("stock", "safe", "desk", 2, 2000, false, false),
			route("open", "safe", "desk", 2, 2000, false, true),
		},
		"services": []object{
			{"name": "engines", "engine": object{
				"slots": 8, "weights_mb": 70000, "adapter_slots": 2, "loads_per_s": 7, "host_mb": 50000,
				"models": models,
			}},
			{"name": "desk"},
		},
		"limits": object{"header_bytes": 16384, "body_bytes": 4194304, "header_ms": 3000, "idle_ms": 15000},
		"tenants": []object{
			{
				"name": "coop", "keys": keys, "unit": "tokens", "plain_tokens": 200, "rate_per_s": limit.perSecond,
				"burst": limit.burst,
			},
		},
	}
}

func engineSpec(id string, models ...string) runner.Spec {
	return runner.Spec{
		ID: id, Service: "engines", Zone: "dc-a", Slots: 8, Models: models, Engine: true, WeightsMB: 70000,
		ModelMB: 30000, AdapterSlots: 2, LoadTime: 250 * time.Millisecond, TokenTime: 10 * time.Millisecond, Events: 12,
	}
}

func deskSpec(id string) runner.Spec {
	return runner.Spec{ID: id, Service: "desk", Zone: "dc-a", Slots: 6, TokenTime: 10 * time.Millisecond}
}

// start starts two entry VMs, an engine with the model tulip, one with tulip and lily, and two instances of the plain
// service desk.
func start(t *testing.T) *deploy.Deployment {
	t.Helper()
	return startWith(t, 2, engineSpec("engine-0", "tulip"), engineSpec("engine-1", "tulip", "lily"),
		deskSpec("desk-0"), deskSpec("desk-1"))
}

// firstRetries is the time after the start of an entry VM in which it earns two retries, of which it has none at first.
const firstRetries = 2500 * time.Millisecond

// startWith starts entry VMs and the given runners, and waits until the VMs are ready and may retry requests. When the test has failed, it logs the end
// of their logs.
func startWith(t *testing.T, entries int, runners ...runner.Spec) *deploy.Deployment {
	t.Helper()
	d, err := deploy.Start(deploy.Spec{Binaries: binaries, Dir: t.TempDir(), Entries: entries, Runners: runners})
	t.Cleanup(func() {
		d.Stop()
		if t.Failed() {
			for _, e := range d.Entries {
				t.Logf("%s:\n%s", e.Name, tail(e.Log(), 60))
			}
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := d.PutManifest(t.Context(), manifest(1, callerKey)); err != nil {
		t.Fatal(err)
	}
	if err := d.AwaitReady(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(firstRetries)
	return d
}

// limitParallel lets at most n parallel subtests of a test run at a time: each starts processes of its own, which starve each
// other on a busy machine.
func limitParallel(n int) (begin func(t *testing.T)) {
	running := make(chan struct{}, n)
	return func(t *testing.T) {
		t.Parallel()
		running <- struct{}{}
		t.Cleanup(func() { <-running })
	}
}

// tail returns the last lines of a log.
func tail(log string, lines int) string {
	all := strings.Split(log, "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}

// request is what a caller sends.
type request struct {
	method, path, model, id, body string
	key                           string // empty: callerKey; "-": none
	deadlineMs                    int
	header                        map[string]string
}

// response is what the caller receives.
type response struct {
	status int
	header http.Header
	body   string
	err    error // of the connection, or of a body that ended early
}

// client opens a new connection for each request, as callers do after a failure.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// call sends a request to an entry VM and returns the response; an error of the connection is in the response.
func call(t *testing.T, ctx context.Context, address string, r request) response {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+address+r.path, strings.NewReader(r.body))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "coop.example"
	h := req.Header
	h.Set("X-Mangopass-Request-Id", r.id)
	if r.key == "" {
		r.key = callerKey
	}
	if r.key != "-" {
		h.Set("Api-Key", r.key)
	}
	if r.deadlineMs > 0 {
		h.Set("X-Mangopass-Deadline", fmt.Sprint(r.deadlineMs))
	}
	if r.model != "" {
		h.Set("X-Mangopass-Model", r.model)
		h.Set("X-Mangopass-Token-Count", "40,24")
	}
	for k, v := range r.header {
		h.Set(k, v)
	}
	resp, err := client.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

// wantEvents checks that a body consists of the complete events 1 to n, each once and in order.
func wantEvents(t *testing.T, body string, n int) {
	t.Helper()
	var want strings.Builder
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&want, "id: %d\ndata: token %d\n\n", i, i)
	}
	if body != want.String() {
		t.Errorf("events:\n%s\nwant 1 to %d", body, n)
	}
}

// runsOf returns every run of a request at any of the runners.
func runsOf(t *testing.T, d *deploy.Deployment, request string) []runner.Run {
	t.Helper()
	var out []runner.Run
	for _, r := range d.Runners {
		record, err := d.Record(t.Context(), r.Address)
		if err != nil {
			t.Fatal(err)
		}
		for _, run := range record.Runs {
			if run.Request == request {
				out = append(out, run)
			}
		}
	}
	return out
}
