package machine

import (
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
)

// coldEnds are the times at which a runner stops being cold, as known from different sources; zero: it is not cold.
type coldEnds struct {
	stated     clock.Instant // by its entry
	answered   clock.Instant // by its answers; see HearCold
	answeredAt clock.Instant // when the last of them came
	expected   clock.Instant // see ExpectCold
}

// StateCold records for how long the runner stays cold, as it has stated last; zero: it is not cold. The time counts from when
// the statement was read, which is later than when it was made.
func (r *Runner) StateCold(left time.Duration, now clock.Instant) {
	r.cold.stated = 0
	if left > 0 {
		r.cold.stated = now.Add(left)
	}
	if now.Sub(r.cold.answeredAt) >= confirmedGrace {
		r.cold.answered = 0
	}
}

// HearCold records for how long the runner stays cold, as it has stated in an answer that came at the given instant. It holds
// until a later answer states a time, or until an entry is read so much later that it must have been written after the answer.
func (r *Runner) HearCold(left time.Duration, at clock.Instant) {
	if at.Before(r.cold.answeredAt) {
		return
	}
	r.cold.answered, r.cold.answeredAt = at.Add(left), at
}

// ExpectCold has the runner count as cold up to the given instant, whatever it states.
func (r *Runner) ExpectCold(until clock.Instant) { r.cold.expected = max(r.cold.expected, until) }

// ColdLeft returns the time for which the runner stays cold; zero: it is not cold.
func (r *Runner) ColdLeft(now clock.Instant) time.Duration {
	return max(0, r.cold.stated.Sub(now), r.cold.answered.Sub(now), r.cold.expected.Sub(now))
}

// staysCold reports whether a runner is cold, and for longer than a load of the model elsewhere takes.
func (s *Scheduler) staysCold(r *Runner, m contract.ModelName, now clock.Instant) bool {
	service := s.services[r.Service]
	return service != nil && service.Cold.PerSecond > 0 && service.Engine != nil &&
		r.ColdLeft(now) > service.Engine.Models[m].LoadCold
}
