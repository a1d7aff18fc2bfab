package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// runnerSpec describes a stand-in runner. It is passed to its process as JSON.
type runnerSpec struct {
	ID, Service, Address, Zone, Store string
	Log                               string // file to which each run, order and crash is appended as a line of JSON
	Slots                             int
	Engine                            bool
	Models                            []string
	WorkMs                            int    // of an answer of a plain service
	EventMs                           int    // between two events of a stream
	Events                            int    // of a stream
	Crash                             string // a request whose path or body contains this text kills the process; empty: none
	CrashAfter                        int    // events that the request gets before that
	HeartbeatMs                       int
	LoadMs                            int
	ServesMs                          int // after SIGUSR1, at which the runner's entry is removed; then it exits
}

// logLine is what a runner records.
type logLine struct {
	At      int64  `json:"at"` // Unix milliseconds
	What    string `json:"what"`
	Runner  string `json:"runner"`
	Request string `json:"request,omitempty"`
	Method  string `json:"method,omitempty"`
	Target  string `json:"target,omitempty"` // as on the request line
	Host    string `json:"host,omitempty"`   // for which the request is, by the rules of HTTP
	Tenant  string `json:"tenant,omitempty"`
	Model   string `json:"model,omitempty"`
	Last    string `json:"last,omitempty"`
	Holder  string `json:"holder,omitempty"` // of an order
	Fence   int64  `json:"fence,omitempty"`
	Detail  string `json:"detail,omitempty"`
}

type runnerProcess struct {
	runnerSpec
	born int64

	mu        sync.Mutex
	out       *os.File
	beats     int64
	sequence  int64
	models    map[string]map[string]bool // loaded, each with its adapters
	loading   string
	busyUntil time.Time
	running   int
	lease     int64
	left      bool // its entry has been removed
}

func runRunner(args []string) int {
	f := flag.NewFlagSet("runner", flag.ExitOnError)
	text := f.String("spec", "", "the runner as JSON")
	_ = f.Parse(args)
	r := &runnerProcess{born: time.Now().UnixMilli(), models: map[string]map[string]bool{}}
	if err := json.Unmarshal([]byte(*text), &r.runnerSpec); err != nil {
		return fail("spec", err)
	}
	var err error
	if r.out, err = os.OpenFile(r.Log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600); err != nil {
		return fail("log", err)
	}
	for _, m := range r.Models {
		r.models[m] = map[string]bool{}
	}
	l, err := net.Listen("tcp", r.Address)
	if err != nil {
		return fail("listen", err)
	}
	go r.beat()
	go r.awaitLeave()
	mux := http.NewServeMux()
	mux.HandleFunc("/-/report", r.serveReport)
	mux.HandleFunc("/-/order", r.serveOrder)
	mux.HandleFunc("/health", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Mangopass-Instance-Id", r.ID)
	})
	handler := http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if strings.HasPrefix(q.RequestURI, "/-/") || q.RequestURI == "/health" {
			mux.ServeHTTP(w, q)
			return
		}
		r.serve(w, q)
	})
	return fail("serve", (&http.Server{Handler: handler}).Serve(l))
}

func (r *runnerProcess) log(l logLine) {
	l.At, l.Runner = time.Now().UnixMilli(), r.ID
	data, _ := json.Marshal(l)
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.out.Write(append(data, '\n'))
}

// beat writes the runner's entry under a lease of three heartbeats, so that it goes when the runner falls silent.
func (r *runnerProcess) beat() {
	period := time.Duration(r.HeartbeatMs) * time.Millisecond
	for ; !r.hasLeft(); time.Sleep(period) {
		if r.lease == 0 || post(r.Store, "/-/kv-keep/"+strconv.FormatInt(r.lease, 10), map[string]any{}, nil) != nil {
			var out struct {
				Lease int64 `json:"lease"`
			}
			if post(r.Store, "/-/kv-lease", map[string]any{"ttl_ms": 3 * r.HeartbeatMs}, &out) != nil {
				continue
			}
			r.lease = out.Lease
		}
		r.mu.Lock()
		r.finishLoad()
		r.beats++
		entry := map[string]any{
			"service": r.Service, "address": r.Address, "zone": r.Zone, "version": "v1", "slots": r.Slots, "state": "ready",
			"cold_left_ms": 0, "sequence": r.beats, "born": r.born,
		}
		if r.Engine {
			entry["stage"], entry["models"] = "mixed", r.modelList()
			entry["at_hand"] = map[string]any{"in_memory": []string{}, "on_disk": []string{}}
		}
		r.mu.Unlock()
		value, _ := json.Marshal(entry)
		if !r.hasLeft() {
			_ = post(r.Store, "/standin/put", map[string]any{"key": "servers/" + r.ID, "value": value, "lease": r.lease}, nil)
		}
	}
}

func (r *runnerProcess) hasLeft() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.left
}

// awaitLeave removes the runner's entry at SIGUSR1, and ends the process some time later.
func (r *runnerProcess) awaitLeave() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	<-signals
	r.mu.Lock()
	r.left = true
	r.mu.Unlock()
	_ = post(r.Store, "/standin/put", map[string]any{"key": "servers/" + r.ID, "value": []byte{}}, nil)
	r.log(logLine{What: "left"})
	time.Sleep(time.Duration(r.ServesMs) * time.Millisecond)
	r.log(logLine{What: "exits"})
	os.Exit(0)
}

