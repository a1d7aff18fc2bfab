// Package pace learns how fast runners and models really are, from the answers that all entry VMs have got, and estimates
// how long a request takes. It does no I/O; the current time is always an argument. The routing duty owns a Book.
package pace

import (
	"math"
	"slices"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/machine"
)

// Nominal times, which hold until something has been measured. Measured paces are ratios to them.
const (
	// promptTokensPerMs is the number of prompt tokens that an engine reads in a millisecond.
	promptTokensPerMs = 19.2
	// FirstTokenTime is the time that a model engine takes from the end of the prefill to the first event.
	FirstTokenTime = 100 * time.Millisecond
	// EventTime is the time between two events of an answer.
	EventTime = 20 * time.Millisecond
)

// Parameters of the estimates.
const (
	// runnerDecay is the time after which the evidence on a runner counts 1/e. A runner that turns slow must be known within a
	// second.
	runnerDecay = 2 * time.Second
	// modelDecay is the same for a model, whose pace changes only with its weights.
	modelDecay = 5 * time.Minute
	// tolerance is the difference from the median, from 0 to 1, up to which a runner is as good as others. Queues that are
	// estimated by a moment's reports make paces vary by that much; if such differences decided, few runners would get most
	// requests.
	tolerance = 0.15
	// margin is the ratio to the estimate up to which most answers begin. On kitaguni-topup-grown the time to the first event
	// was over 1.7 to 3 times the estimate for one in ten requests.
	margin = 1.75
	// priorCount is the number of answers that the fleet's median counts for beside the answers of a runner or model.
	priorCount = 4
	// forgottenCount is the decayed number of answers below which a model is forgotten.
	forgottenCount = 0.01
	// refreshPeriod is the shortest time between two calculations of the factors.
	refreshPeriod = 100 * time.Millisecond
	// medianPeriod is the time between two calculations of the medians, and medianWeight the weight of a new one in the moving
	// average.
	medianPeriod = 500 * time.Millisecond
	medianWeight = 0.4
	// medianCount is the number of answers from which on a service's median counts in full.
	medianCount = 8
	// lateRun is the time between two runs of the routing duty from which on the process counts as having been suspended.
	lateRun = 150 * time.Millisecond
	// SlowFrom and soundBelow are the slowness from which on a runner counts as slow, and below which it no longer does.
	SlowFrom   = 2.0
	soundBelow = 1.5
	// probeCount is the decayed number of answers of all VMs below which a slow runner may get a probe.
	probeCount = 1.0
	// probePeriod is the shortest time between two requests that this VM sends to the same slow runner to learn its pace.
	probePeriod = time.Second
)

// PrefillTime returns the nominal time that an engine takes to read the given number of prompt tokens.
func PrefillTime(tokens int) time.Duration {
	return span(float64(tokens) / promptTokensPerMs * float64(time.Millisecond))
}

// Model names a model of a service; of a plain service it is empty.
type Model struct {
	Service contract.ServiceName
	Name    contract.ModelName
}

func modelOf(a machine.Artifact) Model { return Model{a.Service, a.Model} }

// factors are ratios of real to nominal time: of the time to the first event, and of the time between events.
type factors struct{ read, write float64 }

// runnerPace is the pace of one runner relative to the median of its service.
type runnerPace struct {
	factors
	answers  float64 // decayed number of answers of all VMs
	slow     bool
	probedAt clock.Instant // when this VM last sent a probe
}

// Book holds the paces of runners and models. Its estimates are products of the nominal time, the service's median, the
// runner's pace relative to it, and the model's.
type Book struct {
	runnerEvidence *pool[machine.RunnerID]
	modelEvidence  *pool[Model]
	runners        map[machine.RunnerID]*runnerPace
	models         map[Model]factors
	medians        map[contract.ServiceName]factors
	boots          map[machine.RunnerID]int64
	allowances     map[string]*allowance // of reports, by neighbour

	refreshedAt clock.Instant
	mediansAt   clock.Instant // last calculation of the medians
	ranAt       clock.Instant // the last run of the routing duty
	resumedAt   clock.Instant // end of the last suspension of this process
}

// NewBook returns a book without measurements.
func NewBook() *Book {
	return &Book{
		runnerEvidence: newPool[machine.RunnerID](runnerDecay), modelEvidence: newPool[Model](modelDecay),
		runners: make(map[machine.RunnerID]*runnerPace), models: make(map[Model]factors),
		medians: make(map[contract.ServiceName]factors), boots: make(map[machine.RunnerID]int64),
		allowances: make(map[string]*allowance),
	}
}

// median returns the median pace of a service's runners.
func (b *Book) median(s contract.ServiceName) factors {
	if f, ok := b.medians[s]; ok {
		return f
	}
	return factors{1, 1}
}

