// Package machine keeps what this process knows of the runners and decides which models and adapters each of them
// loads. It does no I/O; the current time is always an argument.
package machine

import (
	"maps"
	"slices"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/zone"
)

// RunnerID identifies a runner. A runner that restarts keeps its ID and gets a later Boot.
type RunnerID string

// Announcement is a runner's entry in the platform's store.
type Announcement struct {
	ID        RunnerID
	Service   contract.ServiceName
	Address   string // IP:port
	Zone      zone.ID
	Version   SoftwareVersion
	Slots     int           // number of requests that the runner executes at the same time
	Boot      int64         // start of the runner in Unix milliseconds
	Draining  bool          // the runner takes no new requests
	LeavesIn  time.Duration // time until a runner that is taken away at short notice is gone; zero: unknown
	ColdLeft  time.Duration // time for which the runner stays cold; zero: it is not cold
	Heartbeat int64         // grows with each entry that the runner writes after a start
	Revision  int64         // of the store, at which the entry was written
	Contents  Contents      // without Sequence, which entries do not state
	HasEngine bool          // the entry is that of a model engine and states its contents
}

// Contents lists what a runner has loaded, and its copies of model weights, after Sequence accepted orders.
type Contents struct {
	Sequence int64 // number of orders accepted since the runner's start
	Busy     bool  // an order is in progress
	Models   []ReportedModel
	InMemory []contract.ModelName // models with a copy of their weights in host memory
	OnDisk   []contract.ModelName // models with a copy of their weights on the runner's disk
	Memory   StatedMemory         // without At; entries do not state it
}

// ReportedModel is a model with its adapters as a runner reports them.
type ReportedModel struct {
	Model    contract.ModelName
	Adapters []contract.AdapterName
}

// Replica is a model on a runner, as this process knows it.
type Replica struct {
	Model    contract.ModelName
	ReadyAt  clock.Instant                          // requests for the model may be sent from this instant on
	Adapters map[contract.AdapterName]clock.Instant // the same for each adapter
}

// Ready reports whether requests for the model, or for one of its adapters unless adapter is empty, may be sent at now.
// A nil replica is never ready.
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
	Version  SoftwareVersion // of this start
	Slots    int
	Boot     int64
	Draining bool
	LeavesAt clock.Instant // zero: not known to leave
	Engine   bool          // the runner is a model engine

	// StatedLeaving says that the runner has stated in an answer that it leaves.
	StatedLeaving bool
	// Returned says that the entry of this process was removed and has come back.
	Returned bool
	// Evacuated says that the operators have evacuated the runner's zone.
	Evacuated bool
	// PausedUntil is the end of the pause that the runner has asked of this VM; zero: none.
	PausedUntil    clock.Instant
	nextAfterPause clock.Instant // when the next request may follow shortly after a pause

	// RateLimit is the number of requests a second that the runner states to take from all entry VMs together; zero: it
	// states no limit.
	RateLimit float64

	Sequence int64
	Replicas map[contract.ModelName]*Replica
	InMemory []contract.ModelName // as in Contents, like Sequence and OnDisk
	OnDisk   []contract.ModelName
	Memory   StatedMemory // as last stated by this process of the runner

	authoritative bool          // this process leads the runner and has applied its report in this term
	confirmedAt   clock.Instant // when the runner's report or its leader last stated the contents; zero: never
	heartbeat     int64         // of the last entry applied
	revision      int64         // of the store, at which that entry was written
	ordersFrom    clock.Instant // no order loads a model before; zero: any time
	cold          coldEnds
	missingSince  clock.Instant // end of the outage of the store in which the entry lapsed; zero: it has not
}

// confirmedGrace is how long contents stated by the runner's report or its leader are not replaced by those of a store
// entry. Entries reach the store and this process up to two seconds late.
const confirmedGrace = 3 * time.Second

// Usable reports whether new requests may be sent to the runner: it is not draining, has not stated that it leaves, its time
// to leave has not come, and its zone is not evacuated.
func (r *Runner) Usable(now clock.Instant) bool {
	return !r.Draining && !r.StatedLeaving && !r.Evacuated && (r.LeavesAt == 0 || now.Before(r.LeavesAt))
}

// Missing reports whether the runner's entry lapsed during an outage of the store and has not come back.
func (r *Runner) Missing() bool { return r.missingSince != 0 }

