package entry

import (
	"io"
	"net"
	"testing"
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
