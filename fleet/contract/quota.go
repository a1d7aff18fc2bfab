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
type Quota struct {
	limit     Limit
	slack     QuotaSlack
	share     float64 // part of the limit that this VM and the peers it hears from may use, 0 to 1
	level     float64
	updatedAt clock.Instant
	admitted  float64              // cost admitted here since the process started
	peers     map[string]peerUsage // by name of the peer
}

// peerUsage is the cost that a peer has admitted since its start, which boot identifies.
type peerUsage struct {
	boot  int64
	total float64
}

// NewQuota returns a quota whose bucket is filled to the share fill of its capacity, from 0 to 1. What the organisation
// used before the start of the process is unknown, so a process that starts amid traffic must not grant a whole burst
// again.
func NewQuota(limit Limit, slack QuotaSlack, fill float64, now clock.Instant) *Quota {
	q := &Quota{limit: limit, slack: slack, share: 1, updatedAt: now, peers: make(map[string]peerUsage)}
	q.level = fill * q.capacity()
	return q
}

// SetLimit applies a changed limit. The level keeps its proportion to the capacity: a lowered limit applies from now
// on, and what was used under the former one does not count as debt.
func (q *Quota) SetLimit(limit Limit, now clock.Instant) {
	if limit == q.limit {
		return
	}
	q.refill(now)
	before := q.capacity()
	q.limit = limit
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
	q.admitted += cost
	return true
}

// Refund returns the cost of a request that was admitted here but never sent to a runner.
func (q *Quota) Refund(cost float64, now clock.Instant) {
	q.refill(now)
	q.admitted -= cost
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

// ApplyPeerUsage applies the total cost that a peer has admitted since its start, which boot identifies. Only the
// growth since the peer's last report is taken from the bucket; after a new start of the peer that is the whole total.
func (q *Quota) ApplyPeerUsage(peer string, boot int64, total float64, now clock.Instant) {
	q.refill(now)
	last := q.peers[peer]
	if last.boot != boot {
		last.total = 0
	}
	q.peers[peer] = peerUsage{boot: boot, total: total}
	q.level = math.Min(q.level-(total-last.total), q.capacity())
}

// AdoptPeerLevel lowers the level to that of a peer that started before this process, if that is lower. The peer's
// total does not tell when its requests were admitted, but its level accounts for what all VMs admitted lately. Of the
// cost admitted here, the peer has counted heard; the rest is deducted.
func (q *Quota) AdoptPeerLevel(peer string, boot int64, total, level, heard float64, now clock.Instant) {
	q.refill(now)
	q.peers[peer] = peerUsage{boot: boot, total: total}
	q.level = math.Min(q.level, level-(q.admitted-heard))
}

// KnowsPeer reports whether the last report from the peer was of the start that boot identifies.
func (q *Quota) KnowsPeer(peer string, boot int64) bool {
	p, known := q.peers[peer]
	return known && p.boot == boot
}

// PeerTotal returns the total cost that a peer has admitted since its start, as last reported; 0 if it has not
// reported.
func (q *Quota) PeerTotal(peer string, boot int64) float64 {
	if !q.KnowsPeer(peer, boot) {
		return 0
	}
	return q.peers[peer].total
}

func (q *Quota) capacity() float64 { return (q.limit.Burst + q.slack.Burst) * q.share }

// refill adds what the limit has allowed since the last refill, up to the capacity.
func (q *Quota) refill(now clock.Instant) {
	elapsed := now.Sub(q.updatedAt)
	if elapsed <= 0 {
		return
	}
	rate := (q.limit.PerSecond*(1+q.slack.Rate) + q.slack.PerSecond) * q.share
	q.level = math.Min(q.capacity(), q.level+elapsed.Seconds()*rate)
	q.updatedAt = now
}
