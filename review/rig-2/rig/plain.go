package rig

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Heartbeat is the time between two entries that a runner writes to the store.
const Heartbeat = 1200 * time.Millisecond

// Plain is a place at which runners of a plain service run, one after the other: each start is a new boot with a new id. It keeps to
// PROTOCOL.md; a request whose path holds Poison crashes the runner that runs it, if Crashes is set.
type Plain struct {
	Name, Service string
	Slots         int           // requests that run at the same time; as many as four times more wait
	Work          time.Duration // of an ordinary request
	Poison        string
	PoisonWork    time.Duration // for which a request with Poison runs, before it crashes the runner or is answered
	Crashes       bool
	Down          time.Duration // from a crash to the next start

	c       *Case
	address string

	mu      sync.Mutex
	boots   int
	id      string
	server  *http.Server
	slots   chan struct{}
	waiting int
	conns   map[net.Conn]struct{}

	Begun   []Begun     // runs that have begun
	Crashed []time.Time // crashes
}

// Begun is the begin of a run.
type Begun struct {
	Request, Path string
	At            time.Time
}

// Start starts the first runner.
func (p *Plain) Start(c *Case) {
	p.c, p.address = c, c.address()
	p.boot()
}

func (p *Plain) boot() {
	l, err := net.Listen("tcp", p.address)
	for try := 0; err != nil && try < 100; try++ {
		time.Sleep(20 * time.Millisecond)
		l, err = net.Listen("tcp", p.address)
	}
	p.c.Must(err)
	p.mu.Lock()
	p.boots++
	p.id = fmt.Sprintf("i-%s-%d", p.Name, p.boots)
	id, born := p.id, time.Now().UnixMilli()
	p.slots, p.waiting, p.conns = make(chan struct{}, p.Slots), 0, make(map[net.Conn]struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { p.serve(id, w, r) })}
	server.ConnState = func(conn net.Conn, s http.ConnState) {
		p.mu.Lock()
		defer p.mu.Unlock()
		if s == http.StateNew && p.server == server {
			p.conns[conn] = struct{}{}
		} else if s == http.StateClosed {
			delete(p.conns, conn)
		}
	}
	p.server = server
	p.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	go func() {
		key := "servers/" + id
		for n := 1; p.alive(id); n++ {
			entry, err := json.Marshal(map[string]any{
				"service": p.Service, "address": p.address, "zone": "dl-a", "version": "v1", "slots": p.Slots, "state": "ready",
				"cold_left_ms": 0, "sequence": n, "born": born,
			})
			p.c.Must(err)
			p.c.Put(key, string(entry))
			time.Sleep(Heartbeat)
		}
		time.Sleep(2 * Heartbeat) // the entry goes after three check-in intervals of silence
		p.c.Put(key, "")
	}()
}

func (p *Plain) alive(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.id == id
}

// crash ends the runner's process: its connections are reset, and nothing listens until the next start.
func (p *Plain) crash(id string) {
	p.mu.Lock()
	if p.id != id {
		p.mu.Unlock()
		return
	}
	p.id = ""
	p.Crashed = append(p.Crashed, time.Now())
	server, conns := p.server, p.conns
	p.conns = make(map[net.Conn]struct{})
	for conn := range conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	p.mu.Unlock()
	_ = server.Close()
	p.c.Note("runner %s crashes", id)
	time.AfterFunc(p.Down, p.boot)
}

// serve answers a request as the runner with the given id.
func (p *Plain) serve(id string, w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Mangopass-Instance-Id", id)
	request := r.Header.Get("X-Mangopass-Request-Id")
	w.Header().Set("X-Mangopass-Request-Id", request)
	if target := r.Header.Get("X-Mangopass-Target-Instance"); target != "" && target != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	p.mu.Lock()
	slots, full := p.slots, p.waiting >= 4*p.Slots
	if !full {
		p.waiting++
	}
	p.mu.Unlock()
	if full {
		w.Header().Set("X-Mangopass-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	left := func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.waiting--
	}
	select {
	case slots <- struct{}{}:
		left()
	case <-r.Context().Done(): // it has not begun, and is dropped
		left()
		return
	}
	defer func() { <-slots }()
	p.mu.Lock()
	p.Begun = append(p.Begun, Begun{request, r.URL.Path, time.Now()})
	p.mu.Unlock()
	if p.Poison != "" && strings.Contains(r.URL.Path, p.Poison) {
		time.Sleep(p.PoisonWork) // it keeps its thread busy, so the end of the connection isn't noticed
		if p.Crashes {
			p.crash(id)
			return
		}
	} else {
		select {
		case <-time.After(p.Work):
		case <-r.Context().Done(): // dropped
			return
		}
	}
	w.Header().Set("X-Mangopass-Response-Seal", "s."+id+"."+request)
	_, _ = fmt.Fprintf(w, "done %s %d", request, len(body))
}

// State returns the begins of runs and the crashes.
func (p *Plain) State() ([]Begun, []time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Begun(nil), p.Begun...), append([]time.Time(nil), p.Crashed...)
}
