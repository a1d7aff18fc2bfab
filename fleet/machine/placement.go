package machine

import (
	"cmp"
	"maps"
	"math"
	"slices"
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
	// urgentLoss and patientLoss weigh a request that has to wait for a load, per second of it.
	urgentLoss  = 3.0
	patientLoss = 0.3
	// waitingGain is the gain of a load for each request that waits for it.
	waitingGain = 1.0
	// lateRank weighs requests that come late anyway against those that need not: a late answer earns about a seventh.
	lateRank = 0.15
	// shortestLoad is the least time that a load from a copy takes.
	shortestLoad = 600 * time.Millisecond
	// replicaGain is the least gain of a further replica of a busy model.
	replicaGain = 1.0
	// spreadGain is the gain of a first copy of a model that no runner has, while there is no demand at all.
	spreadGain = 0.05
	// surplusValue is the value of a replica beyond those that a model needs.
	surplusValue = 0.02
	// unloadTime is the usual time of an unload without running requests.
	unloadTime = 50 * time.Millisecond
	// runTime is the usual time until a model in use can be unloaded.
	runTime = 600 * time.Millisecond
	// coldLoadsAtOnce is the number of loads that the weight store serves at full speed.
	coldLoadsAtOnce = 4
	// planPeriod is the shortest time between two considerations of the placement.
	planPeriod = 20 * time.Millisecond
	// comingAdapters is the number of adapters that may be on their way to one runner.
	comingAdapters = 4
)

// Place is an artifact on a runner.
type Place struct {
	Runner   RunnerID
	Artifact Artifact
}

// Use is what runs and waits at the runners, over all entry VMs.
type Use struct {
	Running map[Place]int              // requests
	Queued  map[RunnerID]time.Duration // prefill time
}

// Usage sums up what runs and waits at the runners.
type Usage interface {
	Use() Use
}

// Authority tells which runners' orders this process gives.
type Authority interface {
	MayOrder(r RunnerID, now clock.Instant) bool
}

// Wish asks the order giver of a runner to load a model or an adapter there.
type Wish struct {
	Runner  RunnerID
	Boot    int64
	Model   contract.ModelName
	Adapter contract.AdapterName // empty: the model itself
}

// Placer decides which models and adapters each runner holds. For the runners whose orders this process gives it keeps
// an exact account; for the others it relies on the views of their order givers and asks them by wishes.
type Placer struct {
	fleet     *Fleet
	usage     Usage
	authority Authority
	services  map[contract.ServiceName]*contract.Service
	books     map[RunnerID]*book
	remotes   map[RunnerID]*remote
	demands   map[Artifact]*demand
	planned   clock.Instant // the placement was last considered

	// Of the survey at the start of a plan.
	use       Use
	standings map[Artifact]*standing
	evictable map[RunnerID][]candidate // by cost of removal
	cold      int                      // loads from the weight store in progress
	reserved  map[RunnerID]int         // models that wait for their turn at a busy runner
	changed   map[RunnerID]uint64
	version   uint64
}

// NewPlacer returns a placer without knowledge of any runner's state.
func NewPlacer(fleet *Fleet, usage Usage, authority Authority) *Placer {
	return &Placer{
		fleet: fleet, usage: usage, authority: authority, books: make(map[RunnerID]*book),
		remotes: make(map[RunnerID]*remote), demands: make(map[Artifact]*demand),
		standings: make(map[Artifact]*standing), evictable: make(map[RunnerID][]candidate),
		reserved: make(map[RunnerID]int), changed: make(map[RunnerID]uint64),
	}
}

// Configure applies a manifest.
func (p *Placer) Configure(m *contract.Manifest) { p.services = m.Services }

// Forsake forgets the accounts of a shard's runners when a term over them begins or ends: each runner is asked for its
// state before its first order of a term.
func (p *Placer) Forsake(s Shard) {
	for _, r := range p.fleet.All() {
		if ShardOf(r.ID) == s {
			delete(p.books, r.ID)
			r.accounted = false
		}
	}
}

