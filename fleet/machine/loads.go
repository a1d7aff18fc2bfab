package machine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
)

// load is a model of which a replica would be of use.
type load struct {
	artifact Artifact
	gain     float64
	rank     float64
}

// placeModels loads models, those of the highest rank first.
func (p *Scheduler) placeModels(now clock.Instant, plan *Plan) {
	clear(p.reserved)
	var loads []load
	for a, s := range p.modelDemands {
		if gain := s.gain(now); gain > 0 {
			loads = append(loads, load{a, gain, s.rank(now)})
		}
	}
	slices.SortFunc(loads, func(a, b load) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.artifact.Model, b.artifact.Model))
	})
	if len(p.demands) == 0 {
		p.prewarm(now, plan)
	}
	for _, l := range loads {
		p.place(l.artifact, l.gain, now, plan)
	}
}

// prewarm loads models that no runner has a copy of, before there is any demand: a later request then waits a second
// instead of six.
func (p *Scheduler) prewarm(now clock.Instant, plan *Plan) {
	for _, s := range p.services {
		if s.Engine == nil {
			continue
		}
		for _, name := range slices.Sorted(maps.Keys(s.Engine.Models)) {
			a := Artifact{Service: s.Name, Model: name}
			if !p.copied(a) && p.modelDemand(a).replicas == 0 {
				p.place(a, prewarmGain, now, plan)
			}
		}
	}
}

// copied reports whether any runner holds a model or has a copy of it.
func (p *Scheduler) copied(a Artifact) bool {
	for _, r := range p.fleet.All() {
		if r.Service == a.Service && (r.Replica(a.Model) != nil || slices.Contains(r.InMemory, a.Model) || slices.Contains(r.OnDisk, a.Model)) {
			return true
		}
	}
	return false
}

// Obstacle says why a model that is asked for is not loaded now.
type Obstacle int

// The obstacles, the nearer to a load the later.
const (
	NoRunner   Obstacle = iota // no runner that stays and whose state is known lacks the model
	StoreBusy                  // the runners have no copy, and the weight store is at its limit
	NoRoom                     // the models that would have to go are waited for
	TooCostly                  // the models that would have to go are worth more
	RunnerBusy                 // the best runner loads or runs another model first
	NoObstacle
)

// String returns the obstacle's name for logs.
func (o Obstacle) String() string {
	return [...]string{"no_runner", "weight_store_busy", "no_room", "too_costly", "runner_busy", "none"}[o]
}

// Delay is a model for which requests wait and that is not loaded now.
type Delay struct {
	Artifact Artifact
	Obstacle Obstacle
	Runner   RunnerID // the best site; empty: none
	Gain     float64  // of the load
	Lost     float64  // with the models that would have to go, at the runner that came nearest
}

// delayPeriod is the time between two words about the same model's delay.
const delayPeriod = time.Second

// delay tells why a model is not loaded, once a period.
func (p *Scheduler) delay(d Delay, now clock.Instant, plan *Plan) {
	if p.modelDemand(d.Artifact).waiting == 0 {
		return
	}
	if told, ok := p.delayed[d.Artifact]; ok && now.Sub(told) < delayPeriod {
		return
	}
	p.delayed[d.Artifact] = now
	plan.Delays = append(plan.Delays, d)
}

// place starts a swap that brings a model onto the runner where it is expected first, if the gain is above what is lost.
// While that runner is busy the model waits for its turn there.
func (p *Scheduler) place(a Artifact, gain float64, now clock.Instant, plan *Plan) {
	var best loadTarget
	delay := Delay{Artifact: a, Gain: gain}
	for _, r := range p.fleet.All() {
		s, obstacle := p.evaluateTarget(r, a, gain, now)
		if obstacle > delay.Obstacle {
			delay.Obstacle, delay.Lost = obstacle, s.lost
		}
		if obstacle == NoObstacle && (best.runner == nil || s.cost < best.cost) {
			best = s
		}
	}
	switch {
	case best.runner == nil:
		p.delay(delay, now, plan)
	case best.now:
		p.startSwap(best.runner, a.Model, best.victims, now, plan)
		if m := p.engine(best.runner).Models[a.Model]; p.loadTime(best.runner, m) == m.LoadCold {
			p.addColdLoad(best.runner, a.Model, now)
		}
		p.modelDemand(a).replicas++
	default:
		p.reserved[best.runner.ID]++
		p.delay(Delay{Artifact: a, Obstacle: RunnerBusy, Runner: best.runner.ID, Gain: gain, Lost: best.lost}, now, plan)
	}
}

