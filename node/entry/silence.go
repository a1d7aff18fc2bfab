package entry

import (
	"time"

	"github.com/mangopass/mangopass/duty/clock"
)

// attemptSilent says that a runner has sent nothing for the silence timeout of an attempt.
type attemptSilent struct {
	call    *call
	attempt attempt
}

// apply gives up the attempt if the call can go on at another runner at once. Otherwise the runner may still answer, so the
// attempt is kept until the deadline.
func (m attemptSilent) apply(r *routing, now clock.Instant) {
	c := m.call
	if m.attempt.ctx.Err() != nil {
		return // it has ended meanwhile
	}
	goesOn := r.reserveRetry(c, m.attempt, now)
	r.log.Info("runner silent", "request", c.request.ID, "runner", m.attempt.runner,
		"silent_ms", m.attempt.silenceTimeout.Milliseconds(), "given_up", goesOn)
	if goesOn {
		m.attempt.cancel(errSilent)
	}
}

// reserveRetry takes a retry of a call from its service's budget before the attempt in progress ends, if another runner takes
// the call now and it may be sent again. It reports whether it has done so.
func (r *routing) reserveRetry(c *call, a attempt, now clock.Instant) bool {
	route := c.admitted.Route
	if c.retryTaken || !route.Repeatable() || c.runs+1 >= route.MaxAttempts || c.sends >= maxSends {
		return false
	}
	requirements := r.requirements(c, now)
	requirements.Exclude = append(requirements.Exclude[:len(c.exclude):len(c.exclude)], a.runner)
	c.retryTaken = r.table.Offers(r.fleet, requirements, now) && r.retryBudget(c.service).Take(r.members.count(), now)
	return c.retryTaken
}

// silenceTimer tells the routing duty each time that the runner has sent nothing for the timeout. Its zero value does
// nothing.
type silenceTimer struct {
	timer   *time.Timer
	timeout time.Duration
}

func (x *exchange) startSilenceTimer(a attempt) *silenceTimer {
	if a.silenceTimeout <= 0 {
		return &silenceTimer{}
	}
	s := &silenceTimer{timeout: a.silenceTimeout}
	s.timer = time.AfterFunc(never, func() {
		if a.ctx.Err() == nil {
			_ = x.routing.TryPush(attemptSilent{call: x.call, attempt: a}) // comes again if the ring is full
			s.reset()
		}
	})
	s.reset()
	return s
}

func (s *silenceTimer) reset() {
	if s.timer != nil {
		s.timer.Reset(s.timeout)
	}
}

func (s *silenceTimer) stop() {
	if s.timer != nil {
		s.timer.Stop()
	}
}
