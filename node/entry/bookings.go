package entry

import (
	"math"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/admission"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/link"
)

// bookingExpiryPeriod is the time between two removals of bookings that nobody has taken up.
const bookingExpiryPeriod = 50 * time.Millisecond

// maxPendingBookings limits the bookings to be reported to one peer.
const maxPendingBookings = 4096

// quotaWaits is what the admission package knows at this VM, and the VMs that use the quotas.
type quotaWaits struct {
	*admission.Quotas[*call]
	vms, zone int // that this VM hears, and those of them in its zone, itself included
	expiredAt clock.Instant
	counted   admission.Counts // in the metrics
}

func newQuotaWaits() quotaWaits {
	return quotaWaits{Quotas: admission.NewQuotas[*call](), vms: 1, zone: 1}
}

// claimQuota takes a call's cost from its organisation's quota, lets the call wait for it, or refuses it.
func (r *routing) claimQuota(c *call, now clock.Instant) *contract.Refusal {
	cost, limited := c.limitedCost()
	if !limited {
		return nil
	}
	claim := r.quotaClaim(c, cost, now)
	supply := r.quotaSupply(c.admitted.Organisation, now)
	d := r.quotaWaits.Decide(c.owner(), claim, supply, now)
	switch d.Action {
	case admission.Admit:
		r.takeQuota(c, cost, 0, now)
	case admission.Hold:
		c.quotaHeld = true
		r.quotaWaits.Add(c.owner(), c, claim, d, now)
		r.log.Info("waiting for quota", "request", c.request.ID, "organisation", c.owner(),
			"expected_ms", d.Expected.Milliseconds(), "patience_ms", d.Until.Sub(now).Milliseconds(), "booked", d.TookUp,
			"level", int64(supply.Level), "rate", int64(supply.Rate))
	case admission.Refuse:
		return r.quotaRefusal(c, d)
	}
	return nil
}

// quotaClaim returns a call's claim to its organisation's quota.
func (r *routing) quotaClaim(c *call, cost float64, now clock.Instant) admission.Claim {
	answer := link.FirstTokenTime + link.PrefillTime(c.request.PromptTokens)
	if c.request.Model == "" {
		answer = minAttemptTime
	}
	return admission.Claim{
		Digest: c.request.Digest, Cost: cost, Deadline: c.deadline, Spread: r.rand.Float64(),
		Order: admission.Order{Rank: c.rank(), Arrived: c.request.Arrived, Due: now.Add(c.timeToObjective(now) - answer)},
	}
}

// quotaSupply returns what this VM knows of an organisation's quota, without what is kept for calls that go on with a
// stream. An organisation that has no limit any more, or is gone, has room for all.
func (r *routing) quotaSupply(o *contract.Organisation, now clock.Instant) admission.Supply {
	s := admission.Supply{VMs: r.quotaWaits.vms, Zone: r.quotaWaits.zone}
	if o == nil || o.Limit.PerSecond <= 0 {
		s.Level, s.Capacity = math.MaxFloat64, math.MaxFloat64
		return s
	}
	q := r.quota(o, now)
	s.Level, s.Rate, s.Capacity, s.Whole = q.Level(now)-r.quotaQueue.kept(o, now), q.Rate(), q.Capacity(), q.Whole()
	return s
}

// quotaRefusal returns the refusal of a call for which its organisation's quota has no room.
func (r *routing) quotaRefusal(c *call, d admission.Decision) *contract.Refusal {
	refusal := r.rateLimited(c, d.RetryAfter)
	refusal.DecidedBy = "quota: " + string(d.Reason)
	r.metrics.quotaRefusals.WithLabelValues(string(d.Reason)).Inc()
	return refusal
}

// endQuotaWaits lets those calls enter that their quotas admit now, and refuses those that have waited for too long. It
// ends the bookings that nobody has taken up, and prepares the reports of those made and ended here.
func (r *routing) endQuotaWaits(now clock.Instant) {
	w := &r.quotaWaits
	w.vms, w.zone = 1+r.members.countHeard(now), 1
	for _, p := range r.members.peers {
		if p.Zone == r.zone && r.members.heard(p, now) {
			w.zone++
		}
	}
	if now.Sub(w.expiredAt) >= bookingExpiryPeriod {
		w.expiredAt = now
		w.Expire(now)
	}
	for _, name := range w.Waiting() {
		for r.endQuotaWait(name, now) {
		}
	}
	r.reportBookings("", w.TakeNews())
}

