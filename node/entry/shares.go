package entry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/link"
	"github.com/mangopass/mangopass/fleet/share"
	"github.com/mangopass/mangopass/node/metrics"
)

// shares is what this VM knows of the shares of organisations in the services.
type shares struct {
	*share.Book
	slots map[contract.ServiceName]*share.Slots // free ones of the plain services, for requests above their share
}

func newShares() shares {
	return shares{Book: share.NewBook(), slots: make(map[contract.ServiceName]*share.Slots)}
}

// callShare is a call's place in its organisation's share.
type callShare struct {
	request    share.Request
	added      time.Duration // that it has added to what was asked for
	counted    bool          // as asked
	asked      clock.Instant // when it was counted
	missed     bool          // counted as not in time
	within     bool          // it was sent within the share
	above      bool          // it is above the share, as decided last
	unanswered bool          // it has ended without an answer
	held       bool          // it waits for a free slot
	full       bool          // it was refused since none was free
}

// decidedBy returns what a refusal by a full queue names as its reason.
func (s callShare) decidedBy() string {
	switch {
	case s.full:
		return "share: no_free_slot"
	case s.above:
		return "share: above"
	}
	return ""
}

// shareRequest returns what the division needs to know of a call, as of its first use.
func (r *routing) shareRequest(c *call) share.Request {
	if c.share.request.Cost == 0 {
		c.share.request = share.Request{
			Key: share.Key{Service: c.service, Organisation: c.owner()}, Route: c.admitted.Route.Name, Model: c.artifact.Model,
			Rank: c.rank(), PromptTokens: c.request.PromptTokens, Digest: c.request.Digest,
			Spread: r.shares.Spread(), Cost: r.table.TimeAtTarget(c.artifact, c.request.PromptTokens, r.expectedEvents(c)),
		}
	}
	return c.share.request
}

// limitOf returns an organisation's limit in the manifest in force.
func (r *routing) limitOf(name contract.OrganisationName) contract.Limit {
	if r.manifest == nil || r.manifest.Organisations[name] == nil {
		return contract.Limit{}
	}
	return r.manifest.Organisations[name].Limit
}

// aboveShare decides whether a call is above its organisation's share. One that goes on with a stream is not, nor is one that has
// been sent within the share. One that waits for a free slot stays above it: it would take the place of one that can be in time.
func (r *routing) aboveShare(c *call, now clock.Instant) bool {
	c.share.above = !c.pinned && !c.streaming && !c.share.within && r.shares.Saturated(c.service) &&
		(c.share.held || r.shares.Above(r.shareRequest(c), r.limitOf, now))
	return c.share.above
}

// countAsked counts a call as asked when a runner has first been found for it, and as missed if it can't be in time there.
func (r *routing) countAsked(c *call, choice link.Choice, now clock.Instant) {
	if c.share.counted || c.pinned {
		return
	}
	c.share.counted, c.share.asked = true, now
	c.share.added = r.shares.Asked(r.shareRequest(c), now)
	if left := c.timeToObjective(now); choice.First > left || !choice.Timely && !c.share.above {
		r.countMissed(c, now)
	}
}

// countMissed counts a call as not in time.
func (r *routing) countMissed(c *call, now clock.Instant) {
	if c.share.counted && !c.share.missed {
		c.share.missed = true
		r.shares.Missed(c.share.request, c.share.added, now)
	}
}

// countSent counts a call that is sent.
func (r *routing) countSent(c *call, choice link.Choice, now clock.Instant) {
	switch {
	case !c.share.counted || c.share.within:
	case c.share.above:
		r.metrics.shares.above.Inc()
		if c.timeToObjective(now) <= 0 {
			r.countMissed(c, now)
		}
	case choice.Timely:
		c.share.within = true
		r.shares.Sent(c.share.request, now)
	}
}

// countShare counts a call that has been answered, or for which its runner had no room.
func (r *routing) countShare(m attemptEnded, now clock.Instant) {
	switch {
	case !m.call.share.counted:
	case m.result == resultServed:
		r.shares.Served(m.call.share.request, now)
	case m.result == resultShed:
		r.countMissed(m.call, now)
	case m.final:
		r.countUnanswered(m.call)
	}
}

// countUnanswered notes that a call has ended without an answer, so that its caller may send it again.
func (r *routing) countUnanswered(c *call) {
	if c.share.counted && !c.share.unanswered {
		c.share.unanswered = true
		r.shares.Unanswered(c.share.request, c.share.asked)
	}
}

// waitsForSlot reports whether a call that waits for a free slot of a plain service need not be tried yet.
func (r *routing) waitsForSlot(c *call, now clock.Instant) bool {
	return c.share.held && c.waiting && r.shares.Saturated(c.service) && !r.waitedLongEnough(c, now) && !r.slotFree(c.service, now)
}

// holdForSlot lets a call above its organisation's share wait until a runner of a plain service has a free slot. Such runners
// know no ranks, so that it can't come after the others there, and refuse what they have no room for.
func (r *routing) holdForSlot(c *call, choice link.Choice, now clock.Instant) bool {
	if !c.share.above || c.artifact.Model != "" || c.runs > 0 || choice.Runner.Slots <= 0 {
		return false
	}
	switch {
	case r.slotFree(c.service, now) && r.table.FreeSlots(choice.Runner) > 0:
		r.shares.slots[c.service].Take()
		return false
	case r.waitedLongEnough(c, now):
		r.countMissed(c, now)
		c.share.full = true
		r.refuseQueued(c, now.Sub(c.request.Arrived), now)
	case !c.waiting:
		c.waiting, c.share.held = true, true
		r.waiting = append(r.waiting, c)
		r.log.Info("waiting for slot", "request", c.request.ID, "organisation", c.owner(), "service", c.service,
			"patience_ms", c.waitUntil.Sub(now).Milliseconds())
	}
	return true
}

