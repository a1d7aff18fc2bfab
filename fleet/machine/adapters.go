package machine

import (
	"cmp"
	"math"
	"slices"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
)

// adapterIncoming reports whether a runner is about to load an adapter that its replica does not list yet.
func (s *Scheduler) adapterIncoming(r *Runner, m contract.ModelName, a contract.AdapterName, now clock.Instant) bool {
	if s.authority.MayOrder(r.ID, now) {
		state := s.localStates[r.ID]
		return state != nil && state.boot == r.Boot && state.pending != nil && state.pending.Kind == Load &&
			state.pending.Model == m && state.pending.Adapter == a
	}
	remote := s.remoteStates[r.ID]
	return remote != nil && remote.boot == r.Boot && remote.requestUntil.After(now) &&
		remote.request.Model == m && remote.request.Adapter == a
}

// placeAdapters starts the loads of adapters that requests wait for and that no replica of their model has.
func (s *Scheduler) placeAdapters(now clock.Instant, plan *Plan) {
	var wanted []Need
	for a, d := range s.demands {
		if a.Adapter != "" && len(d.waiting) > 0 {
			wanted = append(wanted, a)
		}
	}
	slices.SortFunc(wanted, func(a, b Need) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	for _, a := range wanted {
		s.placeAdapter(a, now, plan)
	}
}

// placeAdapter starts the load of an adapter, unless a runner has it or is about to load it. Of the idle runners with a
// ready replica of the model it chooses the one with the least prefill time queued; where another adapter must be
// unloaded first, adapterLoadTime is added to that.
func (s *Scheduler) placeAdapter(a Need, now clock.Instant, plan *Plan) {
	var best *Runner
	lowest := math.Inf(1)
	for _, r := range s.fleet.All() {
		if r.Service != a.Service || !a.Serves(r) || s.engine(r) == nil || !r.Usable(now) {
			continue
		}
		replica := r.Replica(a.Model)
		if replica == nil {
			continue
		}
		if _, loaded := replica.Adapters[a.Adapter]; loaded || s.adapterIncoming(r, a.Model, a.Adapter, now) {
			return
		}
		if !replica.Ready("", now) || !s.idle(r, now) {
			continue
		}
		cost := s.usage.Queued(r.ID).Seconds()
		if !s.adapterFits(r, a.Artifact) {
			if _, ok := s.leastUsedAdapter(r, now); !ok {
				continue
			}
			cost += adapterLoadTime.Seconds()
		}
		if cost < lowest {
			best, lowest = r, cost
		}
	}
	if best == nil {
		return
	}
	request := LoadRequest{Runner: best.ID, Boot: best.Boot, Model: a.Model, Adapter: a.Adapter}
	if !s.adapterFits(best, a.Artifact) {
		request.Victim, _ = s.leastUsedAdapter(best, now)
	}
	s.start(request, now, plan)
}

// adapterFits reports whether a runner has a free adapter slot and enough memory for an adapter.
func (s *Scheduler) adapterFits(r *Runner, a Artifact) bool {
	return adapterCount(r) < s.engine(r).AdapterSlots && s.freeAfterLoad(r, a.Model, a.Adapter) >= 0
}

// loadAdapter orders the load of an adapter or, if it doesn't fit, the unload of the request's victim.
func (s *Scheduler) loadAdapter(r *Runner, request LoadRequest, now clock.Instant, plan *Plan) {
	replica := r.Replica(request.Model)
	if replica == nil || !replica.Ready("", now) {
		return
	}
	if _, loaded := replica.Adapters[request.Adapter]; loaded {
		return
	}
	state := s.localState(r)
	if s.adapterFits(r, Artifact{Service: r.Service, Model: request.Model, Adapter: request.Adapter}) {
		if incomingAdapterCount(r, now) < maxIncomingAdapters {
			s.issueOrder(r, state, Load, request.Model, request.Adapter, plan)
		}
		return
	}
	victim := request.Victim
	if holder := r.Replica(victim.Model); holder != nil && victim.Adapter != "" && holder.Ready(victim.Adapter, now) {
		s.issueOrder(r, state, Unload, victim.Model, victim.Adapter, plan)
	}
}

// leastUsedAdapter returns the adapter on a runner that has had the fewest requests lately, of those that no request
// uses or waits for and that have been ready for minLoadedTime. It reports false if there is none.
func (s *Scheduler) leastUsedAdapter(r *Runner, now clock.Instant) (Artifact, bool) {
	var victim Artifact
	lowest := math.Inf(1)
	for _, replica := range r.Replicas {
		for name, readyAt := range replica.Adapters {
			a := Artifact{Service: r.Service, Model: replica.Model, Adapter: name}
			if readyAt.Add(minLoadedTime).After(now) || s.usage.Running(Place{r.ID, a}) > 0 {
				continue
			}
			if d := s.demands[Need{a, r.Version}]; d != nil && r.Version != "" && len(d.waiting) > 0 {
				continue
			}
			value := 0.0
			if d := s.demands[Need{Artifact: a}]; d != nil {
				value = d.arrivals
				if len(d.waiting) > 0 {
					continue
				}
			}
			if value < lowest || value == lowest && name < victim.Adapter {
				victim, lowest = a, value
			}
		}
	}
	return victim, victim.Adapter != ""
}

// incomingAdapterCount returns the number of adapters that a runner is loading.
func incomingAdapterCount(r *Runner, now clock.Instant) int {
	n := 0
	for _, replica := range r.Replicas {
		for _, readyAt := range replica.Adapters {
			if readyAt.After(now) {
				n++
			}
		}
	}
	return n
}
