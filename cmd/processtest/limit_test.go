package processtest

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/mangopass/mangopass/standin/deploy"
	"github.com/mangopass/mangopass/standin/runner"
)

// TestStatedLimitIsKeptOverAllVMs guards runners in need against more requests than they state to take from all entry VMs
// together. Once the VMs have passed on the statement, no window of 4 s may have more than one and a half times what it
// allows, and five requests. What the other engine can answer must be served, and what none can take is refused as not
// run, with a time to come back.
func TestStatedLimitIsKeptOverAllVMs(t *testing.T) {
	const limit, window = 1.0, 4 * time.Second
	d := start(t)
	for _, id := range []int{1, 3} { // of two engines and two instances of the desk
		if err := d.SetFaults(t.Context(), d.Runners[id].Address, runner.Faults{RateLimit: limit}); err != nil {
			t.Fatal(err)
		}
	}
	begin := time.Now()
	responses := sendEvenly(t, d, 7*time.Second)
	for _, id := range []int{1, 3} {
		record, err := d.Record(t.Context(), d.Runners[id].Address)
		if err != nil {
			t.Fatal(err)
		}
		var at []time.Time
		for _, run := range record.Runs {
			if run.At.Sub(begin) > time.Second {
				at = append(at, run.At)
			}
		}
		if n := mostIn(at, window); n > int(1.5*limit*window.Seconds())+5 {
			t.Errorf("%s got %d requests in 4 s, want at most 11", d.Runners[id].ID, n)
		} else if n < 2 {
			t.Errorf("%s got %d requests in 4 s, want it to be used", d.Runners[id].ID, n)
		}
	}
	served := 0
	for _, r := range responses {
		switch {
		case r.status == http.StatusOK:
			served++
		case r.status != http.StatusServiceUnavailable || r.header.Get("Retry-After") == "":
			t.Errorf("refusal %+v, want 503 with Retry-After", r)
		}
	}
	if served < len(responses)*9/10 {
		t.Errorf("%d of %d requests served, want nine in ten", served, len(responses))
	}
}

// sendEvenly sends a request for the model tulip and one to the desk every 60 ms, to the entry VMs in turn.
func sendEvenly(t *testing.T, d *deploy.Deployment, duration time.Duration) []response {
	t.Helper()
	var mu sync.Mutex
	var all []response
	var pending sync.WaitGroup
	ticker := time.NewTicker(60 * time.Millisecond)
	defer ticker.Stop()
	for i := 0; time.Duration(i)*60*time.Millisecond < duration; i++ {
		<-ticker.C
		for _, r := range []request{
			{method: "POST", path: "/chat/x", model: "tulip", id: fmt.Sprint("chat", i), deadlineMs: 4000},
			{method: "GET", path: "/stock/x", id: fmt.Sprint("stock", i), deadlineMs: 1000},
		} {
			pending.Go(func() {
				got := call(t, context.WithoutCancel(t.Context()), d.Entries[i%2].Callers, r)
				mu.Lock()
				defer mu.Unlock()
				all = append(all, got)
			})
		}
	}
	pending.Wait()
	return all
}

// mostIn returns the largest number of the given instants, in their order, in any window of the given length.
func mostIn(at []time.Time, window time.Duration) int {
	most, first := 0, 0
	for i := range at {
		for at[i].Sub(at[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
