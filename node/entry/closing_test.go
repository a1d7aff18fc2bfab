package entry

import (
	"bufio"
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// TestConnectionClosesAfterAnswerInPlannedStop guards against a caller that sends its next request on a connection which the
// planned stop is about to close: the answers of runners, unlike refusals, lost the header that says so.
func TestConnectionClosesAfterAnswerInPlannedStop(t *testing.T) {
	for _, route := range []string{"stock", "chat"} {
		for frontEnd, handler := range frontEnds {
			d := newDeployment(t, handler)
			d.addRunner(t, "r1", "s", func(_ int, id string, conn net.Conn) {
				d.handler.draining.Store(d.drains)
				_, _ = io.WriteString(conn, headOf(id, "200 OK")+"Connection: close\r\nContent-Length: 2\r\n\r\nok")
				_ = conn.Close()
			})
			d.addRunner(t, "e1", "e", func(_ int, id string, conn net.Conn) {
				d.handler.draining.Store(d.drains)
				_, _ = io.WriteString(conn, headOf(id, "200 OK")+streamHead+firstEvent)
				_ = conn.Close()
			})
			d.route(t)
			for _, draining := range []bool{false, true} { // since the request is at its runner
				d.drains = draining
				got := d.ask(t, d.request(frontEnd, route))
				if !got.complete || got.closes != draining {
					t.Errorf("%s, %s, planned stop %v: the caller got %v, which closes its connection: %v", frontEnd, route,
						draining, got, got.closes)
				}
			}
		}
	}
}

// TestConnectionLimitsSpareRequests guards requests against the limits of the callers' connections: answers take longer than a
// header may, or an unused connection lasts, and the next request comes on the same connection.
func TestConnectionLimitsSpareRequests(t *testing.T) {
	const limit = 400 * time.Millisecond
	for frontEnd, handler := range frontEnds {
		d := newDeployment(t, handler)
		slow := httptest.NewUnstartedServer(d.front.Config.Handler)
		slow.Config.ReadHeaderTimeout, slow.Config.IdleTimeout = limit, limit
		slow.Start()
		d.front.Close()
		d.front = slow
		d.addRunner(t, "e1", "e", func(_ int, id string, conn net.Conn) {
			_, _ = io.WriteString(conn, headOf(id, "200 OK")+streamHead)
			for range 3 {
				time.Sleep(limit / 2)
				_, _ = io.WriteString(conn, firstEvent)
			}
			_ = conn.Close()
		})
		d.route(t)
		request := d.request(frontEnd, "chat")
		caller := d.dial(t, request)
		answers := bufio.NewReader(caller)
		for n := range 2 {
			if n > 0 {
				time.Sleep(limit / 2)
				if _, err := io.WriteString(caller, request); err != nil {
					t.Fatalf("%s, request %d: %v", frontEnd, n, err)
				}
			}
			if got := readAnswer(answers); got.body != strings.Repeat(firstEvent, 3) || !got.complete {
				t.Errorf("%s, request %d: the caller got %v, want three events", frontEnd, n, got)
			}
		}
	}
}
