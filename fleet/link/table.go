package link

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/machine"
	"github.com/mangopass/mangopass/fleet/zone"
)

// Requirements is what a request asks of a runner.
type Requirements struct {
	Artifact     machine.Artifact // without a model for a plain service
	PromptTokens int
	Prompt       []contract.PromptPart
	From         zone.ID
	Exclude      []machine.RunnerID // runners at which this request has already failed
}

// Choice is the runner for a request.
type Choice struct {
	Runner  *machine.Runner
	Prefill time.Duration // time that the runner needs to read what it has not cached
	Wait    time.Duration // prefill time queued there before the request
}

// Figures of the choice.
const (
	// prefillTokensPerMs is the speed at which an engine reads prompts.
	prefillTokensPerMs = 19.2
	// runningCost is the delay that one running request adds to the next first event.
	runningCost = 300 * time.Microsecond
	// crossZoneCost weighs the price of bytes between zones against delay.
	crossZoneCost = 15 * time.Millisecond
	// serviceTime is the usual work of a plain service's request.
	serviceTime = 15 * time.Millisecond
	// ejectedCost is added for runners that fail.
	ejectedCost = 10 * time.Second
	// jitter breaks ties between nodes that choose at once.
	jitter = 2 * time.Millisecond
)

// Table is the set of links from one entry VM to the runners, with the load that its peers report. The totals are kept
// with each change, since a choice looks at every runner.
type Table struct {
	links   map[machine.RunnerID]*RunnerLink
	totals  map[machine.RunnerID]*total
	peers   map[string]map[machine.Place]Load // by node
	changed map[machine.Place]bool            // own loads that changed since they were last taken
	zones   zone.Map
	rand    *rand.Rand
}

// NewTable returns an empty table.
func NewTable(zones zone.Map, r *rand.Rand) *Table {
	return &Table{
		links: make(map[machine.RunnerID]*RunnerLink), totals: make(map[machine.RunnerID]*total),
		peers: make(map[string]map[machine.Place]Load), changed: make(map[machine.Place]bool), zones: zones, rand: r,
	}
}

// Link returns the link to a runner. A restarted runner gets a fresh link.
func (t *Table) Link(r *machine.Runner) *RunnerLink {
	l := t.links[r.ID]
	if l != nil && l.boot == r.Boot {
		return l
	}
	if l != nil {
		l.close()
	}
	l = newRunner(r, t.total(r.ID), t.changed)
	t.links[r.ID] = l
	return l
}

// Prune drops the links to runners that are no longer known.
func (t *Table) Prune(f *machine.Fleet) {
	for id, l := range t.links {
		if f.Get(id) == nil {
			l.close()
			delete(t.links, id)
		}
	}
	for id, sum := range t.totals {
		if f.Get(id) == nil && sum.running == 0 {
			delete(t.totals, id)
		}
	}
}

// SetPeer replaces all that a peer has at the runners; nil forgets the peer.
func (t *Table) SetPeer(node string, loads []Load) {
	for _, load := range t.peers[node] {
		t.total(load.Runner).add(load.Artifact, -load.Running, -load.Queued)
	}
	delete(t.peers, node)
	t.UpdatePeer(node, loads)
}

// UpdatePeer replaces some of what a peer has at the runners. A load without requests has ended.
func (t *Table) UpdatePeer(node string, loads []Load) {
	of := t.peers[node]
	if of == nil && len(loads) > 0 {
		of = make(map[machine.Place]Load, len(loads))
		t.peers[node] = of
	}
	for _, load := range loads {
		place := machine.Place{Runner: load.Runner, Artifact: load.Artifact}
		before := of[place]
		t.total(load.Runner).add(load.Artifact, load.Running-before.Running, load.Queued-before.Queued)
		if load.Running == 0 {
			delete(of, place)
		} else {
			of[place] = load
		}
	}
}

// Own returns what this node has at the runners.
func (t *Table) Own() []Load {
	out := []Load{}
	for _, l := range t.links {
		for _, load := range l.own {
			out = append(out, *load)
		}
	}
	return out
}

