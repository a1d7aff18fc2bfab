package machine

import (
	"math"

	"github.com/mangopass/mangopass/duty/clock"
)

func (p *Scheduler) pruneStale(now clock.Instant) {
	for a, d := range p.demands {
		d.decay(now)
		if d.idle() {
			delete(p.demands, a)
			delete(p.delayed, a.Base())
		}
	}
	for id := range p.localStates {
		if p.fleet.Get(id) == nil {
			delete(p.localStates, id)
		}
	}
	for id := range p.remoteStates {
		if p.fleet.Get(id) == nil {
			delete(p.remoteStates, id)
		}
	}
}

// modelDemand is what all entry VMs ask of one model with its adapters, and how many runners hold it.
type modelDemand struct {
	waiting  int
	timely   int           // of those, requests that can still be answered within their objective
	due      clock.Instant // the first of these must be sent by then
	since    clock.Instant // requests have waited since; zero: none waits
	rate     float64       // requests per second
	urgent   float64       // of those, requests that cannot wait for a load
	work     float64       // prefill seconds per second
	replicas int           // usable runners that hold the model or are about to
}

// needed returns the replicas that the demand justifies.
func (s *modelDemand) needed() int {
	n := int(math.Ceil(s.work / replicaUtilization))
	if s.urgent >= urgentRateForSpare {
		n = max(n, 2)
	}
	return n
}

// summarizeDemand sums up the demand and the replicas of each model.
func (p *Scheduler) summarizeDemand(now clock.Instant) {
	clear(p.modelDemands)
	clear(p.evictable)
	p.countColdLoads(now)
	for a, d := range p.demands {
		s := p.modelDemand(a.Base())
		q := d.total()
		s.waiting += q.requests
		s.timely += q.timely
		if q.timely > 0 && (s.due == 0 || q.due < s.due) {
			s.due = q.due
		}
		if d.since != 0 && (s.since == 0 || d.since < s.since) {
			s.since = d.since
		}
		s.rate += d.rate()
		s.urgent += d.urgentRate()
		s.work += d.utilization()
	}
	for _, r := range p.fleet.All() {
		if p.engine(r) == nil || !r.Usable(now) {
			continue
		}
		for name := range r.Replicas {
			p.modelDemand(Artifact{Service: r.Service, Model: name}).replicas++
		}
		if m := p.incomingModel(r, now); m != "" && r.Replica(m) == nil {
			p.modelDemand(Artifact{Service: r.Service, Model: m}).replicas++
		}
	}
}

func (p *Scheduler) modelDemand(base Artifact) *modelDemand {
	s := p.modelDemands[base]
	if s == nil {
		s = &modelDemand{}
		p.modelDemands[base] = s
	}
	return s
}

// gain returns what one more replica is worth, in requests: those that wait for the first one, the longer the more, or
// those that come late each second because the present replicas are overloaded.
func (s *modelDemand) gain(now clock.Instant) float64 {
	if s.replicas == 0 {
		if s.waiting == 0 {
			return 0
		}
		return waitingGain * float64(s.waiting) * (1 + now.Sub(s.since).Seconds())
	}
	if s.replicas >= s.needed() {
		return 0
	}
	overload := (s.work/float64(s.replicas) - replicaUtilization) / replicaUtilization
	return replicaGain + s.rate*min(1, max(0, overload))
}

// rank returns how soon a replica is due among others of the same gain: of the requests that wait, those count most that a
// load can still serve within their objective, the nearer to it the more.
func (s *modelDemand) rank(now clock.Instant) float64 {
	gain := s.gain(now)
	if s.replicas > 0 || gain == 0 {
		return gain
	}
	left := s.due.Sub(now)
	if s.timely == 0 || left < shortestLoad {
		return lateRank * gain
	}
	return lateRank*gain + float64(s.timely)*(1+swapTime.Seconds()/left.Seconds())
}
