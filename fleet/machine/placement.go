package machine

import (
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
)

// Figures of the placement.
const (
	// replicaUtilization is the share of a runner's prefill time that one replica of a busy model should take at most.
	replicaUtilization = 0.35
	// urgentRateForSpare is the rate of requests that cannot wait for a load, in 1/s, from which a model gets a second
	// replica against the loss of the first.
	urgentRateForSpare = 1.0
	// settleTime protects a model that was just loaded until the requests that waited for it have been sent.
	settleTime = 250 * time.Millisecond
	// urgentLoss and deferrableLoss weigh a request that has to wait for a load, per second of it.
	urgentLoss     = 3.0
	deferrableLoss = 0.3
	// waitingGain is the gain of a load for each request that waits for it.
	waitingGain = 1.0
	// lateRank weighs requests that come late anyway against those that need not: a late answer earns about a seventh.
	lateRank = 0.15
	// shortestLoad is the least time that a load from a copy takes.
	shortestLoad = 600 * time.Millisecond
	// replicaGain is the least gain of a further replica of a busy model.
	replicaGain = 1.0
	// prewarmGain is the gain of a first copy of a model that no runner has, while there is no demand at all.
	prewarmGain = 0.05
	// surplusValue is the value of a replica beyond those that a model needs.
	surplusValue = 0.02
	// unloadTime is the usual time of an unload without running requests.
	unloadTime = 50 * time.Millisecond
	// runTime is the usual time until a model in use can be unloaded.
	runTime = 600 * time.Millisecond
	// coldLoadsAtOnce is the number of loads that the weight store serves at full speed.
	coldLoadsAtOnce = 4
	// coldWindow is the time over which the rate of loads from the weight store is kept.
	coldWindow = 5 * time.Second
	// planPeriod is the shortest time between two considerations of the placement.
	planPeriod = 20 * time.Millisecond
	// maxIncomingAdapters is the number of adapters that may be on their way to one runner.
	maxIncomingAdapters = 4
)

// Place is an artifact on a runner.
type Place struct {
	Runner   RunnerID
	Artifact Artifact
}

// Usage tells what runs and waits at the runners, over all entry VMs.
type Usage interface {
	Running(p Place) int             // requests
	Queued(r RunnerID) time.Duration // prefill time
}

// Authority tells which runners' orders this process gives.
type Authority interface {
	MayOrder(r RunnerID, now clock.Instant) bool
}

// LoadRequest asks the leader of a runner to load a model or an adapter there.
type LoadRequest struct {
	Runner  RunnerID
	Boot    int64
	Model   contract.ModelName
	Adapter contract.AdapterName // empty: the model itself
}

// Scheduler decides which models and adapters each runner holds. For the runners that this process leads it keeps
// an exact state; for the others it relies on the views of their leaders and asks them by load requests.
type Scheduler struct {
	fleet        *Fleet
	usage        Usage
	authority    Authority
	services     map[contract.ServiceName]*contract.Service
	localStates  map[RunnerID]*localState
	remoteStates map[RunnerID]*remoteState
	demands      map[Artifact]*demand
	planned      clock.Instant              // the placement was last considered
	delayed      map[Artifact]clock.Instant // a delay was last told

	// Of the demand summary at the start of a plan.
	modelDemands   map[Artifact]*modelDemand
	evictable      map[RunnerID][]candidate // by cost of removal
	coldLoads      int                      // loads from the weight store in progress
	coldLoadStarts map[Place]clock.Instant  // those that began within coldWindow
	reserved       map[RunnerID]int         // models that wait for their turn at a busy runner
	changed        map[RunnerID]uint64
	version        uint64
}

