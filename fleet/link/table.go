package link

import (
	"math/rand/v2"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/machine"
	"github.com/mangopass/mangopass/fleet/memory"
	"github.com/mangopass/mangopass/fleet/overflow"
	"github.com/mangopass/mangopass/fleet/pace"
	"github.com/mangopass/mangopass/fleet/zone"
)

// Requirements is what a request needs of a runner.
type Requirements struct {
	Artifact     machine.Artifact      // no model for a plain service
	PromptTokens int                   // of the whole prompt
	Prompt       []contract.PromptPart // parts that other requests may share, from the start of the prompt
	From         zone.ID               // zone of this entry VM
	Exclude      []machine.RunnerID    // runners at which this request has failed
	// Serves reports whether runners of a software version may serve the request; nil: all.
	Serves func(machine.SoftwareVersion) bool
	Left   time.Duration // time left until the first event is late
	Bytes  int           // expected size of the request and its answer
	End    time.Duration // time left until the deadline; zero: none
	MaxGap time.Duration // longest pause between two events for an answer that is not late; zero: none
	Events float64       // expected number of events of the answer
	Usual  float64       // usual number of events of an answer of the model
	Waited bool          // the request has waited for a replica, or for a runner at its rate limit
	// First says that the request goes before all others that wait at a runner. It is timely wherever it goes; the queue there
	// still counts in the choice, since such requests come together after a loss of power.
	First bool
	// Above says that the request is above its organisation's share: it is not timely wherever it goes.
	Above bool

	Tokens int           // that the request is expected to hold in a runner's memory; zero: not limited
	Claim  *memory.Claim // of the request; nil: it claims no room

	leaving leaving
}

// Choice is a runner for a request, with the expected times there.
type Choice struct {
	Runner  *machine.Runner
	Limited bool          // there is no runner, but some could take the request if they were not at their rate limits or full
	Retry   time.Duration // if so, the shortest time after which one of them may take it
	Work    time.Duration // of the part of the prompt that the runner has not cached, as counted in its queue
	Prefill time.Duration // time to read that part there
	Wait    time.Duration // prefill time of the requests queued there that go before this one
	First   time.Duration // time to the first event, or to the answer of a plain service
	End     time.Duration // time to the last event
	Nominal time.Duration // time to the first event at the nominal pace, for the measurement of its reading; zero: it waits for a slot
	Timely  bool          // the first event is expected in time
	Tokens  int           // that the request is expected to hold there, beside the cached part of its prompt

	Memory memory.Verdict  // Full: there is no runner, and some lack the memory; TooLarge: all that have the model do for good
	full   *machine.Runner // if so, the one with the most room

	Leaves     overflow.Reason // why the runner is in another zone; empty: it is not
	LeavesSize int             // if so, the expected size of the request and its answer in bytes
	idle       bool            // no VM has a request at the runner
	// nominalPrefill is the time to read the part of the prompt that is not cached, as long as nothing has been measured.
	nominalPrefill time.Duration
	probe          bool // the runner is slow and gets the request to find out whether it still is
}

// Parameters of the choice of a runner. A cost is an expected delay, or the delay that is accepted to avoid something.
const (
	// FirstTokenTime is the nominal time that a model engine takes from the end of the prefill to the first event.
	FirstTokenTime = pace.FirstTokenTime
	// runningCost is the delay that each running request adds to the first event of the next one.
	runningCost = 300 * time.Microsecond
	// serviceTime is the usual time that a plain service takes for a request.
	serviceTime = 15 * time.Millisecond
	// ejectedCost is added for runners that are ejected or about to leave, so that they are chosen last.
	ejectedCost = 10 * time.Second
	// jitter bounds a random delay added to each cost, so that VMs that choose at the same time pick different runners.
	jitter = 2 * time.Millisecond
)

