package entry

import "github.com/mangopass/mangopass/duty/clock"

// apply records the rate limit that a runner has stated.
func (m limitStated) apply(r *routing, _ clock.Instant) {
	runner := r.fleet.Get(m.runner)
	if runner == nil || runner.Boot != m.boot || runner.RateLimit == m.perSecond {
		return
	}
	r.log.Info("runner limit", "runner", m.runner, "per_second", m.perSecond, "before", runner.RateLimit)
	runner.RateLimit = m.perSecond
}
