package contract

import (
	"math"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
)

// QuotaSlack widens a limit so that delays between the entry VMs do not refuse what lies inside it.
type QuotaSlack struct {
	Rate      float64 // share of the rate that may be exceeded
	PerSecond float64 // tokens or requests per second beyond it
	Burst     float64 // tokens or requests beyond the burst
}

// Quota is one entry VM's view of an organisation's limit over all entry VMs: a token bucket from which the VM takes
// what it admits itself and what its peers report.
type Quota struct {
	limit Limit
	slack QuotaSlack
	share float64 // part of the limit that this VM and the peers it hears may use
	level float64
	at    clock.Instant
	own   float64              // admitted here since the process started
	peers map[string]peerUsage // by node
}

type peerUsage struct {
	boot  int64
	total float64
}

// NewQuota returns a bucket that is filled to a part of its capacity, from 0 to 1. What the organisation used before the
// process started is unknown, so a process that starts amid traffic must not grant a whole burst again.
func NewQuota(limit Limit, slack QuotaSlack, fill float64, now clock.Instant) *Quota {
	q := &Quota{limit: limit, slack: slack, share: 1, at: now, peers: make(map[string]peerUsage)}
	q.level = fill * q.capacity()
	return q
}

// SetLimit applies a changed limit. The level keeps its share of the capacity: a lowered limit binds from now on, and what
// was used under the former one is no debt under it.
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
	q.own += cost
	return true
}

// Refund gives back the cost of a request that was admitted here and never sent to a runner.
func (q *Quota) Refund(cost float64, now clock.Instant) {
	q.refill(now)
	q.own -= cost
	q.level = math.Min(q.level+cost, q.capacity())
}

// Wait returns the time until the given cost is there if nothing else is taken.
func (q *Quota) Wait(cost float64, now clock.Instant) time.Duration {
	q.refill(now)
	rate := q.limit.PerSecond * q.share
	if rate <= 0 || cost <= q.level {
		return 0
	}
	return time.Duration((cost - q.level) / rate * float64(time.Second))
}

// Own returns what was admitted here since the process started.
func (q *Quota) Own() float64 { return q.own }

// Level returns what could be admitted at now.
func (q *Quota) Level(now clock.Instant) float64 {
	q.refill(now)
	return q.level
}

// ApplyPeerUsage applies a peer's total since its start, which boot names. A total of a new boot counts from zero.
func (q *Quota) ApplyPeerUsage(node string, boot int64, total float64, now clock.Instant) {
	q.refill(now)
	last := q.peers[node]
	if last.boot != boot {
		last.total = 0
	}
	q.peers[node] = peerUsage{boot: boot, total: total}
	q.level = math.Min(q.level-(total-last.total), q.capacity())
}

// AdoptPeerLevel takes over the view of a peer that started before this process. Its total says nothing of when it was admitted, but
// its level accounts for what all nodes admitted lately, and of what was admitted here for heard.
func (q *Quota) AdoptPeerLevel(node string, boot int64, total, level, heard float64, now clock.Instant) {
	q.refill(now)
	q.peers[node] = peerUsage{boot: boot, total: total}
	q.level = math.Min(q.level, level-(q.own-heard))
}

// KnowsPeer reports whether the peer's start has been heard of.
func (q *Quota) KnowsPeer(node string, boot int64) bool {
	p, known := q.peers[node]
	return known && p.boot == boot
}

// PeerTotal returns what a peer's last report said that it had admitted since its start.
func (q *Quota) PeerTotal(node string, boot int64) float64 {
	if !q.KnowsPeer(node, boot) {
		return 0
	}
	return q.peers[node].total
}

func (q *Quota) capacity() float64 { return (q.limit.Burst + q.slack.Burst) * q.share }

func (q *Quota) refill(now clock.Instant) {
	elapsed := now.Sub(q.at)
	if elapsed <= 0 {
		return
	}
	rate := (q.limit.PerSecond*(1+q.slack.Rate) + q.slack.PerSecond) * q.share
	q.level = math.Min(q.capacity(), q.level+elapsed.Seconds()*rate)
	q.at = now
}
