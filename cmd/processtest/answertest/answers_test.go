package answertest

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// brokenAnswers are what runners write to a request, in place of an answer to it.
var brokenAnswers = map[string]string{
	"status 000":               "HTTP/1.1 000 \r\n" + ownHeaders + "Content-Length: 2\r\n\r\nok",
	"status 000, not executed": "HTTP/1.1 000 \r\n" + ownHeaders + "X-Mangopass-Not-Executed: 1\r\nContent-Length: 2\r\n\r\nok",
	"status 999":               "HTTP/1.1 999 Odd\r\n" + ownHeaders + "Content-Length: 2\r\n\r\nok",
	"status 200, not executed": okHead + "X-Mangopass-Not-Executed: 1\r\nContent-Length: 2\r\n\r\nok",
	"blank in a name":          okHead + "X Odd: 1\r\nContent-Length: 2\r\n\r\nok",
	"blank after a name":       okHead + "Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"blank after a length":     okHead + "Content-Length : 2\r\n\r\nok, and bytes that belong to no answer",
	"blank before a name":      okHead + " X-Odd: 1\r\nContent-Length: 2\r\n\r\nok",
	"control byte in a name":   okHead + "X-\x01Odd: 1\r\nContent-Length: 2\r\n\r\nok",
}

// TestBrokenAnswersReachNoCaller guards callers of both front ends against answers that are no HTTP. The runner has got the request,
// so the caller must not be told that it has not run either.
func TestBrokenAnswersReachNoCaller(t *testing.T) {
	d, e := start(t)
	startRunner(t, d, "desk-0", "desk", func(conn *net.TCPConn, r *http.Request) {
		name, _ := io.ReadAll(r.Body)
		_, _ = io.WriteString(conn, strings.ReplaceAll(brokenAnswers[string(name)], "ID", r.Header.Get("X-Mangopass-Request-Id")))
	})
	for name := range brokenAnswers {
		for _, api := range []bool{false, true} {
			got := e.post(t, "confirm", api, name)
			if got.status != http.StatusBadGateway || got.err != nil || got.header.Get("X-Mangopass-Response-Seal") != "" {
				t.Errorf("%s, API %v: the caller got %v, want status 502", name, api, got)
			}
		}
	}
}

// firstEvent is a stream that has no length, up to its first event.
const firstEvent = okHead + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n"

// resetAfter returns a runner that sends a part of an answer before it has read the request, and resets the connection.
func resetAfter(part string) func(conn *net.TCPConn, r *http.Request) {
	return func(conn *net.TCPConn, r *http.Request) {
		_, _ = io.WriteString(conn, strings.ReplaceAll(part, "ID", r.Header.Get("X-Mangopass-Request-Id")))
		time.Sleep(20 * time.Millisecond) // the VM reads the answer and writes the request meanwhile
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
}

// TestResetDuringUploadBreaksAnswerOff guards callers against a part of an answer that passes for a whole one: the runner answers
// without a length before it has read the request, and resets the connection while the request is still being written.
func TestResetDuringUploadBreaksAnswerOff(t *testing.T) {
	const uploads = 20
	upload := strings.Repeat("u", maxBodyBytes-1<<10)
	d, e := start(t)
	for service, part := range map[string]string{
		"desk": okHead + "\r\npart", "engines": firstEvent,
	} {
		startRunner(t, d, service+"-0", service, resetAfter(part))
	}
	for name, c := range map[string]struct {
		route string
		api   bool
		lines []string
	}{
		"body":      {route: "confirm"},
		"body, API": {route: "confirm", api: true},
		"stream":    {route: "draft", lines: []string{"X-Mangopass-Model: lily", "X-Mangopass-Token-Count: 40,24"}},
	} {
		whole := 0
		for i := range uploads {
			got := e.post(t, c.route, c.api, fmt.Sprint(i, upload), c.lines...)
			switch {
			case got.status == http.StatusOK && got.err == nil:
				whole++
			case got.status != http.StatusOK && got.status != http.StatusBadGateway:
				t.Errorf("%s: the caller got %v, want status 502 or an answer that is cut off", name, got)
			}
		}
		if whole > 0 {
			t.Errorf("%s: %d of %d answers that were reset reached the caller as whole ones", name, whole, uploads)
		}
	}
}

// TestResetDuringUploadOfChatBreaksAnswerOff guards callers of chats against a part of an answer that passes for a whole one.
func TestResetDuringUploadOfChatBreaksAnswerOff(t *testing.T) {
	const uploads = 10
	d, e := start(t)
	startRunner(t, d, "engines-0", "engines", resetAfter(firstEvent))
	// The chats grow since the VM refuses long ones until it has seen that the engine answers those soon enough.
	for size := 64 << 10; size <= maxBodyBytes/2; size *= 2 {
		whole := 0
		for i := range uploads {
			got := e.chat(t, fmt.Sprint(i, strings.Repeat("u", size)))
			switch {
			case got.status == http.StatusOK && got.err == nil:
				whole++
			case got.status != http.StatusOK && got.status != http.StatusBadGateway:
				t.Errorf("%d bytes: the caller got %v, want status 502 or an answer that is cut off", size, got)
			}
		}
		if whole > 0 {
			t.Errorf("%d bytes: %d of %d answers that were reset reached the caller as whole ones", size, whole, uploads)
		}
	}
}
