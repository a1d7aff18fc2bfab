package entry

import (
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/mangopass/mangopass/fleet/machine"
)

// streamOf returns a runner that answers each request, of which it pushes the ID, with a stream of equal events.
func streamOf(events, size int, requests chan<- string) scriptedRunner {
	return func(_ int, id string, conn net.Conn) {
		requests <- id
		_, _ = io.WriteString(conn, headOf(id, "200 OK")+streamHead)
		event := "id: 1\ndata: " + strings.Repeat("x", size) + "\n\n"
		for range events {
			if _, err := io.WriteString(conn, event); err != nil {
				return
			}
		}
		_ = conn.Close()
	}
}

// TestResetOfCallerIsNoFaultOfTheRunner guards against a runner that is blamed, and a second attempt that is made, because the
// caller has reset its connection and writing to it fails.
func TestResetOfCallerIsNoFaultOfTheRunner(t *testing.T) {
	for range 20 {
		d := newDeployment(t, frontEnds["platform"])
		requests := make(chan string, 4)
		for _, id := range []string{"e1", "e2"} {
			d.addRunner(t, machine.RunnerID(id), "e", streamOf(4000, 1<<12, requests))
		}
		stop := d.route(t)
		caller := d.dial(t, d.request("platform", "chat"))
		if _, err := io.ReadFull(caller, make([]byte, 1<<10)); err != nil {
			t.Fatal(err)
		}
		reset(caller)
		if !d.cuts.has(cutCallerGone) {
			t.Errorf("log lines %v, want one with %s", d.cuts.lines, cutCallerGone)
		}
		stop()
		if len(requests) != 1 {
			t.Errorf("%d attempts, want one", len(requests))
		}
	}
}

// TestSlowCallerIsNoSilenceOfTheRunner guards against a stream that is taken from its runner, because the caller has not read for
// a while and so nothing could be passed on.
func TestSlowCallerIsNoSilenceOfTheRunner(t *testing.T) {
	d := newDeployment(t, frontEnds["platform"])
	requests := make(chan string, 4)
	for _, id := range []string{"e1", "e2"} {
		d.addRunner(t, machine.RunnerID(id), "e", streamOf(400, 1<<16, requests))
	}
	stop := d.route(t)
	caller := d.dial(t, d.request("platform", "chat"))
	time.Sleep(streamSilenceTimeout + time.Second)
	got := readAnswer(caller)
	stop()
	if !got.complete || strings.Count(got.body, "data:") != 400 || len(requests) != 1 {
		t.Errorf("the caller got %d events, complete %v, with %d attempts; want 400 events of one attempt",
			strings.Count(got.body, "data:"), got.complete, len(requests))
	}
}

// brokenWriter is a caller's connection to which nothing can be written from the given write on.
type brokenWriter struct {
	http.ResponseWriter
	writes, working int
}

// Unwrap returns the connection, which http.ResponseController flushes.
func (w *brokenWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write implements io.Writer.
func (w *brokenWriter) Write(p []byte) (int, error) {
	if w.writes++; w.writes > w.working {
		return 0, syscall.EPIPE
	}
	return w.ResponseWriter.Write(p)
}

// TestFailedWriteIsNoFaultOfTheRunner guards against a runner that is blamed for an answer which could not be written to the
// caller. It is the same with connections whose server does not end the request's context, unlike that of net/http.
func TestFailedWriteIsNoFaultOfTheRunner(t *testing.T) {
	for _, working := range []int{0, 2} {
		d := newDeployment(t, func(h *callHandler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				h.ServeHTTP(&brokenWriter{ResponseWriter: w, working: working}, r)
			})
		})
		requests := make(chan string, 4)
		for _, id := range []string{"e1", "e2"} {
			d.addRunner(t, machine.RunnerID(id), "e", streamOf(4, 1, requests))
		}
		stop := d.route(t)
		if got := d.ask(t, d.request("platform", "chat")); got.complete {
			t.Errorf("%d working writes: the caller got %v", working, got)
		}
		if !d.cuts.has(cutCallerGone) {
			t.Errorf("%d working writes: log lines %v, want one with %s", working, d.cuts.lines, cutCallerGone)
		}
		stop()
		if len(requests) != 1 {
			t.Errorf("%d working writes: %d attempts, want one", working, len(requests))
		}
	}
}

// TestUnwrittenAnswerIsRecorded guards against a whole answer that counts as served and that its caller did not get.
func TestUnwrittenAnswerIsRecorded(t *testing.T) {
	d := newDeployment(t, func(h *callHandler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			h.ServeHTTP(&brokenWriter{ResponseWriter: w}, r)
		})
	})
	d.addRunner(t, "r1", "s", func(_ int, id string, conn net.Conn) {
		_, _ = io.WriteString(conn, headOf(id, "200 OK")+"Content-Length: 2\r\n\r\nok")
		_ = conn.Close()
	})
	d.route(t)
	if got := d.ask(t, d.request("platform", "stock")); got.complete {
		t.Errorf("the caller got %v", got)
	}
	if !d.cuts.has(cutCallerGone) {
		t.Errorf("log lines %v, want one with %s", d.cuts.lines, cutCallerGone)
	}
}
