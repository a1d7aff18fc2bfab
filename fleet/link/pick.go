package link

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/zone"
)

// Need is what a request asks of an agent.
type Need struct {
	Artifact contract.Artifact
	Service  contract.ServiceID
	From     zone.DataCentreID
	Exclude  []AgentID // agents that this request has already failed at
}

// Table is the set of links from one entry VM to the agents.
type Table struct {
	agents map[AgentID]*Agent
	order  []*Agent // sorted by id, so that equal tables choose alike
	zones  *zone.Map
	rand   *rand.Rand
}

// NewTable returns an empty table. The random source breaks ties and draws the two candidates.
func NewTable(zones *zone.Map, r *rand.Rand) *Table {
	return &Table{agents: make(map[AgentID]*Agent), zones: zones, rand: r}
}

// Heard applies a heartbeat and creates the link if it is new.
func (t *Table) Heard(r Report, now time.Time) {
	if a, ok := t.agents[r.Agent]; ok {
		a.Heard(r, now)
		return
	}
	a := NewAgent(r, now)
	t.agents[r.Agent] = a
	at, _ := slices.BinarySearchFunc(t.order, r.Agent, func(a *Agent, id AgentID) int {
		return compareIDs(a.report.Agent, id)
	})
	t.order = slices.Insert(t.order, at, a)
}

// Get returns the link to an agent, or nil.
func (t *Table) Get(id AgentID) *Agent { return t.agents[id] }

// All returns the links in the order of their ids. The caller must not change the slice.
func (t *Table) All() []*Agent { return t.order }

// Pick chooses the agent for a request. Among agents that hold what is needed it draws two and takes the better one,
// because reports lag and many entry VMs choose at once. If none holds it, the request itself wakes a replica: all entry
// VMs then choose the same agent, so that a burst becomes one load.
func (t *Table) Pick(n Need, now time.Time) (*Agent, bool) {
	var holders, others []*Agent
	for _, a := range t.order {
		if !a.Usable(now) || a.report.Service != n.Service || slices.Contains(n.Exclude, a.report.Agent) {
			continue
		}
		if n.Service != "" || a.Holds(n.Artifact) {
			holders = append(holders, a)
		} else {
			others = append(others, a)
		}
	}
	if len(holders) > 0 {
		return t.better(holders, n.From), true
	}
	if len(others) == 0 {
		return nil, false
	}
	return slices.MaxFunc(others, func(a, b *Agent) int { return compareWake(a, b, n.Artifact) }), true
}

func (t *Table) better(holders []*Agent, from zone.DataCentreID) *Agent {
	a := holders[t.rand.IntN(len(holders))]
	b := holders[t.rand.IntN(len(holders))]
	if t.cost(b, from) < t.cost(a, from) {
		return b
	}
	return a
}

// waitPerRequest weighs one request ahead against distance.
const waitPerRequest = 20 * time.Millisecond

func (t *Table) cost(a *Agent, from zone.DataCentreID) time.Duration {
	ahead := time.Duration(a.Load()) * waitPerRequest / time.Duration(max(1, a.report.Slots))
	return ahead + t.zones.Distance(from, a.report.DataCentre)
}

// compareWake orders agents by where the checkpoint is cached and then by rendezvous hash.
func compareWake(a, b *Agent, art contract.Artifact) int {
	if ca, cb := cacheRank(a, art), cacheRank(b, art); ca != cb {
		return ca - cb
	}
	if ha, hb := rendezvous(a, art), rendezvous(b, art); ha != hb {
		if ha > hb {
			return 1
		}
		return -1
	}
	return compareIDs(a.report.Agent, b.report.Agent)
}

// cacheRank prefers an agent that holds the adapter's model, then one with the checkpoint on disk.
func cacheRank(a *Agent, art contract.Artifact) int {
	switch {
	case art.Adapter != "" && a.Holds(art.Base()):
		return 2
	case slices.Contains(a.report.OnDisk, art):
		return 1
	}
	return 0
}

func rendezvous(a *Agent, art contract.Artifact) uint64 {
	return xxhash.Sum64String(string(a.report.Agent) + "\x00" + art.String())
}

func compareIDs(a, b AgentID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
