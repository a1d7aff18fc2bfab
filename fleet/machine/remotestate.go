package machine

import (
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
	known        bool               // as RunnerView.Known; false after the loss of the leader
	lastView     clock.Instant      // arrival of the last view
	busyUntil    clock.Instant      // the runner is expected to take the next order then
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
func (s *remoteState) setRequest(model contract.ModelName, adapter contract.AdapterName, now clock.Instant) {
	s.request = LoadRequest{Model: model, Adapter: adapter}
	s.requestUntil = now.Add(loadRequestTimeout)
}

// responsive reports whether the leader has lately sent a view of the runner's known state. Leaders repeat their
// views, so missing views mean that the leader is gone, cut off or suspended.
func (s *remoteState) responsive(now clock.Instant) bool {
	return s.known && now.Sub(s.lastView) < maxMissedViews*viewPeriod
}

// idle reports whether the leader can be asked for a load at now.
func (s *remoteState) idle(now clock.Instant) bool {
	return s.responsive(now) && s.incoming == "" && !s.busyUntil.After(now) && !s.requestUntil.After(now)
}

// freeIn returns the expected time until the leader can be asked for a load at the runner.
func (s *remoteState) freeIn(now clock.Instant) time.Duration {
	wait := max(0, s.busyUntil.Sub(now), s.requestUntil.Sub(now))
	switch {
	case s.incoming != "":
		wait += swapTime
	case !s.responsive(now):
		wait = max(wait, reportLag)
	}
	return wait
}

// ApplyView replaces the known contents of a runner by those in its leader's view. Views of earlier terms, of
// another start of the runner, and of runners whose state is authoritative here are ignored.
func (s *Scheduler) ApplyView(v RunnerView, now clock.Instant) {
	r := s.fleet.Get(v.Runner)
	if r == nil || r.Boot != v.Boot || r.authoritative {
		return
	}
	state := s.remoteState(r)
	if v.Fence < state.fence {
		return
	}
	state.fence, state.known, state.busyUntil, state.incoming, state.lastView =
		v.Fence, v.Known, now.Add(v.BusyFor), v.Coming, now
	if v.Coming != "" || v.BusyFor > 0 {
		state.requestUntil = 0 // a load request has been taken up or is outdated
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

// LeaderLost records that the leader of a shard is gone. No loads are requested at the shard's runners until a
// new leader sends their states.
func (s *Scheduler) LeaderLost(shard Shard) {
	for id, state := range s.remoteStates {
		if ShardOf(id) == shard {
			state.known = false
		}
	}
}
