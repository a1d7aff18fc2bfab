package entry

import (
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/link"
)

// Timing of the reports between entry VMs.
const (
	// reportPeriod is the usual time between two reports to a peer, urgentPeriod the shortest.
	reportPeriod = 60 * time.Millisecond
	urgentPeriod = 8 * time.Millisecond
	// minSilenceLimit is the shortest time without a report after which a peer counts as unreachable. It applies
	// unless minMissedReports report periods are longer.
	minSilenceLimit = 700 * time.Millisecond
	// minMissedReports is the smallest number of missed reports after which a peer counts as unreachable.
	minMissedReports = 4
	// forgetAfter is the time without a report after which a peer without an entry in the store is removed.
	forgetAfter = 2 * time.Second
	// allLoadsPeriod is the time after which all loads are sent to a peer again, so that a change which it missed stays
	// unknown no longer than that.
	allLoadsPeriod = 5 * time.Second
	// periodScaleVMs sets how the report periods grow with the number n of entry VMs: by the factor n/periodScaleVMs,
	// rounded down and at least 1. So what a VM sends in a second stays about the same for large n.
	periodScaleVMs = 8
)

// sendReports sends the reports that are due.
func (r *routing) sendReports(now clock.Instant) {
	share := r.members.heardShare(now)
	for _, q := range r.quotas {
		q.SetShare(share, now)
	}
	r.leader.scheduler.Observe(r.node, r.takeDemand(r.demand, now), now)
	changed := r.table.TakeChanged()
	for name, p := range r.members.peers {
		for _, place := range changed {
			p.changedLoads[place] = true
		}
		if !p.registered && now.Sub(p.heardAt) > forgetAfter {
			r.removePeer(name, now)
			continue
		}
		period := reportPeriod * r.members.periodFactor()
		switch {
		case p.urgent:
			period = urgentPeriod
		case p.knownVersion < r.leader.scheduler.Version():
			period = urgentPeriod * r.members.periodFactor()
		}
		if p.reportPending || now.Sub(p.sentAt) < period {
			continue
		}
		r.sendReport(name, p, now)
	}
}

func (r *routing) sendReport(name string, p *peer, now clock.Instant) {
	r.members.sequence++
	if p.needsAllLoads = p.needsAllLoads || now.Sub(p.allLoadsAt) > allLoadsPeriod; p.needsAllLoads {
		p.allLoadsAt = now
	}
	report := link.Report{
		Node: r.node, Address: r.address, Boot: r.boot, Sequence: r.members.sequence, Stopping: r.stopping,
		Struck: p.unreportedCrashes, Whole: p.needsAllLoads, Loads: r.loadsFor(p),
		Spent: r.quotaUsageFor(name, p, now), Asked: r.takeDemand(p.demand, now),
	}
	r.addLeaderState(&report, p, now)
	p.unreportedCrashes = nil
	if p.needsAllLoads = !p.outbox.TryPush(report); !p.needsAllLoads {
		p.reportPending, p.urgent, p.sentAt = true, false, now
	}
}

// loadsFor returns the loads to report to a peer: all of them, or those that changed.
func (r *routing) loadsFor(p *peer) []link.Load {
	var loads []link.Load
	if p.needsAllLoads {
		loads = r.table.Own()
	} else {
		for place := range p.changedLoads {
			loads = append(loads, r.table.OwnAt(place))
		}
	}
	clear(p.changedLoads)
	return loads
}

// quotaUsageFor returns what this VM has admitted for the organisations whose totals are not yet reported to a peer.
func (r *routing) quotaUsageFor(name string, p *peer, now clock.Instant) []link.QuotaUsage {
	var usage []link.QuotaUsage
	for organisation, q := range r.quotas {
		if reported, ok := p.reportedUsage[organisation]; !p.needsAllLoads && ok && reported == q.Own() {
			continue
		}
		p.reportedUsage[organisation] = q.Own()
		usage = append(usage, link.QuotaUsage{
			Organisation: organisation, Total: q.Own(), Level: q.Level(now), Heard: q.PeerTotal(name, p.Boot),
		})
	}
	return usage
}

// apply records whether a peer has received a report.
func (m reportDelivered) apply(r *routing, _ clock.Instant) {
	p := r.members.peers[m.node]
	if p == nil || p.Boot != m.boot {
		return
	}
	p.reportPending = false
	if m.ok {
		p.knownVersion = m.version
	} else {
		p.needsAllLoads = true // whether the peer has applied the report is unknown
	}
}

// apply applies a peer's report. A peer that has just started can become known by its report, before its entry in the
// store is read.
func (m peerReported) apply(r *routing, now clock.Instant) {
	in := m.report
	p := r.members.peers[in.Node]
	if in.Node != r.node && (p == nil || in.Boot > p.Boot) {
		p = r.addPeer(in.Node, nodeEntry{Address: in.Address, Boot: in.Boot}, now)
	}
	if p == nil || p.Boot != in.Boot || in.Sequence <= p.sequence {
		return
	}
	p.sequence, p.heardAt, p.stopping = in.Sequence, now, in.Stopping
	if in.Whole {
		r.table.SetPeer(in.Node, in.Loads)
	} else {
		r.table.UpdatePeer(in.Node, in.Loads)
	}
	for _, usage := range in.Spent {
		if o := r.organisation(contract.OrganisationName(usage.Organisation)); o != nil && o.Limit.PerSecond > 0 {
			r.applyQuotaUsage(r.quota(o, now), in, usage, now)
		}
	}
	for _, digest := range in.Struck {
		r.crashes.Add(digest, now)
	}
	r.leader.scheduler.Observe(in.Node, in.Asked, now)
	r.applyLeaderState(in, now)
}

// applyQuotaUsage counts what a peer has admitted. When two VMs first hear of each other, the older one counts the
// younger one's total from its start, and the younger one adopts the older one's level.
func (r *routing) applyQuotaUsage(q *contract.Quota, in link.Report, usage link.QuotaUsage, now clock.Instant) {
	if q.KnowsPeer(in.Node, in.Boot) || in.Boot >= r.boot {
		q.ApplyPeerUsage(in.Node, in.Boot, usage.Total, now)
		return
	}
	q.AdoptPeerLevel(in.Node, in.Boot, usage.Total, usage.Level, usage.Heard, now)
}