// SameAs reports whether an announcement states nothing new of the runner but its heartbeat and its contents.
func (r *Runner) SameAs(a Announcement) bool {
	return r.Boot == a.Boot && r.Version == a.Version && r.Service == a.Service && r.Address == a.Address && r.Zone == a.Zone &&
		r.Slots == a.Slots && r.Draining == a.Draining && r.Engine == (r.Engine || a.HasEngine) &&
		(r.LeavesAt != 0) == (a.LeavesIn > 0) && a.ColdLeft == 0 && r.cold.stated == 0
}

// Replica returns the replica of a model, or nil.
func (r *Runner) Replica(m contract.ModelName) *Replica { return r.Replicas[m] }

func newRunner(a Announcement) *Runner {
	return &Runner{
		ID: a.ID, Service: a.Service, Boot: a.Boot, Version: a.Version, Replicas: make(map[contract.ModelName]*Replica),
	}
}

func (r *Runner) applyAnnouncement(a Announcement, now clock.Instant) {
	r.Service, r.Address, r.Zone, r.Slots = a.Service, a.Address, a.Zone, a.Slots
	r.Draining = a.Draining
	r.Engine = r.Engine || a.HasEngine
	r.missingSince, r.heartbeat, r.revision = 0, a.Heartbeat, a.Revision
	r.StateCold(a.ColdLeft, now)
	if a.LeavesIn > 0 {
		r.LeavesAt = now.Add(a.LeavesIn)
	}
	if !a.HasEngine {
		return
	}
	r.InMemory, r.OnDisk = a.Contents.InMemory, a.Contents.OnDisk
	if !r.authoritative && (r.confirmedAt == 0 || now.Sub(r.confirmedAt) > confirmedGrace) {
		loading := r.loading(now)
		r.setReplicas(a.Contents.Models, now)
		for _, replica := range loading {
			if r.Replica(replica.Model) == nil {
				r.Replicas[replica.Model] = replica
			}
		}
	}
}

// loading returns the replicas that are being loaded. Store entries don't list them; the leader's view states when they end.
func (r *Runner) loading(now clock.Instant) []*Replica {
	var out []*Replica
	for _, replica := range r.Replicas {
		if replica.ReadyAt.After(now) {
			out = append(out, replica)
		}
	}
	return out
}

// ApplyReport replaces the known contents of the runner by those in its own report.
func (r *Runner) ApplyReport(c Contents, now clock.Instant) {
	r.Sequence, r.confirmedAt = c.Sequence, now
	r.InMemory, r.OnDisk = c.InMemory, c.OnDisk
	r.setReplicas(c.Models, now)
}

func (r *Runner) setReplicas(reported []ReportedModel, now clock.Instant) {
	replicas := make(map[contract.ModelName]*Replica, len(reported))
	for _, m := range reported {
		replica := &Replica{
			Model: m.Model, ReadyAt: now, Adapters: make(map[contract.AdapterName]clock.Instant, len(m.Adapters)),
		}
		for _, a := range m.Adapters {
			replica.Adapters[a] = now
		}
		replicas[m.Model] = replica
	}
	r.Replicas = replicas
}

// Fleet is the set of runners that this process knows.
type Fleet struct {
	runners map[RunnerID]*Runner
	sorted  []*Runner // by ID, so that processes with the same runners make the same decisions

	versions map[contract.ServiceName]map[SoftwareVersion]int // number of runners

	departed map[RunnerID]departure
	held     map[RunnerID]heldEntry

	evacuated map[zone.ID]bool
}

// NewFleet returns an empty fleet.
func NewFleet() *Fleet {
	return &Fleet{
		runners: make(map[RunnerID]*Runner), departed: make(map[RunnerID]departure), held: make(map[RunnerID]heldEntry),
		evacuated: make(map[zone.ID]bool),
	}
}

// Get returns the runner with the given ID, or nil.
func (f *Fleet) Get(id RunnerID) *Runner { return f.runners[id] }

// All returns the runners sorted by ID. The caller must not modify the slice.
func (f *Fleet) All() []*Runner { return f.sorted }

// Versions returns the number of a service's runners of each software version. The caller must not modify the map.
func (f *Fleet) Versions(s contract.ServiceName) map[SoftwareVersion]int { return f.versions[s] }

// HasUsable reports whether a usable runner of a service has a software version.
func (f *Fleet) HasUsable(s contract.ServiceName, v SoftwareVersion, now clock.Instant) bool {
	return slices.ContainsFunc(f.sorted, func(r *Runner) bool { return r.Service == s && r.Version == v && r.Usable(now) })
}

