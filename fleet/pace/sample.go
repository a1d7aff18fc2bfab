package pace

import (
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/machine"
)

// Attempt is a request at a runner, as far as its pace can be learnt from it.
type Attempt struct {
	Runner   machine.RunnerID
	Artifact machine.Artifact
	Work     time.Duration // nominal time to the first event or answer, with the queue before it, by Book.Work
	Timely   bool          // expected to be in time, so that requests sent later do not overtake it
	SentAt   clock.Instant
}

const (
	// maxSample bounds the ratio of real to expected time with which one answer counts, so that one that was lost somewhere
	// does not make a runner slow.
	maxSample = 10
	// knownCount is the decayed number of answers from which on a model is known, so that an answer which took more or less
	// than expected by a factor of maxModelChange counts for it with that factor only.
	knownCount     = 20
	maxModelChange = 1.5
	// maxNewModelChange is the same for a longer time, as long as the model is not known. Without it a model would take the
	// slowness of its only runner, and keep it for minutes.
	maxNewModelChange = 2
	// correction is the weight of an answer that shows a model which is not known yet to be faster than expected by more than
	// maxModelChange, so that a few answers correct what few have shown.
	correction = 4
	// untimelyWeight is the weight of the first event of a request that others may have overtaken.
	untimelyWeight = 0.3
)

// Alive notes a run of the routing duty. After a suspension of the process the time that attempts before have taken says
// nothing of their runners.
func (b *Book) Alive(now clock.Instant) {
	if b.ranAt != 0 && now.Sub(b.ranAt) > lateRun {
		b.resumedAt = now
	}
	b.ranAt = now
}

// Measurable reports whether a time that began at an instant was measured without a suspension of the process.
func (b *Book) Measurable(since clock.Instant) bool {
	return since.After(b.resumedAt) || b.resumedAt == 0
}

// Began counts the first event or the answer of an attempt after the given time.
func (b *Book) Began(a Attempt, took time.Duration, now clock.Instant) {
	if a.Work <= 0 || took <= 0 || !b.Measurable(a.SentAt) {
		return
	}
	weight := 1.0
	if !a.Timely {
		weight = untimelyWeight
	}
	b.observeRead(a, min(took, maxSample*b.expected(a)), weight, now)
}

// NotBegun counts an attempt that ended without an event or answer: it would have taken at least the given time, which tells
// something only if more than expected has passed.
func (b *Book) NotBegun(a Attempt, took time.Duration, now clock.Instant) {
	if took > b.expected(a) {
		b.Began(a, took, now)
	}
}

// expected returns the time that an attempt is expected to take to its first event.
func (b *Book) expected(a Attempt) time.Duration {
	return b.Reading(a.Runner, a.Artifact.Service, a.Work)
}

func (b *Book) observeRead(a Attempt, took time.Duration, weight float64, now clock.Instant) {
	m, scale := modelOf(a.Artifact), b.modelEvidence.scale(now)
	part := weight * certainty(b.modelEvidence.total[m].read, scale)
	b.runnerEvidence.observe(a.Runner, evidence{read: tally{
		took: part * took.Seconds(), nominal: part * a.Work.Seconds(), count: part,
	}}, now)
	seconds, weightForModel := agreeing(b.modelEvidence.total[m].read, took.Seconds(), b.expected(a).Seconds(), scale)
	weight *= weightForModel
	b.modelEvidence.observe(m, evidence{read: tally{
		took: weight * seconds, nominal: weight * b.expected(a).Seconds() / b.model(m).read, count: weight,
	}}, now)
}

// certainty returns the part, from 0 to 1, with which an answer of a model counts for its runner: as long as little is known of
// the model, it may be the model that is slow.
func certainty(known tally, scale float64) float64 {
	count := max(0, known.count) / scale
	return (count + 1) / (count + 1 + priorCount)
}

// agreeing returns the time with which an answer counts for its model, and its weight: what differs much from the expected time
// comes from its runner, once the model is known.
func agreeing(known tally, took, expected, scale float64) (seconds, weight float64) {
	switch {
	case known.count/scale >= knownCount:
		return max(expected/maxModelChange, min(expected*maxModelChange, took)), 1
	case took*maxModelChange < expected:
		return took, correction
	}
	return min(expected*maxNewModelChange, took), 1
}

// Wrote counts events of an answer after its first one, which came in the given time since an instant. Each call counts alike:
// weighed by the number of events, the many that a runner wrote before it turned slow would hide the few after that.
func (b *Book) Wrote(a Attempt, events int, took time.Duration, since, now clock.Instant) {
	if events <= 0 || took <= 0 || !b.Measurable(since) {
		return
	}
	m, unit := modelOf(a.Artifact), EventTime.Seconds()
	model, expected := b.model(m).write, b.TokenTime(a.Runner, a.Artifact).Seconds()
	event := min(took.Seconds()/float64(events), maxSample*expected)
	scale := b.modelEvidence.scale(now)
	part := certainty(b.modelEvidence.total[m].write, scale)
	b.runnerEvidence.observe(a.Runner, evidence{write: tally{part * event / model, part * unit, part}}, now)
	agreed, weight := agreeing(b.modelEvidence.total[m].write, event, expected, scale)
	b.modelEvidence.observe(m, evidence{write: tally{weight * agreed * model / expected * unit, weight * unit, weight}}, now)
}

// SetWaiting states the attempts of this VM that wait for their first event. Those that wait for longer than expected count
// until they end, so that a runner which has turned slow is known before its next answer.
func (b *Book) SetWaiting(waiting []Attempt, now clock.Instant) {
	pending := make(map[machine.RunnerID]evidence)
	for _, a := range waiting {
		took := now.Sub(a.SentAt)
		if a.Work <= 0 || !a.Timely || !b.Measurable(a.SentAt) || took <= 2*b.expected(a) {
			continue
		}
		sample := tally{min(took, maxSample*b.expected(a)).Seconds(), a.Work.Seconds(), 1}
		pending[a.Runner] = evidence{read: pending[a.Runner].read.plus(sample, 1)}
	}
	b.runnerEvidence.setPending(pending, now)
}
