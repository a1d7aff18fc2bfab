package processtest

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/mangopass/mangopass/standin/deploy"
	"github.com/mangopass/mangopass/standin/runner"
)

// crashText in the body of a request crashes the runners of a test.
const crashText = "lot 7"

// TestRequestThatCrashesRunnersIsRefused guards runners, and all that they run, against one request that crashes each of them and
// is sent again and again, to all entry VMs in turn: of plain services too, and streams that crash their engine after some events.
// Once it has crashed three runners it must be refused at once, also by VMs that start later, and sound requests be served.
func TestRequestThatCrashesRunnersIsRefused(t *testing.T) {
	begin := limitParallel(2)
	for name, c := range map[string]struct {
		path, model string
		after       int // events before the crash
	}{
		"safe request of a plain service":   {path: "/stock/1"},
		"unsafe request of a plain service": {path: "/confirm/1"},
		"stream, before its first event":    {path: "/chat/1", model: "tulip"},
		"stream, after its first event":     {path: "/chat/1", model: "tulip", after: 1},
		"stream, after five of twelve":      {path: "/chat/1", model: "tulip", after: 5},
		"stream that can't be resumed":      {path: "/draft/1", model: "tulip", after: 1},
	} {
		t.Run(name, func(t *testing.T) {
			begin(t)
			d := startCrashing(t, c.after)
			send := func(i int, body string) response {
				return call(t, t.Context(), d.Entries[i%2].Callers, request{
					method: "POST", path: c.path, model: c.model, id: fmt.Sprint("again", i), body: body, deadlineMs: 3000,
				})
			}
			for i := range 6 {
				send(i, crashText)
				time.Sleep(1200 * time.Millisecond) // until the entry VMs know the new starts
			}
			// The runners start again at once. Two crashes of one within a second count as one, since the VMs don't know yet that
			// it has started again.
			crashes := crashesOf(t, d)
			if crashes < 3 || crashes > 4 {
				t.Errorf("the request has crashed %d runners, want 3 or 4", crashes)
			}
			restartEntries(t, d)
			for i := range 4 {
				begin := time.Now()
				got := send(10+i, crashText)
				if took := time.Since(begin); got.status != http.StatusServiceUnavailable || took > time.Second {
					t.Errorf("the blocked request gets status %d after %v, want 503 at once", got.status, took)
				}
				if got := send(20+i, fmt.Sprint("sound", i)); got.status != http.StatusOK || got.err != nil {
					t.Errorf("sound request: got %+v", got)
				}
			}
			if n := crashesOf(t, d) - crashes; n != 0 {
				t.Errorf("the request has crashed %d more runners after the restart, want none", n)
			}
		})
	}
}

// startCrashing starts two entry VMs, two engines and two instances of the plain service, all of which crashText crashes.
func startCrashing(t *testing.T, after int) *deploy.Deployment {
	t.Helper()
	d := start(t)
	for _, r := range d.Runners {
		if err := d.SetFaults(t.Context(), r.Address, runner.Faults{CrashBody: crashText, CrashAfter: after}); err != nil {
			t.Fatal(err)
		}
	}
	return d
}

// restartEntries kills all entry VMs, so that only the store still knows what they have learned, and starts them again.
func restartEntries(t *testing.T, d *deploy.Deployment) {
	t.Helper()
	time.Sleep(time.Second) // the store has it
	for _, e := range d.Entries {
		e.Signal(syscall.SIGKILL)
	}
	for _, e := range d.Entries {
		if _, err := e.Wait(5 * time.Second); err != nil {
			t.Fatal(err)
		}
		if err := d.Restart(e); err != nil {
			t.Fatal(err)
		}
	}
	if err := d.AwaitReady(); err != nil {
		t.Fatal(err)
	}
}