// loadTarget is a runner that could load a model.
type loadTarget struct {
	runner  *Runner
	victims []contract.ModelName
	cost    float64 // seconds until the model is ready, and what is lost
	lost    float64 // value of the victims
	now     bool    // the load can begin now
}

// evaluateTarget judges a runner as the place for a model.
func (p *Scheduler) evaluateTarget(r *Runner, a Artifact, gain float64, now clock.Instant) (loadTarget, Obstacle) {
	e := p.engine(r)
	if r.Service != a.Service || e == nil || !r.Usable(now) || r.LeavesAt != 0 || r.Replica(a.Model) != nil || !p.responsive(r, now) {
		return loadTarget{}, NoRunner
	}
	model, known := e.Models[a.Model]
	if !known {
		return loadTarget{}, NoRunner
	}
	takes := p.loadTime(r, model)
	if takes == model.LoadCold && !p.mayLoadCold(e) {
		return loadTarget{}, StoreBusy
	}
	ahead := p.reserved[r.ID]
	out, ok := p.evict(r, e, model.WeightsMB, now)
	s := loadTarget{runner: r, now: ahead == 0 && p.idle(r, now), lost: out.lost}
	switch {
	case !ok:
		return s, NoRoom
	case out.lost >= gain:
		return s, TooCostly
	}
	s.victims, s.now = out.victims, s.now && out.now
	s.cost = out.lost + takes.Seconds() + float64(len(out.victims))*unloadTime.Seconds() + p.usage.Queued(r.ID).Seconds() +
		p.freeIn(r, now).Seconds() + float64(ahead)*swapTime.Seconds()
	if out.inUse {
		s.cost += runTime.Seconds()
	}
	return s, NoObstacle
}

// responsive reports whether a runner's state can be relied on: the runner has answered in this term, and since.
func (p *Scheduler) responsive(r *Runner, now clock.Instant) bool {
	if p.authority.MayOrder(r.ID, now) {
		b := p.localState(r)
		return b.reportRead && b.failures == 0
	}
	return p.remoteState(r).responsive(now)
}

func (p *Scheduler) freeIn(r *Runner, now clock.Instant) time.Duration {
	if p.authority.MayOrder(r.ID, now) {
		return p.localState(r).freeIn(now)
	}
	return p.remoteState(r).freeIn(now)
}

// loadTime returns how long a runner takes to load a model from its nearest copy.
func (p *Scheduler) loadTime(r *Runner, m contract.Model) time.Duration {
	switch {
	case slices.Contains(r.InMemory, m.Name):
		return m.LoadWarm
	case slices.Contains(r.OnDisk, m.Name):
		return m.LoadDisk
	}
	return m.LoadCold
}

// countColdLoads counts the loads from the weight store that are in progress or about to begin, and those that began in the
// window of its rate.
func (p *Scheduler) countColdLoads(now clock.Instant) {
	p.coldLoads = 0
	for _, r := range p.fleet.All() {
		e := p.engine(r)
		if e == nil {
			continue
		}
		for name, replica := range r.Replicas {
			if replica.ReadyAt.Sub(now) > e.Models[name].LoadDisk+loadMargin {
				p.addColdLoad(r, name, now)
			}
		}
		if name := p.incomingModel(r, now); name != "" {
			if m, ok := e.Models[name]; ok && p.loadTime(r, m) == m.LoadCold {
				p.addColdLoad(r, name, now)
			}
		}
	}
	for place, began := range p.coldLoadStarts {
		if now.Sub(began) > coldWindow {
			delete(p.coldLoadStarts, place)
		}
	}
}

// addColdLoad counts one load from the weight store.
func (p *Scheduler) addColdLoad(r *Runner, name contract.ModelName, now clock.Instant) {
	p.coldLoads++
	place := Place{r.ID, Artifact{Service: r.Service, Model: name}}
	if _, known := p.coldLoadStarts[place]; !known {
		p.coldLoadStarts[place] = now
	}
}

// mayLoadCold reports whether the weight store has room for one more load.
func (p *Scheduler) mayLoadCold(e *contract.Engine) bool {
	return p.coldLoads < coldLoadsAtOnce && float64(len(p.coldLoadStarts)+1) <= max(1, e.LoadsPerSecond*coldWindow.Seconds())
}
