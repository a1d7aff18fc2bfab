package machine

import (
	"math"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
)

// Limits of a replica and weights of a further one.
const (
	// slotUtilization is the share of a runner's slots that the requests of one model should take at most: each further
	// request in a batch makes the others slower, and a full batch makes them wait.
	slotUtilization = 0.75
	// saturation is the load from which on no further request is in time, in units of the load that one replica should
	// have at most.
	saturation = 2.0
	// capacityTolerance is the part of a replica's capacity that rounding errors may make up.
	capacityTolerance = 1e-6
	// lateShare is the share of late requests from which on a model gets a further replica although its estimated load
	// needs none, and lateRateForReplica the least rate of them in 1/s. Single late requests have other causes.
	lateShare          = 0.1
	lateRateForReplica = 1.0
	// demandLasts is the time for which the present demand for a model is taken to go on once a load has ended.
	demandLasts = 5 * time.Second
	// furtherLoadsInRow is the number of loads from the weight store for further replicas after which one for a model that
	// requests wait for and that no runner has goes first.
	furtherLoadsInRow = 2
	// slownessCost is the cost of a load at a runner for each multiple of the usual time that the runner takes: a model there
	// serves fewer requests in time.
	slownessCost = 4 * time.Second
	// missingMemory is the time for which such a model keeps its turn. It is longer than the time between two runs.
	missingMemory = 3 * planPeriod
)

// Pace tells how fast the runners work.
type Pace interface {
	// Slowness returns the time that a runner takes in units of the usual time; 1 is as expected.
	Slowness(r RunnerID) float64
	// Slow reports whether a runner is clearly and lastingly slower than usual.
	Slow(r RunnerID) bool
}

// NominalPace is the Pace without measurements.
type NominalPace struct{}

// Slowness implements Pace.
func (NominalPace) Slowness(RunnerID) float64 { return 1 }

// Slow implements Pace.
func (NominalPace) Slow(RunnerID) bool { return false }

// SetPace replaces the nominal pace.
func (s *Scheduler) SetPace(p Pace) { s.pace = p }

// slowness returns the slowness of a slow runner, and 1 for any other. Most measured values of sound runners differ from 1 by
// chance; a load doesn't pay for that.
func (s *Scheduler) slowness(r *Runner) float64 {
	if !s.pace.Slow(r.ID) {
		return 1
	}
	return max(1, s.pace.Slowness(r.ID))
}

// load returns the load of a model in units of that which one replica should have at most, by prefill time or by the slots
// in use.
func (d *modelDemand) load() float64 {
	return max(d.utilization/replicaUtilization, d.slotsUsed/slotUtilization)
}

// comesLate reports whether so many requests come late, though no replica is being loaded, that the estimated load must be
// too low.
func (d *modelDemand) comesLate() bool {
	return d.loading == 0 && d.lateRate >= lateRateForReplica && d.lateRate >= lateShare*d.rate
}

// spares returns the least number of replicas, whatever their runners' pace: a second one of a model with urgent requests is
// there in case the first is lost. Models that are to be relocated from an evacuated zone need the room more.
func (d *modelDemand) spares() int {
	if d.urgentRate >= urgentRateForSpare && !d.reduced {
		return 2
	}
	return 1
}

// lateness reports whether a further replica is due because requests come late.
func (d *modelDemand) lateness() bool { return d.comesLate() && !d.lateHeld }

// needed returns the number of replicas that the demand justifies, as far as it is known: at least one more than there are if
// their capacity is below the load.
func (d *modelDemand) needed() int {
	n := int(math.Ceil(d.load()))
	if d.spares() > 1 {
		n = max(n, d.spares())
	}
	if d.load() > d.capacity+capacityTolerance || d.lateness() {
		n = max(n, d.replicas+1)
	}
	return n
}

// surplus reports whether the demand does not need a replica of the given share of a usual one's capacity. It may need fewer
// replicas than needed returns if the demand has fallen. The capacity is the one by which needed asks for replicas: a replica
// that is surplus for one and not for the other would be loaded and unloaded in turns.
func (d *modelDemand) surplus(share float64) bool {
	load := max(d.recent/replicaUtilization, d.slotsUsed/slotUtilization)
	return d.replicas > d.spares() && d.capacity-share+capacityTolerance >= load
}

// perReplica returns the requests per second that one replica can serve in time.
func (d *modelDemand) perReplica() float64 {
	if load := d.load(); load > saturation {
		return d.rate * saturation / load
	}
	return d.rate
}

// saved returns the requests per second that one more replica keeps from coming late.
func (d *modelDemand) saved() float64 {
	late := 0.0
	if d.capacity > 0 {
		late = d.rate * min(1, max(0, d.load()/d.capacity-1))
	}
	if d.lateness() {
		late = max(late, d.lateRate)
	}
	return min(late, d.perReplica())
}

// unserved returns the share of the requests, from 0 to 1, that the replicas can't serve in time.
func (d *modelDemand) unserved() float64 {
	if d.load() <= saturation*d.capacity {
		return 0
	}
	return 1 - saturation*d.capacity/d.load()
}

// gain returns what one more replica is worth, in requests. If the model is starved, these are the requests that wait,
// weighted by 1 plus the seconds since the wait began. Otherwise they are those that come late each second because the
// present replicas are overloaded, as far as one more replica can serve them.
func (d *modelDemand) gain(now clock.Instant) float64 {
	if d.starved() {
		return waitingGain * float64(d.waiting) * (1 + now.Sub(d.waitingSince).Seconds())
	}
	if d.replicas == 0 || d.replicas >= d.needed() {
		return 0
	}
	return replicaGain + d.saved()
}

// rank returns the priority of one more replica against replicas of other models: the requests that it serves in time while
// the demand lasts. Of the requests that wait, those count most that a load can still serve within their latency objective:
// the less time is left, the more.
func (d *modelDemand) rank(now clock.Instant) float64 {
	if !d.starved() {
		return replicaGain + d.saved()*demandLasts.Seconds()*(1+d.unserved())
	}
	rank := lateWeight*d.gain(now) + d.perReplica()*demandLasts.Seconds()*(1+d.unserved())
	if left := d.due.Sub(now); d.timely > 0 && left >= minLoadTime {
		rank += float64(d.timely) * (1 + swapTime.Seconds()/left.Seconds())
	}
	return rank
}

// addPresent counts a replica that a runner holds, or is loading, and the requests that run on it.
func (d *modelDemand) addPresent(r *Runner, loading bool, running int) {
	if loading {
		d.loading++
	}
	if r.Slots > 0 {
		d.slotsUsed += float64(running) / float64(r.Slots)
	}
}

// yields reports whether a load from the weight store for a further replica has to wait for one of a missing model.
func (w *weightStore) yields(now clock.Instant) bool {
	return w.further >= furtherLoadsInRow && w.missingAt != 0 && now.Sub(w.missingAt) <= missingMemory
}

// ordered counts a load that has been decided on, for a further replica or for a missing model.
func (w *weightStore) ordered(further bool) {
	if w.further++; !further {
		w.further = 0
	}
}
