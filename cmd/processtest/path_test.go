package processtest

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/mangopass/mangopass/standin/runner"
)

// TestStreamForwarded guards the path of a request without faults: the caller gets all events and the seal, the runner
// gets the tenant and the body but not the caller's key, and headers that only mangopass may set are not taken from the
// caller.
func TestStreamForwarded(t *testing.T) {
	d := start(t)
	got := call(t, t.Context(), d.Entries[0].Callers, request{
		method: "POST", path: "/chat/x?y=1", model: "tulip", id: "r1", body: "hello", deadlineMs: 5000,
		header: map[string]string{"X-Mangopass-Tenant": "somebody", "X-Mangopass-Hold": "h", "Kv-From": "1.2.3.4:5/6"},
	})
	if got.status != http.StatusOK || got.err != nil ||
		!strings.HasPrefix(got.header.Get("X-Mangopass-Response-Seal"), "seal.") {
		t.Fatalf("got %+v", got)
	}
	wantEvents(t, got.body, 12)
	ran := runsOf(t, d, "r1")
	if len(ran) != 1 || ran[0].Tenant != "coop" || ran[0].Key != "" || ran[0].Body != "hello" {
		t.Errorf("runs: %+v", ran)
	}
}

// TestColdModelIsLoaded guards against a request that fails because no runner has loaded its model. The model is loaded
// while the request waits; another one is unloaded first, and no runner is ordered to load more than fits.
func TestColdModelIsLoaded(t *testing.T) {
	d := start(t)
	for i, e := range d.Entries {
		got := call(t, t.Context(), e.Callers, request{
			method: "POST", path: "/draft/x", model: "rose", id: fmt.Sprint("cold", i), deadlineMs: 8000,
		})
		if got.status != http.StatusOK {
			t.Fatalf("entry %d: got %+v", i, got)
		}
		wantEvents(t, got.body, 12)
	}
	for _, r := range d.Runners {
		record, err := d.Record(t.Context(), r.Address)
		if err != nil || record.Overload {
			t.Errorf("%s: overload %v, error %v", r.ID, record.Overload, err)
		}
	}
}

// TestAdapterIsLoaded guards against requests that fail, or runners that are ordered to load too many adapters, when
// callers ask for more adapters than a runner has slots.
func TestAdapterIsLoaded(t *testing.T) {
	d := start(t)
	for i := range 6 {
		got := call(t, t.Context(), d.Entries[i%2].Callers, request{
			method: "POST", path: "/chat/x", model: fmt.Sprintf("lily/a%d", i%4+1), id: fmt.Sprint("ad", i),
			deadlineMs: 8000,
		})
		if got.status != http.StatusOK {
			t.Fatalf("request %d: got %+v", i, got)
		}
		time.Sleep(450 * time.Millisecond) // adapters in use or just loaded are not unloaded
	}
	record, err := d.Record(t.Context(), d.Runners[1].Address)
	if err != nil || record.Overload {
		t.Errorf("overload %v, error %v", record.Overload, err)
	}
}

// TestUnsafeRunsOnce guards against an unsafe request that runs twice: a runner takes it and breaks the connection.
// Mangopass must neither send it again nor tell the caller that it has not run, as a Retry-After header would do.
func TestUnsafeRunsOnce(t *testing.T) {
	d := start(t)
	for _, r := range d.Runners[2:] {
		if err := d.SetFaults(t.Context(), r.Address, runner.Faults{Reset: 1}); err != nil {
			t.Fatal(err)
		}
	}
	got := call(t, t.Context(), d.Entries[0].Callers, request{
		method: "GET", path: "/confirm/1", id: "u1", deadlineMs: 1500,
	})
	if got.status != http.StatusBadGateway || got.header.Get("Retry-After") != "" {
		t.Errorf("got %+v", got)
	}
	if ran := runsOf(t, d, "u1"); len(ran) != 1 {
		t.Errorf("ran %d times", len(ran))
	}
}

// TestUnsafeRetriedWhenShed guards against unsafe requests that fail although they can be sent again: a runner that
// refuses a request says that it has not run it.
func TestUnsafeRetriedWhenShed(t *testing.T) {
	d := start(t)
	if err := d.SetFaults(t.Context(), d.Runners[2].Address, runner.Faults{Shed: 1}); err != nil {
		t.Fatal(err)
	}
	for i := range 4 {
		id := fmt.Sprint("s", i)
		got := call(t, t.Context(), d.Entries[0].Callers, request{
			method: "POST", path: "/confirm/1", id: id, body: "x", deadlineMs: 1500,
		})
		if got.status != http.StatusOK || len(runsOf(t, d, id)) != 1 {
			t.Errorf("%s: got %+v, runs %d", id, got, len(runsOf(t, d, id)))
		}
	}
}

// TestSafeRetried guards against safe requests that fail because one runner breaks the connection or hangs.
func TestSafeRetried(t *testing.T) {
	d := start(t)
	for i, f := range []runner.Faults{{Reset: 1}, {Hang: 1}} {
		if err := d.SetFaults(t.Context(), d.Runners[2].Address, f); err != nil {
			t.Fatal(err)
		}
		for j := range 3 {
			got := call(t, t.Context(), d.Entries[0].Callers, request{
				method: "GET", path: "/stock/1", id: fmt.Sprint("safe", i, j), deadlineMs: 1500,
			})
			if got.status != http.StatusOK {
				t.Errorf("fault %+v: got %+v", f, got)
			}
		}
	}
}

