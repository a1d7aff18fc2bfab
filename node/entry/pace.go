package entry

import (
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/link"
	"github.com/mangopass/mangopass/fleet/pace"
	"github.com/mangopass/mangopass/node/metrics"
)

const (
	// writeSamplePeriod is the shortest time over which the events of an answer are measured, so that an answer in progress
	// tells of its runner a few times a second.
	writeSamplePeriod = 250 * time.Millisecond
	// maxWriteShare is the share of a measured time, from 0 to 1, that the writing to the caller may take. Events that a slow
	// caller holds up wait in the connection, and say nothing of the runner.
	maxWriteShare = 0.25
	// paceReviewPeriod is the time between two reviews of the requests that wait for their first event.
	paceReviewPeriod = 100 * time.Millisecond
)

// paced returns an attempt as far as the pace of its runner can be learnt from it.
func (a attempt) paced() pace.Attempt {
	return pace.Attempt{Runner: a.runner, Artifact: a.artifact, Work: a.nominal, Timely: a.timely, SentAt: a.sentAt}
}

// measureEnd learns from the end of an attempt whose runner is still the same process.
func (r *routing) measureEnd(m attemptEnded, now clock.Instant) {
	if m.result == resultServed && m.started && m.call.runs == 0 && !m.call.takesUp() {
		r.lengths.Ended(m.attempt.artifact, m.call.request.LengthHint, m.sent.events)
	}
	switch {
	case m.started && m.startReported:
	case m.result == resultServed && !m.started && m.status > 0 && m.attempt.artifact.Model == "":
		r.table.Pace.Began(m.attempt.paced(), m.took, now)
	case !m.started && (m.result == resultTimeout || m.result == resultCallerGone || m.attempt.endedForSilence()):
		r.table.Pace.NotBegun(m.attempt.paced(), m.took, now)
	}
}

// reviewPace learns from the attempts that wait for their first event, and logs which runners have turned slow or recovered.
func (r *routing) reviewPace(now clock.Instant) {
	if now.Sub(r.paceReviewedAt) < paceReviewPeriod {
		return
	}
	r.paceReviewedAt = now
	var waiting []pace.Attempt
	for c := range r.inFlight {
		if now.Sub(c.sentTo.sentAt) > c.sentTo.expectedLatency && r.linkOf(c.sentTo) != nil {
			waiting = append(waiting, c.sentTo.paced())
		}
	}
	r.table.Pace.SetWaiting(waiting, now)
	for _, t := range r.table.Pace.Refresh(r.fleet, now) {
		message := "runner has recovered"
		if t.Slow {
			message = "runner has turned slow"
		}
		r.log.Info(message, "runner", t.Runner, "slowness", t.Slowness, "answers", t.Answers)
	}
}

// paceFor returns the paces to report to a neighbour.
func (r *routing) paceFor(name string, p *peer, now clock.Instant) pace.Report {
	return r.table.Pace.ReportFor(name, p.role == link.Child, p.needsAll, r.neighbours(), now)
}

// neighbours returns the number of VMs to which this one reports.
func (r *routing) neighbours() int {
	n := 0
	for _, p := range r.members.peers {
		if p.role != link.Unrelated {
			n++
		}
	}
	return n
}

// expectedEvents returns the number of events that the answer to a call is expected to have.
func (r *routing) expectedEvents(c *call) float64 {
	return r.lengths.Events(c.artifact, c.request.LengthHint, c.request.MaxTokens)
}

// eventsMeasured is the time that events of an answer took at its runner.
type eventsMeasured struct {
	call    *call
	attempt attempt
	sent    int // events of the answer that the caller has got
	events  int
	took    time.Duration
	since   clock.Instant
	last    bool // the attempt has ended, so that its stream can't leave the runner
}

// apply learns from the events unless the runner has restarted, and lets the stream leave a runner that is too slow for it.
func (m eventsMeasured) apply(r *routing, now clock.Instant) {
	if r.linkOf(m.attempt) != nil {
		r.table.Pace.Wrote(m.attempt.paced(), m.events, m.took, m.since, now)
	}
	if m.attempt.ctx.Err() == nil && !m.last {
		r.leaveSlowRunner(m, now)
	}
}

// writePace measures the time between the events of an answer for the routing duty.
type writePace struct {
	*exchange
	attempt attempt
	since   clock.Instant // of the first event that is measured from; zero: none has come
	last    clock.Instant // arrival of the last event
	written time.Duration // of the time since then, what the writing to the caller took
	events  int           // after the first one
}

// arrived notes the arrival of an event.
func (w *writePace) arrived() {
	w.last = clock.Now()
	if w.since == 0 {
		w.since = w.last
		return
	}
	w.events++
	if w.last.Sub(w.since) >= writeSamplePeriod {
		w.report(false)
	}
}

// event notes that the event has been written to the caller.
func (w *writePace) event(now clock.Instant) { w.written += now.Sub(w.last) }

// report tells the routing duty what has been measured since the last report; last says that the attempt has ended. It may be
// lost if the ring is full.
func (w *writePace) report(last bool) {
	took := w.last.Sub(w.since)
	if w.events > 0 && float64(w.written) <= maxWriteShare*float64(took) {
		_ = w.routing.TryPush(eventsMeasured{
			call: w.call, attempt: w.attempt, sent: w.sent.events, events: w.events, took: took, since: w.since,
			last: last,
		})
	}
	w.since, w.events, w.written = w.last, 0, 0
}

// paceMetrics shows the paces of the runners.
type paceMetrics struct {
	slowness *prometheus.GaugeVec
	slow     prometheus.Gauge
	left     prometheus.Counter
}

func newPaceMetrics(r prometheus.Registerer) paceMetrics {
	m := paceMetrics{
		slowness: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: metrics.Namespace, Name: "runner_slowness_ratio",
			Help: "Time that runners take, relative to the usual of their service, by quantile over the runners with answers.",
		}, []string{"quantile"}),
		left: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Name: "slow_runners_left_total",
			Help: "Streams that went on at another runner since theirs had become too slow for them.",
		}),
		slow: newGauge("runners_slow", "Runners that take at least twice the usual time of their service."),
	}
	r.MustRegister(m.slowness, m.slow, m.left)
	return m
}

// update sets the gauges to what the routing duty knows.
func (m paceMetrics) update(r *routing) {
	var measured []float64
	slow := 0
	for _, runner := range r.fleet.All() {
		if r.table.Pace.Slow(runner.ID) {
			slow++
		}
		if r.table.Pace.Answers(runner.ID) > 0 {
			measured = append(measured, r.table.Pace.Slowness(runner.ID))
		}
	}
	m.slow.Set(float64(slow))
	if len(measured) == 0 {
		return
	}
	slices.Sort(measured)
	last := len(measured) - 1
	m.slowness.WithLabelValues("0.5").Set(measured[last/2])
	m.slowness.WithLabelValues("0.9").Set(measured[last*9/10])
	m.slowness.WithLabelValues("1").Set(measured[last])
}
