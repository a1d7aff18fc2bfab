package entry

import (
	"strconv"
	"strings"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/link"
)

// apply records the time to the first event of a stream.
func (m attemptStarted) apply(r *routing, now clock.Instant) {
	delete(r.inFlight, m.call)
	r.recordLateness(m.call, m.attempt, m.took)
	r.noteBegun(m.call, m.attempt, now)
	if l := r.linkOf(m.attempt); l != nil {
		l.Started(m.attempt.artifact, m.attempt.work, m.attempt.timely)
		r.table.Pace.Began(m.attempt.paced(), m.took, now)
	}
	r.metrics.firstEvent.Observe(m.took.Seconds())
}

// linkOf returns the link of an attempt's runner, or nil if that runner process is gone: removed or restarted.
func (r *routing) linkOf(a attempt) *link.RunnerLink {
	runner := r.fleet.Get(a.runner)
	if runner == nil || runner.Boot != a.boot {
		return nil
	}
	return r.table.Link(runner)
}

// apply updates the load and the failure figures of the runner, and retries or refuses the call if the attempt has not
// ended it.
func (m attemptEnded) apply(r *routing, now clock.Instant) {
	c := m.call
	c.streaming, c.passedOn = c.streaming || m.streaming, m.sent
	if m.started {
		r.noteBegun(c, m.attempt, now)
	}
	delete(r.inFlight, c)
	if !m.startReported && !m.result.notExecuted() {
		r.recordLateness(c, m.attempt, m.took)
	}
	r.recordOutcome(m, now)
	r.countShare(m, now)
	if l := r.linkOf(m.attempt); l != nil {
		if !m.startReported {
			l.Started(m.attempt.artifact, m.attempt.work, m.attempt.timely)
		}
		l.Frees(m.attempt.artifact, m.attempt.tokens)
		l.Finished(m.attempt.artifact)
		r.measureEnd(m, now)
		if !m.paused && !(c.suspected && m.result.failed()) { // a pause is no failure, and a silence has counted already
			recordResult(l, m.result, now)
		}
	}
	r.endSilence(c)
	if m.result == resultNoReplica {
		r.leader.scheduler.HandleMissing(m.attempt.runner, m.attempt.artifact, now)
	}
	r.logAttemptEnd(m)
	r.metrics.results.WithLabelValues(m.result.String()).Inc()
	if !m.result.notExecuted() {
		c.runs++
	}
	if m.final {
		r.releaseRetry(c)
		r.metrics.request.WithLabelValues(m.result.String()).Observe(now.Sub(c.request.Arrived).Seconds())
		if m.result == resultCallerGone || m.untaken {
			r.noteCut(c, cutCallerGone, now)
		}
		return
	}
	if m.result != resultNoReplica { // the runner stays eligible: it may hold the model a moment later
		c.exclude = append(c.exclude, m.attempt.runner)
	}
	r.retry(c, m, now)
}

// logAttemptEnd logs the end of an attempt. For a run that broke off, the line also tells how far the answer had come
// and the parts of the prompt, which show what the broken runs of several runners have in common.
func (r *routing) logAttemptEnd(m attemptEnded) {
	fields := []any{
		"request", m.call.request.ID, "runner", m.attempt.runner, "result", m.result.String(),
		"took_ms", m.took.Milliseconds(), "begun", m.started, "first_ms", m.first.Milliseconds(), "final", m.final, "cause", errorText(m.cause),
		"version", m.attempt.version,
	}
	if m.result == resultBroken {
		fields = append(fields, "answered", m.answered, "answering_ms", m.answering.Milliseconds(),
			"prompt", promptText(m.call.request.Prompt))
	}
	r.log.Info("ended", fields...)
}

// promptText returns the IDs of a prompt's parts for logs, in hexadecimal and separated by commas.
func promptText(prompt []contract.PromptPart) string {
	ids := make([]string, len(prompt))
	for i, part := range prompt {
		ids[i] = strconv.FormatUint(part.ID, 16)
	}
	return strings.Join(ids, ",")
}

// notExecuted reports whether it is certain that the runner has not run the request.
func (r result) notExecuted() bool {
	return r == resultUnreachable || r == resultShed || r == resultNoReplica
}

// failed reports whether a result counts as a failure of the runner.
func (r result) failed() bool { return r == resultBroken || r == resultShed || r == resultFailed }

// recordResult counts a success or failure of a runner. Results that say nothing about its health are not counted.
func recordResult(l *link.RunnerLink, result result, now clock.Instant) {
	switch {
	case result == resultServed:
		l.Succeeded()
	case result == resultUnreachable:
		l.Unreachable(now)
	case result.failed():
		l.Failed(now)
	}
}

// retry dispatches a call again after a failed attempt, or refuses it. Each retry is reserved from the service's retry
// budget, in which it counts when it is sent, unless the runner could not be reached.
func (r *routing) retry(c *call, m attemptEnded, now clock.Instant) {
	route, reserved := c.admitted.Route, c.retry != link.NoRetry
	c.givenUp = c.givenUp || reserved
	switch {
	case m.result == resultTimeout:
		r.abandon(c, cutDeadline, contract.Failed(contract.DeadlineExceeded, "no answer within the deadline"), now)
		return
	case m.result == resultStopped:
		r.abandon(c, cutStopped, contract.Failed(contract.Stopping, "the VM was stopped before the answer was complete"), now)
		return
	case m.result == resultWithdrawn:
		cause := cutPartBlocked
		if r.crashes.Blocked(c.request.Digest, now) {
			cause = cutCrashing
		}
		r.abandon(c, cause, contract.Failed(contract.CrashSuspect, "it, or a part of its prompt, has crashed several runners"), now)
		return
	case m.result == resultUnrecorded:
		r.streams.pausedUntil = now.Add(recordPause)
		r.abandon(c, cutUnrecorded, contract.Failed(contract.StreamUnrecorded, "what began the stream could not be recorded"), now)
		return
	case m.result == resultBroken && r.crashes.Blocked(c.request.Digest, now):
		r.abandon(c, cutCrashing, contract.Failed(contract.RunnerFailed, "the request broke off at several runners"), now)
		return
	}
	if !m.result.notExecuted() && (!route.Repeatable() || c.runs >= route.MaxAttempts) {
		cause := cutBrokenOff
		if c.givenUp {
			cause = cutSilence
		}
		r.abandon(c, cause, contract.Failed(contract.RunnerFailed, "the runner gave no whole answer"), now)
		return
	}
	if c.sends >= maxSends {
		r.refuseWithCode(c, cutSends, contract.RunnerFailed, "the request was sent too often", now)
		return
	}
	if !reserved && m.result != resultUnreachable && !r.reserveRetry(c, now) {
		r.refuseWithCode(c, cutRetryBudget, contract.RunnerFailed, "the retry budget is spent", now)
		return
	}
	if r.refuseLostStream(c, now) {
		return
	}
	if c.streaming {
		c.waitUntil = max(c.waitUntil, now.Add(continuationWait))
	}
	r.dispatch(c, now)
}
