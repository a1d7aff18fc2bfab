package runner

import (
	"fmt"
	"io"
	"net/http"
	"strings"
)

// Ways in which an answer is spoiled.
const (
	earlierRefusal = iota // in place of the answer
	cutOffHead
	secondAnswer // after the whole one, to another request
	headWithoutEnd
	invalidStatus
	blankInName // the encoding of the body does not count then
	garbleWays  // number of them
)

// endlessHead is the number of bytes of a head without end after which the runner gives up.
const endlessHead = 4 << 20

// garble spoils the answer to a request that has run, in the way that the number gives, and closes the connection.
func (r *Runner) garble(w http.ResponseWriter, id, version string, number int) {
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
	switch number % garbleWays {
	case earlierRefusal:
		write("HTTP/1.1 503 Service Unavailable\r\nX-Mangopass-Request-Id: earlier-" + id +
			"\r\nX-Mangopass-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	case cutOffHead:
		write(head[:len(head)-len(id)/2])
	case secondAnswer:
		body := fmt.Sprintf("%s answers %s\n", r.ID, id)
		if r.Engine {
			head += "Content-Type: text/event-stream\r\n"
			body = r.eventsTo(version, r.Events)
		}
		whole := head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
		write(whole + strings.ReplaceAll(whole, id, "earlier-"+id))
	case headWithoutEnd:
		line := "X-Fill: " + strings.Repeat("x", 1<<10) + "\r\n"
		for n := 0; n < endlessHead && write(line); n += len(line) {
			continue
		}
	case invalidStatus:
		write(strings.Replace(head, "200 OK", "000", 1) + "X-Mangopass-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	case blankInName:
		write(head + "Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n")
	}
}

// eventsTo returns the events of a stream up to the last.
func (r *Runner) eventsTo(version string, last int) string {
	var events strings.Builder
	for i := 1; i <= last; i++ {
		events.WriteString(r.event(version, i))
	}
	return events.String()
}

// event returns an event of a stream, written by a process with the given software version.
func (r *Runner) event(version string, number int) string {
	text := fmt.Sprintf("token %d", number)
	if r.StatesVersion {
		text += " of " + version
	}
	return fmt.Sprintf("id: %d\ndata: %s\n\n", number, text)
}
