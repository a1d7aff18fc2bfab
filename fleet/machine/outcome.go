package machine

import (
	"slices"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
)

// HandleOutcome applies the outcome of an order to the state of its runner. Outcomes of orders that are no longer
// pending are ignored.
func (s *Scheduler) HandleOutcome(o Order, outcome OrderOutcome, now clock.Instant) {
	r, state := s.fleet.Get(o.Runner), s.localStates[o.Runner]
	if r == nil || state == nil || state.boot != o.Boot || state.pending == nil || *state.pending != withoutTerm(o) {
		return // the order belongs to an earlier term or an earlier start of the runner
	}
	state.pending = nil
	s.markChanged(r.ID)
	if outcome == OrderUnknown {
		state.failures++
	} else if outcome != OrderNotSent {
		state.failures = 0
	}
	if state.unloading != nil && (outcome == OrderAccepted || outcome == OrderConflict) {
		state.unloading.adjust(outcome == OrderConflict)
		state.unloading = nil
	}
	switch outcome {
	case OrderAccepted, OrderHolds:
		state.conflicts = 0
		r.Sequence = max(r.Sequence, o.Expected+1)
		s.applyOrder(r, state, o, now)
		if outcome == OrderHolds && o.Adapter == "" {
			state.invalidate(now) // only a report shows whether the runner counted this order in Sequence
		}
	case OrderConflict:
		state.holdUntil = now.Add(min(conflictRetryDelay<<state.conflicts, maxConflictRetryDelay))
		if state.conflicts++; state.conflicts >= maxConflicts {
			state.conflicts = 0
			state.invalidate(now)
		}
	case OrderNotSent:
		state.swap = nil
	default:
		state.invalidate(now)
	}
}

// withoutTerm returns the order without term and expiry, as localState.pending keeps it.
func withoutTerm(o Order) Order {
	o.Term, o.Expires = Term{}, 0
	return o
}

// applyOrder applies the effect of an order that the runner has accepted to the runner's state.
func (s *Scheduler) applyOrder(r *Runner, state *localState, o Order, now clock.Instant) {
	switch {
	case o.Kind == Unload && o.Adapter == "":
		state.unloading = s.idleUnload
		if state.swap != nil && state.swap.drain {
			state.unloading = s.drainUnload
		}
		state.holdUntil = now.Add(state.unloading.wait)
		delete(r.Replicas, o.Model)
		if state.swap != nil {
			state.swap.victims = slices.DeleteFunc(state.swap.victims,
				func(m contract.ModelName) bool { return m == o.Model })
		}
	case o.Kind == Unload:
		if replica := r.Replica(o.Model); replica != nil {
			delete(replica.Adapters, o.Adapter)
		}
	case o.Adapter != "":
		if replica := r.Replica(o.Model); replica != nil {
			replica.Adapters[o.Adapter] = now.Add(adapterLoadTime)
		}
	default:
		s.applyLoad(r, state, o.Model, now)
	}
}

// applyLoad records a model's load that begins at now.
func (s *Scheduler) applyLoad(r *Runner, state *localState, name contract.ModelName, now clock.Instant) {
	e := s.engine(r)
	if e == nil {
		return
	}
	model := e.Models[name]
	loadTime := s.loadTime(r, model)
	ready := now.Add(loadTime + loadMargin)
	state.swap = nil
	state.busyUntil, state.loadBegan = ready, now
	if loadTime == model.LoadCold {
		// The weight store slows down under load, so the end of the load is taken from the runner's report. Until then
		// the replica counts as ready only after the longest expected duration.
		state.invalidate(ready.Add(-reportLag / 2))
		state.busyUntil = ready.Add(2 * reportLag)
		ready = now.Add(maxColdLoadFactor * loadTime)
	}
	r.Replicas[name] = &Replica{Model: name, ReadyAt: ready, Adapters: make(map[contract.AdapterName]clock.Instant)}
	recordCopies(r, e, name)
}

// recordCopies records the copies of a model's weights that its load leaves in host memory and on disk. Copies that no
// longer fit into host memory are dropped, the least recently loaded first.
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

// HandleReport applies a runner's answer to a state query; ok is false if there was none. While a runner is busy or
// does not answer, the query is repeated later.
func (s *Scheduler) HandleReport(id RunnerID, boot int64, c Contents, ok bool, now clock.Instant) {
	r, state := s.fleet.Get(id), s.localStates[id]
	if r == nil || state == nil || state.boot != boot || !state.queryPending {
		return
	}
	state.queryPending = false
	if !ok {
		state.failures++
		state.nextQuery = now.Add(reportLag * time.Duration(min(state.failures, maxBackoffFactor)))
		s.markChanged(id)
		return
	}
	state.failures = 0
	c.Memory.At = now
	r.stateMemory(c.Memory)
	if c.Busy {
		state.nextQuery = now.Add(reportLag)
		state.loadContinues(now)
		s.markChanged(id)
		return
	}
	state.busyUntil, state.loadBegan = 0, 0
	if c.InMemory == nil && c.OnDisk == nil {
		c.InMemory, c.OnDisk = r.InMemory, r.OnDisk
	}
	r.ApplyReport(c, now)
	r.authoritative, state.reportRead, state.synced = true, true, true
	s.markChanged(id)
}