// Change is the effect of an announcement on the fleet.
type Change int

// The effects of an announcement.
const (
	Unchanged Change = iota // known runner that neither restarted nor began or ended draining
	Joined                  // first entry of the runner
	Restarted               // the runner has a later Boot and has lost its earlier contents
	Updated                 // the runner began or ended draining
	Outdated                // ignored, because a later entry of the runner has been applied
)

// Announce applies a runner's store entry and returns its effect.
func (f *Fleet) Announce(a Announcement, now clock.Instant) Change {
	r := f.runners[a.ID]
	released := r != nil && a.Boot == r.Boot && a.Version != r.Version // a runner that does not state when it started
	if r != nil && !released && (a.Boot < r.Boot || a.Boot == r.Boot && a.Heartbeat < r.heartbeat) {
		r.missingSince = 0 // its entry is there, if only as an older copy of the store shows it
		return Outdated
	}
	change := Updated
	if r == nil || a.Boot > r.Boot || released {
		change = Joined
		if r != nil {
			change = Restarted
		}
		replaces := f.otherVersion(a)
		r = newRunner(a)
		if replaces {
			r.ordersFrom = now.Add(ViewAge)
		}
		if d, known := f.departed[a.ID]; known && d.boot == a.Boot {
			r.Returned = true
			r.StatedLeaving, r.PausedUntil, r.cold = d.leaving, d.pausedUntil, d.cold
		}
		f.runners[a.ID] = r
		f.sort()
	}
	delete(f.departed, a.ID)
	delete(f.held, a.ID)
	wasDraining := r.Draining
	r.applyAnnouncement(a, now)
	r.Evacuated = f.evacuated[r.Zone]
	if change == Updated && wasDraining == r.Draining {
		return Unchanged
	}
	return change
}

// otherVersion reports whether a process is known of the same runner that had another software version. VMs whose view of the
// store is not older than ViewAge must know the later process before it can run anything, so it gets no model before.
func (f *Fleet) otherVersion(a Announcement) bool {
	if r := f.runners[a.ID]; r != nil {
		return r.Version != a.Version
	}
	d, known := f.departed[a.ID]
	return known && d.boot != a.Boot && d.version != a.Version
}

// Remove drops a runner, usually because its store entry was removed. It reports whether the runner was known.
func (f *Fleet) Remove(id RunnerID, now clock.Instant) bool {
	delete(f.held, id)
	r := f.runners[id]
	if r == nil {
		return false
	}
	f.departed[id] = departure{
		service: r.Service, boot: r.Boot, version: r.Version, at: now, leaving: r.StatedLeaving, pausedUntil: r.PausedUntil,
		cold: r.cold,
	}
	delete(f.runners, id)
	f.sort()
	return true
}

// MissingGrace is the time after the earliest possible end of an outage of the store at which a runner whose entry lapsed in it
// counts as gone. The platform states about two seconds after the store's return as the time for entries to come back, and three
// as that after which nothing excuses a request to a runner that has left.
const MissingGrace = 2800 * time.Millisecond

// RenewedSince reports whether the runner wrote its last known entry after the given revision of the store.
func (r *Runner) RenewedSince(revision int64) bool { return r.revision > revision }

// MarkMissing records that a runner's entry lapsed during an outage of the store that ended at the given instant. The
// runner stays usable for MissingGrace from then on, in which its entry can come back.
func (f *Fleet) MarkMissing(id RunnerID, outageEndedAt clock.Instant) {
	delete(f.held, id)
	if r := f.runners[id]; r != nil && r.missingSince == 0 {
		r.missingSince = outageEndedAt
	}
}

// Expire removes the runners that have been missing for more than MissingGrace and returns their IDs.
func (f *Fleet) Expire(now clock.Instant) []RunnerID {
	var gone []RunnerID
	for _, r := range f.sorted {
		if r.missingSince != 0 && now.Sub(r.missingSince) > MissingGrace {
			gone = append(gone, r.ID)
		}
	}
	for _, id := range gone {
		f.Remove(id, now)
	}
	return gone
}

func (f *Fleet) sort() {
	f.versions = make(map[contract.ServiceName]map[SoftwareVersion]int)
	for _, r := range f.runners {
		if f.versions[r.Service] == nil {
			f.versions[r.Service] = make(map[SoftwareVersion]int)
		}
		f.versions[r.Service][r.Version]++
	}
	f.sorted = slices.SortedFunc(maps.Values(f.runners), func(a, b *Runner) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
}
