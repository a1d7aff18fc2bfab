package processtest

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/mangopass/mangopass/standin/runner"
)

// heartbeat is the period in which stand-in runners write their entries.
const heartbeat = 300 * time.Millisecond

// leavingBound is the time after the removal of its entry from which on a runner gets no requests.
const leavingBound = 2 * time.Second

// TestLeavingRunnerAfterSuspension guards a runner that leaves against requests from an entry VM that was suspended
// shortly before. The VM must not take its own silence for an outage of the store, after which it would wait for the entry
// to come back.
func TestLeavingRunnerAfterSuspension(t *testing.T) {
	d := start(t)
	entry, leaving := d.Entries[0], d.Runners[2]
	entry.Signal(syscall.SIGSTOP)
	time.Sleep(4 * time.Second)
	entry.Signal(syscall.SIGCONT)
	time.Sleep(800 * time.Millisecond) // the VM has read the store again
	if err := d.SetFaults(t.Context(), leaving.Address, runner.Faults{Unlisted: true}); err != nil {
		t.Fatal(err)
	}
	removed := time.Now().Add(heartbeat) // at the latest
	for i := 0; time.Since(removed) < leavingBound+time.Second; i++ {
		got := call(t, t.Context(), entry.Callers, request{
			method: "GET", path: "/open/x", id: fmt.Sprint("open", i), deadlineMs: 1000, key: "-",
		})
		if got.status != http.StatusOK {
			t.Errorf("request %d: status %d, want 200 from the other runner", i, got.status)
		}
		time.Sleep(20 * time.Millisecond)
	}
	record, err := d.Record(t.Context(), leaving.Address)
	if err != nil {
		t.Fatal(err)
	}
	last := record.Runs[len(record.Runs)-1].At
	if after := last.Sub(removed); after > leavingBound {
		t.Errorf("a request reached the runner %v after the removal of its entry, want none later than %v", after, leavingBound)
	}
}
