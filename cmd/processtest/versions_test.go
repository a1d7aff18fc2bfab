package processtest

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/mangopass/mangopass/standin/deploy"
	"github.com/mangopass/mangopass/standin/runner"
	"github.com/mangopass/mangopass/standin/store"
)

// startVersions starts entry VMs and engines with the model tulip, one for each of the given software versions.
func startVersions(t *testing.T, entries int, versions ...string) *deploy.Deployment {
	t.Helper()
	engines := make([]runner.Spec, len(versions))
	for i, version := range versions {
		engines[i] = engineSpec(fmt.Sprint("engine-", i), "tulip")
		engines[i].Version, engines[i].Events, engines[i].TokenTime = version, 40, 20*time.Millisecond
	}
	d := startWith(t, entries, engines...)
	time.Sleep(versionSettling)
	return d
}

// versionSettling is the time after which runners of a new software version must serve new streams.
const versionSettling = 4 * time.Second

// interruptedStream is a stream that a caller has stopped reading before its end.
type interruptedStream struct {
	id        string
	lastEvent string
}

// beginStream sends a stream request and reads at least the given number of events, then it closes the connection, unless
// that breaks off before.
func beginStream(t *testing.T, e *deploy.Entry, id string, events int, interrupt func()) interruptedStream {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Callers+"/chat/x", strings.NewReader("hello"))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "coop.example"
	for name, value := range map[string]string{
		"X-Mangopass-Request-Id": id, "Api-Key": callerKey, "X-Mangopass-Model": "tulip",
		"X-Mangopass-Token-Count": "40,24", "X-Mangopass-Deadline": "8000",
	} {
		req.Header.Set(name, value)
	}
	resp, err := client.Do(req)
	if err != nil {
		t.Fatalf("%s: %v", id, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("%s: status %d", id, resp.StatusCode)
	}
	var text strings.Builder
	buffer := make([]byte, 256)
	for strings.Count(text.String(), "\n\n") < events {
		n, err := resp.Body.Read(buffer)
		text.Write(buffer[:n])
		if err != nil {
			t.Fatalf("%s: %v after %q", id, err, text.String())
		}
	}
	if interrupt != nil {
		interrupt()
		rest, _ := io.ReadAll(resp.Body) // fails, since the connection breaks off
		text.Write(rest)
	}
	whole := text.String()[:strings.LastIndex(text.String(), "\n\n")]
	last := whole[strings.LastIndex(whole, "id: ")+len("id: "):]
	return interruptedStream{id: id, lastEvent: strings.TrimSpace(last[:strings.Index(last, "\n")])}
}

// takeUp sends the request of an interrupted stream again, so that it goes on after its last event.
func (s interruptedStream) takeUp(t *testing.T, e *deploy.Entry, id string) response {
	t.Helper()
	return call(t, t.Context(), e.Callers, request{
		method: http.MethodPost, path: "/chat/x", model: "tulip", id: id, body: "hello", deadlineMs: 8000,
		header: map[string]string{"Last-Event-Id": s.lastEvent, "Resumes": s.id},
	})
}

// versionsOf returns the software versions that ran any of the requests.
func versionsOf(t *testing.T, d *deploy.Deployment, ids ...string) map[string]bool {
	t.Helper()
	out := make(map[string]bool)
	for _, id := range ids {
		for _, run := range runsOf(t, d, id) {
			out[run.Version] = true
		}
	}
	return out
}

// wantWhole checks that a take-up has sent the rest of the stream.
func (s interruptedStream) wantWhole(t *testing.T, got response, events int) bool {
	t.Helper()
	last, err := strconv.Atoi(s.lastEvent)
	if err != nil {
		t.Fatal(err)
	}
	return got.status == http.StatusOK && got.err == nil && strings.Count(got.body, "\n\n") == events-last
}

// wantNotRun checks that a take-up was refused at once, as one that has not run.
func wantNotRun(t *testing.T, d *deploy.Deployment, got response, id string) {
	t.Helper()
	if got.status != http.StatusServiceUnavailable || len(runsOf(t, d, id)) != 0 {
		t.Errorf("%s: got %+v with %d runs, want 503 without a run", id, got, len(runsOf(t, d, id)))
	}
}

