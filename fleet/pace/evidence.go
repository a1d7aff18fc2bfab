package pace

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
)

// tally sums up answers: the time that they took and the nominal time of the same work, in seconds, and their number.
type tally struct{ took, nominal, count float64 }

func (t tally) plus(o tally, factor float64) tally {
	return tally{t.took + factor*o.took, t.nominal + factor*o.nominal, t.count + factor*o.count}
}

// ratio returns how many times its nominal time the work took, and 1 if there was none.
func (t tally) ratio() float64 {
	if t.nominal <= 0 {
		return 1
	}
	return max(minRatio, min(maxRatio, t.took/t.nominal))
}

// differs reports whether two tallies lead to estimates that differ noticeably. scale is that of the pool.
func (t tally) differs(o tally, scale float64) bool {
	change := math.Abs(t.count-o.count) / scale
	if change > changedCount && change > changedCountShare*max(t.count, o.count)/scale {
		return true
	}
	return (t.count+o.count)/scale > changedCount && math.Abs(t.ratio()-o.ratio()) > changedRatioShare*o.ratio()
}

// evidence is what is known of one runner or model: answers by the time to the first event, and by the time between events.
type evidence struct{ read, write tally }

func (e evidence) plus(o evidence, factor float64) evidence {
	return evidence{e.read.plus(o.read, factor), e.write.plus(o.write, factor)}
}

func (e evidence) differs(o evidence, scale float64) bool {
	return e.read.differs(o.read, scale) || e.write.differs(o.write, scale)
}

// distance returns by which factor two states of evidence lead to different estimates, the larger of reading and writing,
// and at least largeChange.
func (e evidence) distance(o evidence, scale float64) float64 {
	return max(largeChange, factorBetween(e.read, o.read, scale), factorBetween(e.write, o.write, scale))
}

func factorBetween(a, b tally, scale float64) float64 {
	x, y := shrunk(a, 1, 1, scale), shrunk(b, 1, 1, scale)
	return max(x, y) / min(x, y)
}

// Limits of evidence and of its reports.
const (
	// minRatio and maxRatio bound the ratio of real to nominal time.
	minRatio, maxRatio = 0.02, 50
	// changedCount, changedCountShare and changedRatioShare say from which difference on evidence is reported again: of the
	// number of answers, absolute and relative, and of the ratio.
	changedCount      = 0.5
	changedCountShare = 0.3
	changedRatioShare = 0.1
	// largeChange is the factor between estimates from which on the larger change is reported first. Smaller ones are mostly noise,
	// and come in any order, so that each is told of at some time.
	largeChange = 3.0
	// maxScale is the scale of a pool from which on its sums are brought to scale 1.
	maxScale = 1e6
)

// pool holds the evidence of all entry VMs on keys of one kind. Evidence decays exponentially, which leaves sums exact: all
// are stored multiplied by one scale that grows with the time since a landmark, so that adding is all that is needed.
type pool[K comparable] struct {
	decay    time.Duration // after which evidence counts 1/e
	landmark clock.Instant
	total    map[K]evidence // of all VMs
	below    map[K]evidence // of this VM and those that it relays for
	pending  map[K]evidence // the part of this VM that SetPending replaces
	peers    map[string]*peerEvidence[K]
}

// peerEvidence is what a neighbour has reported, and what it has been told.
type peerEvidence[K comparable] struct {
	below bool // this VM relays for the peer
	held  map[K]evidence
	told  map[K]evidence
	dirty map[K]bool // changed since it was told, or not compared yet
}

func newPool[K comparable](decay time.Duration) *pool[K] {
	return &pool[K]{
		decay: decay, total: make(map[K]evidence), below: make(map[K]evidence), pending: make(map[K]evidence),
		peers: make(map[string]*peerEvidence[K]),
	}
}

// scale returns the factor by which stored evidence exceeds its value now.
func (p *pool[K]) scale(now clock.Instant) float64 {
	if p.landmark == 0 {
		p.landmark = now
	}
	s := math.Exp(max(0, now.Sub(p.landmark)).Seconds() / p.decay.Seconds())
	if s < maxScale {
		return s
	}
	p.landmark = now
	sums := []map[K]evidence{p.total, p.below, p.pending}
	for _, peer := range p.peers {
		sums = append(sums, peer.held, peer.told)
	}
	for _, m := range sums {
		for k, e := range m {
			m[k] = evidence{}.plus(e, 1/s)
		}
	}
	return 1
}

