package runner

import (
	"fmt"
	"io"
	"net/http"
	"strings"
)

// endlessHead is the number of bytes of a head without end after which the runner gives up.
const endlessHead = 4 << 20

// garble spoils the answer to a request that has run, in one of these ways by the number: an earlier refusal comes once more in
// its place; the connection closes in the middle of the head; another answer follows the whole one; the head has no end.
func (r *Runner) garble(w http.ResponseWriter, id string, number int) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic("runner: take over connection: " + err.Error())
	}
	defer func() { _ = conn.Close() }()
	head := "HTTP/1.1 200 OK\r\nX-Mangopass-Request-Id: " + id + "\r\nX-Mangopass-Response-Seal: seal." + r.ID + "." + id + "\r\n"
	write := func(text string) bool {
		_, err := io.WriteString(conn, text)
		return err == nil
	}
	switch number % 4 {
	case 0:
		write("HTTP/1.1 503 Service Unavailable\r\nX-Mangopass-Request-Id: earlier-" + id +
			"\r\nX-Mangopass-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	case 1:
		write(head[:len(head)-len(id)/2])
	case 2:
		body := fmt.Sprintf("%s answers %s\n", r.ID, id)
		if r.Engine {
			head += "Content-Type: text/event-stream\r\n"
			body = eventsAfter(0, r.Events)
		}
		whole := head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
		write(whole + strings.ReplaceAll(whole, id, "earlier-"+id))
	case 3:
		line := "X-Fill: " + strings.Repeat("x", 1<<10) + "\r\n"
		for n := 0; n < endlessHead && write(line); n += len(line) {
			continue
		}
	}
}

// eventsAfter returns the events of a stream after one of them, up to the last.
func eventsAfter(first, last int) string {
	var events strings.Builder
	for i := first + 1; i <= last; i++ {
		fmt.Fprintf(&events, "id: %d\ndata: token %d\n\n", i, i)
	}
	return events.String()
}