// TestStreamResumes guards against resumed streams with lost, repeated or partial events: a runner breaks the
// connection inside an event, and another one continues the stream, so that the caller gets each event once, under the
// seal of the first runner.
func TestStreamResumes(t *testing.T) {
	d := start(t)
	// The runner that gets the request first breaks the connection after eight of twelve events; the other one has only
	// four left to send, so its own fault does not take effect.
	for _, r := range d.Runners[:2] {
		if err := d.SetFaults(t.Context(), r.Address, runner.Faults{BreakAfter: 8}); err != nil {
			t.Fatal(err)
		}
	}
	got := call(t, t.Context(), d.Entries[0].Callers, request{
		method: "POST", path: "/chat/x", model: "tulip", id: "res", deadlineMs: 6000,
	})
	if got.status != http.StatusOK || got.err != nil {
		t.Fatalf("got %+v", got)
	}
	wantEvents(t, got.body, 12)
	first, second := "", ""
	for i, r := range d.Runners[:2] {
		record, err := d.Record(t.Context(), r.Address)
		if err != nil {
			t.Fatal(err)
		}
		for _, run := range record.Runs {
			switch run.LastEvent {
			case "":
				first = d.Runners[i].ID
			case "8":
				second = d.Runners[i].ID
			}
		}
	}
	if first == "" || second == "" || first == second || len(runsOf(t, d, "res")) != 2 {
		t.Errorf("first run at %q, second at %q", first, second)
	}
	if seal := got.header.Get("X-Mangopass-Response-Seal"); !strings.HasPrefix(seal, "seal."+first+".") {
		t.Errorf("seal %q, first run at %s", seal, first)
	}
}

// TestBrokenStreamIsNotCompletedByError guards against the text of an error, or a regular end, in the middle of a caller's
// stream: the first runner breaks off, and the next one answers with an error.
func TestBrokenStreamIsNotCompletedByError(t *testing.T) {
	d := start(t)
	for _, r := range d.Runners[:2] {
		if err := d.SetFaults(t.Context(), r.Address, runner.Faults{BreakAfter: 3, FailResume: true}); err != nil {
			t.Fatal(err)
		}
	}
	got := call(t, t.Context(), d.Entries[0].Callers, request{
		method: "POST", path: "/chat/x", model: "tulip", id: "error", deadlineMs: 6000,
	})
	if got.status != http.StatusOK || got.err == nil {
		t.Errorf("status %d, error %v; want 200 and a broken connection", got.status, got.err)
	}
	wantEvents(t, got.body, 3)
	if runs := runsOf(t, d, "error"); len(runs) != 2 || runs[0].LastEvent == runs[1].LastEvent {
		t.Errorf("runs %+v, want one that broke off and one that resumed", runs)
	}
}

// TestNonResumableStreamBreaks guards against a truncated stream that looks complete to the caller: the runner breaks
// the connection on a route whose streams can't be resumed.
func TestNonResumableStreamBreaks(t *testing.T) {
	d := start(t)
	for _, r := range d.Runners[:2] {
		if err := d.SetFaults(t.Context(), r.Address, runner.Faults{BreakAfter: 3}); err != nil {
			t.Fatal(err)
		}
	}
	got := call(t, t.Context(), d.Entries[0].Callers, request{
		method: "POST", path: "/draft/x", model: "tulip", id: "pl", deadlineMs: 6000,
	})
	if got.err == nil || len(runsOf(t, d, "pl")) != 1 {
		t.Errorf("got %+v, runs %d", got, len(runsOf(t, d, "pl")))
	}
}

// TestCallerDisconnects guards against runners that go on with a request whose caller has disconnected.
func TestCallerDisconnects(t *testing.T) {
	d := start(t)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	if err := d.SetFaults(t.Context(), d.Runners[2].Address, runner.Faults{Hang: 1}); err != nil {
		t.Fatal(err)
	}
	if err := d.SetFaults(t.Context(), d.Runners[3].Address, runner.Faults{Hang: 1}); err != nil {
		t.Fatal(err)
	}
	_ = call(t, ctx, d.Entries[0].Callers, request{
		method: "POST", path: "/confirm/1", id: "gone", body: "x", deadlineMs: 5000,
	})
	time.Sleep(300 * time.Millisecond)
	ran := runsOf(t, d, "gone")
	if len(ran) != 1 || !ran[0].Cancelled {
		t.Errorf("runs %+v", ran)
	}
}

// TestRefusals guards the statuses of requests that are refused before they reach a runner, with one public route that
// is served without a key.
func TestRefusals(t *testing.T) {
	d := start(t)
	address := d.Entries[0].Callers
	for _, c := range []struct {
		name    string
		request request
		want    int
	}{
		{"unknown path", request{method: "GET", path: "/none/1", id: "a"}, http.StatusNotFound},
		{"no key", request{method: "GET", path: "/stock/1", id: "b", key: "-"}, http.StatusUnauthorized},
		{"unknown key", request{method: "GET", path: "/stock/1", id: "c", key: "other"}, http.StatusUnauthorized},
		{"public route", request{method: "GET", path: "/open/1", id: "d", key: "-"}, http.StatusOK},
		{"malformed deadline", request{
			method: "GET", path: "/stock/1", id: "e", header: map[string]string{"X-Mangopass-Deadline": "soon"},
		}, http.StatusBadRequest},
		{"body too large", request{
			method: "POST", path: "/confirm/1", id: "f", body: strings.Repeat("x", 5<<20),
		}, http.StatusRequestEntityTooLarge},
	} {
		if got := call(t, t.Context(), address, c.request); got.status != c.want {
			t.Errorf("%s: status %d, want %d", c.name, got.status, c.want)
		}
	}
}
