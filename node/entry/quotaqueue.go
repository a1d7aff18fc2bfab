package entry

import (
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
)

// streamQuotaShare is the share of an organisation's rate that is kept for streams which its callers take up, while some wait.
// New requests get the rest: a stream that has paused earns less than one that is in time.
const streamQuotaShare = 0.5

// quotaQueue holds the calls that go on with a stream and wait for their organisation's quota. Such calls come together after
// VMs have ended, when the quotas have little left, and their callers have few tries.
type quotaQueue struct {
	waits []quotaWait // in order of arrival
	sums  map[contract.OrganisationName]*quotaSum
}

// quotaSum is what a queue holds of an organisation.
type quotaSum struct {
	cost      float64       // of the calls that wait
	first     float64       // cost of the first of them
	kept      float64       // part of the quota's level that is kept for the first of them
	updatedAt clock.Instant // of kept
}

// quotaWait is a call that waits for its quota.
type quotaWait struct {
	call  *call
	cost  float64
	until clock.Instant // it is refused then
}

func newQuotaQueue() quotaQueue {
	return quotaQueue{sums: make(map[contract.OrganisationName]*quotaSum)}
}

func (q *quotaQueue) push(w quotaWait, now clock.Instant) {
	q.waits = append(q.waits, w)
	if s := q.sums[w.call.owner()]; s != nil {
		s.cost += w.cost
	} else {
		q.sums[w.call.owner()] = &quotaSum{cost: w.cost, first: w.cost, updatedAt: now}
	}
}

// replace puts other calls in the queue, those that still wait of the ones before.
func (q *quotaQueue) replace(waits []quotaWait) {
	clear(q.waits[len(waits):])
	q.waits = waits
	for _, s := range q.sums {
		s.cost = 0
	}
	for _, w := range waits {
		s := q.sums[w.call.owner()]
		if s.cost == 0 {
			s.first = w.cost
		}
		s.cost += w.cost
	}
	for o, s := range q.sums {
		if s.cost == 0 {
			delete(q.sums, o)
		}
	}
}

// cost returns the cost of an organisation's calls that wait.
func (q *quotaQueue) cost(o contract.OrganisationName) float64 {
	if s := q.sums[o]; s != nil {
		return s.cost
	}
	return 0
}

// kept returns the part of a quota's level that new requests leave to the calls that wait. It grows by their share of the rate
// up to the cost of the first one.
func (q *quotaQueue) kept(o *contract.Organisation, now clock.Instant) float64 {
	s := q.sums[o.Name]
	if s == nil {
		return 0
	}
	s.kept = min(s.first, s.kept+streamQuotaShare*o.Limit.PerSecond*now.Sub(s.updatedAt).Seconds())
	s.updatedAt = now
	return s.kept
}

// admitted notes that the first of an organisation's calls has been admitted.
func (q *quotaQueue) admitted(o contract.OrganisationName) {
	if s := q.sums[o]; s != nil {
		s.kept = 0
	}
}

// limitedCost returns the cost of an admitted call for its organisation's quota, and false if the call has no limit.
func (c *call) limitedCost() (float64, bool) {
	o := c.admitted.Organisation
	if o == nil || o.Limit.PerSecond <= 0 {
		return 0, false
	}
	return o.Limit.Cost(c.request.PromptTokens, c.request.MaxTokens, c.request.Counted), true
}

// takeQuota takes a call's cost from its organisation's quota, and returns false if too little is left above the part that is
// kept for other calls.
func (r *routing) takeQuota(c *call, cost, kept float64, now clock.Instant) bool {
	quota := r.quota(c.admitted.Organisation, now)
	if quota.Level(now)-kept < cost || !quota.Take(cost, now) {
		return false
	}
	c.cost = cost
	return true
}

// rateLimited returns the refusal of a call for which its quota has too little left.
func (r *routing) rateLimited(c *call, retryAfter time.Duration) *contract.Refusal {
	return contract.Refuse(contract.RateLimited, retryAfter, "%s is over its limit", c.owner())
}

// continuationQuotaWait returns the time until its quota could admit a call that goes on with a stream, after those that wait
// for it, if it admits no new request. As many are taken to wait at each VM that this one hears.
func (r *routing) continuationQuotaWait(c *call, cost float64, now clock.Instant) time.Duration {
	queued := r.quotaQueue.cost(c.owner()) * float64(1+r.members.countHeard(now))
	return r.quota(c.admitted.Organisation, now).Wait(queued+cost, now)
}

// checkQuota refuses a call that goes on with a stream if its quota won't admit it in the time that it may wait.
func (r *routing) checkQuota(c *call, now clock.Instant) *contract.Refusal {
	cost, limited := c.limitedCost()
	if !limited {
		return nil
	}
	if wait := r.continuationQuotaWait(c, cost, now); wait > continuationWait {
		return r.rateLimited(c, wait)
	}
	return nil
}

// chargeContinuation takes the cost of a call that goes on with a stream from its quota and lets it enter, or queues it until
// the quota admits it.
func (r *routing) chargeContinuation(c *call, now clock.Instant) {
	cost, limited := c.limitedCost()
	if !limited || r.quotaQueue.cost(c.owner()) == 0 && r.takeQuota(c, cost, 0, now) {
		r.enter(c, now)
		return
	}
	if refusal := r.checkQuota(c, now); refusal != nil {
		r.refuse(c, refusal, now)
		return
	}
	r.log.Info("waiting for quota", "request", c.request.ID, "organisation", c.owner(),
		"expected_ms", r.continuationQuotaWait(c, cost, now).Milliseconds())
	r.quotaQueue.push(quotaWait{call: c, cost: cost, until: now.Add(continuationWait)}, now)
}

// admitQueued lets those calls enter that their quotas admit now, each organisation's in order of arrival, and refuses those
// that have waited for too long or can't go on any more.
func (r *routing) admitQueued(now clock.Instant) {
	if len(r.quotaQueue.waits) == 0 {
		return
	}
	full := make(map[contract.OrganisationName]bool) // the first call that waits is not admitted yet
	kept := r.quotaQueue.waits[:0]
	for _, w := range r.quotaQueue.waits {
		c := w.call
		switch {
		case c.ctx.Err() != nil: // its caller has gone
		case r.stopsSoon(now):
			r.refuseStopping(c, now)
		case r.refuseLostStream(c, now):
		case !full[c.owner()] && r.takeQuota(c, w.cost, 0, now):
			r.quotaQueue.admitted(c.owner())
			r.enter(c, now)
		case !now.Before(w.until):
			r.refuse(c, r.rateLimited(c, r.continuationQuotaWait(c, w.cost, now)), now)
		default:
			full[c.owner()] = true
			kept = append(kept, w)
		}
	}
	r.quotaQueue.replace(kept)
}