// Observe applies the demand that a node reports.
func (p *Placer) Observe(node string, asked []Asked, now clock.Instant) {
	named := make(map[Artifact]bool, len(asked))
	for _, a := range asked {
		named[a.Artifact] = true
		p.demand(a.Artifact, now).observe(node, a, now)
	}
	for artifact, d := range p.demands {
		if !named[artifact] {
			d.setWaiting(node, queue{}, now)
		}
	}
}

// ForgetNode drops the waiting requests of a node that is gone.
func (p *Placer) ForgetNode(node string, now clock.Instant) { p.Observe(node, nil, now) }

func (p *Placer) demand(a Artifact, now clock.Instant) *demand {
	d := p.demands[a]
	if d == nil {
		d = &demand{at: now, waiting: make(map[string]queue)}
		p.demands[a] = d
	}
	return d
}

// Plan is what is to be done next.
type Plan struct {
	Orders    []Order
	Questions []*Runner // runners to ask for their state
	Wishes    []Wish    // for the order givers of other runners
}

// Plan returns the orders, questions and wishes that are due at now. At most one order per runner is unanswered at a
// time. Only the planner decides on placement; every order giver carries on what is under way at its own runners.
func (p *Placer) Plan(planner bool, now clock.Instant) Plan {
	var plan Plan
	p.forgetOld(now)
	for _, r := range p.fleet.All() {
		if p.engine(r) == nil || !r.Usable(now) || !p.authority.MayOrder(r.ID, now) {
			continue
		}
		b := p.book(r)
		if now.Sub(b.shown) > viewPeriod {
			p.touch(r.ID)
			b.shown = now
		}
		switch {
		case b.pending != nil || b.holdUntil.After(now):
		case !b.synced && !b.asked && !b.askAfter.After(now):
			b.asked = true
			plan.Questions = append(plan.Questions, r)
		case b.synced && b.swap != nil:
			p.step(r, b, now, &plan)
		}
	}
	if planner && now.Sub(p.planned) >= planPeriod {
		p.planned = now
		p.survey(now)
		p.placeModels(now, &plan)
		p.placeAdapters(now, &plan)
	}
	return plan
}

// Grant carries out another node's wish if the runner's account allows it.
func (p *Placer) Grant(w Wish, now clock.Instant) Plan {
	var plan Plan
	r := p.fleet.Get(w.Runner)
	if r == nil || r.Boot != w.Boot || p.engine(r) == nil || !r.Usable(now) || !p.authority.MayOrder(r.ID, now) || !p.idle(r, now) {
		return plan
	}
	p.survey(now)
	if w.Adapter != "" {
		p.loadAdapter(r, Artifact{Service: r.Service, Model: w.Model, Adapter: w.Adapter}, now, &plan)
		return plan
	}
	model, known := p.engine(r).Models[w.Model]
	if !known || r.Holds(w.Model) != nil {
		return plan
	}
	if e, ok := p.evict(r, p.engine(r), model.WeightsMB, now); ok && e.now {
		p.begin(r, w.Model, e.victims, now, &plan)
	}
	return plan
}

// begin starts a swap at a runner, or wishes for it.
func (p *Placer) begin(r *Runner, model contract.ModelName, victims []contract.ModelName, now clock.Instant, plan *Plan) {
	if !p.authority.MayOrder(r.ID, now) {
		p.wish(r, model, "", now, plan)
		return
	}
	b := p.book(r)
	b.swap = &swap{victims: victims, model: model}
	p.touch(r.ID)
	p.step(r, b, now, plan)
}

func (p *Placer) wish(r *Runner, model contract.ModelName, adapter contract.AdapterName, now clock.Instant, plan *Plan) {
	plan.Wishes = append(plan.Wishes, Wish{Runner: r.ID, Boot: r.Boot, Model: model, Adapter: adapter})
	p.remote(r).wished(model, adapter, now)
}

