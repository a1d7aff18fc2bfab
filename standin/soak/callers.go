package soak

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/mangopass/mangopass/duty"
	"github.com/mangopass/mangopass/standin/deploy"
)

// Request is what one caller sent and saw.
type Request struct {
	ID         string
	Route      string // chat, draft, confirm, stock or open
	Key        string
	Entry      int
	Tainted    bool          // its prompt has crashPart
	Sent       time.Duration // since the start of the load
	Ended      time.Duration
	Status     int    // zero: no head of an answer
	RetryAfter bool   // the answer states when to come back
	Whole      bool   // the answer ended as its framing states
	RequestID  string // as the answer states it
	Seal       string
	Body       string
	Error      string // of the connection

	Resumes   string // ID of the request that began the stream which this one takes up; empty: it takes none up
	LastEvent string // of that stream, as far as the caller has it
}

// Routes of the load, each with its share.
var routes = []string{"chat", "chat", "chat", "draft", "confirm", "confirm", "stock", "open"}

const (
	// requestTimeout is how long callers wait for an answer.
	requestTimeout = 5 * time.Second
	// callerPause bounds the time between two requests of a caller.
	callerPause = 60 * time.Millisecond
	// oldKey is withdrawn in the middle of a run.
	oldKey = "key-to-be-withdrawn"
	// oldKeyShare is one in so many requests that carry it.
	oldKeyShare = 8
	// crashPart is a prompt part that crashes the engines, taintedShare one in so many streams that have it.
	crashPart    = "dead"
	taintedShare = 100
	// maxTakeUps is how often a caller takes a stream up that broke off, takeUpPause the time before.
	maxTakeUps  = 3
	takeUpPause = 100 * time.Millisecond
)

// callers collects the requests of all callers. It is safe for concurrent use.
type callers struct {
	start   time.Time
	entries []string // addresses
	mu      sync.Mutex
	seen    []Request
}

// run sends requests one after the other until the context ends. The connections are kept open.
func (c *callers) run(ctx context.Context, name string, r *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: requestTimeout}
	defer client.CloseIdleConnections()
	for n := 0; duty.Pause(ctx, time.Duration(r.Int64N(int64(callerPause)))); n++ {
		q := Request{
			ID: fmt.Sprintf("%s-%d", name, n), Route: routes[r.IntN(len(routes))], Entry: r.IntN(len(c.entries)),
			Key: deploy.CallerKey,
		}
		q.Tainted = r.IntN(taintedShare) == 0 && (q.Route == "chat" || q.Route == "draft")
		if r.IntN(oldKeyShare) == 0 {
			q.Key = oldKey
		}
		c.send(client, &q)
		c.add(q)
		for try := 1; try <= maxTakeUps; try++ {
			next, broken := q.takeUp(try, r.IntN(len(c.entries)))
			if !broken || !duty.Pause(ctx, takeUpPause) {
				break
			}
			c.send(client, &next)
			c.add(next)
			q = next
		}
	}
}

// cutOff reports whether the connection ended without a complete answer.
func (q Request) cutOff() bool { return q.Error != "" && (q.Status == 0 || !q.Whole) }

// add adds a request to those that were sent.
func (c *callers) add(q Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen = append(c.seen, q)
}

// takeUp returns the request that takes up a stream which broke off, and false if there is nothing to take up.
func (q Request) takeUp(try, entry int) (Request, bool) {
	next := Request{
		Route: q.Route, Entry: entry, Key: q.Key, Tainted: q.Tainted, Resumes: q.Resumes, LastEvent: q.LastEvent,
	}
	if q.Status == http.StatusOK {
		if events := eventsOf(q.Body); len(events) > 0 {
			next.LastEvent = fmt.Sprint(events[len(events)-1].number)
		}
	}
	if next.Resumes == "" {
		next.Resumes = q.ID
	}
	next.ID = fmt.Sprintf("%s-up%d", next.Resumes, try)
	return next, q.Route == "chat" && next.LastEvent != "" && (q.Status != http.StatusOK || !q.Whole)
}

// event is a whole event of a stream.
type event struct {
	number  int
	version string // of the engine that wrote it
}

// eventsOf returns the whole events at the start of a body, up to the first text that is none.
func eventsOf(body string) (events []event) {
	for {
		text, rest, whole := strings.Cut(body, "\n\n")
		var e event
		var token int
		if n, _ := fmt.Sscanf(text, "id: %d\ndata: token %d of %s", &e.number, &token, &e.version); !whole || n != 3 || token != e.number {
			return events
		}
		events, body = append(events, e), rest
	}
}

// promptOf returns the parts of a stream's prompt: one that all streams share, one that some do, and one of its own.
func promptOf(q *Request) string {
	own := fnv.New32a()
	_, _ = own.Write([]byte(q.began()))
	shared := fmt.Sprintf("c%d", own.Sum32()%8)
	if q.Tainted {
		shared = crashPart
	}
	return fmt.Sprintf("a1:8,%s:8,%x:24", shared, own.Sum32())
}

// bodyOf returns the body of a request; a stream that is taken up has the one that began it.
func bodyOf(q *Request) string { return "body of " + q.began() }

// began returns the ID of the request that began a request's stream.
func (q *Request) began() string {
	if q.Resumes != "" {
		return q.Resumes
	}
	return q.ID
}

// all returns the requests so far.
func (c *callers) all() []Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Request(nil), c.seen...)
}

// send sends a request and records what comes back. A request of which the caller could not know whether it ran is not
// sent again, as its ID would then tell nothing.
func (c *callers) send(client *http.Client, q *Request) {
	q.Sent = time.Since(c.start)
	defer func() { q.Ended = time.Since(c.start) }()
	method := http.MethodPost
	if q.Route == "stock" || q.Route == "open" {
		method = http.MethodGet
	}
	req, err := http.NewRequest(method, "http://"+c.entries[q.Entry]+"/"+q.Route+"/x", strings.NewReader(bodyOf(q)))
	if err != nil {
		q.Error = err.Error()
		return
	}
	req.GetBody = nil // else the client may send the request again by itself
	req.Host = "coop.example"
	req.Header.Set("X-Mangopass-Request-Id", q.ID)
	req.Header.Set("X-Mangopass-Deadline", fmt.Sprint(requestTimeout.Milliseconds()))
	if q.Route != "open" {
		req.Header.Set("Api-Key", q.Key)
	}
	if q.Route == "chat" || q.Route == "draft" {
		req.Header.Set("X-Mangopass-Model", []string{"tulip", "lily"}[len(q.began())%2])
		req.Header.Set("X-Mangopass-Token-Count", "40,24")
		req.Header.Set("X-Mangopass-Prompt-Prefix", promptOf(q))
	}
	if q.Resumes != "" {
		req.Header.Set("Resumes", q.Resumes)
		req.Header.Set("Last-Event-Id", q.LastEvent)
	}
	resp, err := client.Do(req)
	if err != nil {
		q.Error = err.Error()
		return
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	q.Status, q.Body, q.Whole = resp.StatusCode, string(body), err == nil
	q.RequestID, q.Seal = resp.Header.Get("X-Mangopass-Request-Id"), resp.Header.Get("X-Mangopass-Response-Seal")
	q.RetryAfter = resp.Header.Get("Retry-After") != ""
	if err != nil {
		q.Error = err.Error()
	}
}