// endQuotaWait ends the wait of one call, and reports whether there was one to end. A call is checked again as one that
// arrives, since its key may have been revoked and its limit changed.
func (r *routing) endQuotaWait(name contract.OrganisationName, now clock.Instant) bool {
	if r.stopsSoon(now) { // nobody waits any more
		c, ended := r.quotaWaits.Release(name, now)
		if ended {
			c.quotaHeld = false
		}
		if ended && c.ctx.Err() == nil { // otherwise its caller has gone
			r.refuseStopping(c, now)
		}
		return ended
	}
	c, d, ended := r.quotaWaits.Next(name, r.quotaSupply(r.organisation(name), now), now)
	if !ended {
		return false
	}
	c.quotaHeld = false
	switch {
	case c.ctx.Err() != nil: // its caller has gone
	case d.Action == admission.Refuse:
		r.refuse(c, r.quotaRefusal(c, d), now)
	default:
		r.admitHeld(c, now)
	}
	return true
}

// admitHeld lets a call enter that has waited for its quota.
func (r *routing) admitHeld(c *call, now clock.Instant) {
	admitted, refusal := r.manifest.Admit(c.request)
	if stale := r.manifestStale(now); stale != nil {
		refusal = stale
	}
	if refusal != nil {
		r.refuse(c, refusal, now)
		return
	}
	if c.admitted.Route != admitted.Route { // the manifest has changed, and may name other services
		c.service = admitted.Route.Backend(r.rand.Float64())
		c.artifact.Service = c.service
	}
	c.admitted = admitted
	if cost, limited := c.limitedCost(); limited && !r.takeQuota(c, cost, 0, now) {
		r.refuse(c, r.rateLimited(c, r.quota(admitted.Organisation, now).Wait(cost, now)), now)
		return
	}
	r.begin(c, now)
}

// dropQuotaWait ends the wait of a call whose caller has gone.
func (r *routing) dropQuotaWait(c *call) {
	if c.quotaHeld {
		c.quotaHeld = false
		r.quotaWaits.Remove(c.owner(), c)
	}
}

// reportBookings lets the other VMs of the zone know of bookings that source has made or ended; an empty source is this VM.
func (r *routing) reportBookings(source string, bookings []admission.Booking) {
	if len(bookings) == 0 {
		return
	}
	r.passOn(source, func(p *peer) {
		if p.Zone == r.zone && len(p.bookings) < maxPendingBookings {
			p.bookings = append(p.bookings, bookings...)
		}
	})
}

// takeBookings returns the bookings to report to a peer.
func (p *peer) takeBookings(now clock.Instant) []admission.Notice {
	var notices []admission.Notice
	for _, b := range p.bookings {
		notices = append(notices, b.Notice(now))
	}
	p.bookings = nil
	return notices
}

// applyBookings applies the bookings that a neighbour reports, and passes them on.
func (r *routing) applyBookings(in link.Report, now clock.Instant) {
	var known []admission.Booking
	for _, n := range in.Bookings {
		o := r.organisation(n.Organisation)
		if o == nil || o.Limit.PerSecond <= 0 {
			continue
		}
		if b, ok := r.quotaWaits.Apply(n, now); ok {
			known = append(known, b)
		}
	}
	r.reportBookings(in.Node, known)
}

// updateBookingMetrics adds what has changed since the last update.
func (r *routing) updateBookingMetrics() {
	w, m := &r.quotaWaits, r.metrics
	counts := w.Counts()
	for outcome, n := range map[string]int{
		"made": counts.Made - w.counted.Made, "taken_up": counts.TakenUp - w.counted.TakenUp,
		"lapsed": counts.Lapsed - w.counted.Lapsed, "lost": counts.Lost - w.counted.Lost,
	} {
		m.bookings.WithLabelValues(outcome).Add(float64(n))
	}
	w.counted = counts
	waiting, booked := w.Size()
	m.quotaWaiting.Set(float64(waiting))
	m.booked.Set(float64(booked))
}