// idle reports whether a runner can take an order now.
func (p *Placer) idle(r *Runner, now clock.Instant) bool {
	if p.authority.MayOrder(r.ID, now) {
		return p.book(r).idle(now)
	}
	return p.remote(r).idle(now)
}

// arriving returns the model that a runner is about to load and does not list yet, or nothing.
func (p *Placer) arriving(r *Runner, now clock.Instant) contract.ModelName {
	if p.authority.MayOrder(r.ID, now) {
		if b := p.books[r.ID]; b != nil && b.boot == r.Boot && b.swap != nil {
			return b.swap.model
		}
		return ""
	}
	m := p.remotes[r.ID]
	switch {
	case m == nil || m.boot != r.Boot:
		return ""
	case m.swap != "":
		return m.swap
	case m.wishUntil.After(now) && m.wish.Adapter == "":
		return m.wish.Model
	}
	return ""
}

// adapterComing reports whether a runner is about to load an adapter that it does not list yet.
func (p *Placer) adapterComing(r *Runner, m contract.ModelName, a contract.AdapterName, now clock.Instant) bool {
	if p.authority.MayOrder(r.ID, now) {
		b := p.books[r.ID]
		return b != nil && b.boot == r.Boot && b.pending != nil && b.pending.Kind == Load && b.pending.Model == m && b.pending.Adapter == a
	}
	remote := p.remotes[r.ID]
	return remote != nil && remote.boot == r.Boot && remote.wishUntil.After(now) && remote.wish.Model == m && remote.wish.Adapter == a
}

func (p *Placer) engine(r *Runner) *contract.Engine {
	if s := p.services[r.Service]; s != nil && r.Engine {
		return s.Engine
	}
	return nil
}

func (p *Placer) book(r *Runner) *book {
	b := p.books[r.ID]
	if b == nil || b.boot != r.Boot {
		b = &book{boot: r.Boot}
		p.books[r.ID] = b
	}
	return b
}

func (p *Placer) forgetOld(now clock.Instant) {
	for a, d := range p.demands {
		d.decay(now)
		if d.idle() {
			delete(p.demands, a)
		}
	}
	for id := range p.books {
		if p.fleet.Get(id) == nil {
			delete(p.books, id)
		}
	}
	for id := range p.remotes {
		if p.fleet.Get(id) == nil {
			delete(p.remotes, id)
		}
	}
}

// step gives the next order of a swap.
func (p *Placer) step(r *Runner, b *book, now clock.Instant, plan *Plan) {
	if len(b.swap.victims) > 0 {
		p.give(r, b, Unload, b.swap.victims[0], "", plan)
		return
	}
	if p.room(r, b.swap.model, "") < 0 {
		b.unsync(now) // the account did not hold; the runner's report settles it
		return
	}
	p.give(r, b, Load, b.swap.model, "", plan)
}

func (p *Placer) give(r *Runner, b *book, kind OrderKind, m contract.ModelName, a contract.AdapterName, plan *Plan) {
	order := Order{
		Runner: r.ID, Address: r.Address, Boot: r.Boot, Kind: kind, Model: m, Adapter: a, Expected: r.Sequence,
	}
	b.pending = &order
	plan.Orders = append(plan.Orders, order)
}

// room returns the room in MB that is left after loading a model or an adapter; it is negative if there is none.
func (p *Placer) room(r *Runner, m contract.ModelName, a contract.AdapterName) float64 {
	e := p.engine(r)
	need := e.Models[m].WeightsMB
	if a != "" {
		need = e.Models[m].AdapterMB
	}
	return e.WeightsMB - usedMB(r, e) - need
}

