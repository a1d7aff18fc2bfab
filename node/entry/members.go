package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/duty/ring"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/link"
	"github.com/mangopass/mangopass/fleet/machine"
)

// Keys of mangopass's own in the platform's store.
const (
	prefixOwn   = "mangopass/"
	prefixNodes = prefixOwn + "nodes/" // one leased key for each entry VM
	keyHolder   = prefixOwn + "holder" // leased: the order giver
	keyTenure   = prefixOwn + "tenure" // not leased: who held the last term
)

// Figures of the exchange between entry VMs.
const (
	// reportPeriod is the usual time between two reports to a peer, urgentPeriod the shortest.
	reportPeriod = 60 * time.Millisecond
	urgentPeriod = 8 * time.Millisecond
	// silentAfter is the time without a report after which a peer counts as cut off.
	silentAfter = 700 * time.Millisecond
	// forgetAfter is the time without a report after which a peer without an entry is forgotten.
	forgetAfter = 2 * time.Second
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
	sequence uint64
	sentAt   clock.Instant
	busy     bool // a report is on its way
	fence    int64
	version  uint64 // of the order giver's account that it has
}

// members is what this VM knows of the other entry VMs.
type members struct {
	peers    map[string]*peer
	sequence uint64
	urgent   bool   // a report is due before its period
	giver    string // the node that holds the term; empty: unknown
	fence    int64  // of the newest term seen
	connect  func(name string, p *peer)
}

// count returns the number of entry VMs.
func (m *members) count() int { return 1 + len(m.peers) }

// share returns the part of the entry VMs that this one hears, itself included.
func (m *members) share(now clock.Instant) float64 {
	heard := 1
	for _, p := range m.peers {
		if now.Sub(p.heard) < silentAfter {
			heard++
		}
	}
	return float64(heard) / float64(m.count())
}

// takeOwn applies changes of mangopass's own keys.
func (r *routing) takeOwn(changes []ownChange, complete bool, now clock.Instant) {
	if complete {
		for _, p := range r.members.peers {
			p.listed = false
		}
		r.giver.holder = ownChange{gone: true}
		r.giver.listed = true
	}
	for _, c := range changes {
		switch {
		case c.key == keyHolder:
			r.takeHolder(c, now)
		case c.key == keyTenure:
			r.giver.tenureKey = c
		case len(c.key) > len(prefixNodes) && c.key[:len(prefixNodes)] == prefixNodes:
			r.takeNode(c.key[len(prefixNodes):], c, now)
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
	r.dropPeer(name, now)
	p = &peer{nodeEntry: e, outbox: ring.New[link.Report]("report", 1), listed: true, heard: now}
	r.members.peers[name] = p
	r.members.connect(name, p)
	r.log.Info("peer joined", "peer", name, "address", e.Address, "peers", len(r.members.peers))
}

func (r *routing) dropPeer(name string, now clock.Instant) {
	p := r.members.peers[name]
	if p == nil {
		return
	}
	p.stop()
	delete(r.members.peers, name)
	r.table.SetPeer(name, nil)
	r.giver.placer.Forget(name, now)
	r.log.Info("peer gone", "peer", name, "silent_ms", now.Sub(p.heard).Milliseconds(), "peers", len(r.members.peers))
}

// report sends the reports that are due.
func (r *routing) report(now clock.Instant) {
	share := r.members.share(now)
	for _, q := range r.quotas {
		q.SetShare(share, now)
	}
	if r.giver.tenure.Holds(now) {
		r.giver.placer.Observe(r.node, r.takeAsked(), now)
	}
	var loads []link.Load
	for name, p := range r.members.peers {
		if !p.listed && now.Sub(p.heard) > forgetAfter {
			r.dropPeer(name, now)
			continue
		}
		period := reportPeriod
		if r.members.urgent && name == r.members.giver || r.giver.news(p, now) {
			period = urgentPeriod
		}
		if p.busy || now.Sub(p.sentAt) < period {
			continue
		}
		if loads == nil {
			loads = r.table.Own()
		}
		r.reportTo(name, p, loads, now)
	}
}

func (r *routing) reportTo(name string, p *peer, loads []link.Load, now clock.Instant) {
	r.members.sequence++
	report := link.Report{
		Node: r.node, Boot: r.boot, Sequence: r.members.sequence, Stopping: r.stopping, Loads: loads, Struck: r.struck,
	}
	for organisation, q := range r.quotas {
		report.Spent = append(report.Spent, link.Spent{Organisation: organisation, Total: q.Own()})
	}
	if name == r.members.giver {
		report.Asked = r.takeAsked()
		r.members.urgent = false
	}
	r.giver.addViews(&report, p, now)
	if p.outbox.TryPush(report) {
		p.busy, p.sentAt = true, now
	}
}

// takeAsked returns the demand since the last call and starts anew.
func (r *routing) takeAsked() []machine.Asked {
	out := make([]machine.Asked, 0, len(r.asked))
	for artifact, a := range r.asked {
		out = append(out, *a)
		if a.Waiting == 0 {
			delete(r.asked, artifact)
			continue
		}
		a.Arrivals, a.Urgent, a.Work = 0, 0, 0
	}
	return out
}

// apply notes whether a peer has got a report.
func (m delivered) apply(r *routing, _ clock.Instant) {
	p := r.members.peers[m.node]
	if p == nil || p.Boot != m.boot {
		return
	}
	p.busy = false
	if m.ok {
		p.fence, p.version = m.fence, m.version
	}
}

// apply takes over a peer's report.
func (m peerReported) apply(r *routing, now clock.Instant) {
	in := m.report
	p := r.members.peers[in.Node]
	if p == nil || p.Boot != in.Boot || in.Sequence <= p.sequence {
		return
	}
	p.sequence, p.heard = in.Sequence, now
	if in.Loads == nil {
		in.Loads = []link.Load{}
	}
	r.table.SetPeer(in.Node, in.Loads)
	for _, s := range in.Spent {
		if o := r.organisation(contract.OrganisationName(s.Organisation)); o != nil && o.Limit.PerSecond > 0 {
			r.quota(o, now).Peer(in.Node, in.Boot, s.Total, now)
		}
	}
	for _, digest := range in.Struck {
		r.strikes.Add(digest, now)
	}
	if r.giver.tenure.Holds(now) {
		r.giver.placer.Observe(in.Node, in.Asked, now)
		return
	}
	if in.Fence != 0 && in.Fence >= r.members.fence {
		r.members.giver, r.members.fence = in.Node, in.Fence
		for _, v := range in.Views {
			r.fleet.ApplyView(v, now)
		}
	}
}
