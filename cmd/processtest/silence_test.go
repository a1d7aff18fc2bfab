package processtest

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/mangopass/mangopass/standin/deploy"
	"github.com/mangopass/mangopass/standin/runner"
)

// TestSilenceOfSoundRunnerBreaksNoAnswer guards against streams that are cut off because their runner was silent for up to two
// seconds and then went on: they were given up for another runner, which then refused them, failed or crashed.
func TestSilenceOfSoundRunnerBreaksNoAnswer(t *testing.T) {
	for name, other := range map[string]runner.Faults{
		"other runner refuses":       {Shed: 1000},
		"other runner fails resumes": {FailResume: true, Reset: 1000},
		"other runner crashes":       {Reset: 1000},
	} {
		t.Run(name, func(t *testing.T) {
			distant := engineSpec("engine-1", "tulip")
			distant.Zone = "dc-b" // so that requests go to the other engine first
			d := startWith(t, 1, engineSpec("engine-0", "tulip"), distant)
			if err := d.SetFaults(t.Context(), d.Runners[1].Address, other); err != nil {
				t.Fatal(err)
			}
			s := &streams{t: t, d: d}
			for _, after := range []int{4, 0} { // in mid-stream, before the first event
				for _, silence := range []int{800, 1300, 1600, 2000} {
					s.fault(runner.Faults{SilenceMs: silence, SilentStreams: 1, SilentAfter: after})
					s.send(fmt.Sprintf("one-%d-%d", after, silence))
					time.Sleep(40 * time.Millisecond) // until it runs, with this fault
				}
			}
			s.wait()
			time.Sleep(2 * time.Second) // until the runner is no longer passed over
			for i := range 5 {
				s.send(fmt.Sprintf("all-%d", i))
			}
			time.Sleep(60 * time.Millisecond) // until they have begun
			s.fault(runner.Faults{SilenceMs: 2000})
			s.send("all-begins")
			s.wait()
		})
	}
}

// TestStreamOfHungRunnerGoesOn guards against streams that are left at a runner which hangs, although another one can go on with
// them before their callers abandon them.
func TestStreamOfHungRunnerGoesOn(t *testing.T) {
	distant := engineSpec("engine-1", "tulip")
	distant.Zone = "dc-b"
	d := startWith(t, 1, engineSpec("engine-0", "tulip"), distant)
	s := &streams{t: t, d: d}
	begun := time.Now()
	for _, after := range []int{4, 0} {
		s.fault(runner.Faults{SilenceMs: 20_000, SilentStreams: 1, SilentAfter: after})
		s.send(fmt.Sprintf("hung-%d", after))
		time.Sleep(40 * time.Millisecond) // until it runs, with this fault
	}
	s.wait()
	if took := time.Since(begun); took > 3200*time.Millisecond {
		t.Errorf("the streams took %v, callers abandon them after 3.2 s without an event", took)
	}
	for _, id := range []string{"hung-4", "hung-0"} {
		if runs := runsOf(t, d, id); len(runs) != 2 {
			t.Errorf("%s: %d runs, want one that hung and one that went on", id, len(runs))
		}
	}
}

// streams are the streams of callers that are in progress.
type streams struct {
	t   *testing.T
	d   *deploy.Deployment
	all sync.WaitGroup
}

// fault sets the faults of the first runner.
func (s *streams) fault(f runner.Faults) {
	s.t.Helper()
	if err := s.d.SetFaults(s.t.Context(), s.d.Runners[0].Address, f); err != nil {
		s.t.Fatal(err)
	}
}

// send starts a stream, which must be answered by a whole one.
func (s *streams) send(id string) {
	s.all.Add(1)
	go func() {
		defer s.all.Done()
		got := call(s.t, s.t.Context(), s.d.Entries[0].Callers, request{
			method: "POST", path: "/chat/x", model: "tulip", id: id, body: id, deadlineMs: 6000,
		})
		if got.status != http.StatusOK || got.err != nil {
			s.t.Errorf("%s: status %d, error %v, body %q", id, got.status, got.err, got.body)
			return
		}
		wantEvents(s.t, got.body, 12)
	}()
}

// wait returns when all streams have ended.
func (s *streams) wait() { s.all.Wait() }