func (b *Book) model(m Model) factors {
	if f, ok := b.models[m]; ok {
		return f
	}
	return factors{1, 1}
}

// runner returns the pace of a runner relative to the median.
func (b *Book) runner(id machine.RunnerID) factors {
	if p := b.runners[id]; p != nil {
		return p.factors
	}
	return factors{1, 1}
}

// Work returns the nominal time that a model's prompt takes to be read at the usual pace of a model. Queues are counted in it,
// so that VMs with different books agree on them.
func (b *Book) Work(a machine.Artifact, tokens int) time.Duration {
	return scaled(PrefillTime(tokens), b.model(modelOf(a)).read)
}

// Reading returns the time in which a runner does the given work.
func (b *Book) Reading(id machine.RunnerID, s contract.ServiceName, work time.Duration) time.Duration {
	return scaled(work, b.median(s).read*b.runner(id).read)
}

// ReadingBound returns a time in which a runner does the given work with some certainty: the estimate with a margin, which
// does not pass the nominal time. Nothing is lost by it where nothing has been measured.
func (b *Book) ReadingBound(id machine.RunnerID, s contract.ServiceName, work time.Duration) time.Duration {
	factor := b.median(s).read * b.runner(id).read
	return scaled(work, max(factor, min(1, factor*margin)))
}

// FirstEvent returns the time from the end of the prefill to the first event.
func (b *Book) FirstEvent(id machine.RunnerID, a machine.Artifact) time.Duration {
	return b.Reading(id, a.Service, b.FirstWork(a))
}

// FirstWork returns the nominal time from the end of the prefill to the first event, at the usual pace of a model.
func (b *Book) FirstWork(a machine.Artifact) time.Duration {
	return scaled(FirstTokenTime, b.model(modelOf(a)).read)
}

// TokenTime returns the time between two events of an answer.
func (b *Book) TokenTime(id machine.RunnerID, a machine.Artifact) time.Duration {
	return scaled(EventTime, b.median(a.Service).write*b.runner(id).write*b.model(modelOf(a)).write)
}

// Slowness returns how many times the usual time a runner takes, the slower of reading and writing.
func (b *Book) Slowness(id machine.RunnerID) float64 {
	f := b.runner(id)
	return max(f.read, f.write)
}

// QueueDoubt returns what the choice of a runner adds to the wait in its queue. What other VMs have sent there since their last
// report is not in it, so that where runners are faster than nominal a queue counts with the margin, up to its nominal time.
func (b *Book) QueueDoubt(s contract.ServiceName, wait time.Duration) time.Duration {
	return scaled(wait, max(0, min(margin, 1/b.median(s).read)-1))
}

// Compared returns an estimate of the time to the first event at a runner as it counts beside those at others: differences of
// pace up to the tolerance do not.
func (b *Book) Compared(id machine.RunnerID, estimate time.Duration) time.Duration {
	pace := b.runner(id).read
	return scaled(estimate, beyondTolerance(pace)/pace)
}

// beyondTolerance returns the part of a relative pace that differs from 1 by more than the tolerance.
func beyondTolerance(pace float64) float64 {
	switch {
	case pace > 1+tolerance:
		return pace - tolerance
	case pace < 1-tolerance:
		return pace + tolerance
	}
	return 1
}

// Answers returns the decayed number of answers behind the pace of a runner.
func (b *Book) Answers(id machine.RunnerID) float64 {
	if p := b.runners[id]; p != nil {
		return p.answers
	}
	return 0
}

// Slow reports whether a runner counts as slow.
func (b *Book) Slow(id machine.RunnerID) bool {
	p := b.runners[id]
	return p != nil && p.slow
}

// ProbeDue reports whether a slow runner may get a request of this VM to find out whether it still is.
func (b *Book) ProbeDue(id machine.RunnerID, now clock.Instant) bool {
	p := b.runners[id]
	return p != nil && p.answers < probeCount && p.slow && now.Sub(p.probedAt) >= probePeriod
}

// Probed notes that a runner for which ProbeDue held gets a request.
func (b *Book) Probed(id machine.RunnerID, now clock.Instant) {
	if p := b.runners[id]; p != nil {
		p.probedAt = now
	}
}

// Turn is a runner that has turned slow or has recovered.
type Turn struct {
	Runner   machine.RunnerID
	Slow     bool
	Slowness float64
	Answers  float64
}

