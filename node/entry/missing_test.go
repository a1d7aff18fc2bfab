package entry

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/mangopass/mangopass/fleet/machine"
)

// TestEndOfProcessIsNoSuccess guards against an empty answer with status 200, which a caller takes for a success: the routing
// duty had ended when an attempt failed, so that nobody decided how the call went on.
func TestEndOfProcessIsNoSuccess(t *testing.T) {
	for name, c := range map[string]struct {
		route    string
		answer   func(id string) string
		status   int // zero: the connection ends
		complete bool
	}{
		"the runner broke off": {"stock", func(string) string { return "" }, http.StatusBadGateway, true},
		"the runner did not run it": {"stock", func(id string) string {
			return headOf(id, "503 Busy") + "X-Mangopass-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
		}, http.StatusServiceUnavailable, true},
		"the stream broke off": {"chat", func(id string) string {
			return headOf(id, "200 OK") + streamHead + firstEvent + "id: 2\nda"
		}, http.StatusOK, false},
	} {
		for frontEnd, handler := range frontEnds {
			t.Run(name+", "+frontEnd, func(t *testing.T) {
				d := newDeployment(t, handler)
				for _, service := range []string{"s", "e"} {
					d.addRunner(t, machine.RunnerID(service+"1"), service, func(_ int, id string, conn net.Conn) {
						d.intake.Close()
						_, _ = io.WriteString(conn, c.answer(id))
						_ = conn.Close()
					})
				}
				d.route(t)
				got := d.ask(t, d.request(frontEnd, c.route))
				if got.status != c.status || got.complete != c.complete {
					t.Errorf("the caller got %v, want status %d, complete %v", got, c.status, c.complete)
				}
				if !c.complete && !d.cuts.has(cutProcessEnds) {
					t.Errorf("log lines %v, want one with %s", d.cuts.lines, cutProcessEnds)
				}
			})
		}
	}
}

// TestHalfClosedConnectionGetsNoSuccess guards against an empty answer with status 200 to a caller that has closed its side of
// the connection, which net/http reports like its end: while the request waits for a replica, and while it is at a runner.
func TestHalfClosedConnectionGetsNoSuccess(t *testing.T) {
	for _, atRunner := range []bool{false, true} {
		for frontEnd, handler := range frontEnds {
			d := newDeployment(t, handler)
			arrived, done := make(chan struct{}), make(chan struct{})
			if atRunner {
				d.addRunner(t, "e1", "e", func(int, string, net.Conn) {
					close(arrived)
					<-done
				})
			}
			d.route(t)
			caller := d.dial(t, d.request(frontEnd, "chat"))
			if atRunner {
				<-arrived
			} else {
				time.Sleep(100 * time.Millisecond)
			}
			if err := caller.(*net.TCPConn).CloseWrite(); err != nil {
				t.Fatal(err)
			}
			if got := readAnswer(caller); got.status != 0 {
				t.Errorf("%s, at a runner %v: the caller got %v, want the end of its connection", frontEnd, atRunner, got)
			}
			if !d.cuts.has(cutCallerGone) {
				t.Errorf("%s, at a runner %v: log lines %v, want one with %s", frontEnd, atRunner, d.cuts.lines, cutCallerGone)
			}
			close(done)
		}
	}
}

// TestOddStatusOfRunnerIsAnswered guards against a runner whose status net/http does not write, so that the handler panicked:
// the caller got no answer, no line said so, and the attempt counted as running for good.
func TestOddStatusOfRunnerIsAnswered(t *testing.T) {
	for _, status := range []string{"099 Odd", "000 Odd", "999 Odd", "600 Odd", "204 Nothing", "101 Switching Protocols"} {
		for frontEnd, handler := range frontEnds {
			d := newDeployment(t, handler)
			for _, id := range []string{"r1", "r2"} {
				d.addRunner(t, machine.RunnerID(id), "s", func(_ int, id string, conn net.Conn) {
					_, _ = io.WriteString(conn, headOf(id, status)+"Content-Length: 0\r\n\r\n")
					_ = conn.Close()
				})
			}
			stop := d.route(t)
			if got := d.ask(t, d.request(frontEnd, "confirm")); got.status == 0 || !got.complete {
				t.Errorf("%s, status %s: the caller got %v, want an answer", frontEnd, status, got)
			}
			time.Sleep(100 * time.Millisecond)
			stop()
			if len(d.inFlight) != 0 || len(d.table.Below()) != 0 {
				t.Errorf("%s, status %s: %d calls in flight, loads %+v after the end", frontEnd, status, len(d.inFlight), d.table.Below())
			}
		}
	}
}

// TestPanicOfHandlerIsRecorded guards against a panic of a request's handler that nobody sees: net/http recovers it, and the
// server's error log is discarded.
func TestPanicOfHandlerIsRecorded(t *testing.T) {
	for frontEnd, handler := range frontEnds {
		d := newDeployment(t, handler)
		d.addRunner(t, "r1", "s", nil)
		d.handler.runners = nil
		d.route(t)
		if got := d.ask(t, d.request(frontEnd, "stock")); got.status != 0 {
			t.Errorf("%s: the caller got %v, want the end of its connection", frontEnd, got)
		}
		if !d.cuts.has(cutPanic) {
			t.Errorf("%s: log lines %v, want one with %s", frontEnd, d.cuts.lines, cutPanic)
		}
	}
}
