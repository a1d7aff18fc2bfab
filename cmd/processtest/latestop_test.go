package processtest

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// stopGrace is the grace period of the entry VMs in these tests.
const stopGrace = 8 * time.Second

// lateRequest is a request that is sent at some time in a planned stop.
type lateRequest struct {
	id   string
	api  bool          // to the API's listener
	conn net.Conn      // on which it is sent; nil: a new one
	at   time.Duration // since SIGTERM
	body time.Duration // time after the head at which the body follows
	got  response
}

// send sends the request and reads the answer. A connection that was closed before gives an error.
func (r *lateRequest) send(address string) {
	if r.conn == nil {
		if r.conn, r.got.err = net.Dial("tcp", address); r.got.err != nil {
			return
		}
	}
	defer func() { _ = r.conn.Close() }()
	head := fmt.Sprintf("POST /confirm/x HTTP/1.1\r\nHost: coop.example\r\nX-Mangopass-Request-Id: %s\r\nApi-Key: %s\r\n", r.id, callerKey)
	if r.api {
		head = fmt.Sprintf("POST /v1/services/confirm/%s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n", r.id, callerKey)
	}
	if _, r.got.err = r.conn.Write([]byte(head + "Content-Length: 4\r\n\r\n")); r.got.err != nil {
		return
	}
	time.Sleep(r.body)
	if _, r.got.err = r.conn.Write([]byte(r.id[:4])); r.got.err != nil {
		return
	}
	resp, err := http.ReadResponse(bufio.NewReader(r.conn), nil)
	if err != nil {
		r.got.err = err
		return
	}
	r.got.status, r.got.header = resp.StatusCode, resp.Header
	_ = resp.Body.Close()
}

// TestLateRequestsOfPlannedStopAreNotCut guards requests that may run once against being passed on late in the grace period of
// a planned stop and cut off at its end. They come at each tenth of it, on connections that are new, were opened before or have
// been used before, to both front ends, some with a body that comes later.
func TestLateRequestsOfPlannedStopAreNotCut(t *testing.T) {
	desk := deskSpec("desk-0")
	desk.Slots, desk.TokenTime = 200, time.Second
	d := startWith(t, 1, desk)
	e := d.Entries[0]
	address := map[bool]string{false: e.Callers, true: e.API}
	var requests []*lateRequest
	var group sync.WaitGroup
	dial := func(api bool) net.Conn {
		conn, err := net.Dial("tcp", address[api])
		if err != nil {
			t.Fatal(err)
		}
		return conn
	}
	for tenth := range 10 {
		for _, api := range []bool{false, true} {
			at := stopGrace * time.Duration(tenth) / 10
			name := fmt.Sprintf("late-%d-%t", tenth, api)
			used := dial(api)
			if _, err := used.Write([]byte("GET /none HTTP/1.1\r\nHost: x\r\n\r\n")); err != nil {
				t.Fatal(err)
			}
			if resp, err := http.ReadResponse(bufio.NewReader(used), nil); err != nil || resp.StatusCode == http.StatusOK {
				t.Fatalf("response %v, error %v to an unknown path", resp, err)
			}
			requests = append(requests,
				&lateRequest{id: name + "-new", api: api, at: at},
				&lateRequest{id: name + "-opened", api: api, at: at, conn: dial(api)},
				&lateRequest{id: name + "-used", api: api, at: at, conn: used},
				&lateRequest{id: name + "-body", api: api, at: at, conn: dial(api), body: 700 * time.Millisecond},
			)
		}
	}
	e.Signal(syscall.SIGTERM)
	begin := time.Now()
	for _, r := range requests {
		group.Go(func() {
			time.Sleep(r.at - time.Since(begin))
			r.send(address[r.api])
		})
	}
	group.Wait()
	served, refused := 0, 0
	record, err := d.Record(t.Context(), d.Runners[0].Address)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range requests {
		runs := 0
		for _, run := range record.Runs {
			if run.Request == r.id || r.api && strings.Contains(run.Path, r.id) {
				runs++
			}
		}
		switch {
		case r.got.status == http.StatusOK && runs == 1:
			served++
		case r.got.status == http.StatusServiceUnavailable && runs == 0:
			refused++
		case r.got.err != nil && runs == 0: // the VM had closed the connection
		default:
			t.Errorf("%s at %v: status %d, error %v, %d runs", r.id, r.at, r.got.status, r.got.err, runs)
		}
	}
	if code, err := e.Wait(stopGrace); err != nil || code != 0 {
		t.Errorf("exit code %d, error %v", code, err)
	}
	if served < 16 || refused == 0 {
		t.Errorf("%d served, %d refused; want those of the first tenths served and late ones refused", served, refused)
	}
}
