package entry

import (
	"context"
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/mangopass/mangopass/duty/clock"
)

// cutCause says why this VM ended the connection of a request that it had read without a complete answer.
type cutCause string

const (
	cutBrokenOff   cutCause = "runner_broke_off"     // the runner broke off, and the route allows no further attempt
	cutDeadline    cutCause = "deadline"             // the caller's or the route's
	cutCallerGone  cutCause = "caller_gone"          // the caller has disconnected, or does not read
	cutSilence     cutCause = "given_up_for_silence" // its runner was given up, and the attempt after that broke off too
	cutRetryBudget cutCause = "retry_budget_spent"
	cutSends       cutCause = "sends_spent"
	cutNoRunner    cutCause = "no_runner"
	cutNoReplica   cutCause = "no_replica"
	cutQueue       cutCause = "queue_too_long"
	cutLimits      cutCause = "runners_at_limits" // or paused
	cutVersionGone cutCause = "version_gone"      // no usable runner has the software version of the stream
	cutUnrecorded  cutCause = "not_recorded"
	cutPartBlocked cutCause = "prompt_part_blocked"
	cutCrashing    cutCause = "request_crashes_runners"
	cutStopped     cutCause = "planned_stop"
	cutProcessEnds cutCause = "process_ending" // the routing duty takes no more messages
	cutPanic       cutCause = "panic"          // a fault of the request's handler
)

// culprit says on whose side the cause of a cut lies.
type culprit string

const (
	bySystem   culprit = "system" // mangopass: another decision might have saved the answer
	byRunner   culprit = "runner"
	byCaller   culprit = "caller"
	byDeadline culprit = "deadline"
)

// by returns on whose side the cause lies.
func (c cutCause) by() culprit {
	switch c {
	case cutBrokenOff, cutCrashing:
		return byRunner
	case cutCallerGone:
		return byCaller
	case cutDeadline:
		return byDeadline
	}
	return bySystem
}

// cutCauses returns all causes.
func cutCauses() []cutCause {
	return []cutCause{
		cutBrokenOff, cutDeadline, cutCallerGone, cutSilence, cutRetryBudget, cutSends, cutNoRunner, cutNoReplica, cutQueue,
		cutLimits, cutVersionGone, cutUnrecorded, cutPartBlocked, cutCrashing, cutStopped, cutProcessEnds,
		cutPanic,
	}
}

// passedOn is how much of its answer a caller has got.
type passedOn struct {
	events    int
	lastEvent string // ID of the last event that has one
}

// cutLog counts and logs answers that are cut off. It is safe for concurrent use.
type cutLog struct {
	log     *slog.Logger
	counter *prometheus.CounterVec
}

// record counts and logs an answer that is cut off, as a warning if the cause is this VM's or a runner's. more are further
// fields of the log line.
func (l cutLog) record(c *call, cause cutCause, sent passedOn, now clock.Instant, more ...any) {
	l.counter.WithLabelValues(string(cause), string(cause.by())).Inc()
	level := slog.LevelInfo
	if by := cause.by(); by == bySystem || by == byRunner {
		level = slog.LevelWarn
	}
	fields := []any{
		"request", c.request.ID, "cause", string(cause), "by", string(cause.by()),
		"waited_ms", now.Sub(c.request.Arrived).Milliseconds(), "events", sent.events, "last_event", sent.lastEvent,
	}
	l.log.Log(context.Background(), level, "answer cut off", append(fields, more...)...)
}

// noteCut records that the answer to a call is cut off, unless that has been recorded already. The exchange aborts the
// caller's connection, if the caller has not done so.
func (r *routing) noteCut(c *call, cause cutCause, now clock.Instant) {
	if c.cut {
		return
	}
	c.cut = true
	inForce := time.Duration(0)
	if r.manifest != nil {
		inForce = now.Sub(r.manifestSince)
	}
	r.cuts.record(c, cause, c.passedOn, now, "runner", c.sentTo.runner, "sends", c.sends, "runs", c.runs, "given_up", c.givenUp,
		"manifest", r.manifestVersion(), "manifest_in_force_ms", inForce.Milliseconds())
}
