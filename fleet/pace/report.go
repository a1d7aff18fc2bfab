package pace

import (
	"math"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/machine"
)

// Report is what an entry VM tells a neighbour of paces: evidence that the receiver has not from elsewhere, as of the time of
// the report. It replaces what was told of the same runner or model before, and decays at the receiver as it does at the
// sender, so that a report which is lost, late or doubled does no harm.
type Report struct {
	Runners []RunnerFigures
	Models  []ModelFigures
}

// Figures are tallies of answers: the time that they took and its nominal value in units of 100 µs, and their number in
// hundredths. Small integers keep reports short.
type Figures struct {
	ReadTook, ReadNominal, ReadCount    int64
	WriteTook, WriteNominal, WriteCount int64
}

// RunnerFigures are the figures of one runner.
type RunnerFigures struct {
	Runner machine.RunnerID
	Figures
}

// ModelFigures are the figures of one model.
type ModelFigures struct {
	Model Model
	Figures
}

// Limits of reports.
const (
	unitsPerSecond = 10_000
	unitsPerAnswer = 100
	// maxUnits is the largest figure that a report may state.
	maxUnits = 1e10
	// leastNominal and mostNominal bound the nominal time of one answer, in seconds.
	leastNominal, mostNominal = 0.002, 60
	// mostReported is the largest number of answers with which a neighbour's report on a runner or model counts. More would not
	// make the estimate better.
	mostReported = 1000
	// runnersPerSecond and modelsPerSecond are the numbers of entries that a VM sends in a second, to all of its neighbours
	// together. At about 50 bytes each they take 6 KB of the 22 KB that a VM may send in a second for control.
	runnersPerSecond, modelsPerSecond = 96, 24
	// allAtOnce is the number of entries of each kind that may go to all neighbours at once, when many runners turn slow together,
	// and leastAtOnce to each of them.
	allAtOnce, leastAtOnce = 240, 4
)

func (t tally) figures() (took, nominal, count int64) {
	return units(t.took, unitsPerSecond), units(t.nominal, unitsPerSecond), units(t.count, unitsPerAnswer)
}

func units(v, perUnit float64) int64 { return int64(math.Round(max(0, v) * perUnit)) }

func (e evidence) figures() Figures {
	var f Figures
	f.ReadTook, f.ReadNominal, f.ReadCount = e.read.figures()
	f.WriteTook, f.WriteNominal, f.WriteCount = e.write.figures()
	return f
}

// evidence returns what the figures say, and false if they cannot be true.
func (f Figures) evidence() (evidence, bool) {
	for _, v := range []int64{f.ReadTook, f.ReadNominal, f.ReadCount, f.WriteTook, f.WriteNominal, f.WriteCount} {
		if v < 0 || v > maxUnits {
			return evidence{}, false
		}
	}
	e := evidence{
		read: tally{float64(f.ReadTook) / unitsPerSecond, float64(f.ReadNominal) / unitsPerSecond,
			float64(f.ReadCount) / unitsPerAnswer},
		write: tally{float64(f.WriteTook) / unitsPerSecond, float64(f.WriteNominal) / unitsPerSecond,
			float64(f.WriteCount) / unitsPerAnswer},
	}
	return evidence{read: e.read.credible(), write: e.write.credible()}, true
}

// credible returns a reported tally with no more weight than answers can have: a single wrong entry would else outweigh all
// answers for hours.
func (t tally) credible() tally {
	t.count = min(t.count, t.nominal/leastNominal)
	t.nominal = min(t.nominal, t.count*mostNominal)
	t.took = max(minRatio*t.nominal, min(maxRatio*t.nominal, t.took))
	if t.count > mostReported {
		t = tally{}.plus(t, mostReported/t.count)
	}
	return t
}

// allowance limits the entries in the reports to one neighbour. Models have their own share: runners, of which there are more,
// would else take all of it.
type allowance struct {
	runners, models float64
	at              clock.Instant
}

func (a *allowance) refill(neighbours int, now clock.Instant) {
	n := float64(max(1, neighbours))
	atOnce, since := max(leastAtOnce, allAtOnce/n), now.Sub(a.at).Seconds()/n
	a.runners = min(atOnce, a.runners+runnersPerSecond*since)
	a.models = min(atOnce, a.models+modelsPerSecond*since)
	a.at = now
}

// ReportFor returns what a neighbour does not know yet; below says that this VM relays for it, whole that all is to be told
// anew, neighbours how many there are.
func (b *Book) ReportFor(name string, below, whole bool, neighbours int, now clock.Instant) Report {
	runners, models := b.runnerEvidence.peer(name, below), b.modelEvidence.peer(name, below)
	if whole {
		b.runnerEvidence.untell(runners)
		b.modelEvidence.untell(models)
	}
	a := b.allowances[name]
	if a == nil {
		a = &allowance{runners: allAtOnce, models: allAtOnce, at: now}
		b.allowances[name] = a
	}
	a.refill(neighbours, now)
	var out Report
	b.runnerEvidence.changes(runners, int(a.runners), now, func(id machine.RunnerID, e evidence) {
		out.Runners = append(out.Runners, RunnerFigures{id, e.figures()})
	})
	a.runners -= float64(len(out.Runners))
	b.modelEvidence.changes(models, int(a.models), now, func(m Model, e evidence) {
		out.Models = append(out.Models, ModelFigures{m, e.figures()})
	})
	a.models -= float64(len(out.Models))
	return out
}

// Apply applies a neighbour's report.
func (b *Book) Apply(name string, below bool, in Report, now clock.Instant) {
	runners, models := b.runnerEvidence.peer(name, below), b.modelEvidence.peer(name, below)
	scale := b.runnerEvidence.scale(now)
	for _, f := range in.Runners {
		if e, valid := f.evidence(); valid {
			b.runnerEvidence.replace(runners, name, f.Runner, e, scale)
		}
	}
	scale = b.modelEvidence.scale(now)
	for _, f := range in.Models {
		if e, valid := f.evidence(); valid {
			b.modelEvidence.replace(models, name, f.Model, e, scale)
		}
	}
}

// RemovePeer forgets what a neighbour has reported and been told: its process has ended, or its place in the tree has changed.
func (b *Book) RemovePeer(name string) {
	b.runnerEvidence.remove(name)
	b.modelEvidence.remove(name)
	delete(b.allowances, name)
}
