// Package runner is a stand-in for a runner: a model engine that loads models and adapters on orders and answers with
// event streams, or an instance of a plain service. It records the requests and orders that it received, so that tests
// can check what callers can't see.
package runner

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"
)

// Spec describes a runner. It is passed to the process as JSON, under the names of its fields.
type Spec struct {
	ID            string
	Service       string
	Version       string // of the runner's software; empty: v1
	Address       string // IP:port
	Announced     string // address in the runner's entry; empty: Address
	Zone          string
	Slots         int           // requests that run at the same time
	Models        []string      // loaded at the start; engines only
	Engine        bool          // a model engine; otherwise an instance of a plain service
	WeightsMB     float64       // memory for models
	ModelMB       float64       // size of each model
	AdapterSlots  int           // adapters over all models
	LoadTime      time.Duration // to load a model
	TokenTime     time.Duration // before each event of a stream, or before the answer of a plain service
	Events        int           // of a stream
	StatesVersion bool          // the events of a stream state the version
}

// Faults are the ways in which the runner fails. Reset, Shed, Hang and LateOrders count the next requests or orders
// that fail in this way.
type Faults struct {
	Reset      int  `json:"reset"`       // requests that run and whose connection breaks without an answer
	BreakAfter int  `json:"break_after"` // events after which the next stream breaks
	Shed       int  `json:"shed"`        // requests that are refused as not executed
	FailResume bool `json:"fail_resume"` // requests that resume a stream run and are answered 500 with a text
	Hang       int  `json:"hang"`        // requests that run and are never answered
	Garble     int  `json:"garble"`      // requests that run and whose answers are spoiled, each in another way than the one before

	// SilenceMs is the length, in milliseconds, of a silence after which the runner goes on as if nothing had been. The next
	// SilentStreams streams fall silent once each, SilentAfter events after their start; with SilentStreams zero, all answers
	// at once, from when the fault is set.
	SilenceMs     int `json:"silence_ms"`
	SilentStreams int `json:"silent_streams"`
	SilentAfter   int `json:"silent_after"`

	ColdMs     int  `json:"cold_ms"`     // time for which the runner's entry says that it stays cold, in each heartbeat anew
	Draining   bool `json:"draining"`    // the runner's entry in the store has the state draining
	Unlisted   bool `json:"unlisted"`    // the runner's entry in the store is removed; it goes on to serve
	LateOrders int  `json:"late_orders"` // orders that are carried out a second late and not answered

	// Release is the version of the software with which the runner starts again under its ID, with the models of its spec or
	// EmptyRelease. Empty: it runs on.
	Release      string `json:"release"`
	EmptyRelease bool   `json:"empty_release"`

	// CrashPart is the ID of a prompt part, as callers write it. The runner crashes when it begins to answer a request
	// with the part, and starts again with the models of its spec. Empty: none.
	CrashPart string `json:"crash_part"`

	// CrashBody is a text in the body or path of a request that crashes the runner, CrashAfter events after it has begun to run
	// the request. Empty: none.
	CrashBody  string `json:"crash_body"`
	CrashAfter int    `json:"crash_after"`

	Leaving bool `json:"leaving"` // the runner states in its answers that it leaves; its entry stays as it is

	// PauseS is the pause, in seconds, that the runner asks for while it refuses all requests as not executed; zero: none.
	PauseS float64 `json:"pause_s"`

	// RateLimit is the number of requests a second that the runner states to take in its answers; zero: none. It takes
	// more all the same.
	RateLimit float64 `json:"rate_limit"`
}

// Run is one request that the runner started to run.
type Run struct {
	Request   string    `json:"request"`
	Path      string    `json:"path"`
	Tenant    string    `json:"tenant"`
	Model     string    `json:"model"`
	Version   string    `json:"version"`    // of the runner's software
	Prompt    string    `json:"prompt"`     // X-Mangopass-Prompt-Prefix
	LastEvent string    `json:"last_event"` // Last-Event-Id of the request: the stream resumes after this event
	Key       string    `json:"key"`        // the caller's key; must be empty, as keys may not reach a runner
	Body      string    `json:"body"`
	At        time.Time `json:"at"`
	Cancelled bool      `json:"cancelled"` // the client had gone when the run ended
}

// Order is an order to load or unload a model or an adapter.
type Order struct {
	Op       string    `json:"op"`
	Model    string    `json:"model"`
	Adapter  string    `json:"adapter"`
	Holder   string    `json:"holder"`   // leader that gave the order
	Fence    int64     `json:"fence"`    // of the leader's term
	Expected *int64    `json:"expected"` // sequence that the runner must be at; nil: any
	At       time.Time `json:"at"`
}

// Record lists the requests that ran and the orders that were accepted, in their order.
type Record struct {
	Runs     []Run   `json:"runs"`
	Orders   []Order `json:"orders"`
	Overload bool    `json:"overload"` // an order exceeded the memory for models or the adapter slots

	Refused   []Refusal   `json:"refused"` // with a pause
	CrashedAt []time.Time `json:"crashed_at"`
}

// Refusal is a request that the runner has refused while it asked for a pause.
type Refusal struct {
	Request string    `json:"request"`
	At      time.Time `json:"at"`
}

