package overflow

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/zone"
)

// Parameters of the share of a zone's requests that leaves at a lower price.
const (
	// beginExcess is the wait above the mean of the zones from which on the share grows. It lies below the price of a request: the
	// mean counts idle targets too, and requests that leave at that price keep the waits of the zones within it. endExcess is
	// that below which the share shrinks. Between the two it stays, so that it does not follow each burst.
	beginExcess = ordinaryPrice / 4
	endExcess   = ordinaryPrice / 12
	// shareStep is the change of the share in each stepPeriod. Reports of what left reach all VMs within it.
	shareStep  = 0.05
	stepPeriod = 500 * time.Millisecond
	// returnFactor multiplies the step while the zone's wait is below the mean: there is nothing to relieve.
	returnFactor = 4
	// maxShare is the largest share of a zone's requests that leaves at the lower price.
	maxShare = 0.6
	// spareWait is the mean wait up to which a zone takes requests of others at the lower price. What a busier one could take
	// is kept for its own callers.
	spareWait = 100 * time.Millisecond
	// waitHalfLife is the time in which a change of a zone's wait counts for half. It is long beside the age of reports: VMs that
	// follow each change all send to the same zones.
	waitHalfLife = 2 * time.Second
)

// ZoneLoad is the load of the targets of a service in one zone.
type ZoneLoad struct {
	Zone    zone.ID
	Targets int           // that may get new requests
	Wait    time.Duration // expected wait of the next request, summed up over the targets
	Heard   bool          // the reports of the zone's VMs arrive, so that Wait is known
}

// Part is what a zone gets of the share that leaves.
type Part struct {
	Zone  zone.ID
	Share float64 // of all requests of the zone that they leave
}

// Policy holds what is known of the waits in the zones, and the share of this zone's requests that leaves, by service.
type Policy struct {
	zones    zone.Map
	services map[contract.ServiceName]*service
}

// service is the state of one service.
type service struct {
	from       zone.ID
	loads      map[zone.ID]*load
	observedAt clock.Instant
	steppedAt  clock.Instant
	share      float64
	room       float64 // sum over all zones
}

// load is what is known of the targets of a zone.
type load struct {
	targets float64
	wait    float64 // moving average of the mean wait at the targets, in ns
	heard   bool
	room    float64 // what the zone can spare for others, as a wait in ns summed up over its targets
}

// NewPolicy returns a policy that knows no loads.
func NewPolicy(zones zone.Map) *Policy {
	return &Policy{zones: zones, services: make(map[contract.ServiceName]*service)}
}

// Change is the begin or the end of the overflow of a service.
type Change struct {
	Begins bool
	Wait   time.Duration // mean of this zone
	Mean   time.Duration // of all zones that are heard
	Parts  []Part
}

// Observe takes the present loads of a service's targets, by zone, and moves the share of the requests of zone from. Zones
// without targets are left out. It returns the change if the overflow begins or ends.
func (p *Policy) Observe(name contract.ServiceName, from zone.ID, loads []ZoneLoad, now clock.Instant) (Change, bool) {
	s := p.services[name]
	if s == nil || s.from != from {
		s = &service{from: from, loads: make(map[zone.ID]*load), steppedAt: now}
		p.services[name] = s
	}
	s.average(loads, now)
	before := s.share
	home, mean := s.loads[from], s.mean()
	s.measureRoom(mean)
	if now.Sub(s.steppedAt) >= stepPeriod || home == nil {
		s.steppedAt = now
		s.step(home, mean)
	}
	change := Change{Begins: before == 0, Mean: time.Duration(mean), Parts: s.parts()}
	if home != nil {
		change.Wait = time.Duration(home.wait)
	}
	return change, (before == 0) != (s.share == 0)
}

