// Package machine holds the runners, what each of them has loaded, and the placement of models on them. It does no I/O;
// the time is always an argument.
package machine

import (
	"maps"
	"slices"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/zone"
)

// RunnerID names one runner. A runner may start again under the same id; Boot then differs.
type RunnerID string

// Announcement is what a runner says of itself in the platform's store.
type Announcement struct {
	ID        RunnerID
	Service   contract.ServiceName
	Address   string // IP:port
	Zone      zone.ID
	Slots     int
	Boot      int64 // Unix milliseconds of the runner's start
	Draining  bool
	LeavesIn  time.Duration // time until a runner at short notice is gone; zero: unknown
	Heartbeat int64         // grows with each entry of one start
	Contents  Contents      // without the count of orders, which entries do not state
	HasEngine bool          // the entry lists models
}

// Contents is what a runner holds after a number of accepted orders.
type Contents struct {
	Sequence int64 // orders accepted since the runner's start
	Busy     bool  // an order is in progress
	Models   []ReportedModel
	InMemory []contract.ModelName // copies in host memory
	OnDisk   []contract.ModelName // copies on the runner's disk
}

// ReportedModel is a model with its adapters as a runner reports them.
type ReportedModel struct {
	Model    contract.ModelName
	Adapters []contract.AdapterName
}

// Replica is a model on a runner as this process believes it.
type Replica struct {
	Model    contract.ModelName
	ReadyAt  clock.Instant // requests may be sent from then on
	Adapters map[contract.AdapterName]clock.Instant
}

// Ready reports whether requests for the model and adapter may be sent at now.
func (r *Replica) Ready(adapter contract.AdapterName, now clock.Instant) bool {
	if r == nil || r.ReadyAt.After(now) {
		return false
	}
	if adapter == "" {
		return true
	}
	at, ok := r.Adapters[adapter]
	return ok && !at.After(now)
}

// Runner is one back end: a model engine or an instance of a plain service.
type Runner struct {
	ID       RunnerID
	Service  contract.ServiceName
	Address  string
	Zone     zone.ID
	Slots    int
	Boot     int64
	Draining bool
	LeavesAt clock.Instant // zero: not known to leave
	Engine   bool

	Sequence int64
	Replicas map[contract.ModelName]*Replica
	InMemory []contract.ModelName
	OnDisk   []contract.ModelName

	authoritative bool          // this process gives the runner's orders and knows its contents exactly
	confirmedAt   clock.Instant // the contents were last stated by the runner's report or the leader
	heartbeat     int64
	missingSince  clock.Instant // the entry lapsed while the store was away; zero: it is there
}

// confirmedGrace is the time for which an entry's contents do not replace those that the leader stated: entries reach
// the store and this process up to two seconds late.
const confirmedGrace = 3 * time.Second

// Usable reports whether new requests may be sent to the runner.
func (r *Runner) Usable(now clock.Instant) bool {
	return !r.Draining && (r.LeavesAt == 0 || now.Before(r.LeavesAt))
}

// Replica returns the replica of a model, or nil.
func (r *Runner) Replica(m contract.ModelName) *Replica { return r.Replicas[m] }

func newRunner(a Announcement) *Runner {
	return &Runner{ID: a.ID, Boot: a.Boot, Replicas: make(map[contract.ModelName]*Replica)}
}

func (r *Runner) announce(a Announcement, now clock.Instant) {
	r.Service, r.Address, r.Zone, r.Slots = a.Service, a.Address, a.Zone, a.Slots
	r.Draining = a.Draining
	r.Engine = r.Engine || a.HasEngine
	r.missingSince, r.heartbeat = 0, a.Heartbeat
	if a.LeavesIn > 0 {
		r.LeavesAt = now.Add(a.LeavesIn)
	}
	if !a.HasEngine {
		return
	}
	r.InMemory, r.OnDisk = a.Contents.InMemory, a.Contents.OnDisk
	if !r.authoritative && (r.confirmedAt == 0 || now.Sub(r.confirmedAt) > confirmedGrace) {
		r.setReplicas(a.Contents.Models, now)
	}
}

// ApplyReport replaces what is believed of the runner's contents by its own report.
func (r *Runner) ApplyReport(c Contents, now clock.Instant) {
	r.Sequence, r.confirmedAt = c.Sequence, now
	r.InMemory, r.OnDisk = c.InMemory, c.OnDisk
	r.setReplicas(c.Models, now)
}

func (r *Runner) setReplicas(holdings []ReportedModel, now clock.Instant) {
	replicas := make(map[contract.ModelName]*Replica, len(holdings))
	for _, h := range holdings {
		replica := &Replica{Model: h.Model, ReadyAt: now, Adapters: make(map[contract.AdapterName]clock.Instant, len(h.Adapters))}
		for _, a := range h.Adapters {
			replica.Adapters[a] = now
		}
		replicas[h.Model] = replica
	}
	r.Replicas = replicas
}

// Fleet is the set of runners that this process knows.
type Fleet struct {
	runners map[RunnerID]*Runner
	order   []*Runner // sorted by id, so that equal fleets decide alike
}

// NewFleet returns an empty fleet.
func NewFleet() *Fleet { return &Fleet{runners: make(map[RunnerID]*Runner)} }

// Get returns a runner, or nil.
func (f *Fleet) Get(id RunnerID) *Runner { return f.runners[id] }

// All returns the runners in the order of their ids. The caller must not change the slice.
func (f *Fleet) All() []*Runner { return f.order }

// Change says what an announcement meant.
type Change int

// The meanings of an announcement.
const (
	Unchanged Change = iota
	Joined
	Restarted // the runner started again and holds nothing of before
	Updated
	Outdated // a later entry of the runner has been seen
)

// Announce applies a runner's entry.
func (f *Fleet) Announce(a Announcement, now clock.Instant) Change {
	r := f.runners[a.ID]
	if r != nil && (a.Boot < r.Boot || a.Boot == r.Boot && a.Heartbeat < r.heartbeat) {
		return Outdated
	}
	change := Updated
	if r == nil || a.Boot > r.Boot {
		change = Joined
		if r != nil {
			change = Restarted
		}
		r = newRunner(a)
		f.runners[a.ID] = r
		f.sort()
	}
	wasDraining := r.Draining
	r.announce(a, now)
	if change == Updated && wasDraining == r.Draining {
		return Unchanged
	}
	return change
}

// Remove forgets a runner whose entry was removed.
func (f *Fleet) Remove(id RunnerID) {
	delete(f.runners, id)
	f.sort()
}

// returnGrace is the time after which an entry that lapsed during an outage of the store counts as gone. The platform
// names about two seconds after the store's return.
const returnGrace = 2500 * time.Millisecond

// MarkMissing marks a runner whose entry lapsed while the store was away. It stays usable until the grace has passed.
func (f *Fleet) MarkMissing(id RunnerID, now clock.Instant) {
	if r := f.runners[id]; r != nil && r.missingSince == 0 {
		r.missingSince = now
	}
}

// Expire forgets the runners that have been missing for longer than the grace and returns their ids.
func (f *Fleet) Expire(now clock.Instant) []RunnerID {
	var gone []RunnerID
	for _, r := range f.order {
		if r.missingSince != 0 && now.Sub(r.missingSince) > returnGrace {
			gone = append(gone, r.ID)
		}
	}
	for _, id := range gone {
		f.Remove(id)
	}
	return gone
}

func (f *Fleet) sort() {
	f.order = slices.SortedFunc(maps.Values(f.runners), func(a, b *Runner) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
}
