package machine

import (
	"slices"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
)

// Answered applies the outcome of an order.
func (p *Placer) Answered(o Order, outcome OrderOutcome, now clock.Instant) {
	r, b := p.fleet.Get(o.Runner), p.books[o.Runner]
	if r == nil || b == nil || b.boot != o.Boot || b.pending == nil || *b.pending != unsigned(o) {
		return // of an earlier term or an earlier start of the runner
	}
	b.pending = nil
	p.touch(r.ID)
	if outcome == OrderUnknown {
		b.failures++
	} else if outcome != OrderNotSent {
		b.failures = 0
	}
	switch outcome {
	case OrderAccepted, OrderHolds:
		b.conflicts = 0
		r.Sequence = max(r.Sequence, o.Expected+1)
		p.carriedOut(r, b, o, now)
		if outcome == OrderHolds && o.Adapter == "" {
			b.unsync(now) // whether it counted as an order shows in the report
		}
	case OrderConflict:
		b.holdUntil = now.Add(conflictPause)
		if b.conflicts++; b.conflicts >= conflictLimit {
			b.conflicts = 0
			b.unsync(now)
		}
	case OrderNotSent:
		b.swap = nil
	default:
		b.unsync(now)
	}
}

// unsigned returns the order as the account keeps it, without term and expiry.
func unsigned(o Order) Order {
	o.Term, o.Expires = Term{}, 0
	return o
}

// carriedOut books an accepted order.
func (p *Placer) carriedOut(r *Runner, b *book, o Order, now clock.Instant) {
	switch {
	case o.Kind == Unload && o.Adapter == "":
		if residence := r.Holds(o.Model); residence != nil && p.inUse(r, residence) > 0 {
			b.holdUntil = now.Add(runPause)
		}
		delete(r.Resident, o.Model)
		if b.swap != nil {
			b.swap.victims = slices.DeleteFunc(b.swap.victims, func(m contract.ModelName) bool { return m == o.Model })
		}
	case o.Kind == Unload:
		if residence := r.Holds(o.Model); residence != nil {
			delete(residence.Adapters, o.Adapter)
		}
	case o.Adapter != "":
		if residence := r.Holds(o.Model); residence != nil {
			residence.Adapters[o.Adapter] = now.Add(adapterLoad)
		}
	default:
		p.bookLoad(r, b, o.Model, now)
	}
}

func (p *Placer) bookLoad(r *Runner, b *book, name contract.ModelName, now clock.Instant) {
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
		b.unsync(ready.Add(-reportLag / 2))
		ready = now.Add(coldBound * takes)
	}
	r.Resident[name] = &Residence{Model: name, ReadyAt: ready, Adapters: make(map[contract.AdapterName]clock.Instant)}
	keepCopy(r, e, name)
}

// keepCopy notes the copies that a load leaves. The least recently loaded ones leave host memory first.
func keepCopy(r *Runner, e *contract.Engine, name contract.ModelName) {
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

// Reported applies a runner's answer to a question; ok is false if there was none.
func (p *Placer) Reported(id RunnerID, boot int64, c Contents, ok bool, now clock.Instant) {
	r, b := p.fleet.Get(id), p.books[id]
	if r == nil || b == nil || b.boot != boot || !b.asked {
		return
	}
	b.asked = false
	if !ok {
		b.failures++
		b.askAfter = now.Add(reportLag * time.Duration(min(b.failures, maxBackoff)))
		p.touch(id)
		return
	}
	b.failures = 0
	if c.Busy {
		b.askAfter = now.Add(reportLag)
		return
	}
	if c.InMemory == nil && c.OnDisk == nil {
		c.InMemory, c.OnDisk = r.InMemory, r.OnDisk
	}
	r.Adopt(c, now)
	r.accounted, b.read, b.synced = true, true, true
	p.touch(id)
}

// Refused applies a runner's word that it does not hold an artifact which this process believed to be there.
func (p *Placer) Refused(id RunnerID, a Artifact, now clock.Instant) {
	r, b := p.fleet.Get(id), p.books[id]
	if r == nil {
		return
	}
	residence := r.Holds(a.Model)
	if residence == nil || !residence.Ready(a.Adapter, now) {
		return
	}
	if a.Adapter != "" {
		residence.Adapters[a.Adapter] = now.Add(refusedPause) // it keeps its place in the account until the report
	} else {
		residence.ReadyAt = now.Add(refusedPause)
	}
	if b != nil && b.pending == nil && b.synced && b.swap == nil {
		b.unsync(now)
	}
	p.touch(id)
}

func (p *Placer) touch(id RunnerID) {
	p.version++
	p.changed[id] = p.version
}

// View is the order giver's account of one runner, as its peers get it.
type View struct {
	Runner  RunnerID
	Boot    int64
	Fence   int64         // of the term under which the account is kept
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

// Version returns the number of changes of the account so far.
func (p *Placer) Version() uint64 { return p.version }

// Views returns the accounts that changed after a version, for the runners whose orders this process gives.
func (p *Placer) Views(after uint64, fence func(RunnerID) int64, now clock.Instant) []View {
	if after >= p.version {
		return nil
	}
	var views []View
	for _, r := range p.fleet.All() {
		if p.changed[r.ID] > after && p.authority.MayOrder(r.ID, now) {
			views = append(views, p.view(r, fence(r.ID), now))
		}
	}
	return views
}

func (p *Placer) view(r *Runner, fence int64, now clock.Instant) View {
	b := p.book(r)
	v := View{Runner: r.ID, Boot: r.Boot, Fence: fence, Known: b.read && b.failures == 0, BusyFor: max(0, b.busyUntil.Sub(now))}
	if !b.synced {
		v.BusyFor = max(v.BusyFor, reportLag)
	}
	if b.swap != nil {
		v.Coming = b.swap.model
	}
	for _, residence := range r.Resident {
		m := ModelView{Model: residence.Model, ReadyIn: max(0, residence.ReadyAt.Sub(now))}
		for a, readyAt := range residence.Adapters {
			m.Adapters = append(m.Adapters, AdapterView{Adapter: a, ReadyIn: max(0, readyAt.Sub(now))})
		}
		v.Models = append(v.Models, m)
	}
	return v
}
