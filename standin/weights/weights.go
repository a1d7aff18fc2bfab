// Package weights is a small stand-in for the weight store: it lets a few loads run at full speed at once, bounds the
// loads a second, and can be slowed down.
package weights

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/mangopass/mangopass/duty"
)

// Limits are the rates of a weight store.
type Limits struct {
	LoadsPerSecond float64 `json:"loads_per_second"`
	FullSpeed      int     `json:"full_speed"`   // loads at once without slowing each other down
	BytesPerMs     float64 `json:"bytes_per_ms"` // of one load at full speed
	SlowFactor     float64 `json:"slow_factor"`  // multiplies each load's time; zero counts as one
}

// Store serves GET /checkpoint?bytes=N: the answer arrives when the load is done. POST /limits replaces the limits, GET
// /counts returns the number of loads served and the most that ran at once.
type Store struct {
	mu      sync.Mutex
	limits  Limits
	running int
	next    time.Time // when the next load may start
	counts  Counts
}

// Counts are what a weight store has served.
type Counts struct {
	Loads  int `json:"loads"`
	AtOnce int `json:"at_once"` // most loads that ran at the same time
}

// New returns a weight store with the given limits.
func New(l Limits) *Store { return &Store{limits: l} }

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/checkpoint":
		s.load(w, r)
	case "/limits":
		var l Limits
		if json.NewDecoder(r.Body).Decode(&l) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.mu.Lock()
		s.limits = l
		s.mu.Unlock()
	case "/counts":
		s.mu.Lock()
		defer s.mu.Unlock()
		_ = json.NewEncoder(w).Encode(s.counts)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) load(w http.ResponseWriter, r *http.Request) {
	bytes, err := strconv.ParseInt(r.URL.Query().Get("bytes"), 10, 64)
	if err != nil || bytes < 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !duty.Pause(r.Context(), s.admit()) {
		return
	}
	took := s.begin(bytes)
	defer s.end()
	if duty.Pause(r.Context(), took) {
		w.WriteHeader(http.StatusOK)
	}
}

// admit returns how long the load has to wait for its turn.
func (s *Store) admit() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.next.Before(now) {
		s.next = now
	}
	wait := s.next.Sub(now)
	if s.limits.LoadsPerSecond > 0 {
		s.next = s.next.Add(time.Duration(float64(time.Second) / s.limits.LoadsPerSecond))
	}
	return wait
}

// begin counts a load and returns the time it takes at the present load of the store.
func (s *Store) begin(bytes int64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.counts.Loads++
	s.counts.AtOnce = max(s.counts.AtOnce, s.running)
	ms := float64(bytes) / s.limits.BytesPerMs
	if over := float64(s.running) / float64(max(1, s.limits.FullSpeed)); over > 1 {
		ms *= over
	}
	if s.limits.SlowFactor > 0 {
		ms *= s.limits.SlowFactor
	}
	return time.Duration(ms * float64(time.Millisecond))
}

func (s *Store) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}
