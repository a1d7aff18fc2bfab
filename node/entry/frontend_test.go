package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/machine"
	"github.com/mangopass/mangopass/platform"
)

// frontEnds are the two handlers of callers' requests.
var frontEnds = map[string]func(*callHandler) http.Handler{
	"platform": func(h *callHandler) http.Handler { return h }, "API": newAPI,
}

// deployment is a VM whose routing duty runs, with runners on connections that tests script byte by byte.
type deployment struct {
	*harness
	handler *callHandler
	front   *httptest.Server
	cuts    *cutLines
	drains  bool // for runners that let the planned stop begin
}

// newDeployment starts a VM with the given front end.
func newDeployment(t *testing.T, frontEnd func(*callHandler) http.Handler) *deployment {
	d := &deployment{harness: newHarness(), cuts: new(cutLines)}
	d.now = clock.Now().Add(-2 * time.Second) // setUp takes two seconds
	d.harness.cuts.log = slog.New(slog.NewJSONHandler(d.cuts, nil))
	d.log = slog.New(slog.DiscardHandler)
	d.setUp()
	limit := new(atomic.Int64)
	limit.Store(1 << 20)
	viewed := new(atomic.Int64)
	viewed.Store(int64(clock.Now())) // the runners are known
	d.handler = &callHandler{
		viewed:  viewed,
		routing: d.intake, runners: platform.NewRunnerClient(), bodyLimit: limit, cutoff: t.Context(), cuts: d.harness.cuts,
	}
	d.front = httptest.NewUnstartedServer(frontEnd(d.handler))
	d.front.Config.ErrorLog = slog.NewLogLogger(slog.DiscardHandler, slog.LevelError) // as in startServer
	d.front.Start()
	t.Cleanup(func() {
		d.front.CloseClientConnections()
		d.front.Close()
	})
	return d
}

// route runs the routing duty until the returned function is called, which waits for its end.
func (d *deployment) route(t *testing.T) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { d.run(ctx) })
	stop = func() { cancel(); group.Wait() }
	t.Cleanup(stop)
	return stop
}

// scriptedRunner is what a runner does with a request: n counts its requests from 1, id is the ID of the request.
type scriptedRunner func(n int, id string, conn net.Conn)

// addRunner starts a runner of a service and announces it; those of service "e" hold the model m.
func (d *deployment) addRunner(t *testing.T, id machine.RunnerID, service string, script scriptedRunner) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	var requests atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, request.Body)
				if request.URL.Path == "/-/report" { // the process is the one of the announcement
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
					return
				}
				script(int(requests.Add(1)), request.Header.Get("X-Mangopass-Request-Id"), conn)
			}()
		}
	}()
	a := machine.Announcement{ID: id, Service: "s", Address: listener.Addr().String(), Zone: "z", Slots: 6}
	if service == "e" {
		a.Service, a.HasEngine = "e", true
		a.Contents = machine.Contents{Models: []machine.ReportedModel{{Model: "m"}}}
	}
	d.now = clock.Now()
	d.apply(storeChanged{sent: d.now, runners: []runnerChange{{id: id, announcement: a}}})
}

// headOf returns the head of a runner's answer to a request, without its last line.
func headOf(id, status string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nX-Mangopass-Request-Id: %s\r\nX-Mangopass-Response-Seal: s\r\n", status, id)
}

const (
	streamHead = "Content-Type: text/event-stream\r\n\r\n"
	firstEvent = "id: 1\ndata: x\n\n"
)

// request returns the text of a request to a route of the test manifest. The two front ends name routes in different ways.
func (d *deployment) request(frontEnd, route string) string {
	body := "{}"
	switch {
	case frontEnd == "platform":
		return fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: h\r\nX-Mangopass-Request-Id: q\r\nApi-Key: key\r\n"+
			"X-Mangopass-Model: %s\r\nX-Mangopass-Token-Count: 10,5\r\nContent-Length: %d\r\n\r\n%s",
			route, modelOfRoute(route), len(body), body)
	case route == "chat":
		body = `{"model":"chat/m","max_tokens":5}`
		return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\n"+
			"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	return fmt.Sprintf("POST /v1/services/%s/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\n"+
		"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", route, len(body), body)
}

func modelOfRoute(route string) string {
	if route == "chat" {
		return "m"
	}
	return ""
}

// callerView is what a caller got: a status of zero says that its connection ended before the head of an answer.
type callerView struct {
	status   int
	body     string
	complete bool
	closes   bool // the connection, by its head
}

func (v callerView) String() string {
	return fmt.Sprintf("%d %q complete %v", v.status, v.body, v.complete)
}

// dial connects a caller and sends a request.
func (d *deployment) dial(t *testing.T, request string) net.Conn {
	t.Helper()
	caller, err := net.Dial("tcp", d.front.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = caller.Close() })
	_ = caller.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.WriteString(caller, request); err != nil {
		t.Fatal(err)
	}
	return caller
}

// readAnswer reads the answer on a caller's connection.
func readAnswer(caller io.Reader) callerView {
	answer, err := http.ReadResponse(bufio.NewReader(caller), nil)
	if err != nil {
		return callerView{}
	}
	body, err := io.ReadAll(answer.Body)
	return callerView{status: answer.StatusCode, body: string(body), complete: err == nil, closes: answer.Close}
}

// ask sends a request and reads its answer.
func (d *deployment) ask(t *testing.T, request string) callerView {
	t.Helper()
	return readAnswer(d.dial(t, request))
}

// cutLines keeps the log lines of answers that were cut off.
type cutLines struct {
	mu    sync.Mutex
	lines []string
}

// Write implements io.Writer.
func (c *cutLines) Write(line []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lines = append(c.lines, string(line))
	return len(line), nil
}

// has reports whether there is just one line, with the given cause. It waits for the line.
func (c *cutLines) has(cause cutCause) bool {
	for range 200 {
		c.mu.Lock()
		n := len(c.lines)
		found := n == 1 && strings.Contains(c.lines[0], fmt.Sprintf("%q:%q", "cause", cause))
		c.mu.Unlock()
		if n > 0 {
			return found
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

// reset closes a connection so that the other side gets a reset instead of its end.
func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}
