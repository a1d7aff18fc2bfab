package contract

import (
	"math"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
)

// QuotaSlack widens a limit, so that no request within it is refused because reports between the entry VMs take time.
type QuotaSlack struct {
	Rate      float64 // part by which the rate may be exceeded; 0.1 is 10 %
	PerSecond float64 // tokens or requests per second in addition
	Burst     float64 // tokens or requests beyond the burst
}

// Quota is one entry VM's view of the use of an organisation's limit over all entry VMs: a token bucket from which the
// VM takes the cost of what it admits itself and of what its peers report.
//
// Usage spreads along the tree of reports between the VMs: each VM passes on to a neighbour what it has learned from
// its other neighbours, as a running total for that neighbour.
type Quota struct {
	limit     Limit
	slack     QuotaSlack
	share     float64 // part of the limit that this VM and the peers it hears from may use, 0 to 1
	level     float64
	updatedAt clock.Instant
	admitted  float64 // cost admitted here since the process started
	below     float64 // cost admitted here or reported by VMs for which this one relays, since the start
	all       float64 // cost admitted here or reported by any peer, since the start

	peers     map[string]peerUsage // by name of the peer
	outlets   map[string]outlet    // neighbours that get a running total, by name
	delivered map[string]float64   // part of below that a zone knows, by zone
	children  map[string]float64   // part of below that a peer knows which has been below this VM, by name
}

// peerUsage is what a peer has reported. series identifies the running total, which starts anew with the peer's
// process and with each change of its place in the tree.
type peerUsage struct {
	series int64
	total  float64 // as last reported
	grown  float64 // sum of the growth of all its totals
}

// outlet is the running total for one neighbour.
type outlet struct {
	zone  string
	below bool    // this VM relays for the neighbour
	base  float64 // subtracted, so that the total starts with what the neighbour does not know yet
	// offered is below at the last total that was given out.
	offered float64
}

// NewQuota returns a quota whose bucket is filled to the share fill of its capacity, from 0 to 1. What the organisation
// used before the start of the process is unknown, so a process that starts amid traffic must not grant a whole burst
// again.
func NewQuota(limit Limit, slack QuotaSlack, fill float64, now clock.Instant) *Quota {
	q := &Quota{
		limit: limit, slack: slack, share: 1, updatedAt: now, peers: make(map[string]peerUsage),
		outlets: make(map[string]outlet), delivered: make(map[string]float64), children: make(map[string]float64),
	}
	q.level = fill * q.capacity()
	return q
}

// SetLimit applies a changed limit. The level keeps its proportion to the capacity: a lowered limit applies from now
// on, and what was used under the former one does not count as debt.
func (q *Quota) SetLimit(limit Limit, now clock.Instant) { q.set(limit, q.slack, now) }

// SetSlack applies a changed slack in the same way.
func (q *Quota) SetSlack(slack QuotaSlack, now clock.Instant) { q.set(q.limit, slack, now) }

func (q *Quota) set(limit Limit, slack QuotaSlack, now clock.Instant) {
	if limit == q.limit && slack == q.slack {
		return
	}
	q.refill(now)
	before := q.capacity()
	q.limit, q.slack = limit, slack
	if before > 0 {
		q.level *= q.capacity() / before
	}
}

// SetShare sets the part of the limit that may be used here, from 0 to 1.
func (q *Quota) SetShare(share float64, now clock.Instant) {
	q.refill(now)
	q.share = share
	q.level = math.Min(q.level, q.capacity())
}

// Take admits a request of the given cost if the limit allows it.
func (q *Quota) Take(cost float64, now clock.Instant) bool {
	if q.limit.PerSecond <= 0 {
		return true
	}
	q.refill(now)
	if cost > q.level {
		return false
	}
	q.level -= cost
	q.count(cost)
	return true
}

// count adds to what was admitted here.
func (q *Quota) count(cost float64) {
	q.admitted += cost
	q.below += cost
	q.all += cost
}

// Refund returns the cost of a request that was admitted here but never sent to a runner.
func (q *Quota) Refund(cost float64, now clock.Instant) {
	q.refill(now)
	q.count(-cost)
	q.level = math.Min(q.level+cost, q.capacity())
}

// Wait returns the time until a request of the given cost could be admitted if no other one is.
func (q *Quota) Wait(cost float64, now clock.Instant) time.Duration {
	q.refill(now)
	rate := q.limit.PerSecond * q.share
	if rate <= 0 || cost <= q.level {
		return 0
	}
	return time.Duration((cost - q.level) / rate * float64(time.Second))
}

// Own returns the cost that was admitted here since the process started.
func (q *Quota) Own() float64 { return q.admitted }

// Level returns the cost that could be admitted at now. It is negative if the VMs together admitted too much.
func (q *Quota) Level(now clock.Instant) float64 {
	q.refill(now)
	return q.level
}