// standing is what all entry VMs ask of one model with its adapters, and how many runners hold it.
type standing struct {
	waiting  int
	timely   int           // of those, requests that can still be answered within their objective
	due      clock.Instant // the first of these must be sent by then
	since    clock.Instant // requests have waited since; zero: none waits
	rate     float64       // requests per second
	urgent   float64       // of those, requests that cannot wait for a load
	work     float64       // prefill seconds per second
	replicas int           // usable runners that hold the model or are about to
}

// needed returns the replicas that the demand justifies.
func (s *standing) needed() int {
	n := int(math.Ceil(s.work / replicaUtilization))
	if s.urgent >= urgentRateForSpare {
		n = max(n, 2)
	}
	return n
}

// survey sums up the demand and the replicas of each model.
func (p *Placer) survey(now clock.Instant) {
	clear(p.standings)
	clear(p.evictable)
	p.use = p.usage.Use()
	p.cold = p.loadingCold(now)
	for a, d := range p.demands {
		s := p.standing(a.Base())
		q := d.total()
		s.waiting += q.requests
		s.timely += q.timely
		if q.timely > 0 && (s.due == 0 || q.due < s.due) {
			s.due = q.due
		}
		if d.since != 0 && (s.since == 0 || d.since < s.since) {
			s.since = d.since
		}
		s.rate += d.rate()
		s.urgent += d.urgentRate()
		s.work += d.utilization()
	}
	for _, r := range p.fleet.All() {
		if p.engine(r) == nil || !r.Usable(now) {
			continue
		}
		for name := range r.Resident {
			p.standing(Artifact{Service: r.Service, Model: name}).replicas++
		}
		if m := p.arriving(r, now); m != "" && r.Holds(m) == nil {
			p.standing(Artifact{Service: r.Service, Model: m}).replicas++
		}
	}
}

func (p *Placer) standing(base Artifact) *standing {
	s := p.standings[base]
	if s == nil {
		s = &standing{}
		p.standings[base] = s
	}
	return s
}

// gain returns what one more replica is worth, in requests: those that wait for the first one, the longer the more, or
// those that come late each second because the present replicas are overloaded.
func (s *standing) gain(now clock.Instant) float64 {
	if s.replicas == 0 {
		if s.waiting == 0 {
			return 0
		}
		return waitingGain * float64(s.waiting) * (1 + now.Sub(s.since).Seconds())
	}
	if s.replicas >= s.needed() {
		return 0
	}
	overload := (s.work/float64(s.replicas) - replicaUtilization) / replicaUtilization
	return replicaGain + s.rate*min(1, max(0, overload))
}

// rank returns how soon a replica is due among others of the same gain: of the requests that wait, those count most that a
// load can still serve within their objective, the nearer to it the more.
func (s *standing) rank(now clock.Instant) float64 {
	gain := s.gain(now)
	if s.replicas > 0 || gain == 0 {
		return gain
	}
	left := s.due.Sub(now)
	if s.timely == 0 || left < shortestLoad {
		return lateRank * gain
	}
	return lateRank*gain + float64(s.timely)*(1+swapTime.Seconds()/left.Seconds())
}

// placeModels loads models, those of the highest rank first.
func (p *Placer) placeModels(now clock.Instant, plan *Plan) {
	clear(p.reserved)
	type candidate struct {
		artifact Artifact
		gain     float64
		rank     float64
	}
	var candidates []candidate
	for a, s := range p.standings {
		if gain := s.gain(now); gain > 0 {
			candidates = append(candidates, candidate{a, gain, s.rank(now)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.artifact.Model, b.artifact.Model))
	})
	if len(p.demands) == 0 {
		p.spread(now, plan)
	}
	for _, c := range candidates {
		p.place(c.artifact, c.gain, now, plan)
	}
}

