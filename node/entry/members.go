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

// Keys of mangopass's own in the platform's store.
const (
	prefixOwn     = "mangopass/"
	prefixNodes   = prefixOwn + "nodes/"   // one leased key for each entry VM
	prefixHolders = prefixOwn + "holders/" // leased: the order giver of each shard
	prefixLast    = prefixOwn + "last/"    // not leased: who held the last term over each shard
)

// Figures of the exchange between entry VMs.
const (
	// reportPeriod is the usual time between two reports to a peer, urgentPeriod the shortest.
	reportPeriod = 60 * time.Millisecond
	urgentPeriod = 8 * time.Millisecond
	// silentAfter is the time without a report after which a peer counts as cut off.
	silentAfter = 700 * time.Millisecond
	// reportsMissed is the number of reports without which a peer counts as cut off at least.
	reportsMissed = 4
	// forgetAfter is the time without a report after which a peer without an entry is forgotten.
	forgetAfter = 2 * time.Second
	// wholePeriod is the time after which a peer is told all loads again, so that whatever it has missed lasts no longer.
	wholePeriod = 5 * time.Second
	// meshSize is the number of entry VMs up to which each reports to each other at the full rate. Beyond, the periods grow
	// with the number, so that what a VM sends in a second stays the same.
	meshSize = 8
)

// nodeEntry is what an entry VM says of itself in the store.
type nodeEntry struct {
	Address string `json:"address"` // IP:port for reports
	Boot    int64  `json:"boot"`    // Unix nanoseconds of the process's start
}

// peer is another entry VM.
type peer struct {
	nodeEntry
	outbox   *ring.Ring[link.Report]
	stop     context.CancelFunc
	listed   bool // its entry is in the store
	heard    clock.Instant
	sequence uint64 // of its last report; zero: none has come
	stopping bool
	sentAt   clock.Instant
	busy     bool                                // a report is on its way
	urgent   bool                                // a report is due before its period
	version  uint64                              // of this VM's accounts that it has
	asked    map[machine.Artifact]*machine.Asked // demand that it has not been told
	wishes   []machine.Wish
	struck   []uint64                              // digests of broken runs that it has not been told
	whole    bool                                  // it needs all loads, not just those that changed
	wholeAt  clock.Instant                         // all loads were last sent
	changed  map[machine.Place]bool                // loads that it has not been told
	spent    map[contract.OrganisationName]float64 // totals that it has been told
}

// members is what this VM knows of the other entry VMs.
type members struct {
	peers    map[string]*peer
	sequence uint64
	planner  string // the node that decides on placement
	connect  func(name string, p *peer)
}

// count returns the number of entry VMs.
func (m *members) count() int { return 1 + len(m.peers) }

// stretch returns the factor by which periods grow with the number of entry VMs.
func (m *members) stretch() time.Duration { return time.Duration(max(1, m.count()/meshSize)) }

// silence returns the time without a report after which a peer counts as cut off.
func (m *members) silence() time.Duration {
	return max(silentAfter, reportsMissed*reportPeriod*m.stretch())
}

// share returns the part of the entry VMs that this one hears, itself included. A peer that is only listed in the store
// counts as not heard: after a restart of all VMs each would otherwise admit a whole limit.
func (m *members) share(now clock.Instant) float64 {
	return float64(1+m.heard(now)) / float64(m.count())
}

// heard returns the number of peers that have reported lately.
func (m *members) heard(now clock.Instant) int {
	n := 0
	for _, p := range m.peers {
		if p.sequence > 0 && now.Sub(p.heard) < m.silence() {
			n++
		}
	}
	return n
}

// takeOwn applies changes of mangopass's own keys.
func (r *routing) takeOwn(changes []ownChange, complete bool, now clock.Instant) {
	if complete {
		for _, p := range r.members.peers {
			p.listed = false
		}
	}
	named := [machine.Shards]bool{}
	for _, c := range changes {
		if k, ok := shardOfKey(c.key, prefixLast); ok {
			r.giver.shards[k].last = c
		}
	}
	for _, c := range changes {
		if k, ok := shardOfKey(c.key, prefixHolders); ok {
			named[k] = true
			r.takeHolder(k, c, now)
		} else if name, ok := strings.CutPrefix(c.key, prefixNodes); ok {
			r.takeNode(name, c, now)
		}
	}
	if !complete {
		return
	}
	r.giver.listed = true
	for k := range named {
		if s := &r.giver.shards[k]; !named[k] && !s.holder.gone {
			r.takeHolder(machine.Shard(k), ownChange{gone: true, revision: s.holder.revision}, now)
		}
	}
}

