package entry

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/pace"
)

var errSlow = errors.New("the runner is too slow for the rest of the stream, and another one can go on")

// slowMeasurements is the number of measurements in a row by which a stream must miss its deadline or its allowed pauses before
// it leaves its runner. One pause tells nothing: a sound runner may be silent for soundSilence.
const slowMeasurements = 3

// slowStreak counts the measurements in a row by which a stream is too slow at its runner.
type slowStreak struct {
	sends, count int // sends tells apart the attempts of a call
}

// add adds a measurement, and reports whether there are enough.
func (s *slowStreak) add(sends int, misses bool) bool {
	if !misses || s.sends != sends {
		*s = slowStreak{sends: sends}
	}
	if misses {
		s.count++
	}
	return s.count >= slowMeasurements
}

// leaveSlowRunner gives up an attempt whose runner has turned so slow that the stream will miss its deadline or its allowed pauses
// by far, if it is surely better off at another runner and its service's retry budget allows it.
func (r *routing) leaveSlowRunner(m eventsMeasured, now clock.Instant) {
	c, a := m.call, m.attempt
	if !a.resumable || !c.pinned || c.reserved != nil || !r.table.Pace.Measurable(m.since) {
		return
	}
	expected := r.expectedEvents(c)
	if expected == 0 {
		return
	}
	rest := pace.Progress{
		Events: max(1, expected-float64(m.sent)), Event: m.took / time.Duration(m.events),
		MaxGap: c.admitted.Route.MaxGap, Left: c.deadline.Sub(now),
	}
	if !c.slow.add(c.sends, rest.Misses()) || !r.table.Pace.Slow(a.runner) {
		return
	}
	requirements := r.requirements(c, now)
	requirements.Events = rest.Events
	requirements.Exclude = append(requirements.Exclude[:len(c.exclude):len(c.exclude)], a.runner)
	next, ok := r.table.Offer(r.fleet, requirements, now)
	if !ok || !rest.BetterAt(next.End) || r.reserveContinuation(c, a, now, now) != notKept {
		return
	}
	c.suspected = true // that it is slow is no failure
	r.log.Info("slow runner left", "request", c.request.ID, "runner", a.runner, "event_ms", rest.Event.Milliseconds(),
		"events_left", rest.Events, "left_ms", rest.Left.Milliseconds(), "next", next.Runner.ID, "next_ms", next.End.Milliseconds())
	r.metrics.pace.left.Inc()
	r.streamsMoved++
	a.cancel(errSlow)
}