// HandleMissing applies a runner's answer that it lacks an artifact which counted as ready here. No requests for it are
// sent there for missingPause, and a leader with neither an order pending nor a swap in progress there queries its
// state.
func (s *Scheduler) HandleMissing(id RunnerID, a Artifact, now clock.Instant) {
	r, state := s.fleet.Get(id), s.localStates[id]
	if r == nil {
		return
	}
	replica := r.Replica(a.Model)
	if replica == nil || !replica.Ready(a.Adapter, now) {
		return
	}
	if a.Adapter != "" {
		replica.Adapters[a.Adapter] = now.Add(missingPause) // it keeps its adapter slot here until the next report
	} else {
		replica.ReadyAt = now.Add(missingPause)
	}
	if state == nil {
		return
	}
	if state.pending == nil && state.synced && state.swap == nil {
		state.invalidate(now)
	}
	s.markChanged(id)
}

// markChanged gives a runner's state a new version, so that Views returns it.
func (s *Scheduler) markChanged(id RunnerID) {
	s.version++
	s.changed[id] = s.version
	s.versionBelow = s.version
}

// RunnerView is the leader's state of one runner, as sent to the peers.
type RunnerView struct {
	Runner  RunnerID
	Boot    int64
	Fence   int64              // of the leader's term
	Version uint64             // of the leader's state of the runner; it grows with each change
	Known   bool               // the runner's own report has been applied in this term, and the runner answers
	BusyFor time.Duration      // expected time until the runner can take the next order
	Coming  contract.ModelName // model about to be loaded; empty: none
	Models  []ModelView

	MemoryTokens int           // capacity of the engine's memory; zero: not known
	UsedTokens   int           // of that, as the engine has stated
	UsedAgo      time.Duration // time since that statement
}

// ModelView is one model of a RunnerView.
type ModelView struct {
	Model    contract.ModelName
	ReadyIn  time.Duration // time until requests for the model may be sent; zero: ready
	Adapters []AdapterView
}

// AdapterView is one adapter of a ModelView.
type AdapterView struct {
	Adapter contract.AdapterName
	ReadyIn time.Duration // as in ModelView
}

// Receiver is a VM that gets views.
type Receiver struct {
	Name  string
	Below bool // this VM relays for it
}

// Version returns the version of the latest state change, for use with Views.
func (s *Scheduler) Version() uint64 { return s.version }

// VersionFor returns the version of the latest state change that Views returns to a receiver.
func (s *Scheduler) VersionFor(to Receiver) uint64 {
	if to.Below {
		return s.version
	}
	return s.versionBelow
}

// Views returns the states of runners for a receiver, of those that have a later version than after. A VM for which
// this one relays gets all but what came from itself. Any other gets the states of the runners that this process or a
// VM below it leads. fence returns the fence of this process's term over a runner.
func (s *Scheduler) Views(
	after uint64, to Receiver, fence func(RunnerID) int64, now clock.Instant,
) []RunnerView {
	if after >= s.version {
		return nil
	}
	var views []RunnerView
	for _, r := range s.fleet.All() {
		if s.changed[r.ID] <= after {
			continue
		}
		if s.authority.MayOrder(r.ID, now) {
			views = append(views, s.view(r, fence(r.ID), now))
		} else if state := s.remoteStates[r.ID]; state != nil && state.boot == r.Boot && state.forwardTo(to) {
			views = append(views, forwardedView(r, state, now))
		}
	}
	return views
}

// forwardTo reports whether a receiver needs the state from this process.
func (s *remoteState) forwardTo(to Receiver) bool {
	if to.Below {
		return s.source != "" && s.source != to.Name
	}
	return s.below
}

// forwardedView returns the state of a runner that another process leads.
func forwardedView(r *Runner, state *remoteState, now clock.Instant) RunnerView {
	v := RunnerView{
		Runner: r.ID, Boot: r.Boot, Fence: state.fence, Version: state.version, Known: state.known,
		BusyFor: max(0, state.busyUntil.Sub(now)), Coming: state.incoming, Models: modelViews(r, now),
	}
	v.setMemory(r.Memory, now)
	return v
}

// modelViews returns the models that a runner holds.
func modelViews(r *Runner, now clock.Instant) []ModelView {
	var views []ModelView
	for _, replica := range r.Replicas {
		m := ModelView{Model: replica.Model, ReadyIn: max(0, replica.ReadyAt.Sub(now))}
		for a, readyAt := range replica.Adapters {
			m.Adapters = append(m.Adapters, AdapterView{Adapter: a, ReadyIn: max(0, readyAt.Sub(now))})
		}
		views = append(views, m)
	}
	return views
}

func (s *Scheduler) view(r *Runner, fence int64, now clock.Instant) RunnerView {
	state := s.localState(r)
	v := RunnerView{
		Runner: r.ID, Boot: r.Boot, Fence: fence, Version: s.changed[r.ID],
		Known: state.reportRead && state.failures == 0, BusyFor: max(0, max(state.busyUntil, r.ordersFrom).Sub(now)),
		Models: modelViews(r, now),
	}
	v.setMemory(r.Memory, now)
	if !state.synced {
		v.BusyFor = max(v.BusyFor, reportLag)
	}
	if state.swap != nil {
		v.Coming = state.swap.model
	}
	return v
}