func (r *routing) takeNode(name string, c ownChange, now clock.Instant) {
	if name == r.node {
		return
	}
	p := r.members.peers[name]
	if c.gone {
		if p != nil {
			p.listed = false
		}
		return
	}
	var e nodeEntry
	if err := json.Unmarshal(c.value, &e); err != nil {
		r.log.Warn("node entry rejected", "peer", name, "error", err.Error())
		return
	}
	if p != nil && p.nodeEntry == e {
		p.listed = true
		return
	}
	r.addPeer(name, e, now).listed = true
}

// addPeer starts to report to a peer, in place of an earlier process of the same name.
func (r *routing) addPeer(name string, e nodeEntry, now clock.Instant) *peer {
	r.dropPeer(name, now)
	p := &peer{
		nodeEntry: e, outbox: ring.New[link.Report]("report", 1), heard: now, asked: make(map[machine.Artifact]*machine.Asked),
		whole: true, changed: make(map[machine.Place]bool), spent: make(map[contract.OrganisationName]float64),
	}
	for _, c := range r.waiting {
		if c.waiting {
			askedOf(p.asked, c.artifact).Waiting++
		}
	}
	r.members.peers[name] = p
	r.members.connect(name, p)
	r.log.Info("peer joined", "peer", name, "address", e.Address, "peers", len(r.members.peers))
	return p
}

func (r *routing) dropPeer(name string, now clock.Instant) {
	p := r.members.peers[name]
	if p == nil {
		return
	}
	p.stop()
	delete(r.members.peers, name)
	r.table.SetPeer(name, nil)
	r.giver.placer.ForgetNode(name, now)
	r.log.Info("peer gone", "peer", name, "silent_ms", now.Sub(p.heard).Milliseconds(), "peers", len(r.members.peers))
}

// report sends the reports that are due.
func (r *routing) report(now clock.Instant) {
	share := r.members.share(now)
	for _, q := range r.quotas {
		q.SetShare(share, now)
	}
	r.giver.placer.Observe(r.node, r.takeAsked(r.asked, now), now)
	changed := r.table.TakeChanged()
	for name, p := range r.members.peers {
		for _, place := range changed {
			p.changed[place] = true
		}
		if !p.listed && now.Sub(p.heard) > forgetAfter {
			r.dropPeer(name, now)
			continue
		}
		period := reportPeriod * r.members.stretch()
		switch {
		case p.urgent:
			period = urgentPeriod
		case p.version < r.giver.placer.Version():
			period = urgentPeriod * r.members.stretch()
		}
		if p.busy || now.Sub(p.sentAt) < period {
			continue
		}
		r.reportTo(name, p, now)
	}
}

func (r *routing) reportTo(name string, p *peer, now clock.Instant) {
	r.members.sequence++
	if p.whole = p.whole || now.Sub(p.wholeAt) > wholePeriod; p.whole {
		p.wholeAt = now
	}
	report := link.Report{
		Node: r.node, Address: r.address, Boot: r.boot, Sequence: r.members.sequence, Stopping: r.stopping, Struck: p.struck,
		Whole: p.whole, Loads: r.loadsFor(p), Spent: r.spentFor(name, p, now), Asked: r.takeAsked(p.asked, now),
	}
	r.addAccounts(&report, p, now)
	p.struck = nil
	if p.whole = !p.outbox.TryPush(report); !p.whole {
		p.busy, p.urgent, p.sentAt = true, false, now
	}
}

// loadsFor returns the loads that a peer has not been told.
func (r *routing) loadsFor(p *peer) []link.Load {
	var loads []link.Load
	if p.whole {
		loads = r.table.Own()
	} else {
		for place := range p.changed {
			loads = append(loads, r.table.OwnAt(place))
		}
	}
	clear(p.changed)
	return loads
}

