package machine

import (
	"cmp"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
)

// loadRequestTimeout is how long the planner waits until the effect of a load request shows in the leader's view.
const loadRequestTimeout = 200 * time.Millisecond

// remoteState is what this process knows of a runner that another VM leads.
type remoteState struct {
	boot         int64              // start of the runner to which the state belongs
	fence        int64              // of the leader's term, from the last view
	version      uint64             // of the last view
	source       string             // name of the VM from which the last view came
	below        bool               // this VM relays for the source
	known        bool               // as RunnerView.Known; false after the loss of the leader
	busyUntil    clock.Instant      // the runner is expected to take the next order then
	unknownSince clock.Instant      // start of an order in progress that the view doesn't name; zero: none
	incoming     contract.ModelName // model about to be loaded; empty: none
	request      LoadRequest        // the last one to the leader
	requestUntil clock.Instant      // the request counts as under way until then
}

func (s *Scheduler) remoteState(r *Runner) *remoteState {
	state := s.remoteStates[r.ID]
	if state == nil || state.boot != r.Boot {
		state = &remoteState{boot: r.Boot}
		s.remoteStates[r.ID] = state
	}
	return state
}

// setRequest records a load request that is sent to the leader at now.
func (s *remoteState) setRequest(request LoadRequest, now clock.Instant) {
	s.request, s.requestUntil = request, now.Add(loadRequestTimeout)
}

// idle reports whether the leader can be asked for a load at now.
func (s *remoteState) idle(now clock.Instant) bool {
	return s.known && s.incoming == "" && !s.busyUntil.After(now) && !s.requestUntil.After(now)
}

// freeIn returns the expected time until the leader can be asked for a load at the runner.
func (s *remoteState) freeIn(now clock.Instant) time.Duration {
	wait := max(0, s.busyUntil.Sub(now), s.requestUntil.Sub(now))
	switch {
	case s.incoming != "":
		wait += swapTime
	case !s.known:
		wait = max(wait, reportLag)
	}
	return wait
}

// ApplyView replaces the known contents of a runner by those in its leader's view, which came from the VM source; below
// says whether this VM relays for it. Views that are older than the last one, of another start of the runner, and of
// runners whose state is authoritative here are ignored. The view of a runner that is not known yet is kept until its
// announcement.
func (s *Scheduler) ApplyView(v RunnerView, source string, below bool, now clock.Instant) {
	r := s.fleet.Get(v.Runner)
	switch {
	case r == nil || r.Boot < v.Boot:
		s.keepEarlyView(earlyView{view: v, source: source, below: below, at: now})
		return
	case r.Boot != v.Boot || r.authoritative:
		return
	}
	state := s.remoteState(r)
	if v.Fence < state.fence || v.Fence == state.fence && v.Version <= state.version {
		return
	}
	state.fence, state.version, state.known = v.Fence, v.Version, v.Known
	state.source, state.below = source, below
	r.stateMemory(v.memory(now))
	state.busyUntil, state.incoming = now.Add(v.BusyFor), v.Coming
	if v.Coming != "" || v.BusyFor > 0 {
		state.requestUntil = 0 // a load request has been taken up or is outdated
	}
	state.observeUnknown(v, now)
	s.version++
	s.changed[r.ID] = s.version
	if below {
		s.versionBelow = s.version
	}
	if !v.Known {
		return
	}
	r.confirmedAt = now
	replicas := make(map[contract.ModelName]*Replica, len(v.Models))
	for _, mv := range v.Models {
		replica := &Replica{
			Model: mv.Model, ReadyAt: now.Add(mv.ReadyIn),
			Adapters: make(map[contract.AdapterName]clock.Instant, len(mv.Adapters)),
		}
		for _, a := range mv.Adapters {
			replica.Adapters[a.Adapter] = now.Add(a.ReadyIn)
			if state.request.Model == mv.Model && state.request.Adapter == a.Adapter {
				state.requestUntil = 0
			}
		}
		replicas[mv.Model] = replica
	}
	r.Replicas = replicas
}

// earlyView is a view of a runner whose entry in the store has not been read yet.
type earlyView struct {
	view   RunnerView
	source string
	below  bool
	at     clock.Instant // arrival
}

// maxEarlyViews limits the views that are kept for runners that are not known yet. earlyViewTime is how long they are
// kept; entries reach this process within two seconds.
const (
	maxEarlyViews = 4096
	earlyViewTime = 5 * time.Second
)

func (s *Scheduler) keepEarlyView(e earlyView) {
	if last, ok := s.earlyViews[e.view.Runner]; !ok && len(s.earlyViews) >= maxEarlyViews ||
		ok && last.view.newer(e.view) {
		return
	}
	s.earlyViews[e.view.Runner] = e
}

// newer reports whether a view is newer than another one of the same runner.
func (v RunnerView) newer(other RunnerView) bool {
	return cmp.Or(
		cmp.Compare(v.Boot, other.Boot), cmp.Compare(v.Fence, other.Fence), cmp.Compare(v.Version, other.Version)) > 0
}

// RunnerAnnounced applies the view that came before a runner's announcement.
func (s *Scheduler) RunnerAnnounced(id RunnerID, now clock.Instant) {
	e, ok := s.earlyViews[id]
	if !ok {
		return
	}
	delete(s.earlyViews, id)
	if age := now.Sub(e.at); age <= earlyViewTime {
		s.ApplyView(e.view.aged(age), e.source, e.below, now)
	}
}

// aged returns a view as it stands after the given time.
func (v RunnerView) aged(by time.Duration) RunnerView {
	v.BusyFor = max(0, v.BusyFor-by)
	v.UsedAgo += by
	models := make([]ModelView, len(v.Models))
	for i, m := range v.Models {
		m.ReadyIn = max(0, m.ReadyIn-by)
		adapters := make([]AdapterView, len(m.Adapters))
		for k, a := range m.Adapters {
			adapters[k] = AdapterView{Adapter: a.Adapter, ReadyIn: max(0, a.ReadyIn-by)}
		}
		m.Adapters = adapters
		models[i] = m
	}
	v.Models = models
	return v
}

// LeaderLost records that the leader of a shard under the term with the given fence is gone. No loads are requested at
// the shard's runners until a new leader sends their states.
func (s *Scheduler) LeaderLost(shard Shard, fence int64) {
	for id, state := range s.remoteStates {
		if ShardOf(id) == shard && state.fence <= fence {
			state.known = false
		}
	}
}
