package machine

import (
	"slices"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
)

// Limits, times and weights of the placement. Gains and values are in requests, so that they can be compared.
const (
	// replicaUtilization is the share of a runner's time that one replica of a busy model should spend on prefill (the
	// reading of prompts) at most.
	replicaUtilization = 0.35
	// urgentRateForSpare is the rate of urgent requests (those that cannot wait for a load), in 1/s, from which a model
	// gets a second replica, in case the first is lost.
	urgentRateForSpare = 1.0
	// minLoadedTime is how long a model or adapter stays after its load, so that the requests that waited for it can be
	// sent.
	minLoadedTime = 250 * time.Millisecond
	// urgentLoss and deferrableLoss are the losses for each second that an urgent or a deferrable request waits for a
	// load.
	urgentLoss     = 3.0
	deferrableLoss = 0.3
	// waitingGain is the gain of a load for each request that waits for it.
	waitingGain = 1.0
	// lateWeight is the weight of a request that will be late in any case, against at least one for a request that can
	// still be in time: a late answer earns about a seventh.
	lateWeight = 0.15
	// minLoadTime is the least time that a load from a copy takes. A request that is due sooner will be late.
	minLoadTime = 600 * time.Millisecond
	// replicaGain is the least gain of a further replica of a busy model.
	replicaGain = 1.0
	// prewarmGain is the gain of a first copy of a model that no runner has, while there is no demand at all.
	prewarmGain = 0.05
	// surplusValue is the value of a replica beyond those that its model needs. It is below that of any last replica.
	surplusValue = 0.01
	// lastReplicaRate is the rate of requests, in 1/s, that a model without recent demand is taken to have in the value of
	// its last replica, since the next request for a rare model would wait for a load.
	lastReplicaRate = 0.02
	// unloadTime is the usual time of the unload of a model that no request uses.
	unloadTime = 50 * time.Millisecond
	// drainTime is the usual time until the requests that run on a model have ended, so that it can be unloaded.
	drainTime = 600 * time.Millisecond
	// planPeriod is the shortest time between two runs of the placement.
	planPeriod = 20 * time.Millisecond
	// prunePeriod is the time between two removals of demand and states that are no longer needed.
	prunePeriod = 500 * time.Millisecond
	// maxIncomingAdapters is the number of adapters that one runner may be loading at a time.
	maxIncomingAdapters = 4
)

// Place is an artifact on a runner.
type Place struct {
	Runner   RunnerID
	Artifact Artifact
}

// Usage tells what runs and waits at the runners, summed over all entry VMs.
type Usage interface {
	Running(p Place) int             // number of requests
	Queued(r RunnerID) time.Duration // prefill time of the waiting requests
}

// Authority tells which runners this process may give orders to, and whether the leaders of the others can be asked
// for loads.
type Authority interface {
	MayOrder(r RunnerID, now clock.Instant) bool
	HearsLeader(r RunnerID) bool // the leader's reports arrive
}

// LoadRequest asks the leader of a runner to load a model or an adapter there. The planner, which knows the demand and
// the loads of all runners, names what has to make room.
type LoadRequest struct {
	Runner  RunnerID
	Boot    int64
	Model   contract.ModelName
	Adapter contract.AdapterName // empty: the model itself
	Victims []contract.ModelName // models to be unloaded first
	Drain   bool                 // requests run on a victim, whose unload waits for them
	Victim  Artifact             // adapter to be unloaded first; empty: none
}

// Scheduler decides which models and adapters each runner loads. Of the runners that this process leads it keeps the
// exact state and gives them orders; for the others it relies on the views that their leaders send, and sends these
// load requests. Only the planner's scheduler needs the demand and the usage.
type Scheduler struct {
	fleet           *Fleet
	usage           Usage
	pace            Pace
	authority       Authority
	services        map[contract.ServiceName]*contract.Service
	localStates     map[RunnerID]*localState
	remoteStates    map[RunnerID]*remoteState
	demands         map[Need]*demand
	demandSince     clock.Instant          // start of the time in which there is demand
	placedAt        clock.Instant          // last run of the placement
	prunedAt        clock.Instant          // last removal of demand and states that are no longer needed
	delayReportedAt map[Need]clock.Instant // last report of the delay of a model

	weights   *weightStore
	lateWaits map[Need]*lateWait // of the models that have got a replica for lateness
	relocated map[Need]bool      // models that were loaded since only evacuated runners had them; see relocationGain

	// Rebuilt in each run of the placement.
	modelDemands map[Need]*modelDemand
	evictable    map[RunnerID][]candidate       // the cheapest to unload first
	reserved     map[RunnerID]int               // models that wait for a busy runner in this run
	outgoing     map[contract.ServiceName]int64 // as Fleet.Outgoing

	idleUnload  *unloadWait // after the unload of a model that no request uses
	drainUnload *unloadWait // after the unload of a model with running requests

	changed      map[RunnerID]uint64 // version of the latest change of a runner's state
	version      uint64              // number of state changes so far
	versionBelow uint64              // version of the latest change by this process or a VM for which it relays
	earlyViews   map[RunnerID]earlyView
}