// TestBrokenStreamGoesOnAtItsVersion guards against an answer that holds events of two software versions of a service: each
// runner breaks off the streams that it begins.
func TestBrokenStreamGoesOnAtItsVersion(t *testing.T) {
	d := startVersions(t, 1, "v1", "v2", "v1", "v2")
	whole, began := 0, make(map[string]bool)
	for i := range 16 {
		for _, r := range d.Runners {
			if err := d.SetFaults(t.Context(), r.Address, runner.Faults{BreakAfter: 3}); err != nil {
				t.Fatal(err)
			}
		}
		id := fmt.Sprint("join-", i)
		got := call(t, t.Context(), d.Entries[0].Callers, request{
			method: "POST", path: "/chat/x", model: "tulip", id: id, deadlineMs: 8000,
		})
		versions := versionsOf(t, d, id)
		if len(versions) > 1 {
			t.Errorf("%s: runs at %v", id, versions)
		}
		for v := range versions {
			began[v] = true
		}
		if got.err == nil && got.status == http.StatusOK {
			whole++
			wantEvents(t, got.body, 40)
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Logf("%d of 16 whole, begun at %v", whole, began)
}

// TestStreamIsTakenUpAtItsVersion guards against take-ups at another VM that go on at another software version than the one
// that began the stream, and against refusing them.
func TestStreamIsTakenUpAtItsVersion(t *testing.T) {
	d := startVersions(t, 2, "v1", "v2", "v1", "v2")
	began := make(map[string]bool)
	for i := range 16 {
		id := fmt.Sprint("begun-", i)
		s := beginStream(t, d.Entries[i%2], id, 3, nil)
		again := fmt.Sprint("again-", i)
		got := s.takeUp(t, d.Entries[(i/2)%2], again)
		versions := versionsOf(t, d, id, again)
		if len(versions) != 1 || !s.wantWhole(t, got, 40) {
			t.Errorf("%s: got %+v at %v", id, got, versions)
		}
		for v := range versions {
			began[v] = true
		}
	}
	if len(began) != 2 {
		t.Errorf("streams began at %v, want both versions", began)
	}
}

// TestStreamsGoOnAtTheirVersionAfterAllVMsEnd guards against joined streams when no VM is left that has seen which version
// began them.
func TestStreamsGoOnAtTheirVersionAfterAllVMsEnd(t *testing.T) {
	d := startVersions(t, 2, "v1", "v2", "v1", "v2")
	const streams = 12
	begun := make([]interruptedStream, streams)
	for i := range streams {
		begun[i] = beginStream(t, d.Entries[i%2], fmt.Sprint("begun-", i), 3, nil)
	}
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
	whole, began := 0, make(map[string]bool)
	for i, s := range begun {
		again := fmt.Sprint("again-", i)
		got := s.takeUp(t, d.Entries[i%2], again)
		versions := versionsOf(t, d, s.id, again)
		if len(versions) != 1 {
			t.Errorf("%s: got status %d, runs at %v", s.id, got.status, versions)
		}
		for v := range versionsOf(t, d, s.id) {
			began[v] = true
		}
		if s.wantWhole(t, got, 40) {
			whole++
		}
	}
	if whole < streams/2 || len(began) != 2 {
		t.Errorf("%d of %d streams went on, begun at %v; want half of them at least, of both versions", whole, streams, began)
	}
}

// TestStreamOfAVersionThatLeftIsRefused guards against take-ups that go on at the version that is left.
func TestStreamOfAVersionThatLeftIsRefused(t *testing.T) {
	d := startVersions(t, 2, "v1", "v2")
	var begun []interruptedStream
	for i := range 8 {
		begun = append(begun, beginStream(t, d.Entries[i%2], fmt.Sprint("begun-", i), 3, nil))
	}
	if err := d.SetFaults(t.Context(), d.Runners[0].Address, runner.Faults{Unlisted: true}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * time.Second) // until its entry is removed
	refused, atOnce := 0, 0
	for i, s := range begun {
		again, sent := fmt.Sprint("again-", i), time.Now()
		got := s.takeUp(t, d.Entries[(i/2)%2], again)
		took := time.Since(sent)
		if versionsOf(t, d, s.id)["v1"] {
			refused++
			if wantNotRun(t, d, got, again); took < 50*time.Millisecond {
				atOnce++
			}
		} else if !s.wantWhole(t, got, 40) {
			t.Errorf("%s: got %+v, want the rest of the stream from v2", s.id, got)
		}
	}
	if refused == 0 {
		t.Error("no stream began at v1")
	}
	if atOnce < (refused+1)/2 {
		t.Errorf("%d of %d take-ups were refused within 50 ms, want at least half: their callers have little time left", atOnce, refused)
	}
}

// TestReleasedRunnerDoesNotGoOnWithItsOldStreams guards against a runner that goes on with a stream under its ID after it has
// started again with another software version.
func TestReleasedRunnerDoesNotGoOnWithItsOldStreams(t *testing.T) {
	d := startVersions(t, 2, "v1")
	s := beginStream(t, d.Entries[0], "begun", 3, func() {
		if err := d.SetFaults(t.Context(), d.Runners[0].Address, runner.Faults{Release: "v2"}); err != nil {
			t.Fatal(err)
		}
	})
	for i := range 8 {
		again := fmt.Sprint("again-", i)
		got := s.takeUp(t, d.Entries[i%2], again)
		if versionsOf(t, d, again)["v2"] {
			t.Errorf("%s: got %+v from v2, begun by v1", again, got)
		}
		time.Sleep(400 * time.Millisecond)
	}
}

// TestTakeUpOfUnknownStream guards against harm by take-ups that name no stream of their caller.
func TestTakeUpOfUnknownStream(t *testing.T) {
	d := startVersions(t, 2, "v1", "v2")
	for i, resumes := range []string{"never-sent", "", strings.Repeat("x", 4000), "../op/config", "begun\r\n"} {
		got := call(t, t.Context(), d.Entries[i%2].Callers, request{
			method: http.MethodPost, path: "/chat/x", model: "tulip", id: fmt.Sprint("odd-", i), deadlineMs: 3000,
			header: map[string]string{"Last-Event-Id": "3", "Resumes": strings.TrimSpace(resumes)},
		})
		if got.status != http.StatusOK && got.status != http.StatusServiceUnavailable {
			t.Errorf("%q: got %+v", resumes, got)
		}
	}
}

// TestStreamOfARunnerThatWasReplacedUnseen guards against a VM that is cut from the store and takes a runner that has started
// again with another software version for the process of before: its streams would go on at the version of before.
func TestStreamOfARunnerThatWasReplacedUnseen(t *testing.T) {
	d := startVersions(t, 1, "v1", "v1")
	if err := d.SetFaults(t.Context(), d.Store, store.Faults{Silent: true}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2200 * time.Millisecond) // streams with a key begin for 3.75 s
	if err := d.SetFaults(t.Context(), d.Runners[0].Address, runner.Faults{Release: "v2"}); err != nil {
		t.Fatal(err)
	}
	var begun []interruptedStream
	for i := range 6 {
		begun = append(begun, beginStream(t, d.Entries[0], fmt.Sprint("begun-", i), 3, nil))
	}
	var calls sync.WaitGroup
	for i, s := range begun {
		again := fmt.Sprint("again-", i)
		calls.Go(func() {
			if got := s.takeUp(t, d.Entries[0], again); !s.wantWhole(t, got, 40) {
				t.Errorf("%s: got %+v, want the rest of the stream", again, got)
			}
		})
	}
	calls.Wait()
	for i, s := range begun {
		if versions := versionsOf(t, d, s.id, fmt.Sprint("again-", i)); len(versions) != 1 || !versions["v1"] {
			t.Errorf("%s: runs at %v, want v1 only", s.id, versions)
		}
	}
}

// TestVersionThatJoinsWhileAVMStandsStill guards against a VM that stood still while a version joined, and lets the streams of that
// version which other VMs have begun go on at the version that it knows.
func TestVersionThatJoinsWhileAVMStandsStill(t *testing.T) {
	d := startVersions(t, 2, "v1", "v1")
	d.Entries[0].Signal(syscall.SIGSTOP)
	if err := d.SetFaults(t.Context(), d.Runners[1].Address, runner.Faults{Release: "v2"}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * versionSettling) // the other VM writes the record after the planner has not for a while
	var begun []interruptedStream
	for i := range 12 {
		begun = append(begun, beginStream(t, d.Entries[1], fmt.Sprint("begun-", i), 3, nil))
	}
	d.Entries[0].Signal(syscall.SIGCONT)
	ofV2 := 0
	for i, s := range begun {
		again := fmt.Sprint("again-", i)
		got := s.takeUp(t, d.Entries[0], again)
		if versions := versionsOf(t, d, s.id, again); len(versions) != 1 {
			t.Errorf("%s: got status %d, runs at %v", s.id, got.status, versions)
		}
		if versionsOf(t, d, s.id)["v2"] {
			ofV2++
		}
	}
	if ofV2 == 0 {
		t.Error("no stream began at v2")
	}
}
