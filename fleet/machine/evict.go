package machine

import (
	"cmp"
	"slices"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
)

// eviction is a choice of models to unload.
type eviction struct {
	victims []contract.ModelName
	lost    float64 // value of the victims
	inUse   bool    // requests run on a victim; its unload waits for them
	now     bool    // the unloads can be ordered now
}

// candidate is a model that may be unloaded.
type candidate struct {
	name  contract.ModelName
	mb    float64
	value float64
	inUse bool
	now   bool
}

// evict chooses the models whose removal makes room at the least cost; ok is false if there is no room to be made.
func (p *Scheduler) evict(r *Runner, e *contract.Engine, need float64, now clock.Instant) (out eviction, ok bool) {
	free := e.WeightsMB - usedMB(r, e)
	candidates, known := p.evictable[r.ID]
	if !known {
		candidates = p.candidates(r, e, now)
		p.evictable[r.ID] = candidates
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
	// Models whose removal turns out to be needless stay, the costliest first.
	for i := len(chosen) - 1; i >= 0; i-- {
		if free-chosen[i].mb >= need {
			free -= chosen[i].mb
			chosen = slices.Delete(chosen, i, i+1)
		}
	}
	out.now = true
	for _, c := range chosen {
		out.victims = append(out.victims, c.name)
		out.lost += c.value
		out.inUse = out.inUse || c.inUse
		out.now = out.now && c.now
	}
	return out, true
}

// candidates returns the models on a runner, those first whose removal costs least.
func (p *Scheduler) candidates(r *Runner, e *contract.Engine, now clock.Instant) []candidate {
	var out []candidate
	for name, replica := range r.Replicas {
		s := p.modelDemand(Artifact{Service: r.Service, Model: name})
		if s.waiting > 0 && s.replicas <= 1 {
			continue
		}
		m := e.Models[name]
		c := candidate{
			name: name, mb: m.WeightsMB + float64(len(replica.Adapters))*m.AdapterMB, value: p.value(r, m),
			inUse: p.inUse(r, replica) > 0,
		}
		c.now = !replica.ReadyAt.Add(settleTime).After(now) && (!c.inUse || s.replicas > 1)
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.cost(), b.cost()), cmp.Compare(a.name, b.name))
	})
	return out
}

// cost returns the value lost and the time until the model's runs have ended.
func (c candidate) cost() float64 {
	if c.inUse || !c.now {
		return c.value + runTime.Seconds()
	}
	return c.value
}

func (p *Scheduler) inUse(r *Runner, replica *Replica) int {
	n := p.usage.Running(Place{r.ID, Artifact{Service: r.Service, Model: replica.Model}})
	for adapter := range replica.Adapters {
		n += p.usage.Running(Place{r.ID, Artifact{Service: r.Service, Model: replica.Model, Adapter: adapter}})
	}
	return n
}

// value returns what the loss of a replica is expected to cost, in the unit of one request that waits a second.
func (p *Scheduler) value(r *Runner, m contract.Model) float64 {
	s := p.modelDemand(Artifact{Service: r.Service, Model: m.Name})
	if s.replicas > max(1, s.needed()) {
		return surplusValue
	}
	return (s.urgent*urgentLoss + (s.rate-s.urgent)*deferrableLoss) * p.loadTime(r, m).Seconds() / float64(max(1, s.replicas))
}
