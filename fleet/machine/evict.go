package machine

import (
	"cmp"
	"slices"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
)

// eviction is a set of models to unload from a runner, so that another one fits.
type eviction struct {
	victims  []contract.ModelName
	lost     float64 // summed value of the victims
	inUse    bool    // requests run on a victim, whose unload waits for them
	canStart bool    // all unloads can be ordered now
}

// candidate is a model that may be unloaded.
type candidate struct {
	name      contract.ModelName
	mb        float64
	value     float64 // see replicaValue
	inUse     bool    // requests run on it
	canUnload bool    // its unload can be ordered now
}

// evict chooses the models to unload from a runner so that need MB of its memory are free, the cheapest first. The
// result has no victims if that much is free already; ok is false if unloads cannot free enough.
func (s *Scheduler) evict(r *Runner, e *contract.Engine, need float64, now clock.Instant) (result eviction, ok bool) {
	free := e.WeightsMB - usedMB(r, e)
	candidates, cached := s.evictable[r.ID]
	if !cached {
		candidates = s.candidates(r, e, now)
		s.evictable[r.ID] = candidates
	}
	var chosen []candidate
	for _, c := range candidates {
		if free >= need {
			break
		}
		chosen = append(chosen, c)
		free += c.mb
	}
	if free < need {
		return eviction{}, false
	}
	// Spare the models whose unload turns out to be unnecessary, beginning with the costliest.
	for i := len(chosen) - 1; i >= 0; i-- {
		if free-chosen[i].mb >= need {
			free -= chosen[i].mb
			chosen = slices.Delete(chosen, i, i+1)
		}
	}
	result.canStart = true
	for _, c := range chosen {
		result.victims = append(result.victims, c.name)
		result.lost += c.value
		result.inUse = result.inUse || c.inUse
		result.canStart = result.canStart && c.canUnload
	}
	return result, true
}

// candidates returns the models on a runner that may be unloaded, the cheapest first. The only replica of a model
// that requests wait for is not among them.
func (s *Scheduler) candidates(r *Runner, e *contract.Engine, now clock.Instant) []candidate {
	var out []candidate
	for name, replica := range r.Replicas {
		demand := s.modelDemand(Artifact{Service: r.Service, Model: name})
		if demand.waiting > 0 && demand.replicas <= 1 {
			continue
		}
		pinned := s.versionDemand(Artifact{Service: r.Service, Model: name}, r)
		if pinned != nil && pinned.waiting > 0 && pinned.replicas <= 1 {
			continue
		}
		m := e.Models[name]
		c := candidate{
			name: name, mb: replicaMB(replica, e), value: s.replicaValue(r, m, now),
			inUse: s.inUse(r, replica) > 0,
		}
		c.canUnload = !replica.ReadyAt.Add(minLoadedTime).After(now) && (!c.inUse || demand.replicas > 1)
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.cost(), b.cost()), cmp.Compare(a.name, b.name))
	})
	return out
}

// cost returns the value that an unload loses, plus the time in seconds until it can start.
func (c candidate) cost() float64 {
	if c.inUse || !c.canUnload {
		return c.value + drainTime.Seconds()
	}
	return c.value
}

// inUse returns the number of requests that run on a replica or its adapters.
func (s *Scheduler) inUse(r *Runner, replica *Replica) int {
	n := s.usage.Running(Place{r.ID, Artifact{Service: r.Service, Model: replica.Model}})
	for adapter := range replica.Adapters {
		n += s.usage.Running(Place{r.ID, Artifact{Service: r.Service, Model: replica.Model, Adapter: adapter}})
	}
	return n
}

// replicaValue returns what the loss of a replica is expected to cost, in the unit of one request that waits for a
// second: the rate of requests, weighted by their loss per second of waiting, times the time that it takes to load
// the model again, divided among the replicas. A replica that the demand does not need has surplusValue. The last replica
// keeps a value without any demand, and so does every replica while too little is known of the demand.
func (s *Scheduler) replicaValue(r *Runner, m contract.Model, now clock.Instant) float64 {
	demand := s.modelDemand(Artifact{Service: r.Service, Model: m.Name})
	informed := s.informed(now)
	if informed && demand.surplus(1/s.slowness(r)) {
		return surplusValue
	}
	loss := (demand.urgentRate*urgentLoss + (demand.rate-demand.urgentRate)*deferrableLoss) / float64(max(1, demand.replicas))
	if !informed || demand.replicas <= 1 {
		loss += lastReplicaRate
	}
	return loss * s.loadTime(r, m).Seconds()
}

// informed reports whether this process has known of demand for long enough to tell what needs no replicas. A planner that has
// just taken over knows as little as all do before the first requests.
func (s *Scheduler) informed(now clock.Instant) bool {
	return len(s.demands) > 0 && now.Sub(s.demandSince) >= demandTimeConstant
}
