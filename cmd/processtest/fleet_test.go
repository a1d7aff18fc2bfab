package processtest

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/mangopass/mangopass/standin/store"
)

// TestWithdrawnKey guards against entry VMs that accept a withdrawn key: first after a new manifest without the key,
// then when the store is silent, so that they can't prove that their manifest is still current. In the second case they
// refuse all keys, but keep serving public routes.
func TestWithdrawnKey(t *testing.T) {
	d := start(t)
	if err := d.PutManifest(t.Context(), manifest(5, "another-key")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * time.Second)
	for _, e := range d.Entries {
		if got := call(t, t.Context(), e.Callers, request{
			method: "GET", path: "/stock/1", id: "w",
		}); got.status != http.StatusUnauthorized {
			t.Errorf("%s: status %d with a withdrawn key", e.Name, got.status)
		}
	}
	if err := d.SetFaults(t.Context(), d.Store, store.Faults{Silent: true}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(5 * time.Second)
	for _, e := range d.Entries {
		if got := call(t, t.Context(), e.Callers, request{
			method: "GET", path: "/stock/1", id: "w2", key: "another-key",
		}); got.status != http.StatusServiceUnavailable {
			t.Errorf("%s: status %d with a manifest that may be stale", e.Name, got.status)
		}
		if got := call(t, t.Context(), e.Callers, request{
			method: "GET", path: "/open/1", id: "w3", key: "-",
		}); got.status != http.StatusOK {
			t.Errorf("%s: status %d on a public route", e.Name, got.status)
		}
	}
}

// TestManifestNeverReverts guards against entry VMs that go back to an older manifest, or fail, when an older or
// malformed manifest or malformed runner entries are written to the store.
func TestManifestNeverReverts(t *testing.T) {
	d := start(t)
	if err := d.PutManifest(t.Context(), manifest(9, "new-key")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(1500 * time.Millisecond)
	for _, value := range []string{`{"version":3,"routes":[]}`, `{"version":"x"}`, `not json`} {
		if err := d.Put(t.Context(), "op/config", []byte(value)); err != nil {
			t.Fatal(err)
		}
	}
	for i, value := range []string{
		`{"service":"desk"}`, `{"service":7}`, `[]`,
		`{"service":"desk","address":"nowhere","zone":"dc-a","slots":1,"state":"ready"}`,
	} {
		if err := d.Put(t.Context(), fmt.Sprint("servers/odd-", i), []byte(value)); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(1500 * time.Millisecond)
	for i := range 6 {
		got := call(t, t.Context(), d.Entries[i%2].Callers, request{
			method: "GET", path: "/stock/1", id: fmt.Sprint("m", i), key: "new-key", deadlineMs: 1500,
		})
		if got.status != http.StatusOK {
			t.Errorf("got %+v", got)
		}
	}
}

// TestQuotaOverAllEntries guards against an organisation that gets more than its limit by spreading its requests over
// two entry VMs, and against one that gets far less than its limit.
func TestQuotaOverAllEntries(t *testing.T) {
	d := start(t)
	if err := d.PutManifest(
		t.Context(), limitedManifest(2, rateLimit{perSecond: 4000, burst: 6000}, callerKey),
	); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * time.Second) // until the limit is in force and the token buckets are full
	admitted, refused := 0, 0
	begin := time.Now()
	for i := 0; time.Since(begin) < 3*time.Second; i++ {
		got := call(t, t.Context(), d.Entries[i%2].Callers, request{
			method: "POST", path: "/confirm/1", id: fmt.Sprint("q", i), body: "x", deadlineMs: 1500,
			header: map[string]string{"X-Mangopass-Token-Count": "900,100"},
		})
		switch got.status {
		case http.StatusOK:
			admitted++
		case http.StatusTooManyRequests:
			refused++
			time.Sleep(10 * time.Millisecond)
		default:
			t.Fatalf("got %+v", got)
		}
	}
	elapsed := time.Since(begin).Seconds()
	// A burst of 6,000 tokens and 4,000 a second, which may be exceeded by 5 %, and one request in flight at each VM.
	maxAdmitted := int((6000+4000*elapsed*1.05)/1000) + 2
	if admitted > maxAdmitted || admitted < maxAdmitted*7/10 || refused == 0 {
		t.Errorf("admitted %d of at most %d, refused %d", admitted, maxAdmitted, refused)
	}
}

// TestPlannedStop guards the graceful shutdown on SIGTERM: a stream in progress is completed, the VM no longer reports
// that it is ready, and the process ends by itself with exit code 0.
func TestPlannedStop(t *testing.T) {
	d := start(t)
	e := d.Entries[0]
	type result struct{ got response }
	done := make(chan result, 1)
	go func() {
		done <- result{call(t, t.Context(), e.Callers, request{
			method: "POST", path: "/chat/x", model: "tulip", id: "stop", deadlineMs: 6000,
		})}
	}()
	time.Sleep(50 * time.Millisecond)
	e.Signal(syscall.SIGTERM)
	got := <-done
	if got.got.status != http.StatusOK || got.got.err != nil {
		t.Errorf("got %+v", got.got)
	}
	if d.Ready(t.Context(), e) {
		t.Error("still ready after SIGTERM")
	}
	code, err := e.Wait(9 * time.Second)
	if err != nil || code != 0 {
		t.Errorf("exit code %d, error %v", code, err)
	}
}

// TestLeaderTakeover guards against a runner that gets orders of two leaders within the lease time of 3 s. An entry VM
// is killed and the other one takes over the shards that it led: it has to wait for that time, and its fence has to be
// higher.
func TestLeaderTakeover(t *testing.T) {
	d := start(t)
	for i, model := range []string{"rose", "lily", "rose"} {
		_ = call(t, t.Context(), d.Entries[i%2].Callers, request{
			method: "POST", path: "/draft/x", model: model, id: fmt.Sprint("o", i), deadlineMs: 8000,
		})
	}
	d.Entries[0].Signal(syscall.SIGKILL)
	deadline := time.Now().Add(14 * time.Second)
	for i := 0; time.Now().Before(deadline); i++ {
		model := []string{"rose", "lily", "tulip"}[i%3]
		_ = call(t, t.Context(), d.Entries[1].Callers, request{
			method: "POST", path: "/draft/x", model: model, id: fmt.Sprint("p", i), deadlineMs: 3000,
		})
	}
	for _, r := range d.Runners[:2] {
		record, err := d.Record(t.Context(), r.Address)
		if err != nil {
			t.Fatal(err)
		}
		for i := 1; i < len(record.Orders); i++ {
			a, b := record.Orders[i-1], record.Orders[i]
			if a.Holder != b.Holder && b.At.Sub(a.At) < 3*time.Second {
				t.Errorf("%s: orders of %s and %s are %s apart", r.ID, a.Holder, b.Holder, b.At.Sub(a.At))
			}
			if a.Holder != b.Holder && b.Fence <= a.Fence {
				t.Errorf("%s: fence %d of %s after %d of %s", r.ID, b.Fence, b.Holder, a.Fence, a.Holder)
			}
		}
	}
}

// TestLostStoreResponses guards against an entry VM that does not become ready, or later fails to load a model, because
// the store applied writes of node keys and of holder keys but the responses were lost. The VM is killed and restarted
// meanwhile, and then the store's history is compacted.
func TestLostStoreResponses(t *testing.T) {
	d := start(t)
	if err := d.SetFaults(t.Context(), d.Store, store.Faults{LoseWrites: true}); err != nil {
		t.Fatal(err)
	}
	d.Entries[0].Signal(syscall.SIGKILL)
	time.Sleep(time.Second)
	if err := d.Restart(d.Entries[0]); err != nil {
		t.Fatal(err)
	}
	if err := d.AwaitReady(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(4 * time.Second)
	if err := d.SetFaults(t.Context(), d.Store, store.Faults{Compact: true}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(4 * time.Second)
	got := call(t, t.Context(), d.Entries[0].Callers, request{
		method: "POST", path: "/draft/x", model: "rose", id: "lost", deadlineMs: 8000,
	})
	if got.status != http.StatusOK {
		t.Errorf("got %+v", got)
	}
}