// spread loads models that no runner has a copy of, before there is any demand: a later request then waits a second
// instead of six.
func (p *Placer) spread(now clock.Instant, plan *Plan) {
	for _, s := range p.services {
		if s.Engine == nil {
			continue
		}
		for _, name := range slices.Sorted(maps.Keys(s.Engine.Models)) {
			a := Artifact{Service: s.Name, Model: name}
			if !p.copied(a) && p.standing(a).replicas == 0 {
				p.place(a, spreadGain, now, plan)
			}
		}
	}
}

// copied reports whether any runner holds a model or has a copy of it.
func (p *Placer) copied(a Artifact) bool {
	for _, r := range p.fleet.All() {
		if r.Service == a.Service && (r.Holds(a.Model) != nil || slices.Contains(r.InMemory, a.Model) || slices.Contains(r.OnDisk, a.Model)) {
			return true
		}
	}
	return false
}

// place starts a swap that brings a model onto the runner where it is expected first, if the gain is above what is lost.
// While that runner is busy the model waits for its turn there.
func (p *Placer) place(a Artifact, gain float64, now clock.Instant, plan *Plan) {
	var best site
	for _, r := range p.fleet.All() {
		if s, ok := p.consider(r, a, gain, now); ok && (best.runner == nil || s.cost < best.cost) {
			best = s
		}
	}
	switch {
	case best.runner == nil:
	case best.now:
		p.begin(best.runner, a.Model, best.victims, now, plan)
		if m := p.engine(best.runner).Models[a.Model]; p.loadTime(best.runner, m) == m.LoadCold {
			p.cold++
		}
		p.standing(a).replicas++
	default:
		p.reserved[best.runner.ID]++
	}
}

// site is a runner that could load a model.
type site struct {
	runner  *Runner
	victims []contract.ModelName
	cost    float64 // seconds until the model is ready, and what is lost
	now     bool    // the load can begin now
}

// consider judges a runner as the place for a model.
func (p *Placer) consider(r *Runner, a Artifact, gain float64, now clock.Instant) (site, bool) {
	e := p.engine(r)
	if r.Service != a.Service || e == nil || !r.Usable(now) || r.LeavesAt != 0 || r.Holds(a.Model) != nil || !p.answers(r, now) {
		return site{}, false
	}
	model, known := e.Models[a.Model]
	if !known {
		return site{}, false
	}
	load := p.loadTime(r, model)
	if load == model.LoadCold && p.cold >= coldLoadsAtOnce {
		return site{}, false
	}
	ahead := p.reserved[r.ID]
	s := site{runner: r, now: ahead == 0 && p.idle(r, now)}
	out, ok := p.evict(r, e, model.WeightsMB, now)
	if !ok || out.lost >= gain {
		return site{}, false
	}
	s.victims, s.now = out.victims, s.now && out.now
	s.cost = out.lost + load.Seconds() + float64(len(out.victims))*unloadTime.Seconds() + p.use.Queued[r.ID].Seconds() +
		p.freeIn(r, now).Seconds() + float64(ahead)*swapTime.Seconds()
	if out.inUse {
		s.cost += runTime.Seconds()
	}
	return s, true
}

// answers reports whether a runner's account can be relied on: the runner has answered in this term, and since.
func (p *Placer) answers(r *Runner, now clock.Instant) bool {
	if p.authority.MayOrder(r.ID, now) {
		b := p.book(r)
		return b.read && b.failures == 0
	}
	return p.remote(r).answers(now)
}

func (p *Placer) freeIn(r *Runner, now clock.Instant) time.Duration {
	if p.authority.MayOrder(r.ID, now) {
		return p.book(r).freeIn(now)
	}
	return p.remote(r).freeIn(now)
}

// loadTime returns how long a runner takes to load a model from its nearest copy.
func (p *Placer) loadTime(r *Runner, m contract.Model) time.Duration {
	switch {
	case slices.Contains(r.InMemory, m.Name):
		return m.LoadWarm
	case slices.Contains(r.OnDisk, m.Name):
		return m.LoadDisk
	}
	return m.LoadCold
}

