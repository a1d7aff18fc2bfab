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

// Requirements is what a request needs of a runner.
type Requirements struct {
	Artifact     machine.Artifact      // no model for a plain service
	PromptTokens int                   // of the whole prompt
	Prompt       []contract.PromptPart // parts that other requests may share, from the start of the prompt
	From         zone.ID               // zone of this entry VM
	Exclude      []machine.RunnerID    // runners at which this request has failed
}

// Choice is a runner for a request, with the expected times there.
type Choice struct {
	Runner  *machine.Runner
	Prefill time.Duration // time to read the part of the prompt that the runner has not cached
	Wait    time.Duration // prefill time of the requests queued there before this one
}

// Parameters of the choice of a runner. A cost is an expected delay, or the delay that is accepted to avoid something.
const (
	// prefillTokensPerMs is the number of prompt tokens that an engine reads in a millisecond.
	prefillTokensPerMs = 19.2
	// runningCost is the delay that each running request adds to the first event of the next one.
	runningCost = 300 * time.Microsecond
	// crossZoneCost is the delay accepted to keep a request in its zone, since traffic between zones is paid by the
	// byte.
	crossZoneCost = 15 * time.Millisecond
	// serviceTime is the usual time that a plain service takes for a request.
	serviceTime = 15 * time.Millisecond
	// ejectedCost is added for runners that are ejected or about to leave, so that they are chosen last.
	ejectedCost = 10 * time.Second
	// jitter bounds a random delay added to each cost, so that VMs that choose at the same time pick different runners.
	jitter = 2 * time.Millisecond
)

// Table holds one entry VM's links to the runners and the loads that its peers report. The totals of each runner are
// updated with every change instead of summed up when needed, since each choice looks at every runner.
type Table struct {
	links   map[machine.RunnerID]*RunnerLink
	totals  map[machine.RunnerID]*runnerTotal
	peers   map[string]map[machine.Place]Load // by name of the peer
	changed map[machine.Place]bool            // own loads that changed since the last TakeChanged
	zones   zone.Map
	rand    *rand.Rand
}

// NewTable returns an empty table.
func NewTable(zones zone.Map, r *rand.Rand) *Table {
	return &Table{
		links: make(map[machine.RunnerID]*RunnerLink), totals: make(map[machine.RunnerID]*runnerTotal),
		peers: make(map[string]map[machine.Place]Load), changed: make(map[machine.Place]bool), zones: zones, rand: r,
	}
}

// Link returns the link to a runner. A runner that is new or has restarted gets a new link.
func (t *Table) Link(r *machine.Runner) *RunnerLink {
	l := t.links[r.ID]
	if l != nil && l.boot == r.Boot {
		return l
	}
	if l != nil {
		l.close()
	}
	l = newRunnerLink(r, t.totalFor(r.ID), t.changed)
	t.links[r.ID] = l
	return l
}

// Prune deletes the links to runners that have left the fleet, and their totals once no peer reports requests there.
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

// SetPeer replaces all loads of a peer; nil removes the peer.
func (t *Table) SetPeer(peer string, loads []Load) {
	for _, load := range t.peers[peer] {
		t.totalFor(load.Runner).add(load.Artifact, -load.Running, -load.Queued)
	}
	delete(t.peers, peer)
	t.UpdatePeer(peer, loads)
}

// UpdatePeer replaces the given loads of a peer and keeps its others. A load without running requests is removed.
func (t *Table) UpdatePeer(peer string, loads []Load) {
	reported := t.peers[peer]
	if reported == nil && len(loads) > 0 {
		reported = make(map[machine.Place]Load, len(loads))
		t.peers[peer] = reported
	}
	for _, load := range loads {
		place := machine.Place{Runner: load.Runner, Artifact: load.Artifact}
		before := reported[place]
		t.totalFor(load.Runner).add(load.Artifact, load.Running-before.Running, load.Queued-before.Queued)
		if load.Running == 0 {
			delete(reported, place)
		} else {
			reported[place] = load
		}
	}
}

// Own returns all loads of this VM.
func (t *Table) Own() []Load {
	out := []Load{}
	for _, l := range t.links {
		for _, load := range l.ownLoads {
			out = append(out, *load)
		}
	}
	return out
}

