package machine

import (
	"slices"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
)

// pruneStale forgets demand that has decayed, and the states of runners that are gone.
func (s *Scheduler) pruneStale(now clock.Instant) {
	for need, d := range s.demands {
		d.decay(now)
		if d.idle() {
			delete(s.demands, need)
			delete(s.delayReportedAt, need.Base())
		}
	}
	for id := range s.localStates {
		if s.fleet.Get(id) == nil {
			delete(s.localStates, id)
		}
	}
	for id := range s.remoteStates {
		if s.fleet.Get(id) == nil {
			delete(s.remoteStates, id)
		}
	}
}

// modelDemand is the demand of all entry VMs for one model and its adapters, and the number of its replicas.
type modelDemand struct {
	waiting      int
	timely       int           // of those, requests that can still meet their latency objective
	held         int           // of the waiting requests, those whose runners want no request for longer than a load takes
	due          clock.Instant // latest instant to send the first of these
	waitingSince clock.Instant // start of the current wait; zero: no request waits
	rate         float64       // requests per second
	urgentRate   float64       // of those, requests that cannot wait for a load
	utilization  float64       // prefill seconds per second
	recent       float64       // prefill seconds per second, without demand that has moved away
	lateRate     float64       // requests per second that came late
	slotsUsed    float64       // slots that the requests take, in units of all slots of a runner
	capacity     float64       // replicas, each divided by the slowness of its runner
	lateHeld     bool          // a replica has been added for lateness, and it is too early for another one, or it did not help
	loading      int           // replicas that are not ready
	replicas     int           // usable runners that have the model or are about to load it
	evacuated    bool          // a runner of an evacuated zone has the model ready
	reduced      bool          // a model of the service is still to be relocated from an evacuated zone
	limited      int           // of the replicas, those at runners that state a rate limit or stay cold for longer than a load takes
}

// summarizeDemand sums up the demand and the replicas of each model, and counts the loads from the weight store.
func (s *Scheduler) summarizeDemand(now clock.Instant) {
	s.resetModelDemands()
	clear(s.evictable)
	s.observeColdLoads(now)
	for need, d := range s.demands {
		sum := s.demandFor(need.Base())
		q := d.total()
		sum.waiting += q.requests
		sum.timely += q.timely
		sum.held += q.held
		if q.timely > 0 && (sum.due == 0 || q.due < sum.due) {
			sum.due = q.due
		}
		if d.waitingSince != 0 && (sum.waitingSince == 0 || d.waitingSince < sum.waitingSince) {
			sum.waitingSince = d.waitingSince
		}
		sum.rate += d.rate()
		sum.urgentRate += d.urgentRate()
		sum.utilization += d.utilization()
		sum.recent += d.fallenUtilization()
		sum.lateRate += d.lateRate()
	}
	for _, r := range s.fleet.All() {
		if s.engine(r) == nil || !r.Usable(now) {
			continue
		}
		incoming := s.incomingModel(r, now)
		var leaving []contract.ModelName
		if incoming != "" {
			leaving = s.victims(r, now)
		}
		for name, replica := range r.Replicas {
			if !slices.Contains(leaving, name) {
				s.addReplica(r, name).addPresent(r, replica.ReadyAt.After(now), s.inUse(r, replica))
			}
		}
		if incoming != "" && r.Replica(incoming) == nil {
			s.addReplica(r, incoming).loading++
		}
	}
	for need, d := range s.demands {
		if d.late > 0 && s.modelDemand(need.Artifact.Base()).loading > 0 {
			d.late = 0 // what comes late now says nothing of the load after this replica is there
		}
	}
	s.observeLateness(now)
	s.observeEvacuated(now)
}

// resetModelDemands empties the demands of the last run, and removes those that were empty in it. The others are kept: most models
// of one run are those of the next one.
func (s *Scheduler) resetModelDemands() {
	for need, d := range s.modelDemands {
		if *d == (modelDemand{}) {
			delete(s.modelDemands, need)
		} else {
			*d = modelDemand{}
		}
	}
}

// addReplica counts a replica of a model, also for the requests that need the runner's software version, and returns the demand
// for the model.
func (s *Scheduler) addReplica(r *Runner, m contract.ModelName) *modelDemand {
	a := Artifact{Service: r.Service, Model: m}
	share, limited := 1/s.slowness(r), s.limited(r, m)
	demand := s.modelDemand(a)
	demand.addReplica(share, limited)
	if d := s.versionDemand(a, r); d != nil {
		d.addReplica(share, limited)
	}
	return demand
}

// removeReplica stops to count a replica that is about to be unloaded, so that no further decision of this run relies on it.
func (s *Scheduler) removeReplica(r *Runner, m contract.ModelName) {
	a := Artifact{Service: r.Service, Model: m}
	demands := []*modelDemand{s.modelDemand(a), s.versionDemand(a, r)}
	for _, d := range demands {
		if d == nil {
			continue
		}
		d.replicas--
		d.capacity -= 1 / s.slowness(r)
		if s.limited(r, m) {
			d.limited--
		}
		if !d.surplus(1) {
			clear(s.evictable) // the others are no surplus any more
		}
	}
}

// victims returns the models that a runner has been told to unload, or is about to be.
func (s *Scheduler) victims(r *Runner, now clock.Instant) []contract.ModelName {
	if s.authority.MayOrder(r.ID, now) {
		if state := s.localStates[r.ID]; state != nil && state.boot == r.Boot && state.swap != nil {
			return state.swap.victims
		}
		return nil
	}
	if remote := s.remoteStates[r.ID]; remote != nil && remote.boot == r.Boot && remote.requestUntil.After(now) {
		return remote.request.Victims
	}
	return nil
}

// versionDemand returns the demand of the requests that need a model at a runner's software version, or nil.
func (s *Scheduler) versionDemand(a Artifact, r *Runner) *modelDemand {
	if r.Version == "" {
		return nil
	}
	return s.modelDemands[Need{a, r.Version}]
}

// limited reports whether a runner can't take all the requests for a replica: it states a rate limit, or stays cold for longer than
// a load takes.
func (s *Scheduler) limited(r *Runner, m contract.ModelName) bool {
	return r.RateLimit > 0 || s.staysCold(r, m, s.placedAt)
}

func (d *modelDemand) addReplica(share float64, limited bool) {
	d.replicas++
	d.capacity += share
	if limited {
		d.limited++
	}
}

// starved reports whether requests wait for the model and no replica can take them: there is none, or only at runners that
// state a rate limit or have asked the VM of such a request for a pause.
func (d *modelDemand) starved() bool { return d.waiting > 0 && d.replicas == d.limited || d.held > 0 }

// modelDemand returns the demand for a model that any software version can serve.
func (s *Scheduler) modelDemand(base Artifact) *modelDemand { return s.demandFor(Need{Artifact: base}) }

func (s *Scheduler) demandFor(base Need) *modelDemand {
	d := s.modelDemands[base]
	if d == nil {
		d = &modelDemand{}
		s.modelDemands[base] = d
	}
	return d
}