// OwnAt returns what this node has at a place; a load without requests if nothing.
func (t *Table) OwnAt(p machine.Place) Load {
	if l := t.links[p.Runner]; l != nil && l.own[p.Artifact] != nil {
		return *l.own[p.Artifact]
	}
	return Load{Runner: p.Runner, Artifact: p.Artifact}
}

// TakeChanged returns the places of the own loads that changed since the last call.
func (t *Table) TakeChanged() []machine.Place {
	places := slices.Collect(maps.Keys(t.changed))
	clear(t.changed)
	return places
}

// Running implements machine.Usage.
func (t *Table) Running(p machine.Place) int {
	if sum := t.totals[p.Runner]; sum != nil {
		return sum.artifact[p.Artifact]
	}
	return 0
}

// Queued implements machine.Usage.
func (t *Table) Queued(r machine.RunnerID) time.Duration {
	if sum := t.totals[r]; sum != nil {
		return sum.queued
	}
	return 0
}

// total returns the requests and the prefill time at a runner over all nodes.
func (t *Table) total(r machine.RunnerID) *total {
	sum := t.totals[r]
	if sum == nil {
		sum = &total{artifact: make(map[machine.Artifact]int)}
		t.totals[r] = sum
	}
	return sum
}

// Pick chooses the runner at which the request is expected to start first. It reports false if no usable runner holds
// what is needed.
func (t *Table) Pick(f *machine.Fleet, n Requirements, now clock.Instant) (Choice, bool) {
	var best Choice
	lowest := time.Duration(-1)
	var chain []uint64
	for _, r := range f.All() {
		if r.Service != n.Artifact.Service || !r.Usable(now) || excluded(n.Exclude, r.ID) {
			continue
		}
		if n.Artifact.Model != "" && !r.Replica(n.Artifact.Model).Ready(n.Artifact.Adapter, now) {
			continue
		}
		if chain == nil {
			chain = prefixHashes(n.Artifact, n.Prompt)
		}
		choice := t.evaluate(r, n, chain)
		cost := t.cost(choice, n, now)
		if lowest < 0 || cost < lowest {
			best, lowest = choice, cost
		}
	}
	if best.Runner == nil {
		return Choice{}, false
	}
	t.Link(best.Runner).remember(chain)
	return best, true
}

func (l *RunnerLink) remember(chain []uint64) {
	for _, c := range chain {
		l.cached.add(c)
	}
}

func excluded(list []machine.RunnerID, id machine.RunnerID) bool {
	for _, e := range list {
		if e == id {
			return true
		}
	}
	return false
}

func (t *Table) evaluate(r *machine.Runner, n Requirements, chain []uint64) Choice {
	tokens := n.PromptTokens - t.Link(r).cached.cachedTokens(chain, n.Prompt)
	return Choice{Runner: r, Prefill: PrefillTime(max(0, tokens)), Wait: t.Queued(r.ID)}
}

func (t *Table) cost(c Choice, n Requirements, now clock.Instant) time.Duration {
	l := t.Link(c.Runner)
	running := l.total.running
	expected := c.Wait + c.Prefill + time.Duration(running)*runningCost
	if n.Artifact.Model == "" {
		expected = serviceTime * time.Duration(1+running) / time.Duration(max(1, c.Runner.Slots))
	}
	cost := time.Duration(float64(expected) * max(1, l.slowness))
	if c.Runner.Zone != n.From {
		cost += crossZoneCost
	}
	cost += t.zones.Distance(n.From, c.Runner.Zone)
	if c.Runner.LeavesAt != 0 || l.Ejected(now) {
		cost += ejectedCost
	}
	return cost + time.Duration(t.rand.Int64N(int64(jitter)))
}

// PrefillTime returns the time in which an engine reads a number of prompt tokens.
func PrefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / prefillTokensPerMs * float64(time.Millisecond))
}
