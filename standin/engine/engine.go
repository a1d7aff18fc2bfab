// Package engine is a small stand-in for a model engine: it batches requests, holds models and adapters in bounded
// memory, takes load and unload orders, and can be told to fail.
package engine

import (
	"sync"
	"time"
)

// Settings describe an engine.
type Settings struct {
	MemoryBytes   int64         // of the accelerator
	Slots         int           // requests that run at once; more wait
	TokenTime     time.Duration // between two tokens of one request with nothing else running
	PrefillTime   time.Duration // to the first token
	ObeysFences   bool          // refuses orders with an old fence
	WeightStore   string        // IP:port; empty: loads take no time
	AdapterTime   time.Duration // load time of an adapter while few are in flight
	ReportLag     time.Duration // age of the load report
	CrashOnMarker string        // a request whose body contains this text ends the process; empty: none
}

// Artifact is a model, or an adapter on its model.
type Artifact struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
}

func (a Artifact) name() string {
	if a.Adapter == "" {
		return a.Model
	}
	return a.Model + "+" + a.Adapter
}

// Report is the engine's load report.
type Report struct {
	Resident  []Artifact `json:"resident"`
	Loading   []Artifact `json:"loading"`
	FreeBytes int64      `json:"free_bytes"`
	Running   int        `json:"running"`
	TakenAtMs int64      `json:"taken_at_ms"` // Unix time
}

// Counts are what the engine has done since its start.
type Counts struct {
	Loads         int            `json:"loads"`
	Unloads       int            `json:"unloads"`
	Runs          map[string]int `json:"runs"`          // by X-Request-Id
	Overcommitted int            `json:"overcommitted"` // load orders refused for lack of memory
	SawKey        int            `json:"saw_key"`       // requests that carried an Authorization header
	OldFences     int            `json:"old_fences"`    // orders refused because of their fence
}

// state is what an engine holds. Its methods are safe for concurrent use.
type state struct {
	settings Settings

	mu       sync.Mutex
	bytes    map[Artifact]int64
	resident map[Artifact]bool
	fences   map[Artifact]uint64
	free     int64
	running  int
	counts   Counts
	reports  []Report // recent states, oldest first
}

func newState(s Settings) *state {
	st := &state{
		settings: s, free: s.MemoryBytes, bytes: make(map[Artifact]int64), resident: make(map[Artifact]bool),
		fences: make(map[Artifact]uint64), counts: Counts{Runs: make(map[string]int)},
	}
	st.snapshot()
	return st
}

// orderResult is how the engine takes an order.
type orderResult int

const (
	orderAccepted orderResult = iota
	orderDone                 // there is nothing to do
	orderOldFence
	orderNoMemory
)

func (s *state) beginLoad(a Artifact, bytes int64, fence uint64) orderResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.fenceHolds(a, fence) {
		return orderOldFence
	}
	if _, held := s.bytes[a]; held {
		return orderDone
	}
	if bytes > s.free {
		s.counts.Overcommitted++
		return orderNoMemory
	}
	s.free -= bytes
	s.bytes[a] = bytes
	s.snapshot()
	return orderAccepted
}

func (s *state) endLoad(a Artifact, loaded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if loaded {
		s.resident[a] = true
		s.counts.Loads++
	} else {
		s.free += s.bytes[a]
		delete(s.bytes, a)
	}
	s.snapshot()
}

func (s *state) unload(a Artifact, fence uint64) orderResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.fenceHolds(a, fence) {
		return orderOldFence
	}
	if bytes, held := s.bytes[a]; held {
		s.free += bytes
		delete(s.bytes, a)
		delete(s.resident, a)
		s.counts.Unloads++
		s.snapshot()
	}
	return orderDone
}

func (s *state) fenceHolds(a Artifact, fence uint64) bool {
	if !s.settings.ObeysFences {
		return true
	}
	if fence < s.fences[a] {
		s.counts.OldFences++
		return false
	}
	s.fences[a] = fence
	return true
}

// begin counts a request that starts to run; it is false if what the request names is not resident.
func (s *state) begin(name, requestID string, sawKey bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sawKey {
		s.counts.SawKey++
	}
	for a := range s.resident {
		if a.name() == name {
			s.running++
			s.counts.Runs[requestID]++
			s.snapshot()
			return true
		}
	}
	return false
}

func (s *state) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.snapshot()
}

// tokenTime returns the time to the next token: requests beyond the slots share the engine.
func (s *state) tokenTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running <= s.settings.Slots {
		return s.settings.TokenTime
	}
	return s.settings.TokenTime * time.Duration(s.running) / time.Duration(s.settings.Slots)
}

// adapterTime returns the load time of an adapter; it grows in proportion once many are in flight.
func (s *state) adapterTime() time.Duration {
	const atFullSpeed = 30
	s.mu.Lock()
	defer s.mu.Unlock()
	loading := len(s.bytes) - len(s.resident)
	if loading <= atFullSpeed {
		return s.settings.AdapterTime
	}
	return s.settings.AdapterTime * time.Duration(loading) / atFullSpeed
}

// snapshot records the present state for later reports. The caller holds the lock.
func (s *state) snapshot() {
	now := time.Now()
	r := Report{FreeBytes: s.free, Running: s.running, TakenAtMs: now.UnixMilli(), Resident: []Artifact{}, Loading: []Artifact{}}
	for a := range s.bytes {
		if s.resident[a] {
			r.Resident = append(r.Resident, a)
		} else {
			r.Loading = append(r.Loading, a)
		}
	}
	s.reports = append(s.reports, r)
	horizon := now.Add(-s.settings.ReportLag).UnixMilli()
	for len(s.reports) > 1 && s.reports[1].TakenAtMs <= horizon {
		s.reports = s.reports[1:]
	}
}

// report returns the state as it was one lag ago; TakenAtMs is that time.
func (s *state) report() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	horizon := time.Now().Add(-s.settings.ReportLag).UnixMilli()
	r := s.reports[0]
	for _, later := range s.reports[1:] {
		if later.TakenAtMs > horizon {
			break
		}
		r = later
	}
	r.TakenAtMs = max(r.TakenAtMs, horizon)
	return r
}

func (s *state) countsNow() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	c.Runs = make(map[string]int, len(s.counts.Runs))
	for id, n := range s.counts.Runs {
		c.Runs[id] = n
	}
	return c
}