// NewScheduler returns a scheduler without knowledge of any runner's state.
func NewScheduler(fleet *Fleet, usage Usage, authority Authority) *Scheduler {
	return &Scheduler{
		fleet: fleet, usage: usage, authority: authority, localStates: make(map[RunnerID]*localState),
		remoteStates: make(map[RunnerID]*remoteState), demands: make(map[Artifact]*demand), delayed: make(map[Artifact]clock.Instant),
		modelDemands: make(map[Artifact]*modelDemand), evictable: make(map[RunnerID][]candidate),
		reserved: make(map[RunnerID]int), coldLoadStarts: make(map[Place]clock.Instant), changed: make(map[RunnerID]uint64),
	}
}

// Configure applies a manifest.
func (p *Scheduler) Configure(m *contract.Manifest) { p.services = m.Services }

// ResetShard forgets the states of a shard's runners when a term over them begins or ends: each runner is asked for its
// state before its first order of a term.
func (p *Scheduler) ResetShard(s Shard) {
	for _, r := range p.fleet.All() {
		if ShardOf(r.ID) == s {
			delete(p.localStates, r.ID)
			r.authoritative = false
		}
	}
}

// Observe applies the demand that a node reports.
func (p *Scheduler) Observe(node string, reports []DemandReport, now clock.Instant) {
	named := make(map[Artifact]bool, len(reports))
	for _, a := range reports {
		named[a.Artifact] = true
		p.demand(a.Artifact, now).observe(node, a, now)
	}
	for artifact, d := range p.demands {
		if !named[artifact] {
			d.setWaiting(node, queue{}, now)
		}
	}
}

// RemoveNode drops the waiting requests of a node that is gone.
func (p *Scheduler) RemoveNode(node string, now clock.Instant) { p.Observe(node, nil, now) }

func (p *Scheduler) demand(a Artifact, now clock.Instant) *demand {
	d := p.demands[a]
	if d == nil {
		d = &demand{at: now, waiting: make(map[string]queue)}
		p.demands[a] = d
	}
	return d
}

// Plan is what is to be done next.
type Plan struct {
	Orders       []Order
	StateQueries []*Runner     // runners to ask for their state
	LoadRequests []LoadRequest // for the leaders of other runners
	Delays       []Delay       // loads that are due and can't begin
}

// Plan returns the orders, state queries and load requests that are due at now. At most one order per runner is unanswered at a
// time. Only the planner decides on placement; every leader carries on what is under way at its own runners.
func (p *Scheduler) Plan(planner bool, now clock.Instant) Plan {
	var plan Plan
	p.pruneStale(now)
	for _, r := range p.fleet.All() {
		if p.engine(r) == nil || !r.Usable(now) || !p.authority.MayOrder(r.ID, now) {
			continue
		}
		b := p.localState(r)
		if now.Sub(b.sharedAt) > viewPeriod {
			p.markChanged(r.ID)
			b.sharedAt = now
		}
		switch {
		case b.pending != nil || b.holdUntil.After(now):
		case !b.synced && !b.queryPending && !b.nextQuery.After(now):
			b.queryPending = true
			plan.StateQueries = append(plan.StateQueries, r)
		case b.synced && b.swap != nil:
			p.continueSwap(r, b, now, &plan)
		}
	}
	if planner && now.Sub(p.planned) >= planPeriod {
		p.planned = now
		p.summarizeDemand(now)
		p.placeModels(now, &plan)
		p.placeAdapters(now, &plan)
	}
	return plan
}

// HandleLoadRequest carries out another node's load request if the runner's state allows it.
func (p *Scheduler) HandleLoadRequest(w LoadRequest, now clock.Instant) Plan {
	var plan Plan
	r := p.fleet.Get(w.Runner)
	if r == nil || r.Boot != w.Boot || p.engine(r) == nil || !r.Usable(now) || !p.authority.MayOrder(r.ID, now) || !p.idle(r, now) {
		return plan
	}
	p.summarizeDemand(now)
	if w.Adapter != "" {
		p.loadAdapter(r, Artifact{Service: r.Service, Model: w.Model, Adapter: w.Adapter}, now, &plan)
		return plan
	}
	model, known := p.engine(r).Models[w.Model]
	if !known || r.Replica(w.Model) != nil {
		return plan
	}
	if e, ok := p.evict(r, p.engine(r), model.WeightsMB, now); ok && e.now {
		p.startSwap(r, w.Model, e.victims, now, &plan)
	}
	return plan
}

