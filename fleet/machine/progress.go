package machine

import (
	"slices"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
)

// HandleOutcome applies the outcome of an order.
func (p *Scheduler) HandleOutcome(o Order, outcome OrderOutcome, now clock.Instant) {
	r, b := p.fleet.Get(o.Runner), p.localStates[o.Runner]
	if r == nil || b == nil || b.boot != o.Boot || b.pending == nil || *b.pending != withoutTerm(o) {
		return // of an earlier term or an earlier start of the runner
	}
	b.pending = nil
	p.markChanged(r.ID)
	if outcome == OrderUnknown {
		b.failures++
	} else if outcome != OrderNotSent {
		b.failures = 0
	}
	switch outcome {
	case OrderAccepted, OrderHolds:
		b.conflicts = 0
		r.Sequence = max(r.Sequence, o.Expected+1)
		p.applyOrder(r, b, o, now)
		if outcome == OrderHolds && o.Adapter == "" {
			b.invalidate(now) // whether it counted as an order shows in the report
		}
	case OrderConflict:
		b.holdUntil = now.Add(conflictPause)
		if b.conflicts++; b.conflicts >= conflictLimit {
			b.conflicts = 0
			b.invalidate(now)
		}
	case OrderNotSent:
		b.swap = nil
	default:
		b.invalidate(now)
	}
}

// withoutTerm returns the order as the state keeps it, without term and expiry.
func withoutTerm(o Order) Order {
	o.Term, o.Expires = Term{}, 0
	return o
}

// applyOrder applies an accepted order.
func (p *Scheduler) applyOrder(r *Runner, b *localState, o Order, now clock.Instant) {
	switch {
	case o.Kind == Unload && o.Adapter == "":
		if replica := r.Replica(o.Model); replica != nil && p.inUse(r, replica) > 0 {
			b.holdUntil = now.Add(runPause)
		}
		delete(r.Replicas, o.Model)
		if b.swap != nil {
			b.swap.victims = slices.DeleteFunc(b.swap.victims, func(m contract.ModelName) bool { return m == o.Model })
		}
	case o.Kind == Unload:
		if replica := r.Replica(o.Model); replica != nil {
			delete(replica.Adapters, o.Adapter)
		}
	case o.Adapter != "":
		if replica := r.Replica(o.Model); replica != nil {
			replica.Adapters[o.Adapter] = now.Add(adapterLoad)
		}
	default:
		p.applyLoad(r, b, o.Model, now)
	}
}

func (p *Scheduler) applyLoad(r *Runner, b *localState, name contract.ModelName, now clock.Instant) {
	e := p.engine(r)
	if e == nil {
		return
	}
	model := e.Models[name]
	takes := p.loadTime(r, model)
	ready := now.Add(takes + loadMargin)
	b.swap = nil
	b.busyUntil = ready
	if takes == model.LoadCold {
		// The weight store slows down under load, so the runner is asked when it has finished.
		b.invalidate(ready.Add(-reportLag / 2))
		ready = now.Add(coldBound * takes)
	}
	r.Replicas[name] = &Replica{Model: name, ReadyAt: ready, Adapters: make(map[contract.AdapterName]clock.Instant)}
	recordCopies(r, e, name)
}

// recordCopies notes the copies that a load leaves. The least recently loaded ones leave host memory first.
func recordCopies(r *Runner, e *contract.Engine, name contract.ModelName) {
	memory := append([]contract.ModelName{name}, slices.DeleteFunc(slices.Clone(r.InMemory),
		func(m contract.ModelName) bool { return m == name })...)
	used := 0.0
	for i, m := range memory {
		if used += e.Models[m].WeightsMB; used > e.HostMB {
			memory = memory[:i]
			break
		}
	}
	r.InMemory = memory
	if !slices.Contains(r.OnDisk, name) {
		r.OnDisk = append(slices.Clone(r.OnDisk), name)
	}
}