// loadingCold counts the loads from the weight store in progress. The bound on loads at once keeps their number per second
// far below the weight store's rate, since each takes seconds.
func (p *Placer) loadingCold(now clock.Instant) int {
	loading := 0
	for _, r := range p.fleet.All() {
		e := p.engine(r)
		if e == nil {
			continue
		}
		for name, residence := range r.Resident {
			if residence.ReadyAt.Sub(now) > e.Models[name].LoadDisk+loadMargin {
				loading++
			}
		}
		if remote := p.remotes[r.ID]; remote != nil && remote.wishUntil.After(now) && remote.wish.Adapter == "" {
			if m, ok := e.Models[remote.wish.Model]; ok && p.loadTime(r, m) == m.LoadCold {
				loading++
			}
		}
	}
	return loading
}

// eviction is a choice of models to unload.
type eviction struct {
	victims []contract.ModelName
	lost    float64 // value of the victims
	inUse   bool    // requests run on a victim; its unload waits for them
	now     bool    // the unloads can be ordered now
}

// candidate is a model that may be unloaded.
type candidate struct {
	name  contract.ModelName
	mb    float64
	value float64
	inUse bool
	now   bool
}

// evict chooses the models whose removal makes room at the least cost; ok is false if there is no room to be made.
func (p *Placer) evict(r *Runner, e *contract.Engine, need float64, now clock.Instant) (out eviction, ok bool) {
	free := e.WeightsMB - usedMB(r, e)
	candidates, known := p.evictable[r.ID]
	if !known {
		candidates = p.candidates(r, e, now)
		p.evictable[r.ID] = candidates
	}
	var chosen []candidate
	for _, c := range candidates {
		if free >= need {
			break
		}
		chosen = append(chosen, c)
		free += c.mb
	}
	if free < need {
		return eviction{}, false
	}
	// Models whose removal turns out to be needless stay, the costliest first.
	for i := len(chosen) - 1; i >= 0; i-- {
		if free-chosen[i].mb >= need {
			free -= chosen[i].mb
			chosen = slices.Delete(chosen, i, i+1)
		}
	}
	out.now = true
	for _, c := range chosen {
		out.victims = append(out.victims, c.name)
		out.lost += c.value
		out.inUse = out.inUse || c.inUse
		out.now = out.now && c.now
	}
	return out, true
}

// candidates returns the models on a runner, those first whose removal costs least.
func (p *Placer) candidates(r *Runner, e *contract.Engine, now clock.Instant) []candidate {
	var out []candidate
	for name, residence := range r.Resident {
		s := p.standing(Artifact{Service: r.Service, Model: name})
		if s.waiting > 0 && s.replicas <= 1 {
			continue
		}
		m := e.Models[name]
		c := candidate{
			name: name, mb: m.WeightsMB + float64(len(residence.Adapters))*m.AdapterMB, value: p.value(r, m),
			inUse: p.inUse(r, residence) > 0,
		}
		c.now = !residence.ReadyAt.Add(settleTime).After(now) && (!c.inUse || s.replicas > 1)
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.cost(), b.cost()), cmp.Compare(a.name, b.name))
	})
	return out
}

// cost returns the value lost and the time until the model's runs have ended.
func (c candidate) cost() float64 {
	if c.inUse || !c.now {
		return c.value + runTime.Seconds()
	}
	return c.value
}

func (p *Placer) inUse(r *Runner, residence *Residence) int {
	n := p.use.Running[Place{r.ID, Artifact{Service: r.Service, Model: residence.Model}}]
	for adapter := range residence.Adapters {
		n += p.use.Running[Place{r.ID, Artifact{Service: r.Service, Model: residence.Model, Adapter: adapter}}]
	}
	return n
}

