package entry

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/duty/ring"
	"github.com/mangopass/mangopass/fleet/admission"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/link"
	"github.com/mangopass/mangopass/fleet/machine"
	"github.com/mangopass/mangopass/fleet/zone"
)

// Prefixes of mangopass's own keys in the platform's store. A leased key goes when the lease of its VM ends.
const (
	prefixOwn       = "mangopass/"
	prefixNodes     = prefixOwn + "nodes/"   // leased: the entry VMs
	prefixHolders   = prefixOwn + "holders/" // leased: the leader of each shard
	prefixLastTerms = prefixOwn + "last/"    // not leased: the last holder of each shard
)

// nodeEntry is the value of an entry VM's key in the store.
type nodeEntry struct {
	Address string  `json:"address"` // IP:port for reports
	Zone    zone.ID `json:"zone"`
	Boot    int64   `json:"boot"` // Unix nanoseconds of the process's start
}

// peer is another entry VM.
type peer struct {
	nodeEntry
	outbox     *ring.Ring[link.Report]
	stopLink   context.CancelFunc
	addedAt    clock.Instant // when this VM learned of its process
	registered bool          // its entry is in the store
	heardAt    clock.Instant // time of its last report; before the first, when it was added
	listedAt   clock.Instant // when a relay last said that it hears the peer
	sequence   uint64        // of its last report; zero: none has come
	stopping   bool
	seesUsAs   link.Role // as stated in its last report
	planner    string    // as stated in its last report
	members    []string  // VMs that it hears, as last stated

	role          link.Role     // how this VM sees it
	roleSince     clock.Instant // when that began
	avoidUntil    clock.Instant // it is not chosen as a relay before
	failures      int           // reports to it in a row without an answer
	storePosition link.Position // up to which it knows the store's changes, as last stated
	fed           link.Position // up to which this VM has passed them on
	feedSent      link.Position // up to which the report under way passes them on
	complete      bool          // a complete report of it has been applied in this role

	sentAt            clock.Instant // time of the last report to it
	reportPending     bool          // a report to it has been sent and not yet confirmed
	urgent            bool          // a report is due before its period ends
	knownVersion      uint64        // version of this VM's runner states that it has
	loadRequests      []machine.LoadRequest
	unreportedLeaving []machine.Process                     // processes of runners to report to it that have stated to leave
	reportedLimits    map[machine.RunnerID]reportedLimit    // limits and totals that were last reported to it
	bookings          []admission.Booking                   // to report to it
	crashUpdates      crashUpdates                          // to report to it
	crashUpdatesSent  crashUpdates                          // in the report under way
	blockedSent       blockedVersion                        // of the blocked suspects that were last sent
	needsAll          bool                                  // the next report holds all loads and totals
	allSentAt         clock.Instant                         // time when all were last sent to it
	changed           link.Changes                          // loads that changed since they were last reported to it
	series            int64                                 // identifies the running totals for it; see link.Report
	reportedUsage     map[contract.OrganisationName]float64 // totals that were last reported to it
	membersSent       uint64                                // version of the list of members that was last sent
}

// reportedLimit is what was reported of a limited runner.
type reportedLimit struct {
	perSecond, total float64
}

// members is what this VM knows of the other entry VMs.
type members struct {
	left      map[string]clock.Instant // when peers left that may have used parts of the limits; by name
	peers     map[string]*peer
	sequence  uint64                   // of the last report to any peer
	series    int64                    // the last one given to a peer; each starts after the process's boot
	sentAt    map[uint64]clock.Instant // when recent reports to the relay were made, by sequence
	startLink func(name string, p *peer)

	reviewedAt clock.Instant // last review of the tree
	resumedAt  clock.Instant // end of the last suspension of this process
	relays     zone.Relays
	relay      string // name of the VM that relays for this one, or this VM's own
	planner    string // name of the VM that decides on placement
	fanOut     int    // the largest number of neighbours that a relay can have

	listBelow []string // names of this VM and those below it
	listAll   []string // the same with those that the other relays hear
	version   uint64   // of the two lists

	newestManifest int64 // newest version of the manifest that a peer knows of, as far as stated
}

// count returns the number of entry VMs, this one included.
func (m *members) count() int { return 1 + len(m.peers) }

// sharing returns the number of entry VMs that may have used a limit in the window before now, this one included. One that has left
// may have used its part before.
func (m *members) sharing(window time.Duration, now clock.Instant) int {
	n := m.count()
	for name, at := range m.left {
		switch {
		case now.Sub(at) > window:
			delete(m.left, name)
		case m.peers[name] == nil:
			n++
		}
	}
	return n
}

// silenceLimit returns the time without a report after which a peer counts as unreachable.
func (m *members) silenceLimit() time.Duration {
	return max(minSilenceLimit, minMissedReports*reportPeriod*m.periodFactor())
}

// heard reports whether a peer's reports arrive, directly or through relays.
func (m *members) heard(p *peer, now clock.Instant) bool {
	return p.sequence > 0 && now.Sub(p.heardAt) < m.silenceLimit() ||
		p.listedAt != 0 && now.Sub(p.listedAt) < m.silenceLimit()
}

