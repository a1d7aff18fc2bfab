package machine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
)

// desiredLoad is a model of which one more replica is worth a load.
type desiredLoad struct {
	need Need
	gain float64 // worth of the replica, in requests; see modelDemand.gain
	rank float64 // priority; see modelDemand.rank
}

// placeModels starts the loads that the demand justifies, those of the highest rank first.
func (s *Scheduler) placeModels(now clock.Instant, plan *Plan) {
	clear(s.reserved)
	s.outgoing = s.fleet.Outgoing(now)
	var loads []desiredLoad
	for need, demand := range s.modelDemands {
		if gain := demand.gain(now); gain > 0 {
			loads = append(loads, desiredLoad{need, gain, demand.rank(now)})
		} else if gain = s.relocationGain(need, demand, now); gain > 0 {
			loads = append(loads, desiredLoad{need, gain, demand.relocationRank(s.nearestLoad(need, now))})
		}
	}
	slices.SortFunc(loads, func(a, b desiredLoad) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.need.Model, b.need.Model),
			cmp.Compare(a.need.Version, b.need.Version))
	})
	if len(s.demands) == 0 {
		s.prewarm(now, plan)
	}
	for _, l := range loads {
		s.placeModel(l.need, l.gain, now, plan)
	}
}

// prewarm loads the models that no runner has a copy of. It runs while there is no demand: a later request then waits
// a second for a load from the copy, instead of six for one from the weight store. It leaves one
// load to the demand that may begin meanwhile, since a load can't be ended early.
func (s *Scheduler) prewarm(now clock.Instant, plan *Plan) {
	for _, service := range s.services {
		if service.Engine == nil {
			continue
		}
		for _, name := range slices.Sorted(maps.Keys(service.Engine.Models)) {
			a := Artifact{Service: service.Name, Model: name}
			if s.weights.count >= s.weights.fullSpeed()-1 {
				return
			}
			if !s.hasCopy(a) && s.modelDemand(a).replicas == 0 {
				s.placeModel(Need{Artifact: a}, prewarmGain, now, plan)
			}
		}
	}
}

// hasCopy reports whether any runner has a model loaded, or a copy of it in host memory or on disk.
func (s *Scheduler) hasCopy(a Artifact) bool {
	for _, r := range s.fleet.All() {
		if r.Service == a.Service &&
			(r.Replica(a.Model) != nil || slices.Contains(r.InMemory, a.Model) || slices.Contains(r.OnDisk, a.Model)) {
			return true
		}
	}
	return false
}

// Obstacle is the reason why a model that requests wait for is not loaded now.
type Obstacle int

// The obstacles, from the one furthest from a load to the one closest. Of several runners, the closest one gives the
// obstacle of the model.
const (
	NoRunner   Obstacle = iota // each runner is draining, leaving or unresponsive, has the model or is not set up for it
	StoreBusy                  // no eligible runner has a copy, and the weight store is at its limit
	NoRoom                     // requests wait for the models that would have to be unloaded
	TooCostly                  // the models that would have to be unloaded are worth as much or more
	RunnerBusy                 // the best runner has to finish other loads or running requests first
	NoObstacle
)

// String returns the obstacle's name for logs.
func (o Obstacle) String() string {
	return [...]string{"no_runner", "weight_store_busy", "no_room", "too_costly", "runner_busy", "none"}[o]
}

// Delay says that a model needs a further replica that is not loaded now, and why: requests wait for it, or its replicas are
// overloaded.
type Delay struct {
	Need
	Obstacle  Obstacle
	Runner    RunnerID            // the best runner; empty: none
	Gain      float64             // of the load, in requests
	Lost      float64             // value of the models to be unloaded, at the runner that came closest to the load
	Waiting   int                 // requests that wait for the model
	Needed    int                 // replicas that the demand justifies
	Replicas  int                 // present, or about to be loaded
	Obstacles [NoObstacle + 1]int // number of the service's runners with each obstacle
}

// delayReportPeriod is the time between two reports of the same model's delay.
const delayReportPeriod = time.Second

