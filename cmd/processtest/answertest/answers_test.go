package answertest

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// brokenAnswers are what runners write to a request, in place of an answer to it.
var brokenAnswers = map[string]string{
	"status 000":               "HTTP/1.1 000 \r\n" + ownHeaders + "Content-Length: 2\r\n\r\nok",
	"status 000, not executed": "HTTP/1.1 000 \r\n" + ownHeaders + "X-Mangopass-Not-Executed: 1\r\nContent-Length: 2\r\n\r\nok",
	"status 999":               "HTTP/1.1 999 Odd\r\n" + ownHeaders + "Content-Length: 2\r\n\r\nok",
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
