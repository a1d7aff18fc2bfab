// Package service is a small stand-in for a plain service with calls that must not be repeated, such as releasing a truck:
// it counts how often each call ran.
package service

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/mangopass/mangopass/duty"
)

// Faults tell the service how to fail.
type Faults struct {
	DelayMs        int64 `json:"delay_ms"`         // before the effect
	DelayAfterMs   int64 `json:"delay_after_ms"`   // between the effect and the answer
	DropAfterRuns  int   `json:"drop_after_runs"`  // the next calls take effect and lose their answers
	DropBeforeRuns int   `json:"drop_before_runs"` // the next calls break off without effect
}

// Handler serves the service. Each call runs and is answered with its number. POST /faults sets Faults, GET /counts returns
// how often each body ran.
type Handler struct {
	mu     sync.Mutex
	faults Faults
	runs   map[string]int
	total  int
}

// NewHandler returns a service on which nothing has run.
func NewHandler() *Handler { return &Handler{runs: make(map[string]int)} }

// Runs returns how often each body ran.
func (h *Handler) Runs() map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return maps.Clone(h.runs)
}

// SetFaults replaces the faults in force.
func (h *Handler) SetFaults(f Faults) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults = f
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch r.URL.Path {
	case "/faults":
		var f Faults
		if json.Unmarshal(body, &f) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		h.SetFaults(f)
	case "/counts":
		_ = json.NewEncoder(w).Encode(h.Runs())
	default:
		h.call(w, r, string(body))
	}
}

func (h *Handler) call(w http.ResponseWriter, r *http.Request, body string) {
	h.mu.Lock()
	f := h.faults
	if h.faults.DropBeforeRuns > 0 {
		h.faults.DropBeforeRuns--
		h.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	h.mu.Unlock()
	if !duty.Pause(r.Context(), time.Duration(f.DelayMs)*time.Millisecond) {
		return
	}
	number, drop := h.execute(r.URL.Path + " " + body)
	duty.Pause(r.Context(), time.Duration(f.DelayAfterMs)*time.Millisecond)
	if drop {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, `{"call":`+strconv.Itoa(number)+`}`)
}

func (h *Handler) execute(call string) (number int, drop bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs[call]++
	h.total++
	drop = h.faults.DropAfterRuns > 0
	if drop {
		h.faults.DropAfterRuns--
	}
	return h.total, drop
}
