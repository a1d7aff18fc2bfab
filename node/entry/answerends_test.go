package entry

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/mangopass/mangopass/fleet/machine"
)

// TestEndsOfRunnersAnswers guards callers against a part of an answer that looks like a whole one, and against whole answers that
// are dropped: runners end their answers by a length, by chunks, or by the end of the connection, and break off near the end.
func TestEndsOfRunnersAnswers(t *testing.T) {
	large := strings.Repeat("0123456789abcdef", 1<<12)
	const chunked, lastChunk = "Transfer-Encoding: chunked\r\n\r\n10000\r\n", "\r\n0\r\n\r\n"
	const second = "id: 2\ndata: y\n\n"
	for name, c := range map[string]struct {
		route, answer string // of the first runner, which ends its connection after it
		resets, whole bool
		status        int // if it is not whole, and no other attempt is made
	}{
		"end of the connection":            {route: "stock", answer: "\r\n" + large, whole: true},
		"end of the connection, unsafe":    {route: "confirm", answer: "\r\n" + large, whole: true},
		"reset, neither length nor chunks": {route: "stock", answer: "\r\n" + large, resets: true},
		"reset, unsafe":                    {route: "confirm", answer: "\r\n" + large, resets: true, status: http.StatusBadGateway},
		"length":                           {route: "confirm", answer: "Content-Length: 65536\r\n\r\n" + large, whole: true},
		"reset after the length":           {route: "confirm", answer: "Content-Length: 65536\r\n\r\n" + large, resets: true, whole: true},
		"one byte short":                   {route: "stock", answer: "Content-Length: 65537\r\n\r\n" + large},
		"chunks":                           {route: "stock", answer: chunked + large + lastChunk, whole: true},
		"reset after the last chunk":       {route: "confirm", answer: chunked + large + lastChunk, resets: true, whole: true},
		"no last chunk":                    {route: "stock", answer: chunked + large + "\r\n"},
		"reset in the last chunk":          {route: "confirm", answer: chunked + large + "\r\n0\r", resets: true, status: http.StatusBadGateway},
		"stream, end of the connection":    {route: "chat", answer: streamHead + firstEvent + second, whole: true},
		"stream, reset after an event":     {route: "chat", answer: streamHead + firstEvent, resets: true},
		"stream, end in an event":          {route: "chat", answer: streamHead + firstEvent + second[:9]},
		"stream, reset in its first event": {route: "chat", answer: streamHead + firstEvent[:8], resets: true},
		"stream, nothing but its head":     {route: "chat", answer: streamHead},
		"stream of chunks, no last chunk":  {route: "chat", answer: "Transfer-Encoding: chunked\r\n" + streamHead + "f\r\n" + firstEvent + "\r\n"},
		"stream of chunks, reset at its end": {route: "chat", answer: "Transfer-Encoding: chunked\r\n" + streamHead +
			"f\r\n" + firstEvent + "\r\nf\r\n" + second + lastChunk, resets: true, whole: true},
	} {
		for frontEnd, handler := range frontEnds {
			t.Run(name+", "+frontEnd, func(t *testing.T) {
				d := newDeployment(t, handler)
				var attempts atomic.Int64
				answer := func(_ int, id string, conn net.Conn) {
					if attempts.Add(1) == 1 {
						_, _ = io.WriteString(conn, headOf(id, "200 OK")+c.answer)
						if c.resets {
							reset(conn)
						}
						_ = conn.Close()
						return
					}
					end := streamHead + firstEvent + second
					if c.route != "chat" {
						end = "Content-Length: 65536\r\n\r\n" + large
					} else if strings.Contains(c.answer, firstEvent) {
						end = streamHead + second // goes on after the first event
					}
					_, _ = io.WriteString(conn, headOf(id, "200 OK")+end)
					_ = conn.Close()
				}
				for _, id := range []string{"1", "2"} {
					d.addRunner(t, machine.RunnerID("s"+id), "s", answer)
					d.addRunner(t, machine.RunnerID("e"+id), "e", answer)
				}
				d.route(t)
				got := d.ask(t, d.request(frontEnd, c.route))
				want := large
				if c.route == "chat" {
					want = firstEvent + second
				}
				wantAttempts := int64(2)
				if c.whole || c.status != 0 {
					wantAttempts = 1
				}
				switch {
				case c.status != 0 && got.status != c.status, !got.complete, c.status == 0 && got.body != want:
					t.Errorf("the caller got status %d, complete %v, %d bytes; want %d bytes or status %d", got.status, got.complete,
						len(got.body), len(want), c.status)
				case attempts.Load() != wantAttempts:
					t.Errorf("%d attempts, want %d", attempts.Load(), wantAttempts)
				}
			})
		}
	}
}