// heardShare returns the fraction of the entry VMs that this one hears, itself included. A peer that is only listed in
// the store counts as not heard: after a restart of all VMs, each would otherwise admit a whole limit.
func (m *members) heardShare(now clock.Instant) float64 {
	return float64(1+m.countHeard(now)) / float64(m.count())
}

// countHeard returns the number of peers whose reports arrive.
func (m *members) countHeard(now clock.Instant) int {
	n := 0
	for _, p := range m.peers {
		if m.heard(p, now) {
			n++
		}
	}
	return n
}

// listMembers brings the lists of members up to date.
func (r *routing) listMembers() {
	m := &r.members
	below, all := []string{r.node}, []string{r.node}
	for name, p := range m.peers {
		switch p.role {
		case link.Child:
			below, all = append(below, name), append(all, name)
		case link.MeshPeer, link.Parent:
			all = append(all, p.members...)
		}
	}
	slices.Sort(below)
	slices.Sort(all)
	all = slices.Compact(all)
	if !slices.Equal(below, m.listBelow) || !slices.Equal(all, m.listAll) {
		m.listBelow, m.listAll = below, all
		m.version++
	}
}

// applyMembers records which VMs a neighbour hears.
func (r *routing) applyMembers(p *peer, stated []string, now clock.Instant) {
	if stated != nil {
		p.members = stated
	}
	for _, name := range p.members {
		if listed := r.members.peers[name]; listed != nil {
			listed.listedAt = now
		}
	}
}

// applyOwnKeys applies changes of mangopass's own keys. If complete is set, keys that are not among them are gone.
func (r *routing) applyOwnKeys(changes []ownKeyChange, complete bool, now clock.Instant) {
	if complete {
		for _, p := range r.members.peers {
			p.registered = false
		}
		clear(r.storedBlocks)
		r.era.revision = 0
		r.versions.forgetRevisions()
		r.applyBegun(ownKeyChange{gone: true})
	}
	present := [machine.Shards]bool{}
	for _, c := range changes {
		if k, ok := shardOfKey(c.key, prefixLastTerms); ok {
			r.leader.shards[k].lastTermKey = c
		} else if c.key == prefixBegun+r.node {
			r.applyBegun(c)
		}
	}
	for _, c := range changes {
		if k, ok := shardOfKey(c.key, prefixHolders); ok {
			present[k] = true
			r.applyHolder(k, c, now)
		} else if name, ok := strings.CutPrefix(c.key, prefixNodes); ok {
			r.applyNode(name, c, now)
		} else if strings.HasPrefix(c.key, prefixBlocked) {
			r.applyStoredBlock(c, now)
		} else if strings.HasPrefix(c.key, prefixVersions) {
			r.applyVersions(c, link.Position{}, now)
		} else if c.key == keySettledEra {
			r.applySettledEra(c)
		}
	}
	if !complete {
		return
	}
	r.leader.ownKeysRead = true
	for k := range present {
		if s := &r.leader.shards[k]; !present[k] && !s.holderKey.gone {
			r.applyHolder(machine.Shard(k), ownKeyChange{gone: true, era: s.holderKey.era, revision: s.holderKey.revision}, now)
		}
	}
}

func (r *routing) applyNode(name string, c ownKeyChange, now clock.Instant) {
	if name == r.node {
		return
	}
	p := r.members.peers[name]
	if c.gone {
		if p != nil {
			p.registered = false
		}
		return
	}
	var e nodeEntry
	if err := json.Unmarshal(c.value, &e); err != nil {
		r.log.Warn("node entry rejected", "peer", name, "error", err.Error())
		return
	}
	if p != nil && (p.nodeEntry == e || e.Boot < p.Boot) {
		p.registered = p.nodeEntry == e // an older entry is that of a former process
		return
	}
	r.addPeer(name, e, now).registered = true
}

// addPeer adds a peer in place of an earlier process of the same name, and starts the reports to it.
func (r *routing) addPeer(name string, e nodeEntry, now clock.Instant) *peer {
	r.removePeer(name, now)
	p := &peer{
		nodeEntry: e, outbox: ring.New[link.Report]("report", 1), addedAt: now, heardAt: now,
		needsAll: true, reportedUsage: make(map[contract.OrganisationName]float64),
		reportedLimits: make(map[machine.RunnerID]reportedLimit),
	}
	r.members.peers[name] = p
	r.members.startLink(name, p)
	r.log.Info("peer joined", "peer", name, "address", e.Address, "peers", len(r.members.peers))
	return p
}

func (r *routing) removePeer(name string, now clock.Instant) {
	p := r.members.peers[name]
	if p == nil {
		return
	}
	p.stopLink()
	r.setRole(name, p, link.Unrelated, now)
	delete(r.members.peers, name)
	r.members.left[name] = now
	r.log.Info("peer gone", "peer", name, "silent_ms", now.Sub(p.heardAt).Milliseconds(), "peers", len(r.members.peers))
}
