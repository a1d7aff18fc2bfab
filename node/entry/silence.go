package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/link"
)

const (
	// streamSilenceTimeout is the shortest time without an event after which the runner of a resumable stream is suspected, so
	// that new requests go elsewhere. It is at least silenceGaps times the pause that the route allows.
	streamSilenceTimeout = 1200 * time.Millisecond
	silenceGaps          = 1.5
	// soundSilence is the longest time for which a sound runner is silent. After it come the pause before the next event, as long
	// as the route allows, and the way and the processes here, for which silenceMargin is enough without such a pause.
	soundSilence  = 2 * time.Second
	silenceMargin = 250 * time.Millisecond
	// silenceRecheck is the time after which it is asked again whether a silent attempt can be given up.
	silenceRecheck = 500 * time.Millisecond
	// readTime is the time that a process which was suspended or starved gets to read what has come meanwhile, before a runner
	// counts as silent. Timers that are later than that show that it was.
	readTime = 100 * time.Millisecond
)

// silenceTimes returns how long an attempt may go without an event or answer before its runner is suspected, and how long a
// sound runner may take between two events. The first is zero, which means no limit, if the call may be neither resumed nor
// retried. The second is zero for a call that is no resumable stream; it is given up as soon as its runner is suspected. A safe request is suspected and given up after a third of its time: nothing of an answer has been sent, so that its
// caller gets a whole refusal if the next runner fails too.
func silenceTimes(route *contract.Route, a attempt, left time.Duration) (timeout, sound time.Duration) {
	gaps := time.Duration(silenceGaps * float64(route.MaxGap))
	longest := soundSilence + max(silenceMargin, route.MaxGap)
	switch {
	case a.resumable && !a.timely:
		return left, longest // it may wait behind all calls that can be in time
	case a.resumable:
		return max(streamSilenceTimeout, gaps) + a.expectedLatency, longest
	case route.Kind == contract.Safe && route.MaxAttempts > 1:
		return left / 3, 0
	}
	return 0, 0
}

// keptFor returns the time without an event or answer for which an attempt is kept in any case; started says whether an event
// has come.
func (a attempt) keptFor(started bool) time.Duration {
	switch {
	case a.soundSilence == 0:
		return a.silenceTimeout
	case started:
		return max(a.silenceTimeout, a.soundSilence)
	}
	return max(a.silenceTimeout, soundSilence+silenceMargin+a.expectedLatency)
}

// keptReason says why an attempt whose runner is silent is not given up.
type keptReason string

const (
	notKept       keptReason = "" // it is given up
	mayGoOn       keptReason = "a sound runner may be silent for so long"
	noAttemptLeft keptReason = "the request may not be sent again"
	noOther       keptReason = "no other runner can go on in time"
	noBudget      keptReason = "the retry budget is spent"
)

// attemptSilent says that a runner has sent nothing for the silence timeout of an attempt, or for longer.
type attemptSilent struct {
	call     *call
	attempt  attempt
	since    clock.Instant // of the attempt's last event, or of its start
	at       clock.Instant // when the silence was measured; the duty may apply it much later
	started  bool          // an event of the attempt has come
	progress clock.Instant // of the caller's last event in any attempt, or of the request's arrival
}

// apply counts the silence as a failure of the runner, once for each attempt. It gives up the attempt if a sound runner would
// have gone on by now, and the call can go on at another runner before its caller abandons it. Otherwise the runner may still
// go on, so the attempt is kept.
func (m attemptSilent) apply(r *routing, now clock.Instant) {
	c, a := m.call, m.attempt
	if a.ctx.Err() != nil {
		return // it has ended meanwhile
	}
	if l := r.linkOf(a); l != nil && a.resumable && !c.suspected {
		c.suspected = true
		l.Failed(now)
	}
	silent, kept := m.at.Sub(m.since), mayGoOn
	if silent >= a.keptFor(m.started) {
		kept = r.reserveContinuation(c, a, m.progress, now)
	}
	if kept == c.kept && kept != notKept {
		return
	}
	c.kept = kept
	r.log.Info("runner silent", "request", c.request.ID, "runner", a.runner, "silent_ms", silent.Milliseconds(),
		"given_up", kept == notKept, "kept_because", kept)
	if kept == notKept {
		a.cancel(errSilent)
	}
}

