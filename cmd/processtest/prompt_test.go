package processtest

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/mangopass/mangopass/standin/deploy"
	"github.com/mangopass/mangopass/standin/runner"
)

// crashPart is the ID of the prompt part that crashes the engines of a test.
const crashPart = "dead"

// TestPromptPartThatCrashesEnginesIsRefused guards the engines against requests that have nothing in common but one part
// of their prompts, which crashes each engine that begins to answer them. Once five engines have gone down, hardly any of
// these requests may reach an engine, whichever entry VM they come to, and requests with the same other parts are served.
func TestPromptPartThatCrashesEnginesIsRefused(t *testing.T) {
	d := start(t)
	sent := crashEngines(t, d)
	if runs := sendTainted(t, d, sent); runs > 3 {
		t.Errorf("%d requests with the part reached engines after five crashes, want at most 3", runs)
	}
	for i := range 8 {
		got := call(t, t.Context(), d.Entries[i%2].Callers, request{
			method: "POST", path: fmt.Sprint("/chat/", i), model: "tulip", id: fmt.Sprint("sound", i), deadlineMs: 3000,
			header: map[string]string{"X-Mangopass-Prompt-Prefix": fmt.Sprintf("a1:8,c%x:8,d%x:24", i, i)},
		})
		if got.status != http.StatusOK {
			t.Errorf("request without the part: got %+v", got)
		}
	}
}

// TestBlockedPartOutlivesEntryVMs guards the engines against a prompt part that crashed them before all entry VMs were
// killed and started again.
func TestBlockedPartOutlivesEntryVMs(t *testing.T) {
	d := start(t)
	sent := crashEngines(t, d)
	restartEntries(t, d)
	if runs := sendTainted(t, d, sent); runs > 0 {
		t.Errorf("%d requests with the part reached engines after the restart, want none", runs)
	}
}

// crashEngines sends different requests with crashPart until engines have crashed five times, and returns their number.
func crashEngines(t *testing.T, d *deploy.Deployment) int {
	t.Helper()
	for _, r := range d.Runners[:2] {
		if err := d.SetFaults(t.Context(), r.Address, runner.Faults{CrashPart: crashPart}); err != nil {
			t.Fatal(err)
		}
	}
	sent := 0
	for ; crashesOf(t, d) < 5 && sent < 10; sent++ {
		callTainted(t, d, sent)
		time.Sleep(1200 * time.Millisecond) // until all entry VMs know the engine's new start
	}
	return sent
}

// sendTainted sends eight more requests with crashPart, which must be refused, and returns how often they ran.
func sendTainted(t *testing.T, d *deploy.Deployment, from int) int {
	t.Helper()
	before := taintedRuns(t, d)
	for i := range 8 {
		if got := callTainted(t, d, from+i); got.status != http.StatusServiceUnavailable {
			t.Errorf("request with the part: status %d, want 503", got.status)
		}
	}
	return taintedRuns(t, d) - before
}

// callTainted sends a request with crashPart that is unlike all others, to the entry VMs in turn.
func callTainted(t *testing.T, d *deploy.Deployment, i int) response {
	t.Helper()
	return call(t, t.Context(), d.Entries[i%2].Callers, request{
		method: "POST", path: fmt.Sprint("/chat/", i), model: "tulip", id: fmt.Sprint("tainted", i),
		body: fmt.Sprint("question ", i), deadlineMs: 3000,
		header: map[string]string{"X-Mangopass-Prompt-Prefix": fmt.Sprintf("a1:8,%s:8,b%x:24", crashPart, i)},
	})
}

// crashesOf returns the number of crashes of all runners.
func crashesOf(t *testing.T, d *deploy.Deployment) int {
	t.Helper()
	n := 0
	for _, r := range d.Runners {
		record, err := d.Record(t.Context(), r.Address)
		if err != nil {
			t.Fatal(err)
		}
		n += len(record.CrashedAt)
	}
	return n
}

// taintedRuns returns the number of runs of requests with crashPart at all runners.
func taintedRuns(t *testing.T, d *deploy.Deployment) int {
	t.Helper()
	n := 0
	for _, r := range d.Runners {
		record, err := d.Record(t.Context(), r.Address)
		if err != nil {
			t.Fatal(err)
		}
		for _, run := range record.Runs {
			if strings.Contains(run.Prompt, crashPart+":") {
				n++
			}
		}
	}
	return n
}