// startSwap starts a swap at a runner, or requests it.
func (p *Scheduler) startSwap(r *Runner, model contract.ModelName, victims []contract.ModelName, now clock.Instant, plan *Plan) {
	if !p.authority.MayOrder(r.ID, now) {
		p.requestLoad(r, model, "", now, plan)
		return
	}
	b := p.localState(r)
	b.swap = &swap{victims: victims, model: model}
	p.markChanged(r.ID)
	p.continueSwap(r, b, now, plan)
}

func (p *Scheduler) requestLoad(r *Runner, model contract.ModelName, adapter contract.AdapterName, now clock.Instant, plan *Plan) {
	plan.LoadRequests = append(plan.LoadRequests, LoadRequest{Runner: r.ID, Boot: r.Boot, Model: model, Adapter: adapter})
	p.remoteState(r).setRequest(model, adapter, now)
}

// idle reports whether a runner can take an order now.
func (p *Scheduler) idle(r *Runner, now clock.Instant) bool {
	if p.authority.MayOrder(r.ID, now) {
		return p.localState(r).idle(now)
	}
	return p.remoteState(r).idle(now)
}

// incomingModel returns the model that a runner is about to load and does not list yet, or nothing.
func (p *Scheduler) incomingModel(r *Runner, now clock.Instant) contract.ModelName {
	if p.authority.MayOrder(r.ID, now) {
		if b := p.localStates[r.ID]; b != nil && b.boot == r.Boot && b.swap != nil {
			return b.swap.model
		}
		return ""
	}
	m := p.remoteStates[r.ID]
	switch {
	case m == nil || m.boot != r.Boot:
		return ""
	case m.incoming != "":
		return m.incoming
	case m.requestUntil.After(now) && m.request.Adapter == "":
		return m.request.Model
	}
	return ""
}

func (p *Scheduler) engine(r *Runner) *contract.Engine {
	if s := p.services[r.Service]; s != nil && r.Engine {
		return s.Engine
	}
	return nil
}

func (p *Scheduler) localState(r *Runner) *localState {
	b := p.localStates[r.ID]
	if b == nil || b.boot != r.Boot {
		b = &localState{boot: r.Boot}
		p.localStates[r.ID] = b
	}
	return b
}

// continueSwap gives the next order of a swap.
func (p *Scheduler) continueSwap(r *Runner, b *localState, now clock.Instant, plan *Plan) {
	if len(b.swap.victims) > 0 {
		p.issueOrder(r, b, Unload, b.swap.victims[0], "", plan)
		return
	}
	if p.room(r, b.swap.model, "") < 0 {
		b.invalidate(now) // the state did not hold; the runner's report settles it
		return
	}
	p.issueOrder(r, b, Load, b.swap.model, "", plan)
}

func (p *Scheduler) issueOrder(r *Runner, b *localState, kind OrderKind, m contract.ModelName, a contract.AdapterName, plan *Plan) {
	order := Order{
		Runner: r.ID, Address: r.Address, Boot: r.Boot, Kind: kind, Model: m, Adapter: a, Expected: r.Sequence,
	}
	b.pending = &order
	plan.Orders = append(plan.Orders, order)
}

// room returns the room in MB that is left after loading a model or an adapter; it is negative if there is none.
func (p *Scheduler) room(r *Runner, m contract.ModelName, a contract.AdapterName) float64 {
	e := p.engine(r)
	need := e.Models[m].WeightsMB
	if a != "" {
		need = e.Models[m].AdapterMB
	}
	return e.WeightsMB - usedMB(r, e) - need
}