func (r *runnerProcess) modelList() []map[string]any {
	out := []map[string]any{}
	for m, adapters := range r.models {
		list := []string{}
		for a := range adapters {
			list = append(list, a+"@1")
		}
		out = append(out, map[string]any{"name": m, "version": 1, "adapters": list})
	}
	return out
}

func (r *runnerProcess) finishLoad() {
	if r.loading != "" && !time.Now().Before(r.busyUntil) {
		r.models[r.loading] = map[string]bool{}
		r.loading = ""
	}
}

func (r *runnerProcess) serveReport(w http.ResponseWriter, q *http.Request) {
	if r.misdirected(w, q) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finishLoad()
	reply(w, 200, map[string]any{
		"stage": "mixed", "models": r.modelList(), "busy": r.loading != "", "sequence": r.sequence, "waiting": 0,
		"running": r.running, "kv_used": 0, "kv_total": 150000, "handles": 0, "born": r.born,
	})
}

func (r *runnerProcess) serveOrder(w http.ResponseWriter, q *http.Request) {
	if r.misdirected(w, q) {
		return
	}
	var o struct {
		Op, Model, Adapter, Holder string
		Fence                      int64
		Expected                   *int64
	}
	data, _ := io.ReadAll(q.Body)
	if json.Unmarshal(data, &o) != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(400)
		return
	}
	r.mu.Lock()
	r.finishLoad()
	status, adapters := 202, r.models[o.Model]
	switch {
	case r.loading != "" || o.Expected != nil && *o.Expected != r.sequence:
		status = 409
	case o.Adapter != "" && adapters == nil:
		status = 400
	case o.Adapter != "" && adapters[o.Adapter] == (o.Op == "load"):
		status = 200
	case o.Adapter != "" && o.Op == "load":
		r.sequence++
		adapters[o.Adapter] = true
	case o.Adapter != "":
		r.sequence++
		delete(adapters, o.Adapter)
		status = 200
	case (adapters != nil) == (o.Op == "load"):
		status = 200
	case o.Op == "load":
		r.sequence++
		r.loading, r.busyUntil = o.Model, time.Now().Add(time.Duration(r.LoadMs)*time.Millisecond)
	default:
		r.sequence++
		delete(r.models, o.Model)
	}
	r.mu.Unlock()
	r.log(logLine{What: "order", Model: o.Model, Holder: o.Holder, Fence: o.Fence, Detail: fmt.Sprintf("%s %s %s, answered %d", o.Op, o.Model, o.Adapter, status)})
	w.WriteHeader(status)
}

func (r *runnerProcess) misdirected(w http.ResponseWriter, q *http.Request) bool {
	if id := q.Header.Get("X-Mangopass-Target-Instance"); id != "" && id != r.ID {
		w.Header().Set("X-Mangopass-Instance-Id", r.ID)
		w.WriteHeader(421)
		return true
	}
	return false
}

// serve runs a request.
func (r *runnerProcess) serve(w http.ResponseWriter, q *http.Request) {
	if r.misdirected(w, q) {
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	id, model := q.Header.Get("X-Mangopass-Request-Id"), q.Header.Get("X-Mangopass-Model")
	r.mu.Lock()
	r.finishLoad()
	lacks, full := r.Engine && !r.holds(model), r.running >= r.Slots
	if !lacks && !full {
		r.running++
	}
	r.mu.Unlock()
	if lacks {
		w.WriteHeader(421)
		return
	}
	if full {
		w.Header().Set("X-Mangopass-Not-Executed", "1")
		w.WriteHeader(503)
		return
	}
	defer func() {
		r.mu.Lock()
		r.running--
		r.mu.Unlock()
	}()
	target := q.RequestURI
	crash := r.Crash != "" && (strings.Contains(target, r.Crash) || bytes.Contains(body, []byte(r.Crash)))
	line := logLine{
		What: "run", Request: id, Method: q.Method, Target: target, Host: q.Host, Tenant: q.Header.Get("X-Mangopass-Tenant"), Model: model,
		Last: q.Header.Get("Last-Event-Id"),
	}
	r.log(line)
	h := w.Header()
	h.Set("X-Mangopass-Request-Id", id)
	h.Set("X-Mangopass-Response-Seal", "seal."+r.ID+"."+id)
	if !r.Engine {
		time.Sleep(time.Duration(r.WorkMs) * time.Millisecond)
		if crash {
			r.crash(line)
		}
		_, _ = fmt.Fprintf(w, "answer to %s by %s\n", id, r.ID)
		return
	}
	first, _ := strconv.Atoi(line.Last)
	h.Set("Content-Type", "text/event-stream")
	h.Set("X-Mangopass-Weight-Versions", "1")
	for e := first + 1; e <= r.Events; e++ {
		if crash && e > first+r.CrashAfter {
			r.crash(line)
		}
		select {
		case <-q.Context().Done():
			return
		case <-time.After(time.Duration(r.EventMs) * time.Millisecond):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", e, e, id); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}

// holds reports whether what a request names, MODEL or MODEL/ADAPTER, is loaded. The caller holds the lock.
func (r *runnerProcess) holds(name string) bool {
	model, adapter, _ := strings.Cut(name, "/")
	adapters := r.models[model]
	return adapters != nil && (adapter == "" || adapters[adapter])
}

// crash records the crash and kills this process.
func (r *runnerProcess) crash(l logLine) {
	time.Sleep(20 * time.Millisecond) // what was sent is on its way
	l.What = "crash"
	r.log(l)
	_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
	select {}
}