// Refresh calculates the paces anew from the evidence, if it is time, and returns the runners that have turned slow or have
// recovered.
func (b *Book) Refresh(f *machine.Fleet, now clock.Instant) []Turn {
	if now.Sub(b.refreshedAt) < refreshPeriod {
		return nil
	}
	b.refreshedAt = now
	scale := b.runnerEvidence.scale(now)
	if now.Sub(b.mediansAt) >= medianPeriod {
		b.mediansAt = now
		b.forgetGone(f)
		b.refreshMedians(f, scale)
	}
	var turns []Turn
	for _, r := range f.All() {
		b.noteBoot(r)
		e, known := b.runnerEvidence.total[r.ID]
		if !known {
			continue
		}
		p := b.runners[r.ID]
		if p == nil {
			p = &runnerPace{}
			b.runners[r.ID] = p
		}
		p.set(e, b.median(r.Service), scale)
		if slowness := max(p.read, p.write); !p.slow && slowness >= SlowFrom || p.slow && slowness < soundBelow {
			p.slow = !p.slow
			turns = append(turns, Turn{Runner: r.ID, Slow: p.slow, Slowness: slowness, Answers: p.answers})
		}
	}
	b.refreshModels(now)
	return turns
}

func (b *Book) refreshModels(now clock.Instant) {
	scale := b.modelEvidence.scale(now)
	for m, e := range b.modelEvidence.total {
		if (e.read.count+e.write.count)/scale < forgottenCount {
			b.modelEvidence.forget(m)
			delete(b.models, m)
			continue
		}
		b.models[m] = factors{
			read: shrunk(e.read, 1, 1, scale), write: shrunk(e.write, 1, 1, scale),
		}
	}
}

// forgetGone forgets the runners that are not in the fleet.
func (b *Book) forgetGone(f *machine.Fleet) {
	for id := range b.boots {
		if f.Get(id) == nil {
			delete(b.boots, id)
			delete(b.runners, id)
		}
	}
	for id := range b.runnerEvidence.total {
		if f.Get(id) == nil {
			b.runnerEvidence.forget(id)
		}
	}
}

// noteBoot forgets what is known of a runner's former process.
func (b *Book) noteBoot(r *machine.Runner) {
	if boot, known := b.boots[r.ID]; known && boot == r.Boot {
		return
	} else if known {
		b.runnerEvidence.forget(r.ID)
		delete(b.runners, r.ID)
	}
	b.boots[r.ID] = r.Boot
}

// refreshMedians moves the paces that are expected of a service's runners towards the median of those measured.
func (b *Book) refreshMedians(f *machine.Fleet, scale float64) {
	reads, writes := make(map[contract.ServiceName][]tally), make(map[contract.ServiceName][]tally)
	for _, r := range f.All() {
		e := b.runnerEvidence.total[r.ID]
		reads[r.Service] = append(reads[r.Service], e.read)
		writes[r.Service] = append(writes[r.Service], e.write)
	}
	for s := range reads {
		before := b.median(s)
		b.medians[s] = factors{
			read: towardsMedian(before.read, reads[s], scale), write: towardsMedian(before.write, writes[s], scale),
		}
	}
}

func towardsMedian(before float64, tallies []tally, scale float64) float64 {
	var ratios []float64
	answers := 0.0
	for _, t := range tallies {
		if t.count/scale >= changedCount {
			ratios = append(ratios, t.ratio())
			answers += t.count / scale
		}
	}
	if len(ratios) == 0 {
		return before
	}
	slices.Sort(ratios)
	weight := medianWeight * min(1, answers/medianCount)
	return before + weight*(ratios[(len(ratios)-1)/2]-before)
}

// set calculates a runner's pace. What is known of its writing gives the prior of its reading, and the other way round: one
// that turns slow mostly does so in both, and events come more often than answers begin. It is the square root, since a runner
// with many requests writes slowly while it reads as fast as before.
func (p *runnerPace) set(e evidence, median factors, scale float64) {
	p.factors = factors{
		read:  shrunk(e.read, median.read, math.Sqrt(shrunk(e.write, median.write, 1, scale)), scale),
		write: shrunk(e.write, median.write, math.Sqrt(shrunk(e.read, median.read, 1, scale)), scale),
	}
	p.answers = max(0, e.read.count+e.write.count) / scale
}

// shrunk returns the ratio of a tally to a median, drawn towards a prior if there are few answers.
func shrunk(t tally, median, prior, scale float64) float64 {
	count := max(0, t.count) / scale
	return (count*t.ratio()/median + priorCount*prior) / (count + priorCount)
}

func scaled(d time.Duration, factor float64) time.Duration {
	if factor == 1 {
		return d
	}
	return span(float64(d) * factor)
}

// maxSpan bounds the times that are calculated, so that sums of them do not overflow.
const maxSpan = 24 * time.Hour

// span returns a number of nanoseconds as a time from 0 to maxSpan.
func span(ns float64) time.Duration { return time.Duration(max(0, min(float64(maxSpan), ns))) }

// Writing returns the time in which a runner writes the given number of events after the first one.
func (b *Book) Writing(id machine.RunnerID, a machine.Artifact, events float64) time.Duration {
	return span(events * float64(b.TokenTime(id, a)))
}