// reportDelay adds the reason why a model gets no further replica to the plan, once in each delayReportPeriod.
func (s *Scheduler) reportDelay(d Delay, now clock.Instant, plan *Plan) {
	demand := s.demandFor(d.Need)
	d.Waiting, d.Needed, d.Replicas = demand.waiting, demand.needed(), demand.replicas
	if d.Waiting == 0 && d.Replicas >= d.Needed {
		return // loaded without demand
	}
	if last, ok := s.delayReportedAt[d.Need]; ok && now.Sub(last) < delayReportPeriod {
		return
	}
	s.delayReportedAt[d.Need] = now
	plan.Delays = append(plan.Delays, d)
}

// placeModel starts a load of a model, with the unloads before it, at the runner of the least cost. Runners where the
// unloads lose as much as the load gains are left out. If the best runner is busy, the model waits for it.
func (s *Scheduler) placeModel(a Need, gain float64, now clock.Instant, plan *Plan) {
	var best loadTarget
	delay := Delay{Need: a, Gain: gain}
	for _, r := range s.fleet.All() {
		target, obstacle := s.evaluateTarget(r, a, gain, now)
		if r.Service == a.Service {
			delay.Obstacles[obstacle]++
		}
		if obstacle > delay.Obstacle {
			delay.Obstacle, delay.Lost = obstacle, target.lost
		}
		if obstacle == NoObstacle && (best.runner == nil || target.cost < best.cost) {
			best = target
		}
	}
	switch {
	case best.runner == nil:
		if demand := s.demandFor(a); delay.Obstacle == StoreBusy && demand.replicas == 0 && demand.waiting > 0 {
			s.weights.missingAt = now
		}
		s.reportDelay(delay, now, plan)
	case best.canStart:
		reason := s.demandFor(a).reason()
		switch reason {
		case Late:
			s.orderedForLateness(a, now)
		case Relocation:
			s.relocated[a] = true
		}
		started := StartedLoad{
			Need: a, Runner: best.runner.ID, Reason: reason, Gain: gain, Lost: best.lost,
		}
		s.start(LoadRequest{
			Runner: best.runner.ID, Boot: best.runner.Boot, Model: a.Model, Victims: best.victims, Drain: best.inUse,
		}, now, plan)
		if m := s.engine(best.runner).Models[a.Model]; s.loadTime(best.runner, m) == m.LoadCold {
			s.weights.begin(placeOf(best.runner, a.Model), now)
			s.weights.ordered(s.demandFor(a).replicas > 0)
			started.FromStore = true
		}
		plan.Loads = append(plan.Loads, started)
		s.addReplica(best.runner, a.Model)
	default:
		s.reserved[best.runner.ID]++
		delay.Obstacle, delay.Runner, delay.Lost = RunnerBusy, best.runner.ID, best.lost
		s.reportDelay(delay, now, plan)
	}
}

// loadTarget is a runner that could load a model.
type loadTarget struct {
	runner   *Runner
	victims  []contract.ModelName
	cost     float64 // seconds until the model is ready, plus the value lost
	lost     float64 // summed value of the victims
	inUse    bool    // requests run on a victim
	canStart bool    // the first order can be issued now
}