// slotFree reports whether this VM may use a free slot of a plain service for a call above its organisation's share. It may if no
// runner is usable, so that the call is refused for that.
func (r *routing) slotFree(name contract.ServiceName, now clock.Instant) bool {
	s := r.shares.slots[name]
	if s == nil {
		s = &share.Slots{}
		r.shares.slots[name] = s
	}
	if s.Due(now) {
		free, usable := 0, false
		for _, runner := range r.fleet.All() {
			if runner.Service == name && runner.Usable(now) {
				free, usable = free+r.table.FreeSlots(runner), true
			}
		}
		s.Refill(free, 1+r.members.countHeard(now), now)
		s.Unusable = !usable
	}
	return s.Unusable || s.Free()
}

// reviewShares logs which services have become saturated, and which no longer are.
func (r *routing) reviewShares(now clock.Instant) {
	for _, change := range r.shares.Review(now) {
		message := "saturation ends"
		if change.Begins {
			message = "saturation begins"
		}
		r.log.Info(message, "service", change.Service, "missed", percents(change.Missed), "asked", percents(change.Asked),
			"given", percents(change.Given), "organisations", change.Organisations)
	}
}

// sharesFor returns the sums to report to a neighbour.
func (r *routing) sharesFor(name string, p *peer, now clock.Instant) share.Report {
	return r.shares.ReportFor(name, p.role == link.Child, p.needsAll, r.neighbours(), now)
}

// maxShownOrganisations limits the organisations in the status and the metrics, by service.
const maxShownOrganisations = 8

// Labels of sums: of the organisations that are not shown, and of all organisations or saturated services, which is always there.
const (
	otherOrganisations = "other"
	allOfThem          = "all"
)

// ShareStatus is a saturated service as shown to operators.
type ShareStatus struct {
	Service       string                    `json:"service"`
	SinceMs       int64                     `json:"since_ms"`
	Organisations []OrganisationShareStatus `json:"organisations"` // those that ask for most
}

// OrganisationShareStatus is what an organisation asks for and gets, in time at targets a second.
type OrganisationShareStatus struct {
	Organisation string  `json:"organisation"`
	Asked        float64 `json:"asked"`
	Given        float64 `json:"given"`
	Share        float64 `json:"share"`
}

// shareStatus returns the saturated services.
func (r *routing) shareStatus(now clock.Instant) []ShareStatus {
	out := []ShareStatus{}
	for _, s := range r.shares.States(r.limitOf, now) {
		status := ShareStatus{Service: string(s.Service), SinceMs: now.Sub(s.Since).Milliseconds()}
		for i, o := range s.Organisations {
			if i < maxShownOrganisations {
				status.Organisations = append(status.Organisations, OrganisationShareStatus{string(o.Name), o.Asked, o.Given, o.Share})
				continue
			}
			if i == maxShownOrganisations {
				status.Organisations = append(status.Organisations, OrganisationShareStatus{Organisation: otherOrganisations})
			}
			other := &status.Organisations[maxShownOrganisations]
			other.Asked, other.Given, other.Share = other.Asked+o.Asked, other.Given+o.Given, other.Share+o.Share
		}
		out = append(out, status)
	}
	return out
}

// shareMetrics shows the saturated services.
type shareMetrics struct {
	saturated    prometheus.Gauge
	asked, given *prometheus.GaugeVec
	above        prometheus.Counter
}

func newShareMetrics(r prometheus.Registerer) shareMetrics {
	vec := func(name, help string) *prometheus.GaugeVec {
		return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: metrics.Namespace, Name: name, Help: help},
			[]string{"service", "organisation"})
	}
	m := shareMetrics{
		saturated: newGauge("services_saturated", "Services that are asked for more than they can serve in time."),
		asked:     vec("share_asked_ratio", "Time at targets a second that organisations ask of a saturated service."),
		given:     vec("share_given_ratio", "Time at targets a second that organisations get of a saturated service."),
		above: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Name: "requests_above_share_total",
			Help: "Attempts of requests above their organisation's share of a saturated service.",
		}),
	}
	r.MustRegister(m.saturated, m.asked, m.given, m.above)
	return m
}

// update sets the gauges to what the routing duty knows.
func (m shareMetrics) update(r *routing, now clock.Instant) {
	m.asked.Reset()
	m.given.Reset()
	status, asked, given := r.shareStatus(now), 0.0, 0.0
	m.saturated.Set(float64(len(status)))
	for _, s := range status {
		for _, o := range s.Organisations {
			m.asked.WithLabelValues(s.Service, o.Organisation).Set(o.Asked)
			m.given.WithLabelValues(s.Service, o.Organisation).Set(o.Given)
			asked, given = asked+o.Asked, given+o.Given
		}
	}
	m.asked.WithLabelValues(allOfThem, allOfThem).Set(asked)
	m.given.WithLabelValues(allOfThem, allOfThem).Set(given)
}
