package machine

import (
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/zone"
)

// relocationMargin is the factor by which a model of an evacuated zone must be worth more than the models that it replaces.
// Estimates of demand vary; a smaller difference does not pay for a load.
const relocationMargin = 1.5

// expectedRequests is the least number of requests that must be expected during a load for it to start before one waits: the runner
// can't load what others wait for meanwhile.
const expectedRequests = 1.0

// Evacuate states whether a zone is evacuated: its runners, also those that join later, then get nothing new.
func (f *Fleet) Evacuate(z zone.ID, evacuated bool) {
	if evacuated {
		f.evacuated[z] = true
	} else {
		delete(f.evacuated, z)
	}
	for _, r := range f.sorted {
		r.Evacuated = f.evacuated[r.Zone]
	}
}

// observeEvacuated notes the models that runners of evacuated zones hold, and the services of which one is still to be relocated. A
// model that is no longer held there, and one whose zone was taken back, may be relocated again later.
func (s *Scheduler) observeEvacuated(now clock.Instant) {
	for _, r := range s.fleet.All() {
		e := s.engine(r)
		if e == nil || !r.Evacuated {
			continue
		}
		for name, replica := range r.Replicas {
			if _, known := e.Models[name]; known && replica.Ready("", now) {
				s.modelDemand(Artifact{Service: r.Service, Model: name}).evacuated = true
			}
		}
	}
	for need := range s.relocated {
		if !s.demandFor(need).evacuated {
			delete(s.relocated, need)
		}
	}
	relocating := make(map[contract.ServiceName]bool)
	for need, d := range s.modelDemands {
		if s.relocationGain(need, d, now) > 0 {
			relocating[need.Service] = true
		}
	}
	for need, d := range s.modelDemands {
		d.reduced = relocating[need.Service]
	}
}

// endEvacuatedSwap drops the swap in progress at a runner of an evacuated zone. Its model is loaded elsewhere, and would be loaded a
// second time once the zone is taken back.
func (s *Scheduler) endEvacuatedSwap(r *Runner, now clock.Instant) {
	if state := s.localStates[r.ID]; r.Evacuated && state != nil && state.swap != nil && state.pending == nil {
		state.invalidate(now)
		s.markChanged(r.ID)
	}
}

// relocates reports whether only evacuated runners have the model, and no request waits for it.
func (d *modelDemand) relocates() bool { return d.evacuated && d.replicas == 0 && d.waiting == 0 }

// relocationGain returns what the load of a model that only evacuated runners hold is worth before requests wait for it, in the
// unit of replicaValue: what its recent requests would lose if each waited for a load from the nearest copy. A model is
// relocated once in an evacuation; if it is unloaded again, others were worth more, and it waits for requests.
func (s *Scheduler) relocationGain(need Need, d *modelDemand, now clock.Instant) float64 {
	if !d.relocates() || need.Version != "" || s.relocated[need] {
		return 0
	}
	load := s.nearestLoad(need, now).Seconds()
	if d.rate*load < expectedRequests {
		return 0
	}
	return d.lossRate() * load / relocationMargin
}

// nearestLoad returns the duration of a load of a model from the nearest copy.
func (s *Scheduler) nearestLoad(need Need, now clock.Instant) time.Duration {
	service := s.services[need.Service]
	if service == nil || service.Engine == nil {
		return 0
	}
	return s.fleet.Outlook(need.Service, service.Engine.Models[need.Model], now).Load
}

// relocationRank returns the priority of such a load. It is below that of a model with the same demand that requests wait for, and
// the sooner the load ends, the higher: a load from the weight store serves nobody while it lasts.
func (d *modelDemand) relocationRank(load time.Duration) float64 {
	return d.lossRate() / (1 + load.Seconds())
}

// lossRate returns the loss for each second for which the model is not loaded, in units of one request that waits for a second.
func (d *modelDemand) lossRate() float64 {
	return d.urgentRate*urgentLoss + (d.rate-d.urgentRate)*deferrableLoss
}
