package share

import (
	"math"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
)

const (
	// halfLife is the time in which what was asked and given comes to count for half. It covers the reports of a large zone and
	// follows a load within seconds.
	halfLife = 4 * time.Second
	// maxScale is the scale of a ledger from which on its sums are brought to scale 1.
	maxScale = 1e6
	// forgottenSum is the sum, in seconds at targets, below which an organisation counts as not asking.
	forgottenSum = 0.002
)

// Key names an organisation at a service. The requests of routes without keys have an empty organisation.
type Key struct {
	Service      contract.ServiceName
	Organisation contract.OrganisationName
}

// sums are decayed times at targets, in seconds.
type sums struct {
	asked  float64
	missed float64 // of asked: what found no runner at which it could be in time
	within float64 // sent within the organisation's share, to a runner at which it could be in time
	done   float64 // answered
}

func (s sums) plus(o sums, factor float64) sums {
	return sums{
		asked: s.asked + factor*o.asked, missed: s.missed + factor*o.missed, within: s.within + factor*o.within,
		done: s.done + factor*o.done,
	}
}

// demand returns what counts as asked in the division. A repeated request is asked once, but takes its time each time that it is
// sent.
func (s sums) demand() float64 { return max(s.asked, s.within) }

// ledger holds the sums of all entry VMs. They decay exponentially, which leaves sums exact: all are stored multiplied by one
// scale that grows with the time since a landmark, so that adding is all that is needed.
type ledger struct {
	landmark clock.Instant
	services map[contract.ServiceName]*service
	peers    map[string]*neighbour
}

// neighbour is what a neighbour has reported and been told.
type neighbour struct {
	below     bool // this VM relays for it
	held      map[Key]sums
	told      map[Key]sums
	allowance allowance
}

// service is the state of one service.
type service struct {
	total map[contract.OrganisationName]sums // of all VMs
	below map[contract.OrganisationName]sums // of this VM and those that it relays for
	saturation
	division
}

func newLedger() ledger {
	return ledger{services: make(map[contract.ServiceName]*service), peers: make(map[string]*neighbour)}
}

// scaleSums returns the factor by which stored sums exceed their value now.
func (l *ledger) scaleSums(now clock.Instant) float64 {
	if l.landmark == 0 {
		l.landmark = now
	}
	s := math.Exp2(max(0, now.Sub(l.landmark)).Seconds() / halfLife.Seconds())
	if s < maxScale {
		return s
	}
	l.landmark = now
	for _, of := range l.services {
		rescale(of.total, 1/s)
		rescale(of.below, 1/s)
	}
	for _, n := range l.peers {
		rescale(n.held, 1/s)
		rescale(n.told, 1/s)
	}
	return 1
}

func rescale[K comparable](m map[K]sums, factor float64) {
	for k, s := range m {
		m[k] = sums{}.plus(s, factor)
	}
}

// decayed returns the part of a sum that is left after a time.
func decayed(d time.Duration) float64 { return math.Exp2(-max(0, d).Seconds() / halfLife.Seconds()) }

// add adds stored sums of a neighbour or of this VM.
func (l *ledger) add(k Key, s sums, below bool) {
	of := l.services[k.Service]
	if of == nil {
		of = &service{
			total: make(map[contract.OrganisationName]sums), below: make(map[contract.OrganisationName]sums),
		}
		l.services[k.Service] = of
	}
	of.total[k.Organisation] = of.total[k.Organisation].plus(s, 1)
	if below {
		of.below[k.Organisation] = of.below[k.Organisation].plus(s, 1)
	}
}

// peer returns what is known of a neighbour, and forgets it first if its place in the tree has changed.
func (l *ledger) peer(name string, below bool) *neighbour {
	n := l.peers[name]
	if n != nil && n.below == below {
		return n
	}
	l.remove(name)
	n = &neighbour{below: below, held: make(map[Key]sums), told: make(map[Key]sums)}
	l.peers[name] = n
	return n
}

// remove removes a neighbour with its sums.
func (l *ledger) remove(name string) {
	n := l.peers[name]
	if n == nil {
		return
	}
	delete(l.peers, name)
	for k, s := range n.held {
		l.add(k, sums{}.plus(s, -1), n.below)
	}
}

// replace sets what a neighbour reports of a key.
func (l *ledger) replace(n *neighbour, k Key, s sums, scale float64) {
	stored := sums{}.plus(s, scale)
	l.add(k, stored.plus(n.held[k], -1), n.below)
	n.held[k] = stored
}

// expire forgets the organisations that no longer ask, and the services without any.
func (l *ledger) expire(scale float64) {
	for name, of := range l.services {
		for organisation, s := range of.total {
			if max(s.demand(), s.done)/scale >= forgottenSum {
				continue
			}
			delete(of.total, organisation)
			delete(of.below, organisation)
			for _, n := range l.peers {
				delete(n.held, Key{name, organisation})
				delete(n.told, Key{name, organisation})
			}
		}
		if len(of.total) == 0 && !of.saturated {
			delete(l.services, name)
		}
	}
}

// sum returns the sums of all organisations.
func (s *service) sum() sums {
	var all sums
	for _, o := range s.total {
		all = all.plus(o, 1)
	}
	return all
}