// Forget removes the services that the function does not know any more. It returns those whose overflow ends with that.
func (p *Policy) Forget(known func(contract.ServiceName) bool) []contract.ServiceName {
	var ended []contract.ServiceName
	for name, s := range p.services {
		if known(name) {
			continue
		}
		if s.share > 0 {
			ended = append(ended, name)
		}
		delete(p.services, name)
	}
	return ended
}

// average brings the averages of the waits up to date.
func (s *service) average(loads []ZoneLoad, now clock.Instant) {
	weight := 1 - math.Exp2(-float64(now.Sub(s.observedAt))/float64(waitHalfLife))
	s.observedAt = now
	seen := make(map[zone.ID]bool, len(loads))
	for _, in := range loads {
		if in.Targets <= 0 {
			continue
		}
		seen[in.Zone] = true
		wait := float64(max(0, in.Wait)) / float64(in.Targets)
		l := s.loads[in.Zone]
		if l == nil || !l.heard && in.Heard {
			l = &load{wait: wait}
			s.loads[in.Zone] = l
		}
		l.targets, l.heard = float64(in.Targets), in.Heard
		l.wait += weight * (wait - l.wait)
	}
	for id := range s.loads {
		if !seen[id] {
			delete(s.loads, id)
		}
	}
}

// mean returns the mean wait at the targets of all zones that are heard.
func (s *service) mean() float64 {
	sum, targets := 0.0, 0.0
	for _, l := range s.loads {
		if l.heard {
			sum += l.wait * l.targets
			targets += l.targets
		}
	}
	if targets == 0 {
		return 0
	}
	return sum / targets
}

// measureRoom finds what each zone can spare: its targets' waits up to the mean, so that all VMs that send there together do not
// make it busier than the others, and never above spareWait.
func (s *service) measureRoom(mean float64) {
	s.room = 0
	for id, l := range s.loads {
		l.room = 0
		if id != s.from && l.heard {
			l.room = max(0, min(mean, float64(spareWait))-l.wait) * l.targets
		}
		s.room += l.room
	}
}

// step moves the share by one step.
func (s *service) step(home *load, mean float64) {
	if home == nil { // no target here: all requests leave, whatever the price
		s.share = 0
		return
	}
	switch excess := home.wait - mean; {
	case s.room == 0 || excess < 0:
		s.share = max(0, s.share-returnFactor*shareStep)
	case excess >= float64(beginExcess):
		s.share = min(maxShare, s.share+shareStep)
	case excess < float64(endExcess):
		s.share = max(0, s.share-shareStep)
	}
	if s.share < shareStep/2 { // what rounding leaves
		s.share = 0
	}
}

// parts divides the share among the zones by their room.
func (s *service) parts() []Part {
	var out []Part
	for id, l := range s.loads {
		if s.share > 0 && l.room > 0 {
			out = append(out, Part{Zone: id, Share: s.share * l.room / s.room})
		}
	}
	slices.SortFunc(out, func(a, b Part) int { return strings.Compare(string(a.Zone), string(b.Zone)) })
	return out
}

// ServiceState is what the policy knows of one service, for operators.
type ServiceState struct {
	Service contract.ServiceName
	Share   float64
	Parts   []Part
	Waits   map[zone.ID]time.Duration // means of the zones that are heard
	Silent  []zone.ID                 // zones with targets that are not heard
}

// States returns the state of all services with targets in more than one zone, sorted by name.
func (p *Policy) States() []ServiceState {
	var out []ServiceState
	for name, s := range p.services {
		if len(s.loads) < 2 {
			continue
		}
		state := ServiceState{Service: name, Share: s.share, Parts: s.parts(), Waits: make(map[zone.ID]time.Duration)}
		for id, l := range s.loads {
			if l.heard {
				state.Waits[id] = time.Duration(l.wait)
			} else {
				state.Silent = append(state.Silent, id)
			}
		}
		slices.Sort(state.Silent)
		out = append(out, state)
	}
	slices.SortFunc(out, func(a, b ServiceState) int { return strings.Compare(string(a.Service), string(b.Service)) })
	return out
}