// OwnAt returns this VM's load for an artifact on a runner, or a load without requests if there is none.
func (t *Table) OwnAt(p machine.Place) Load {
	if l := t.links[p.Runner]; l != nil && l.ownLoads[p.Artifact] != nil {
		return *l.ownLoads[p.Artifact]
	}
	return Load{Runner: p.Runner, Artifact: p.Artifact}
}

// TakeChanged returns the places (runner and artifact) of this VM's loads that changed since the last call.
func (t *Table) TakeChanged() []machine.Place {
	places := slices.Collect(maps.Keys(t.changed))
	clear(t.changed)
	return places
}

// Running returns the number of requests that all entry VMs have at a place. It implements machine.Usage.
func (t *Table) Running(p machine.Place) int {
	if sum := t.totals[p.Runner]; sum != nil {
		return sum.runningByArtifact[p.Artifact]
	}
	return 0
}

// Queued returns the prefill time that all entry VMs have queued at a runner. It implements machine.Usage.
func (t *Table) Queued(r machine.RunnerID) time.Duration {
	if sum := t.totals[r]; sum != nil {
		return sum.queued
	}
	return 0
}

// totalFor returns the total of a runner, and creates it if there is none.
func (t *Table) totalFor(r machine.RunnerID) *runnerTotal {
	sum := t.totals[r]
	if sum == nil {
		sum = &runnerTotal{runningByArtifact: make(map[machine.Artifact]int)}
		t.totals[r] = sum
	}
	return sum
}

// Pick chooses the runner with the lowest cost for a request, mainly the expected delay of its first event, and adds
// the prompt's prefixes to those expected to be cached there. It returns false if no usable runner meets the
// requirements.
func (t *Table) Pick(f *machine.Fleet, req Requirements, now clock.Instant) (Choice, bool) {
	var best Choice
	lowest := time.Duration(-1)
	var hashes []uint64
	for _, r := range f.All() {
		if r.Service != req.Artifact.Service || !r.Usable(now) || excluded(req.Exclude, r.ID) {
			continue
		}
		if req.Artifact.Model != "" && !r.Replica(req.Artifact.Model).Ready(req.Artifact.Adapter, now) {
			continue
		}
		if hashes == nil {
			hashes = prefixHashes(req.Artifact, req.Prompt)
		}
		choice := t.evaluate(r, req, hashes)
		cost := t.cost(choice, req, now)
		if lowest < 0 || cost < lowest {
			best, lowest = choice, cost
		}
	}
	if best.Runner == nil {
		return Choice{}, false
	}
	t.Link(best.Runner).cachePrefixes(hashes)
	return best, true
}

// cachePrefixes adds the prefixes of a prompt to those that the runner is expected to have cached.
func (l *RunnerLink) cachePrefixes(hashes []uint64) {
	for _, hash := range hashes {
		l.cache.add(hash)
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

// evaluate estimates the prefill time and the wait of a request at a runner.
func (t *Table) evaluate(r *machine.Runner, req Requirements, hashes []uint64) Choice {
	tokens := req.PromptTokens - t.Link(r).cache.cachedTokens(hashes, req.Prompt)
	return Choice{Runner: r, Prefill: PrefillTime(max(0, tokens)), Wait: t.Queued(r.ID)}
}

// cost returns the expected delay of a request's first event at a runner, multiplied by the slowness of a slow runner,
// plus the round-trip time, the costs of another zone and of a runner that is ejected or about to leave, and a random
// jitter.
func (t *Table) cost(c Choice, req Requirements, now clock.Instant) time.Duration {
	l := t.Link(c.Runner)
	running := l.total.running
	expected := c.Wait + c.Prefill + time.Duration(running)*runningCost
	if req.Artifact.Model == "" {
		expected = serviceTime * time.Duration(1+running) / time.Duration(max(1, c.Runner.Slots))
	}
	cost := time.Duration(float64(expected) * max(1, l.slowness))
	if c.Runner.Zone != req.From {
		cost += crossZoneCost
	}
	cost += t.zones.Distance(req.From, c.Runner.Zone)
	if c.Runner.LeavesAt != 0 || l.Ejected(now) {
		cost += ejectedCost
	}
	return cost + time.Duration(t.rand.Int64N(int64(jitter)))
}

// PrefillTime returns the time that an engine takes to read the given number of prompt tokens.
func PrefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / prefillTokensPerMs * float64(time.Millisecond))
}