// add adds stored evidence from a neighbour, or of this VM if from is empty.
func (p *pool[K]) add(k K, e evidence, from string, below bool) {
	p.total[k] = p.total[k].plus(e, 1)
	if below {
		p.below[k] = p.below[k].plus(e, 1)
	}
	for name, peer := range p.peers {
		if name != from {
			peer.dirty[k] = true
		}
	}
}

// observe adds evidence of this VM.
func (p *pool[K]) observe(k K, e evidence, now clock.Instant) {
	p.add(k, evidence{}.plus(e, p.scale(now)), "", true)
}

// setPending replaces the evidence of this VM's answers that have not come yet.
func (p *pool[K]) setPending(pending map[K]evidence, now clock.Instant) {
	scale := p.scale(now)
	for k, e := range p.pending {
		p.add(k, evidence{}.plus(e, -1), "", true)
		delete(p.pending, k)
	}
	for k, e := range pending {
		stored := evidence{}.plus(e, scale)
		p.add(k, stored, "", true)
		p.pending[k] = stored
	}
}

// peer returns what is known of a neighbour, and forgets it first if its place in the tree has changed.
func (p *pool[K]) peer(name string, below bool) *peerEvidence[K] {
	peer := p.peers[name]
	if peer != nil && peer.below == below {
		return peer
	}
	p.remove(name)
	peer = &peerEvidence[K]{
		below: below, held: make(map[K]evidence), told: make(map[K]evidence), dirty: make(map[K]bool),
	}
	for k := range p.total {
		peer.dirty[k] = true
	}
	p.peers[name] = peer
	return peer
}

// remove removes a neighbour with its evidence.
func (p *pool[K]) remove(name string) {
	if peer := p.peers[name]; peer != nil {
		delete(p.peers, name)
		for k, e := range peer.held {
			p.add(k, evidence{}.plus(e, -1), name, peer.below)
		}
	}
}

// replace sets what a neighbour reports of a key.
func (p *pool[K]) replace(peer *peerEvidence[K], name string, k K, e evidence, scale float64) {
	stored := evidence{}.plus(e, scale)
	p.add(k, stored.plus(peer.held[k], -1), name, peer.below)
	peer.held[k] = stored
}

// forget removes the evidence on a key.
func (p *pool[K]) forget(k K) {
	delete(p.total, k)
	delete(p.below, k)
	delete(p.pending, k)
	for _, peer := range p.peers {
		delete(peer.held, k)
		delete(peer.told, k)
		delete(peer.dirty, k)
	}
}

// change is evidence that a neighbour does not know yet.
type change[K comparable] struct {
	key  K
	now  evidence
	size float64
}

// changes calls tell, at most limit times, with evidence that a neighbour does not know yet, the largest changes of an estimate
// first: a VM below gets that of all others, a relay that of this VM and those below it. Keys over the limit remain for the next
// report.
func (p *pool[K]) changes(peer *peerEvidence[K], limit int, now clock.Instant, tell func(K, evidence)) {
	if limit <= 0 {
		return
	}
	scale := p.scale(now)
	var changed []change[K]
	for k := range peer.dirty {
		e := p.below[k]
		if peer.below {
			e = p.total[k].plus(peer.held[k], -1)
		}
		if told := peer.told[k]; e.differs(told, scale) {
			changed = append(changed, change[K]{k, e, e.distance(told, scale)})
		} else {
			delete(peer.dirty, k)
		}
	}
	if len(changed) > limit {
		slices.SortFunc(changed, func(a, b change[K]) int { return cmp.Compare(b.size, a.size) })
		changed = changed[:limit]
	}
	for _, c := range changed {
		peer.told[c.key] = c.now
		delete(peer.dirty, c.key)
		tell(c.key, evidence{}.plus(c.now, 1/scale))
	}
}

// untell lets everything be told to a neighbour again.
func (p *pool[K]) untell(peer *peerEvidence[K]) {
	clear(peer.told)
	for k := range p.total {
		peer.dirty[k] = true
	}
}