// reserveContinuation reserves a retry of a call from its service's budget before the attempt in progress ends, if another runner can go
// on with the call in time and it may be sent again. Until the attempt has ended, the call counts there as sent, so that the
// next one sees it. It returns why it has not done so, or notKept.
func (r *routing) reserveContinuation(c *call, a attempt, progress, now clock.Instant) keptReason {
	route := c.admitted.Route
	if c.retry != link.NoRetry || !route.Repeatable() || c.runs+1 >= route.MaxAttempts || c.sends >= maxSends {
		return noAttemptLeft
	}
	requirements := r.requirements(c, now)
	requirements.Exclude = append(requirements.Exclude[:len(c.exclude):len(c.exclude)], a.runner)
	next, ok := r.table.Offer(r.fleet, requirements, now)
	if !ok || !r.canGoOn(c, next, progress, now) {
		return noOther
	}
	if !r.reserveRetry(c, now) {
		return noBudget
	}
	c.reserved = &attempt{
		runner: next.Runner.ID, boot: next.Runner.Boot, artifact: c.artifact, work: next.Work, timely: next.Timely,
		tokens: next.Tokens,
	}
	r.table.Link(next.Runner).Sent(c.artifact, next.Work, next.Timely)
	r.table.Link(next.Runner).Holds(c.artifact, c.reserved.tokens)
	return notKept
}

// canGoOn reports whether a stream can be expected to go on at a runner before its deadline and before its caller abandons it.
// One that fails there is broken off, so it does not go to a runner that is ejected.
func (r *routing) canGoOn(c *call, next link.Choice, progress, now clock.Instant) bool {
	if !c.admitted.Route.ResumableStream() {
		return true
	}
	if _, blocked := r.suspectIn(c, now); blocked {
		return false
	}
	end := min(c.deadline, progress.Add(c.admitted.Route.Patience()))
	return !now.Add(next.First).After(end) && !r.table.Link(next.Runner).Ejected(now)
}

// endedForSilence reports whether an attempt was given up because its runner was silent.
func (a attempt) endedForSilence() bool { return errors.Is(context.Cause(a.ctx), errSilent) }

// endSilence forgets what the silence of the attempt that has just ended has led to.
func (r *routing) endSilence(c *call) {
	if c.reserved != nil {
		r.forgetSent(*c.reserved)
	}
	c.reserved, c.suspected, c.kept = nil, false, notKept
}

// forgetSent takes back that an attempt counts as sent to its runner.
func (r *routing) forgetSent(a attempt) {
	if l := r.linkOf(a); l != nil {
		l.Started(a.artifact, a.work, a.timely)
		l.Frees(a.artifact, a.tokens)
		l.Finished(a.artifact)
	}
}

// silenceTimer tells the routing duty that the runner of an attempt is silent: after the silence timeout, after the longest
// silence of a sound runner, and from then on again and again. Its zero value does nothing.
type silenceTimer struct {
	*exchange
	timer    *time.Timer
	attempt  attempt
	begun    clock.Instant
	progress clock.Instant // of the caller's last event before the attempt, or of the request's arrival
	heardAt  atomic.Int64  // of the attempt's last event, or of its start
	dueAt    atomic.Int64  // of the next report
	paused   atomic.Bool
}

func (x *exchange) startSilenceTimer(a attempt) *silenceTimer {
	s := &silenceTimer{exchange: x, attempt: a, begun: clock.Now(), progress: x.progressAt}
	s.heardAt.Store(int64(s.begun))
	if a.silenceTimeout > 0 {
		s.timer = time.AfterFunc(never, s.report)
		s.arm(s.begun, a.silenceTimeout)
	}
	return s
}

// arm lets the next report come after a time.
func (s *silenceTimer) arm(now clock.Instant, d time.Duration) {
	s.dueAt.Store(int64(now.Add(d)))
	s.timer.Reset(d)
}

// report pushes the silence, if there is one, and sets the time of the next report. What a full ring does not take comes again.
func (s *silenceTimer) report() {
	if s.attempt.ctx.Err() != nil || s.paused.Load() {
		return
	}
	now, heard := clock.Now(), clock.Instant(s.heardAt.Load())
	if now.Sub(clock.Instant(s.dueAt.Load())) > readTime {
		s.arm(now, readTime)
		return
	}
	silent, started := now.Sub(heard), heard > s.begun
	if silent < s.attempt.silenceTimeout {
		s.arm(now, s.attempt.silenceTimeout-silent)
		return
	}
	m := attemptSilent{call: s.call, attempt: s.attempt, since: heard, at: now, started: started, progress: s.progress}
	if started {
		m.progress = heard
	}
	_ = s.routing.TryPush(m)
	next := silenceRecheck
	if kept := s.attempt.keptFor(started); silent < kept {
		next = kept - silent
	}
	s.arm(now, next)
}

// pause ends the silence until reset.
func (s *silenceTimer) pause() {
	s.paused.Store(true)
	s.stop()
}

// reset begins a new silence, and returns the instant.
func (s *silenceTimer) reset() clock.Instant {
	now := clock.Now()
	s.heardAt.Store(int64(now))
	s.paused.Store(false)
	if s.timer != nil {
		s.arm(now, s.attempt.silenceTimeout)
	}
	return now
}

func (s *silenceTimer) stop() {
	if s.timer != nil {
		s.timer.Stop()
	}
}
