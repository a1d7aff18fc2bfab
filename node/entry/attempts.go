package entry

import (
	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/link"
)

// apply notes the first event of a stream.
func (m attemptStarted) apply(r *routing, _ clock.Instant) {
	if l := r.linkOf(m.attempt); l != nil {
		l.Started(m.attempt.artifact, m.attempt.prefill, m.took, m.attempt.expected)
	}
	r.metrics.firstEvent.Observe(m.took.Seconds())
}

// linkOf returns the link to the runner of an attempt, or nil if the runner is gone or has started anew.
func (r *routing) linkOf(a attempt) *link.RunnerLink {
	runner := r.fleet.Get(a.runner)
	if runner == nil || runner.Boot != a.boot {
		return nil
	}
	return r.table.Link(runner)
}

// apply judges the runner by the end of an attempt and decides how the call goes on.
func (m attemptEnded) apply(r *routing, now clock.Instant) {
	c := m.call
	c.streaming = c.streaming || m.streaming
	if l := r.linkOf(m.attempt); l != nil {
		if !m.begun {
			l.Started(m.attempt.artifact, m.attempt.prefill, 0, 0)
		}
		l.Finished(m.attempt.artifact)
		recordResult(l, m.result, now)
	}
	if m.result == resultNoReplica {
		r.leader.scheduler.HandleMissing(m.attempt.runner, m.attempt.artifact, now)
	}
	r.logEnd(m)
	r.metrics.results.WithLabelValues(m.result.String()).Inc()
	if !m.result.notExecuted() {
		c.runs++
	}
	if m.final {
		r.metrics.request.WithLabelValues(m.result.String()).Observe(now.Sub(c.request.Arrived).Seconds())
		return
	}
	if m.result != resultNoReplica { // it may well hold the model a moment later
		c.exclude = append(c.exclude, m.attempt.runner)
	}
	r.retry(c, m, now)
}

func (r *routing) logEnd(m attemptEnded) {
	r.log.Info("ended", "request", m.call.request.ID, "runner", m.attempt.runner, "result", m.result.String(),
		"took_ms", m.took.Milliseconds(), "begun", m.begun, "final", m.final, "cause", errorText(m.cause))
}

// notExecuted reports whether the runner has certainly not run the request.
func (r result) notExecuted() bool {
	return r == resultUnreachable || r == resultShed || r == resultNoReplica
}

func recordResult(l *link.RunnerLink, result result, now clock.Instant) {
	switch result {
	case resultServed:
		l.Succeeded()
	case resultUnreachable:
		l.Unreachable(now)
	case resultBroken, resultShed, resultFailed:
		l.Failed(now)
	}
}

// retry decides on a call whose attempt has failed.
func (r *routing) retry(c *call, m attemptEnded, now clock.Instant) {
	route := c.admitted.Route
	switch {
	case m.result == resultTimeout:
		r.refuse(c, contract.Failed(contract.DeadlineExceeded, "no answer within the deadline"), now)
		return
	case m.result == resultBroken && m.attempt.artifact.Model != "" && !c.streaming:
		r.crashes.Add(c.request.Digest, now)
		for _, p := range r.members.peers {
			p.unreportedCrashes = append(p.unreportedCrashes, c.request.Digest)
		}
		if r.crashes.Blocked(c.request.Digest, now) {
			r.refuse(c, contract.Failed(contract.RunnerFailed, "the request broke off at several runners"), now)
			return
		}
	}
	if !m.result.notExecuted() && (!route.Repeatable() || c.runs >= route.MaxAttempts) {
		r.refuse(c, contract.Failed(contract.RunnerFailed, "the runner gave no whole answer"), now)
		return
	}
	if c.sends >= sendLimit || m.result != resultUnreachable && !r.budget(c.service).Take(r.members.count(), now) {
		r.giveUp(c, contract.RunnerFailed, "the retry budget is spent", now)
		return
	}
	r.decide(c, now)
}