// Runner is the state of a stand-in runner. It is safe for concurrent use.
type Runner struct {
	Spec

	mu         sync.Mutex
	startedMs  int64               // Unix milliseconds of the last start
	life       context.Context     // ends when the runner crashes
	endLife    context.CancelFunc  // ends life
	loaded     map[string][]string // loaded models, each with its loaded adapters
	loading    string              // model that is being loaded; empty: none
	busyUntil  time.Time           // an order is in progress until then
	sequence   int64               // number of recorded orders
	running    int
	heartbeats int64 // number of entries written to the store
	faults     Faults
	record     Record

	silentUntil time.Time // no answer goes on before
}

// New returns a runner that holds the models of its spec.
func New(s Spec) *Runner {
	r := &Runner{Spec: s}
	r.Version = cmp.Or(s.Version, "v1")
	r.start()
	return r
}

// start puts the runner into the state of a process that has just started. The counts of orders start anew, the record
// goes on.
func (r *Runner) start() {
	r.startedMs, r.sequence, r.loading, r.busyUntil = time.Now().UnixMilli(), 0, "", time.Time{}
	r.life, r.endLife = context.WithCancel(context.Background())
	r.loaded = make(map[string][]string)
	for _, m := range r.Models {
		r.loaded[m] = []string{}
	}
}

// crash breaks the connections of all running requests and starts the runner again.
func (r *Runner) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.CrashedAt = append(r.record.CrashedAt, time.Now())
	r.restart()
}

// restart ends the process and starts the next one. The caller holds the lock.
func (r *Runner) restart() {
	r.endLife()
	r.start()
}

// finishLoad adds the model that is being loaded to the loaded ones if its load time is over.
func (r *Runner) finishLoad(now time.Time) {
	if r.loading != "" && !now.Before(r.busyUntil) {
		r.loaded[r.loading] = []string{}
		r.loading = ""
	}
}

// canServe reports whether the runner has loaded what a request names, as MODEL or MODEL/ADAPTER.
func (r *Runner) canServe(name string) bool {
	model, adapter, _ := strings.Cut(name, "/")
	adapters, ok := r.loaded[model]
	return ok && (adapter == "" || slices.Contains(adapters, adapter))
}

// applyOrder carries out an order and returns the status of the answer: 202 if it is accepted, 200 if there is nothing
// to do, 400 if it is malformed, and 409 if a load is in progress or the sequence is not the expected one.
func (r *Runner) applyOrder(order Order, now time.Time) int {
	r.finishLoad(now)
	switch {
	case order.Holder == "" || order.Fence == 0:
		return 400
	case now.Before(r.busyUntil) || order.Expected != nil && *order.Expected != r.sequence:
		return 409
	case order.Adapter != "":
		return r.applyAdapterOrder(order)
	}
	_, loaded := r.loaded[order.Model]
	if loaded == (order.Op == "load") {
		return 200
	}
	r.recordOrder(order, now)
	if order.Op == "unload" {
		delete(r.loaded, order.Model)
		return 202
	}
	r.record.Overload = r.record.Overload || float64(len(r.loaded)+1)*r.ModelMB > r.WeightsMB
	r.loading, r.busyUntil = order.Model, now.Add(r.LoadTime)
	return 202
}

// applyAdapterOrder does the same as applyOrder for an order that names an adapter. Adapters are loaded and unloaded at
// once; the status is 202 for a load, 200 for an unload, and 400 if the model is not loaded.
func (r *Runner) applyAdapterOrder(order Order) int {
	adapters, ok := r.loaded[order.Model]
	if !ok {
		return 400
	}
	loaded := slices.Contains(adapters, order.Adapter)
	if loaded == (order.Op == "load") {
		return 200
	}
	r.recordOrder(order, time.Now())
	if order.Op == "unload" {
		r.loaded[order.Model] = slices.DeleteFunc(adapters, func(a string) bool { return a == order.Adapter })
		return 200
	}
	r.loaded[order.Model] = append(adapters, order.Adapter)
	total := 0
	for _, names := range r.loaded {
		total += len(names)
	}
	r.record.Overload = r.record.Overload || total > r.AdapterSlots
	return 202
}

func (r *Runner) recordOrder(order Order, now time.Time) {
	r.sequence++
	order.At = now
	r.record.Orders = append(r.record.Orders, order)
}

type modelState struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"` // as NAME@VERSION
}

func (r *Runner) modelStates() []modelState {
	out := []modelState{}
	for m, adapters := range r.loaded {
		state := modelState{Name: m, Version: 1, Adapters: []string{}}
		for _, a := range adapters {
			state.Adapters = append(state.Adapters, a+"@1")
		}
		out = append(out, state)
	}
	return out
}

// entry returns the value of the runner's key in the store, with a sequence number that grows in each call, or nil if the
// runner is to have none.
func (r *Runner) entry() map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.faults.Unlisted {
		return nil
	}
	r.finishLoad(time.Now())
	r.heartbeats++
	address := r.Address
	if r.Announced != "" {
		address = r.Announced
	}
	state := "ready"
	if r.faults.Draining {
		state = "draining"
	}
	out := map[string]any{
		"service": r.Service, "address": address, "zone": r.Zone, "version": r.Version, "slots": r.Slots, "state": state,
		"cold_left_ms": r.faults.ColdMs, "sequence": r.heartbeats, "born": r.startedMs,
	}
	if r.Engine {
		out["stage"] = "mixed"
		out["models"] = r.modelStates()
		out["at_hand"] = map[string]any{"in_memory": []string{}, "on_disk": []string{}}
	}
	return out
}
