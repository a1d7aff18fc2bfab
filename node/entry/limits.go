package entry

import (
	"iter"
	"strings"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/admission"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/link"
	"github.com/mangopass/mangopass/fleet/machine"
)

// apply records the rate limit that a runner has stated.
func (m limitStated) apply(r *routing, now clock.Instant) {
	if runner := r.fleet.Get(m.runner); runner != nil && runner.Boot == m.boot {
		r.setRateLimit(runner, m.perSecond, now, "", now)
	}
}

// setRateLimit records the rate limit that a runner stated at the given instant, as source has reported; an empty source
// is this VM.
func (r *routing) setRateLimit(
	runner *machine.Runner, perSecond float64, at clock.Instant, source string, now clock.Instant,
) {
	before := runner.RateLimit
	if created := r.table.Limits.State(runner, perSecond, at, now); created != nil {
		for name, p := range r.members.peers {
			if p.role != link.Unrelated {
				r.connectQuota(created.Quota, name, p, now)
			}
		}
	}
	if runner.RateLimit != before {
		r.log.Info("runner limit", "runner", runner.ID, "per_second", perSecond, "before", before,
			"stated_ms_ago", now.Sub(at).Milliseconds(), "reported_by", source)
	}
}

// sharedQuotas returns all that is counted over all entry VMs: the quotas of the organisations and of limited runners.
func (r *routing) sharedQuotas() iter.Seq[*contract.Quota] {
	return func(yield func(*contract.Quota) bool) {
		for _, q := range r.quotas {
			if !yield(q) {
				return
			}
		}
		for _, limit := range r.table.Limits.All() {
			if !yield(limit.Quota) {
				return
			}
		}
	}
}

// limitUsageFor returns the limits of runners of which the running total or the limit itself has changed since it was
// last reported to a neighbour.
func (r *routing) limitUsageFor(name string, p *peer, now clock.Instant) []link.LimitUsage {
	var out []link.LimitUsage
	for id, limit := range r.table.Limits.All() {
		usage := limit.Usage(id, name, now)
		usage.Total = limit.Quota.Offer(name)
		current := reportedLimit{perSecond: usage.PerSecond, total: usage.Total}
		if reported, ok := p.reportedLimits[id]; !p.needsAll && ok && reported == current {
			continue
		}
		p.reportedLimits[id] = current
		out = append(out, usage)
	}
	return out
}

// applyLimitUsage applies what a neighbour reports of limited runners.
func (r *routing) applyLimitUsage(in link.Report, now clock.Instant) {
	for _, usage := range in.Limits {
		runner := r.fleet.Get(usage.Runner)
		if runner == nil || runner.Boot != usage.Boot || !usage.Valid() {
			continue
		}
		r.setRateLimit(runner, usage.PerSecond, now.Add(-usage.Age), in.Node, now)
		if limit := r.table.Limits.Get(usage.Runner); limit != nil {
			limit.ApplyUsage(in.Node, func(q *contract.Quota) {
				r.applyQuotaUsage(q, in, link.QuotaUsage{Total: usage.Total, Level: usage.Level, Heard: usage.Heard}, now)
			}, now)
		}
	}
}

// refuseLimited refuses a call because all runners that could take it are at their rate limits or paused. The caller may
// return when one of them takes the next request, at a random instant after that, so that the callers refused now don't
// return together.
func (r *routing) refuseLimited(c *call, retry time.Duration, now clock.Instant) {
	const detail = "the runners of the model or service are at their rate limits or have asked for a pause"
	if c.runs > 0 {
		r.abandon(c, cutLimits, contract.Failed(contract.Overloaded, detail), now)
		return
	}
	refusal := contract.Refuse(contract.Overloaded, admission.LimitRetry(retry, r.rand.Float64()), detail)
	refusal.DecidedBy = "limits: " + r.limitReasons(c.artifact, now)
	r.refuse(c, refusal, now)
}

// limitReasons names what keeps runners of a service from taking requests.
func (r *routing) limitReasons(a machine.Artifact, now clock.Instant) string {
	var cold, paused, stated bool
	for _, runner := range r.fleet.All() {
		if runner.Service != a.Service || !runner.Usable(now) || a.Model != "" && runner.Replica(a.Model) == nil {
			continue
		}
		cold = cold || runner.ColdLeft(now) > 0
		paused = paused || runner.Paused(now) > 0
		stated = stated || runner.RateLimit > 0
	}
	var reasons []string
	for _, reason := range []struct {
		name  string
		found bool
	}{{"cold", cold}, {"paused", paused}, {"stated", stated}} {
		if reason.found {
			reasons = append(reasons, reason.name)
		}
	}
	return strings.Join(reasons, ", ")
}