// HandleReport applies a runner's answer to a state query; ok is false if there was none.
func (p *Scheduler) HandleReport(id RunnerID, boot int64, c Contents, ok bool, now clock.Instant) {
	r, b := p.fleet.Get(id), p.localStates[id]
	if r == nil || b == nil || b.boot != boot || !b.queryPending {
		return
	}
	b.queryPending = false
	if !ok {
		b.failures++
		b.nextQuery = now.Add(reportLag * time.Duration(min(b.failures, maxBackoff)))
		p.markChanged(id)
		return
	}
	b.failures = 0
	if c.Busy {
		b.nextQuery = now.Add(reportLag)
		return
	}
	if c.InMemory == nil && c.OnDisk == nil {
		c.InMemory, c.OnDisk = r.InMemory, r.OnDisk
	}
	r.ApplyReport(c, now)
	r.authoritative, b.read, b.synced = true, true, true
	p.markChanged(id)
}

// HandleMissing applies a runner's word that it does not hold an artifact which this process believed to be there.
func (p *Scheduler) HandleMissing(id RunnerID, a Artifact, now clock.Instant) {
	r, b := p.fleet.Get(id), p.localStates[id]
	if r == nil {
		return
	}
	replica := r.Replica(a.Model)
	if replica == nil || !replica.Ready(a.Adapter, now) {
		return
	}
	if a.Adapter != "" {
		replica.Adapters[a.Adapter] = now.Add(refusedPause) // it keeps its place in the state until the report
	} else {
		replica.ReadyAt = now.Add(refusedPause)
	}
	if b != nil && b.pending == nil && b.synced && b.swap == nil {
		b.invalidate(now)
	}
	p.markChanged(id)
}

func (p *Scheduler) markChanged(id RunnerID) {
	p.version++
	p.changed[id] = p.version
}

// RunnerView is the leader's state of one runner, as its peers get it.
type RunnerView struct {
	Runner  RunnerID
	Boot    int64
	Fence   int64         // of the term under which the state is kept
	Known   bool          // the runner's own report has been read
	BusyFor time.Duration // time until the runner can take the next order
	Coming  contract.ModelName
	Models  []ModelView
}

// ModelView is one model of a View.
type ModelView struct {
	Model    contract.ModelName
	ReadyIn  time.Duration // zero: ready
	Adapters []AdapterView
}

// AdapterView is one adapter of a ModelView.
type AdapterView struct {
	Adapter contract.AdapterName
	ReadyIn time.Duration
}

// Version returns the number of changes of the state so far.
func (p *Scheduler) Version() uint64 { return p.version }

// Views returns the states that changed after a version, for the runners that this process leads.
func (p *Scheduler) Views(after uint64, fence func(RunnerID) int64, now clock.Instant) []RunnerView {
	if after >= p.version {
		return nil
	}
	var views []RunnerView
	for _, r := range p.fleet.All() {
		if p.changed[r.ID] > after && p.authority.MayOrder(r.ID, now) {
			views = append(views, p.view(r, fence(r.ID), now))
		}
	}
	return views
}

func (p *Scheduler) view(r *Runner, fence int64, now clock.Instant) RunnerView {
	b := p.localState(r)
	v := RunnerView{Runner: r.ID, Boot: r.Boot, Fence: fence, Known: b.read && b.failures == 0, BusyFor: max(0, b.busyUntil.Sub(now))}
	if !b.synced {
		v.BusyFor = max(v.BusyFor, reportLag)
	}
	if b.swap != nil {
		v.Coming = b.swap.model
	}
	for _, replica := range r.Replicas {
		m := ModelView{Model: replica.Model, ReadyIn: max(0, replica.ReadyAt.Sub(now))}
		for a, readyAt := range replica.Adapters {
			m.Adapters = append(m.Adapters, AdapterView{Adapter: a, ReadyIn: max(0, readyAt.Sub(now))})
		}
		v.Models = append(v.Models, m)
	}
	return v
}
