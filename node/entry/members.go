package entry

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/duty/ring"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/link"
	"github.com/mangopass/mangopass/fleet/machine"
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
	Address string `json:"address"` // IP:port for reports
	Boot    int64  `json:"boot"`    // Unix nanoseconds of the process's start
}

// peer is another entry VM.
type peer struct {
	nodeEntry
	outbox            *ring.Ring[link.Report]
	stopLink          context.CancelFunc
	registered        bool          // its entry is in the store
	heardAt           clock.Instant // time of its last report; before the first, when it was added
	sequence          uint64        // of its last report; zero: none has come
	stopping          bool
	sentAt            clock.Instant                              // time of the last report to it
	reportPending     bool                                       // a report to it has been sent and not yet confirmed
	urgent            bool                                       // a report is due before its period ends
	knownVersion      uint64                                     // version of this VM's runner states that it has
	demand            map[machine.Artifact]*machine.DemandReport // demand that has not been reported to it
	loadRequests      []machine.LoadRequest
	unreportedCrashes []uint64                              // request digests of broken runs to report to it
	needsAllLoads     bool                                  // the next report holds all loads, not just changed ones
	allLoadsAt        clock.Instant                         // time when all loads were last sent to it
	changedLoads      map[machine.Place]bool                // loads that changed since they were last reported to it
	reportedUsage     map[contract.OrganisationName]float64 // totals that were last reported to it
}

// members is what this VM knows of the other entry VMs.
type members struct {
	peers     map[string]*peer
	sequence  uint64
	planner   string // name of the VM that decides on placement
	startLink func(name string, p *peer)
}

// count returns the number of entry VMs, this one included.
func (m *members) count() int { return 1 + len(m.peers) }

// periodFactor returns the factor by which the periods between reports grow with the number of entry VMs.
func (m *members) periodFactor() time.Duration {
	return time.Duration(max(1, m.count()/periodScaleVMs))
}

// silenceLimit returns the time without a report after which a peer counts as unreachable.
func (m *members) silenceLimit() time.Duration {
	return max(minSilenceLimit, minMissedReports*reportPeriod*m.periodFactor())
}

// heardShare returns the fraction of the entry VMs that this one hears, itself included. A peer that is only listed in
// the store counts as not heard: after a restart of all VMs, each would otherwise admit a whole limit.
func (m *members) heardShare(now clock.Instant) float64 {
	return float64(1+m.countHeard(now)) / float64(m.count())
}

// countHeard returns the number of peers that have reported lately.
func (m *members) countHeard(now clock.Instant) int {
	n := 0
	for _, p := range m.peers {
		if p.sequence > 0 && now.Sub(p.heardAt) < m.silenceLimit() {
			n++
		}
	}
	return n
}

// applyOwnKeys applies changes of mangopass's own keys. If complete is set, keys that are not among them are gone.
func (r *routing) applyOwnKeys(changes []ownKeyChange, complete bool, now clock.Instant) {
	if complete {
		for _, p := range r.members.peers {
			p.registered = false
		}
	}
	present := [machine.Shards]bool{}
	for _, c := range changes {
		if k, ok := shardOfKey(c.key, prefixLastTerms); ok {
			r.leader.shards[k].lastTermKey = c
		}
	}
	for _, c := range changes {
		if k, ok := shardOfKey(c.key, prefixHolders); ok {
			present[k] = true
			r.applyHolder(k, c, now)
		} else if name, ok := strings.CutPrefix(c.key, prefixNodes); ok {
			r.applyNode(name, c, now)
		}
	}
	if !complete {
		return
	}
	r.leader.ownKeysRead = true
	for k := range present {
		if s := &r.leader.shards[k]; !present[k] && !s.holderKey.gone {
			r.applyHolder(machine.Shard(k), ownKeyChange{gone: true, revision: s.holderKey.revision}, now)
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
	if p != nil && p.nodeEntry == e {
		p.registered = true
		return
	}
	r.addPeer(name, e, now).registered = true
}

// addPeer adds a peer in place of an earlier process of the same name, and starts the reports to it.
func (r *routing) addPeer(name string, e nodeEntry, now clock.Instant) *peer {
	r.removePeer(name, now)
	p := &peer{
		nodeEntry: e, outbox: ring.New[link.Report]("report", 1), heardAt: now,
		demand:        make(map[machine.Artifact]*machine.DemandReport),
		needsAllLoads: true, changedLoads: make(map[machine.Place]bool),
		reportedUsage: make(map[contract.OrganisationName]float64),
	}
	for _, c := range r.waiting {
		if c.waiting {
			demandFor(p.demand, c.artifact).Waiting++
		}
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
	delete(r.members.peers, name)
	r.table.SetPeer(name, nil)
	r.leader.scheduler.RemoveNode(name, now)
	r.log.Info("peer gone", "peer", name, "silent_ms", now.Sub(p.heardAt).Milliseconds(), "peers", len(r.members.peers))
}
