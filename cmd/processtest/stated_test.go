package processtest

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/mangopass/mangopass/standin/runner"
	"github.com/mangopass/mangopass/standin/store"
)

// drainBound is the time after an answer that says that its runner leaves from which on the VM that passed it on sends it
// no request.
const drainBound = 2 * time.Second

// TestRunnerThatSaysItLeavesGetsNoRequests guards a runner that says in its answers that it leaves, while its entry says
// that it is ready and the store is silent, against requests of either VM, one of which has not heard it itself.
func TestRunnerThatSaysItLeavesGetsNoRequests(t *testing.T) {
	d := start(t)
	leaving := d.Runners[2]
	if err := d.SetFaults(t.Context(), d.Store, store.Faults{Silent: true}); err != nil {
		t.Fatal(err)
	}
	if err := d.SetFaults(t.Context(), leaving.Address, runner.Faults{Leaving: true}); err != nil {
		t.Fatal(err)
	}
	send := func(entry, n int, name string) {
		for i := range n {
			got := call(t, t.Context(), d.Entries[entry].Callers, request{
				method: "GET", path: "/open/x", id: fmt.Sprint(name, i), deadlineMs: 1000, key: "-",
			})
			if got.status != http.StatusOK {
				t.Errorf("%s%d: status %d, want 200", name, i, got.status)
			}
		}
	}
	send(0, 30, "heard-")
	heard := time.Now()
	time.Sleep(drainBound)
	if err := d.SetFaults(t.Context(), d.Store, store.Faults{}); err != nil { // the store says again that it is ready
		t.Fatal(err)
	}
	time.Sleep(time.Second)
	send(0, 30, "again-")
	send(1, 30, "other-")
	record, err := d.Record(t.Context(), leaving.Address)
	if err != nil || len(record.Runs) == 0 {
		t.Fatalf("%d runs, error %v; want at least the one whose answer says that it leaves", len(record.Runs), err)
	}
	if last := record.Runs[len(record.Runs)-1]; last.At.Sub(heard) > 0 || len(record.Runs) > 2 {
		t.Errorf("%d requests, the last one %v after the statement", len(record.Runs), last.At.Sub(heard))
	}
}

// TestRunnerThatWantsAPauseGetsOne guards a runner that turns requests away with a time to come back against more than two
// requests of one VM between half a second later and the end of that time. The other runner serves meanwhile.
func TestRunnerThatWantsAPauseGetsOne(t *testing.T) {
	const pause = 3 * time.Second
	d := start(t)
	paused := d.Runners[2]
	if err := d.SetFaults(t.Context(), paused.Address, runner.Faults{PauseS: pause.Seconds()}); err != nil {
		t.Fatal(err)
	}
	begin := time.Now()
	for i := 0; time.Since(begin) < 2*pause+pause/2; i++ {
		got := call(t, t.Context(), d.Entries[0].Callers, request{
			method: "GET", path: "/open/x", id: fmt.Sprint("pause-", i), deadlineMs: 1000, key: "-",
		})
		if got.status != http.StatusOK {
			t.Errorf("request %d: status %d, want 200 from the other runner", i, got.status)
		}
		time.Sleep(10 * time.Millisecond)
	}
	record, err := d.Record(t.Context(), paused.Address)
	if err != nil || len(record.Refused) < 2 {
		t.Fatalf("%d refused requests, error %v; want one after each pause", len(record.Refused), err)
	}
	for i, first := range record.Refused {
		inPause := 0
		for _, next := range record.Refused[i+1:] {
			if after := next.At.Sub(first.At); after > 500*time.Millisecond && after < pause {
				inPause++
			}
		}
		if inPause > 2 {
			t.Fatalf("%d requests in the pause of %v that refusal %d asked for", inPause, pause, i)
		}
	}
}