// spentFor returns what was admitted here for the organisations whose totals a peer has not been told.
func (r *routing) spentFor(name string, p *peer, now clock.Instant) []link.Spent {
	var spent []link.Spent
	for organisation, q := range r.quotas {
		if told, ok := p.spent[organisation]; !p.whole && ok && told == q.Own() {
			continue
		}
		p.spent[organisation] = q.Own()
		spent = append(spent, link.Spent{
			Organisation: organisation, Total: q.Own(), Level: q.Level(now), Heard: q.Heard(name, p.Boot),
		})
	}
	return spent
}

// takeAsked returns the demand since the last call and starts anew.
func (r *routing) takeAsked(asked map[machine.Artifact]*machine.Asked, now clock.Instant) []machine.Asked {
	r.judgeWaiting(asked, now)
	out := make([]machine.Asked, 0, len(asked))
	for artifact, a := range asked {
		out = append(out, *a)
		if a.Waiting == 0 {
			delete(asked, artifact)
			continue
		}
		a.Arrivals, a.Urgent, a.Work = 0, 0, 0
	}
	return out
}

// judgeWaiting counts the waiting calls that can still be answered within their objective.
func (r *routing) judgeWaiting(asked map[machine.Artifact]*machine.Asked, now clock.Instant) {
	for _, a := range asked {
		a.Timely, a.Due = 0, 0
	}
	for _, c := range r.waiting {
		a := asked[c.artifact]
		left := c.request.Arrived.Add(c.admitted.Route.Objective - firstToken).Sub(now)
		if !c.waiting || a == nil || left <= 0 {
			continue
		}
		if a.Timely == 0 || left < a.Due {
			a.Due = left
		}
		a.Timely++
	}
}

// eachAsked applies a change of demand to this VM's own account and to what the peers have still to be told.
func (r *routing) eachAsked(a machine.Artifact, change func(*machine.Asked)) {
	change(askedOf(r.asked, a))
	for _, p := range r.members.peers {
		change(askedOf(p.asked, a))
	}
}

// askedOf returns the account of an artifact's demand, a new one if there is none.
func askedOf(asked map[machine.Artifact]*machine.Asked, a machine.Artifact) *machine.Asked {
	of := asked[a]
	if of == nil {
		of = &machine.Asked{Artifact: a}
		asked[a] = of
	}
	return of
}

// apply notes whether a peer has got a report.
func (m delivered) apply(r *routing, _ clock.Instant) {
	p := r.members.peers[m.node]
	if p == nil || p.Boot != m.boot {
		return
	}
	p.busy = false
	if m.ok {
		p.version = m.version
	} else {
		p.whole = true // it may have taken some of the report, or none
	}
}

// apply takes over a peer's report. A peer that has just started is known by its report before its entry in the store is
// read.
func (m peerReported) apply(r *routing, now clock.Instant) {
	in := m.report
	p := r.members.peers[in.Node]
	if in.Node != r.node && (p == nil || in.Boot > p.Boot) {
		p = r.addPeer(in.Node, nodeEntry{Address: in.Address, Boot: in.Boot}, now)
	}
	if p == nil || p.Boot != in.Boot || in.Sequence <= p.sequence {
		return
	}
	p.sequence, p.heard, p.stopping = in.Sequence, now, in.Stopping
	if in.Whole {
		r.table.SetPeer(in.Node, in.Loads)
	} else {
		r.table.UpdatePeer(in.Node, in.Loads)
	}
	for _, s := range in.Spent {
		if o := r.organisation(contract.OrganisationName(s.Organisation)); o != nil && o.Limit.PerSecond > 0 {
			r.hearSpent(r.quota(o, now), in, s, now)
		}
	}
	for _, digest := range in.Struck {
		r.strikes.Add(digest, now)
	}
	r.giver.placer.Observe(in.Node, in.Asked, now)
	r.takeAccounts(in, now)
}

// hearSpent counts what a peer has admitted. Of the first reports that two nodes hear of each other, the younger one's
// counts from its start, and the younger one takes over the older one's view.
func (r *routing) hearSpent(q *contract.Quota, in link.Report, s link.Spent, now clock.Instant) {
	if q.Knows(in.Node, in.Boot) || in.Boot >= r.boot {
		q.Peer(in.Node, in.Boot, s.Total, now)
		return
	}
	q.Meet(in.Node, in.Boot, s.Total, s.Level, s.Heard, now)
}