// value returns what the loss of a replica is expected to cost, in the unit of one request that waits a second.
func (p *Placer) value(r *Runner, m contract.Model) float64 {
	s := p.standing(Artifact{Service: r.Service, Model: m.Name})
	if s.replicas > max(1, s.needed()) {
		return surplusValue
	}
	return (s.urgent*urgentLoss + (s.rate-s.urgent)*patientLoss) * p.loadTime(r, m).Seconds() / float64(max(1, s.replicas))
}

// placeAdapters loads adapters that requests wait for and that no replica of their model has.
func (p *Placer) placeAdapters(now clock.Instant, plan *Plan) {
	var wanted []Artifact
	for a, d := range p.demands {
		if a.Adapter != "" && len(d.waiting) > 0 {
			wanted = append(wanted, a)
		}
	}
	slices.SortFunc(wanted, func(a, b Artifact) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	for _, a := range wanted {
		p.placeAdapter(a, now, plan)
	}
}

func (p *Placer) placeAdapter(a Artifact, now clock.Instant, plan *Plan) {
	var best *Runner
	lowest := math.Inf(1)
	for _, r := range p.fleet.All() {
		if r.Service != a.Service || p.engine(r) == nil || !r.Usable(now) {
			continue
		}
		residence := r.Holds(a.Model)
		if residence == nil {
			continue
		}
		if _, held := residence.Adapters[a.Adapter]; held || p.adapterComing(r, a.Model, a.Adapter, now) {
			return
		}
		if !residence.Ready("", now) || !p.idle(r, now) {
			continue
		}
		cost := p.use.Queued[r.ID].Seconds()
		if !p.adapterFits(r, a) {
			if _, ok := p.oldestAdapter(r, now); !ok {
				continue
			}
			cost += adapterLoad.Seconds()
		}
		if cost < lowest {
			best, lowest = r, cost
		}
	}
	switch {
	case best == nil:
	case p.authority.MayOrder(best.ID, now):
		p.loadAdapter(best, a, now, plan)
	default:
		p.wish(best, a.Model, a.Adapter, now, plan)
	}
}

func (p *Placer) adapterFits(r *Runner, a Artifact) bool {
	return adapterCount(r) < p.engine(r).AdapterSlots && p.room(r, a.Model, a.Adapter) >= 0
}

// loadAdapter orders an adapter's load, or the unload of another one that stands in its way.
func (p *Placer) loadAdapter(r *Runner, a Artifact, now clock.Instant, plan *Plan) {
	residence := r.Holds(a.Model)
	if residence == nil || !residence.Ready("", now) {
		return
	}
	if _, held := residence.Adapters[a.Adapter]; held {
		return
	}
	b := p.book(r)
	if p.adapterFits(r, a) {
		if comingCount(r, now) < comingAdapters {
			p.give(r, b, Load, a.Model, a.Adapter, plan)
		}
		return
	}
	if victim, ok := p.oldestAdapter(r, now); ok {
		p.give(r, b, Unload, victim.Model, victim.Adapter, plan)
	}
}

// oldestAdapter returns the unused adapter on a runner that is asked for least.
func (p *Placer) oldestAdapter(r *Runner, now clock.Instant) (Artifact, bool) {
	var victim Artifact
	lowest := math.Inf(1)
	for _, residence := range r.Resident {
		for name, readyAt := range residence.Adapters {
			a := Artifact{Service: r.Service, Model: residence.Model, Adapter: name}
			if readyAt.Add(settleTime).After(now) || p.use.Running[Place{r.ID, a}] > 0 {
				continue
			}
			value := 0.0
			if d := p.demands[a]; d != nil {
				value = d.arrivals
				if len(d.waiting) > 0 {
					continue
				}
			}
			if value < lowest || value == lowest && name < victim.Adapter {
				victim, lowest = a, value
			}
		}
	}
	return victim, victim.Adapter != ""
}

func comingCount(r *Runner, now clock.Instant) int {
	n := 0
	for _, residence := range r.Resident {
		for _, readyAt := range residence.Adapters {
			if readyAt.After(now) {
				n++
			}
		}
	}
	return n
}