// Neighbour describes the VM for which a running total starts.
type Neighbour struct {
	Zone  string
	Below bool // this VM relays for it
	Fresh bool // its process has started lately, and takes over the level instead of earlier usage
}

// Connect starts a running total for a neighbour. home is this VM's own zone, whose relay passes on to all zones what it
// confirms. The total for a relay starts with what neither its zone nor home has confirmed, for a relay that was below
// this VM before with what it has not confirmed itself; one whose process is fresh takes over the level instead, and so
// does a VM below.
func (q *Quota) Connect(peer string, n Neighbour, home string) {
	o := outlet{zone: n.Zone, below: n.Below, offered: q.below}
	known, wasChild := q.children[peer]
	delete(q.children, peer)
	switch {
	case n.Below:
		o.base = q.all - q.peers[peer].grown
		q.children[peer] = q.below
	case n.Fresh:
		o.base = q.below
	case wasChild:
		o.base = known
	case n.Zone == home:
		for _, delivered := range q.delivered {
			o.base = max(o.base, delivered)
		}
	default:
		o.base = max(q.delivered[n.Zone], q.delivered[home])
	}
	q.outlets[peer] = o
}

// Disconnect ends the running total for a peer.
func (q *Quota) Disconnect(peer string) { delete(q.outlets, peer) }

// TotalFor returns the running total for a neighbour: what the neighbour cannot know from elsewhere. For a peer that is
// not connected it is the cost that was admitted here or reported from below.
func (q *Quota) TotalFor(peer string) float64 {
	o := q.outlets[peer]
	if o.below {
		return q.all - q.peers[peer].grown - o.base
	}
	return q.below - o.base
}

// Offer returns the running total to be reported to a neighbour.
func (q *Quota) Offer(peer string) float64 {
	if o, ok := q.outlets[peer]; ok {
		o.offered = q.below
		q.outlets[peer] = o
	}
	return q.TotalFor(peer)
}

// Confirm records that a neighbour has received the last total offered.
func (q *Quota) Confirm(peer string) {
	o, ok := q.outlets[peer]
	switch {
	case !ok:
	case o.below:
		q.children[peer] = o.offered
	default:
		q.delivered[o.zone] = max(q.delivered[o.zone], o.offered)
	}
}

// ApplyPeerUsage applies a peer's running total. Only the growth since its last report is taken from the bucket; in a
// new series that is the whole total.
func (q *Quota) ApplyPeerUsage(peer string, series int64, total float64, now clock.Instant) {
	q.refill(now)
	last := q.peers[peer]
	if last.series != series {
		last.total = 0
	}
	growth := total - last.total
	q.peers[peer] = peerUsage{series: series, total: total, grown: last.grown + growth}
	q.all += growth
	if q.outlets[peer].below {
		q.below += growth
	}
	q.level = math.Min(q.level-growth, q.capacity())
}

// AdoptPeerLevel applies the first running total of a peer that started before this process. The level is lowered to
// that of the peer, if that is lower: it accounts for what all VMs admitted lately. Of the running total for the peer, it
// has counted heard; the rest is deducted. A process that has not heard of any peer can't tell when the requests in the
// peer's total were admitted, so it takes over the level only. The difference is usage that this process did not know
// of, and is passed on to the VMs below.
func (q *Quota) AdoptPeerLevel(peer string, series int64, total, level, heard float64, now clock.Instant) {
	if len(q.peers) > 0 {
		q.ApplyPeerUsage(peer, series, total, now)
	}
	q.refill(now)
	missed := max(0, q.level-(level-(q.TotalFor(peer)-heard)))
	q.peers[peer] = peerUsage{series: series, total: total, grown: q.peers[peer].grown + missed}
	q.all += missed
	q.level -= missed
}

// KnowsPeer reports whether the last report from the peer was of the given series.
func (q *Quota) KnowsPeer(peer string, series int64) bool {
	p, known := q.peers[peer]
	return known && p.series == series
}

// PeerTotal returns a peer's running total as last reported; 0 if it has not reported.
func (q *Quota) PeerTotal(peer string) float64 { return q.peers[peer].total }

// Rate returns the cost a second by which the level grows.
func (q *Quota) Rate() float64 {
	return (q.limit.PerSecond*(1+q.slack.Rate) + q.slack.PerSecond) * q.share
}

// Capacity returns the highest level.
func (q *Quota) Capacity() float64 { return q.capacity() }

// Whole returns the highest level if this VM hears all others.
func (q *Quota) Whole() float64 { return q.limit.Burst + q.slack.Burst }

func (q *Quota) capacity() float64 { return q.Whole() * q.share }

// refill adds what the limit has allowed since the last refill, up to the capacity.
func (q *Quota) refill(now clock.Instant) {
	elapsed := now.Sub(q.updatedAt)
	if elapsed <= 0 {
		return
	}
	q.level = math.Min(q.capacity(), q.level+elapsed.Seconds()*q.Rate())
	q.updatedAt = now
}