// Table holds one entry VM's links to the runners and the loads that its neighbours report. The totals of each runner
// are updated with every change instead of summed up when needed, since each choice looks at every runner.
type Table struct {
	*ledger
	Limits   *RateLimits
	Pace     *pace.Book
	Overflow *overflow.Policy
	Memory   *memory.Book
	links    map[machine.RunnerID]*RunnerLink
	peers    map[string]*reportedLoads // by name of the peer
	zones    zone.Map
	rand     *rand.Rand

	suitable []*machine.Runner // those that could serve the last request; kept to reuse its memory
}

// reportedLoads is what a peer reports.
type reportedLoads struct {
	below   bool // this VM relays for the peer
	places  map[machine.Place]Load
	runners map[machine.RunnerID]Load // the sum for each runner
}

// NewTable returns an empty table.
func NewTable(zones zone.Map, r *rand.Rand) *Table {
	return &Table{
		ledger: newLedger(), Limits: newRateLimits(r), Pace: pace.NewBook(), links: make(map[machine.RunnerID]*RunnerLink),
		peers: make(map[string]*reportedLoads), zones: zones, rand: r, Overflow: overflow.NewPolicy(zones),
		Memory: memory.NewBook(),
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
	l = newRunnerLink(r, t.ledger)
	t.links[r.ID] = l
	return l
}

// Prune deletes the links to runners that have left the fleet or restarted, and the totals of those that have left once no peer
// reports requests there.
func (t *Table) Prune(f *machine.Fleet) {
	for id, l := range t.links {
		if r := f.Get(id); r == nil || r.Boot != l.boot {
			l.close()
			delete(t.links, id)
		}
	}
	t.Limits.prune(f)
	t.Memory.Prune(f)
	for id, sum := range t.totals {
		if f.Get(id) == nil && sum.running == 0 && sum.claimed == 0 {
			delete(t.totals, id)
		}
	}
}

// Place states whether this VM relays for a peer, so that the peer's loads are passed on to the other relays.
func (t *Table) Place(peer string, below bool) {
	if p := t.peers[peer]; p == nil || p.below != below {
		t.SetPeer(peer, nil)
		t.peers[peer] = &reportedLoads{
			below: below, places: make(map[machine.Place]Load), runners: make(map[machine.RunnerID]Load),
		}
	}
}

// SetPeer replaces all loads of a peer; nil removes the peer.
func (t *Table) SetPeer(peer string, loads []Load) {
	if p := t.peers[peer]; p != nil {
		for place, load := range p.places {
			t.add(place, load.negated(), p.below)
		}
		delete(t.peers, peer)
		if loads == nil {
			t.Pace.RemovePeer(peer)
		}
		if loads != nil {
			t.Place(peer, p.below)
		}
	}
	t.UpdatePeer(peer, loads)
}

// UpdatePeer replaces the given loads of a peer and keeps its others. A load without running requests is removed.
func (t *Table) UpdatePeer(peer string, loads []Load) {
	if len(loads) == 0 {
		return
	}
	if t.peers[peer] == nil {
		t.Place(peer, false)
	}
	p := t.peers[peer]
	for _, load := range loads {
		place := machine.Place{Runner: load.Runner, Artifact: load.Artifact}
		before := p.places[place]
		change := Load{
			Running: load.Running - before.Running, Queued: load.Queued - before.Queued,
			Timely: load.Timely - before.Timely, Tokens: load.Tokens - before.Tokens, Claimed: load.Claimed - before.Claimed,
		}
		t.add(place, change, p.below)
		sum := p.runners[load.Runner]
		p.runners[load.Runner] = Load{
			Runner: load.Runner, Running: sum.Running + change.Running, Queued: sum.Queued + change.Queued,
			Timely: sum.Timely + change.Timely, Tokens: sum.Tokens + change.Tokens, Claimed: sum.Claimed + change.Claimed,
		}
		if load.Running == 0 && load.Claimed == 0 {
			delete(p.places, place)
		} else {
			p.places[place] = load
		}
	}
}

// Below returns all loads of this VM and of those that it relays for.
func (t *Table) Below() []Load {
	out := make([]Load, 0, len(t.below))
	for _, load := range t.below {
		out = append(out, load)
	}
	return out
}

// BelowAt returns the load of this VM and of those that it relays for at a place, or a load without requests if there
// is none.
func (t *Table) BelowAt(p machine.Place) Load {
	if load, ok := t.below[p]; ok {
		return load
	}
	return Load{Runner: p.Runner, Artifact: p.Artifact}
}

// Others returns the load of each runner without the part that the peer reports itself.
func (t *Table) Others(peer string) []Load {
	out := make([]Load, 0, len(t.totals))
	for id := range t.totals {
		if load := t.OthersAt(peer, id); load.Running > 0 || load.Claimed > 0 {
			out = append(out, load)
		}
	}
	return out
}

// OthersAt returns the load of a runner without the part that the peer reports itself.
func (t *Table) OthersAt(peer string, id machine.RunnerID) Load {
	load := Load{Runner: id}
	if sum := t.totals[id]; sum != nil {
		load.Running, load.Queued, load.Timely = sum.running, sum.queued, sum.timely
		load.Tokens, load.Claimed = sum.tokens, sum.claimed
	}
	if p := t.peers[peer]; p != nil {
		load.Running -= p.runners[id].Running
		load.Queued -= p.runners[id].Queued
		load.Timely -= p.runners[id].Timely
		load.Tokens -= p.runners[id].Tokens
		load.Claimed -= p.runners[id].Claimed
	}
	return load
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

// Pick chooses the runner with the lowest cost for a request, mainly the expected delay of its first event, and adds
// the prompt's prefixes to those expected to be cached there. It returns false if no usable runner meets the
// requirements, or those that do are at their rate limits.
func (t *Table) Pick(f *machine.Fleet, req Requirements, now clock.Instant) (Choice, bool) {
	choice, hashes := t.find(f, req, now)
	if choice.Runner == nil {
		t.claimRoom(f, req, choice, now)
		return choice, false
	}
	t.Link(choice.Runner).cachePrefixes(hashes)
	if choice.probe {
		t.Pace.Probed(choice.Runner.ID, now)
	}
	return choice, true
}

// Offer returns what Pick would choose now, and false if that is no runner. It changes nothing.
func (t *Table) Offer(f *machine.Fleet, req Requirements, now clock.Instant) (Choice, bool) {
	choice, _ := t.find(f, req, now)
	return choice, choice.Runner != nil
}

// find returns the choice of Pick with the hashes of the prompt's prefixes, or one without a runner.
func (t *Table) find(f *machine.Fleet, req Requirements, now clock.Instant) (Choice, []uint64) {
	var best Choice
	var refused Choice
	var short shortage
	var lowest time.Duration
	var hashes []uint64
	req.leaving = t.leaving(f, req, now)
	for _, r := range t.suitable {
		if admits, retry := t.Limits.Admits(r, req.Waited, now); !admits {
			if !refused.Limited || retry < refused.Retry {
				refused = Choice{Limited: true, Retry: retry}
			}
			continue
		}
		if hashes == nil {
			hashes = prefixHashes(req.Artifact, req.Prompt)
		}
		if !t.hasRoom(r, req, hashes, &short, now) {
			continue
		}
		choice := t.evaluate(r, req, hashes, now)
		cost := t.cost(choice, req, now)
		if best.Runner == nil || cost < lowest {
			best, lowest = choice, cost
		}
	}
	if best.Runner == nil {
		return t.explainShortage(f, req, refused, short, now), nil
	}
	return req.leaving.explain(best), hashes
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

// timely returns the prefill time queued at a runner of requests that are expected to be in time.
func (t *Table) timely(r machine.RunnerID) time.Duration {
	if sum := t.totals[r]; sum != nil {
		return sum.timely
	}
	return 0
}

// PrefillTime returns the nominal time that an engine takes to read the given number of prompt tokens.
func PrefillTime(tokens int) time.Duration { return pace.PrefillTime(tokens) }