// NewScheduler returns a scheduler that doesn't know any runner's state yet.
func NewScheduler(fleet *Fleet, usage Usage, authority Authority) *Scheduler {
	return &Scheduler{
		fleet: fleet, usage: usage, pace: NominalPace{}, authority: authority, localStates: make(map[RunnerID]*localState),
		remoteStates: make(map[RunnerID]*remoteState), demands: make(map[Need]*demand),
		delayReportedAt: make(map[Need]clock.Instant),
		modelDemands:    make(map[Need]*modelDemand), evictable: make(map[RunnerID][]candidate),
		reserved: make(map[RunnerID]int), weights: newWeightStore(), lateWaits: make(map[Need]*lateWait), relocated: make(map[Need]bool),
		idleUnload: newIdleUnloadWait(), drainUnload: newDrainUnloadWait(),
		changed: make(map[RunnerID]uint64), earlyViews: make(map[RunnerID]earlyView),
	}
}

// Configure applies a manifest, which lists the services and their models.
func (s *Scheduler) Configure(m *contract.Manifest) { s.services = m.Services }

// ResetShard drops the local states of a shard's runners when a term over them begins or ends: each runner is asked
// for its state before its first order of a term.
func (s *Scheduler) ResetShard(shard Shard) {
	for _, r := range s.fleet.All() {
		if ShardOf(r.ID) == shard {
			delete(s.localStates, r.ID)
			r.authoritative = false
		}
	}
}

// Observe applies the demand that a node reports. No request waits there for an artifact that it leaves out.
func (s *Scheduler) Observe(node string, reports []DemandReport, now clock.Instant) {
	if len(s.demands) == 0 {
		s.demandSince = now
	}
	reported := make(map[Need]bool, len(reports))
	for _, report := range reports {
		reported[report.Need()] = true
		s.demand(report.Need(), now).observe(node, report, now)
	}
	for need, d := range s.demands {
		if !reported[need] {
			d.setWaiting(node, queue{}, now)
		}
	}
}

// RemoveNode drops the waiting requests of a node that is gone. Its earlier arrivals still count until they decay.
func (s *Scheduler) RemoveNode(node string, now clock.Instant) { s.Observe(node, nil, now) }

func (s *Scheduler) demand(need Need, now clock.Instant) *demand {
	d := s.demands[need]
	if d == nil {
		d = &demand{decayedAt: now, waiting: make(map[string]queue)}
		s.demands[need] = d
	}
	return d
}

// Plan lists what is to be done now.
type Plan struct {
	Orders       []Order
	StateQueries []*Runner     // runners to ask for their state
	LoadRequests []LoadRequest // for the leaders of other runners
	Loads        []StartedLoad // of models, of which Orders and LoadRequests hold the first steps
	Delays       []Delay       // further replicas that are needed and whose loads can't start
}

// Plan returns the orders, state queries and load requests that are due at now. A runner has at most one unanswered
// order at a time. Only the planner decides on placement; every leader continues the swaps in progress at its own
// runners.
func (s *Scheduler) Plan(planner bool, now clock.Instant) Plan {
	var plan Plan
	if now.Sub(s.prunedAt) >= prunePeriod {
		s.prunedAt = now
		s.pruneStale(now)
	}
	for _, r := range s.fleet.All() {
		s.endEvacuatedSwap(r, now)
		if s.engine(r) == nil || !r.Usable(now) || !s.authority.MayOrder(r.ID, now) {
			continue
		}
		state := s.localState(r)
		if now.Sub(state.sharedAt) > viewPeriod {
			s.markChanged(r.ID)
			state.sharedAt = now
		}
		switch {
		case state.pending != nil || state.holdUntil.After(now) || r.Paused(now) > 0:
		case !state.synced && !state.queryPending && !state.nextQuery.After(now):
			state.queryPending = true
			plan.StateQueries = append(plan.StateQueries, r)
		case state.synced && state.swap != nil:
			s.continueSwap(r, state, now, &plan)
		}
	}
	if planner && now.Sub(s.placedAt) >= planPeriod {
		s.placedAt = now
		s.summarizeDemand(now)
		s.placeModels(now, &plan)
		s.placeAdapters(now, &plan)
	}
	return plan
}

// HandleLoadRequest carries out the planner's load request if the runner's state allows it.
func (s *Scheduler) HandleLoadRequest(request LoadRequest, now clock.Instant) Plan {
	var plan Plan
	r := s.fleet.Get(request.Runner)
	if r == nil || r.Boot != request.Boot || s.engine(r) == nil || !r.Usable(now) || !s.authority.MayOrder(r.ID, now) {
		return plan
	}
	if !s.idle(r, now) {
		s.markChanged(r.ID) // the planner's view of the runner is outdated
		return plan
	}
	if request.Adapter != "" {
		s.loadAdapter(r, request, now, &plan)
		return plan
	}
	s.startSwap(r, request, now, &plan)
	return plan
}

