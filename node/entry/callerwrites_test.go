package entry

import (
	"io"
	"net"
	"strings"
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