// evaluateTarget estimates what a load of a model at a runner costs and whether it can start now. The obstacle is
// NoObstacle if the load can start there, now or later.
func (s *Scheduler) evaluateTarget(r *Runner, a Need, gain float64, now clock.Instant) (loadTarget, Obstacle) {
	e := s.engine(r)
	if r.Service != a.Service || !a.Serves(r) || e == nil || !r.Usable(now) || r.LeavesAt != 0 || r.Replica(a.Model) != nil ||
		!s.responsive(r, now) {
		return loadTarget{}, NoRunner
	}
	model, known := e.Models[a.Model]
	if !known {
		return loadTarget{}, NoRunner
	}
	loadTime := s.loadTime(r, model)
	if loadTime == model.LoadCold {
		d := s.demandFor(a)
		if !s.weights.mayLoad(e, now) || d.replicas > 0 && s.weights.yields(now) ||
			d.relocates() && s.weights.count >= s.weights.fullSpeed()-1 { // leaves one load to requests that wait
			return loadTarget{}, StoreBusy
		}
	}
	reserved := s.reserved[r.ID]
	choice, ok := s.evict(r, e, model.WeightsMB, now)
	target := loadTarget{runner: r, canStart: reserved == 0 && s.idle(r, now), lost: choice.lost}
	switch {
	case !ok:
		return target, NoRoom
	case choice.lost >= gain:
		return target, TooCostly
	}
	target.victims, target.inUse, target.canStart =
		choice.victims, choice.inUse, target.canStart && choice.canStart
	target.cost = choice.lost + loadTime.Seconds() + float64(len(choice.victims))*unloadTime.Seconds() +
		s.usage.Queued(r.ID).Seconds() + s.freeIn(r, now).Seconds() + float64(reserved)*swapTime.Seconds()
	if choice.inUse {
		target.cost += drainTime.Seconds()
	}
	target.cost += (s.slowness(r) - 1) * slownessCost.Seconds()
	if loadTime == model.LoadCold && r.Boot <= s.outgoing[r.Service] {
		target.cost += loadTime.Seconds() // it may leave before the model has served any request
	}
	return target, NoObstacle
}

// responsive reports whether a runner's state can be relied on. A runner that this process leads must have reported
// its state in this term and answered the last order or query. Of another one, the leader must have sent its state and
// be heard.
func (s *Scheduler) responsive(r *Runner, now clock.Instant) bool {
	if s.authority.MayOrder(r.ID, now) {
		state := s.localState(r)
		return state.reportRead && state.failures == 0
	}
	return s.remoteState(r).known && s.authority.HearsLeader(r.ID)
}

// freeIn returns the expected time until a runner can take an order.
func (s *Scheduler) freeIn(r *Runner, now clock.Instant) time.Duration {
	if s.authority.MayOrder(r.ID, now) {
		return max(s.localState(r).freeIn(now), r.ordersFrom.Sub(now))
	}
	return s.remoteState(r).freeIn(now)
}

// loadTime returns how long a runner takes to load a model from its nearest copy.
func (s *Scheduler) loadTime(r *Runner, m contract.Model) time.Duration {
	switch {
	case slices.Contains(r.InMemory, m.Name):
		return m.LoadWarm
	case slices.Contains(r.OnDisk, m.Name):
		return m.LoadDisk
	}
	return m.LoadCold
}

// observeColdLoads tells the weight store which loads are in progress or about to start. A load in progress counts as one
// from the weight store while it has more time left than a load from disk takes, and so does an order that a leader found in progress when its term began.
func (s *Scheduler) observeColdLoads(now clock.Instant) {
	s.weights.count = 0
	inProgress := make(map[Place]time.Duration)
	for _, r := range s.fleet.All() {
		e := s.engine(r)
		if e == nil {
			continue
		}
		if s.unknownLoad(r, e, now) {
			s.weights.count++
			inProgress[placeOf(r, "")] = longestColdLoad(e) // it tells nothing of the store's speed
		}
		for name, replica := range r.Replicas {
			if replica.ReadyAt.Sub(now) > e.Models[name].LoadDisk+loadMargin && !s.unobserved(r, now) {
				place := placeOf(r, name)
				s.weights.begin(place, now)
				inProgress[place] = e.Models[name].LoadCold
			}
		}
		if name := s.incomingModel(r, now); name != "" {
			if m, ok := e.Models[name]; ok && s.loadTime(r, m) == m.LoadCold {
				s.weights.begin(placeOf(r, name), now)
			}
		}
	}
	s.weights.observe(inProgress, func(p Place) bool {
		r := s.fleet.Get(p.Runner)
		return r != nil && r.Replica(p.Artifact.Model).Ready("", now)
	}, now)
}

// placeOf returns the place of a model on a runner.
func placeOf(r *Runner, name contract.ModelName) Place {
	return Place{r.ID, Artifact{Service: r.Service, Model: name}}
}