// start carries out a load request at a runner that this process leads, or sends it to the runner's leader.
func (s *Scheduler) start(request LoadRequest, now clock.Instant, plan *Plan) {
	r := s.fleet.Get(request.Runner)
	for _, victim := range request.Victims {
		s.removeReplica(r, victim)
	}
	switch {
	case !s.authority.MayOrder(r.ID, now):
		plan.LoadRequests = append(plan.LoadRequests, request)
		s.remoteState(r).setRequest(request, now)
	case request.Adapter != "":
		s.loadAdapter(r, request, now, plan)
	default:
		s.startSwap(r, request, now, plan)
	}
}

// startSwap starts a load of a model, with the unloads before it, if the runner holds the victims and the model fits
// once they are gone.
func (s *Scheduler) startSwap(r *Runner, request LoadRequest, now clock.Instant, plan *Plan) {
	e, state := s.engine(r), s.localState(r)
	if _, known := e.Models[request.Model]; !known || r.Replica(request.Model) != nil {
		return
	}
	free := s.freeAfterLoad(r, request.Model, "")
	for _, victim := range request.Victims {
		replica := r.Replica(victim)
		if replica == nil || replica.ReadyAt.After(now) {
			return
		}
		free += replicaMB(replica, e)
	}
	if free < 0 {
		return
	}
	state.swap = &swap{victims: slices.Clone(request.Victims), model: request.Model, drain: request.Drain}
	s.markChanged(r.ID)
	s.continueSwap(r, state, now, plan)
}

// idle reports whether a runner can take an order now.
func (s *Scheduler) idle(r *Runner, now clock.Instant) bool {
	if s.authority.MayOrder(r.ID, now) {
		return s.localState(r).idle(now) && !r.ordersFrom.After(now) && r.Paused(now) == 0
	}
	return s.remoteState(r).idle(now) && s.authority.HearsLeader(r.ID)
}

// incomingModel returns the model that a runner is about to load and that is not among its replicas yet, or "".
func (s *Scheduler) incomingModel(r *Runner, now clock.Instant) contract.ModelName {
	if s.authority.MayOrder(r.ID, now) {
		if state := s.localStates[r.ID]; state != nil && state.boot == r.Boot && state.swap != nil {
			return state.swap.model
		}
		return ""
	}
	remote := s.remoteStates[r.ID]
	switch {
	case remote == nil || remote.boot != r.Boot:
		return ""
	case remote.incoming != "":
		return remote.incoming
	case remote.requestUntil.After(now) && remote.request.Adapter == "":
		return remote.request.Model
	}
	return ""
}

// engine returns the engine settings of a runner's service, or nil if the runner is no model engine or the manifest
// lacks the service.
func (s *Scheduler) engine(r *Runner) *contract.Engine {
	if service := s.services[r.Service]; service != nil && r.Engine {
		return service.Engine
	}
	return nil
}

// localState returns the local state of a runner: an empty one if there is none yet for its current start.
func (s *Scheduler) localState(r *Runner) *localState {
	state := s.localStates[r.ID]
	if state == nil || state.boot != r.Boot {
		state = &localState{boot: r.Boot}
		s.localStates[r.ID] = state
	}
	return state
}

// continueSwap issues the next order of a swap: the unload of a victim, or the load if none is left.
func (s *Scheduler) continueSwap(r *Runner, state *localState, now clock.Instant, plan *Plan) {
	if len(state.swap.victims) > 0 {
		s.issueOrder(r, state, Unload, state.swap.victims[0], "", plan)
		return
	}
	if s.freeAfterLoad(r, state.swap.model, "") < 0 {
		state.invalidate(now) // the state was wrong; the runner's report corrects it
		return
	}
	s.issueOrder(r, state, Load, state.swap.model, "", plan)
}

func (s *Scheduler) issueOrder(
	r *Runner, state *localState, kind OrderKind, m contract.ModelName, a contract.AdapterName, plan *Plan,
) {
	order := Order{
		Runner: r.ID, Address: r.Address, Boot: r.Boot, Kind: kind, Model: m, Adapter: a, Expected: r.Sequence,
	}
	state.pending = &order
	plan.Orders = append(plan.Orders, order)
}

// freeAfterLoad returns the memory in MB that a runner has left after a load of a model or, if a is not empty, of an
// adapter. It is negative if the load does not fit.
func (s *Scheduler) freeAfterLoad(r *Runner, m contract.ModelName, a contract.AdapterName) float64 {
	e := s.engine(r)
	need := e.Models[m].WeightsMB
	if a != "" {
		need = e.Models[m].AdapterMB
	}
	return e.WeightsMB - usedMB(r, e) - need
}
