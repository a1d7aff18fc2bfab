package machine

import (
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
)

// observeUnknown notes whether the leader's view shows an order in progress that it can't name: an earlier leader gave it. A view
// of a state that is only inexact shows a runner as busy for reportLag at most.
func (s *remoteState) observeUnknown(v RunnerView, now clock.Instant) {
	switch {
	case v.Known || v.BusyFor <= reportLag:
		s.unknownSince = 0
	case s.unknownSince == 0:
		s.unknownSince = now
	}
}

// unknownLoad reports whether a runner is busy with an order that this process doesn't know. After a restart of a leader it may
// be a load from the weight store, which is told from others only by its end; it counts for no longer than one takes.
func (s *Scheduler) unknownLoad(r *Runner, e *contract.Engine, now clock.Instant) bool {
	since, until := clock.Instant(0), clock.Instant(0)
	if s.authority.MayOrder(r.ID, now) {
		if state := s.localStates[r.ID]; state != nil && state.boot == r.Boot {
			since, until = state.loadBegan, state.busyUntil
		}
	} else if state := s.remoteStates[r.ID]; state != nil && state.boot == r.Boot {
		since, until = state.unknownSince, state.busyUntil
	}
	if since == 0 || !until.After(now) {
		return false
	}
	for _, replica := range r.Replicas {
		if replica.ReadyAt.After(now) {
			return false
		}
	}
	return now.Sub(since) <= longestColdLoad(e)
}

// longestColdLoad returns the longest time that a load of any model from the weight store is expected to take.
func longestColdLoad(e *contract.Engine) time.Duration {
	longest := time.Duration(0)
	for _, m := range e.Models {
		longest = max(longest, m.LoadCold)
	}
	return maxColdLoadFactor * longest
}

// unobserved reports whether a load that this process has ordered at a runner should have ended, and no report will show it: a
// runner that gets nothing new is not asked for its state.
func (s *Scheduler) unobserved(r *Runner, now clock.Instant) bool {
	state := s.localStates[r.ID]
	return !r.Usable(now) && s.authority.MayOrder(r.ID, now) && state != nil && state.boot == r.Boot &&
		!state.busyUntil.After(now)
}
