package entry

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/link"
	"github.com/mangopass/mangopass/fleet/machine"
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
	// wholePeriod is the time after which all loads and totals are sent to a neighbour again, so that a change which it
	// missed stays unknown no longer than that.
	wholePeriod = 5 * time.Second
	// minWholePeriod is the shortest time between two complete reports to a neighbour that asks for them.
	minWholePeriod = 200 * time.Millisecond
)

// sendReports sends the reports that are due.
func (r *routing) sendReports(now clock.Instant) {
	r.reviewTree(now)
	r.listMembers()
	share := r.members.heardShare(now)
	for _, q := range r.quotas {
		q.SetShare(share, now)
	}
	r.table.Limits.SetMembers(r.members.count(), share, now)
	r.table.Limits.NameMembers(r.node, maps.Keys(r.members.peers), now)
	if r.towardsPlanner() == nil {
		r.leader.scheduler.Observe(r.node, r.demand.Take(r.waitingRequests(), now), now)
	}
	changes := r.table.TakeChanges()
	for name, p := range r.members.peers {
		if !p.registered && !r.members.heard(p, now) && now.Sub(p.heardAt) > forgetAfter {
			r.removePeer(name, now)
			continue
		}
		p.noteChanges(changes)
		if !p.reportPending && now.Sub(p.sentAt) >= r.reportPeriod(p) {
			r.sendReport(name, p, now)
		}
	}
}

// noteChanges adds changed loads to those that are to be reported to the peer.
func (p *peer) noteChanges(c link.Changes) {
	switch p.role {
	case link.Parent, link.MeshPeer:
		p.changed.Below = append(p.changed.Below, c.Below...)
	case link.Child:
		p.changed.Runners = append(p.changed.Runners, c.Runners...)
	}
}

// never is a period that does not end.
const never = time.Duration(math.MaxInt64)

// reportPeriod returns the time between two reports to a peer.
func (r *routing) reportPeriod(p *peer) time.Duration {
	m := &r.members
	factor := m.periodFactor()
	if p.role == link.Parent {
		factor = 1 // a VM below a relay has only that neighbour
	}
	switch {
	case p.urgent:
		return urgentPeriod
	case p.role == link.Unrelated:
		return never
	case p.knownVersion < r.leader.scheduler.VersionFor(p.receiver("")):
		return urgentPeriod * factor
	}
	return reportPeriod * factor
}

// receiver returns the peer as a receiver of views.
func (p *peer) receiver(name string) machine.Receiver {
	return machine.Receiver{Name: name, Below: p.role == link.Child}
}

// sendReport sends a report to a peer: all that is due to a neighbour, only load requests to another one.
func (r *routing) sendReport(name string, p *peer, now clock.Instant) {
	r.members.sequence++
	report := link.Report{
		Node: r.node, Address: r.address, Zone: r.zone, Boot: r.boot, Sequence: r.members.sequence, Receiver: p.role,
		Relay: r.members.relay, Planner: r.members.planner, Stopping: r.stopping, Version: p.knownVersion,
	}
	if p.role != link.Unrelated {
		r.addNeighbourState(&report, name, p, now)
	}
	report.Wishes, p.loadRequests = p.loadRequests, nil
	if p.needsAll = !p.outbox.TryPush(report); !p.needsAll {
		p.reportPending, p.urgent, p.sentAt = true, false, now
	} else {
		p.crashUpdates.add(p.crashUpdatesSent)
	}
}

// addNeighbourState adds what a neighbour does not know yet from elsewhere.
func (r *routing) addNeighbourState(report *link.Report, name string, p *peer, now clock.Instant) {
	if p.needsAll = p.needsAll || now.Sub(p.allSentAt) > wholePeriod; p.needsAll {
		p.allSentAt = now
	}
	report.Whole, report.Incomplete = p.needsAll, !p.complete
	known := r.changes.Position()
	report.Series, report.StoreEra, report.StoreRevision = p.series, known.Era, known.Revision
	report.Manifest = max(r.manifestVersion(), r.members.newestManifest)
	switch p.role {
	case link.Parent:
		r.members.noteSent(report.Sequence, now)
	case link.Child:
		report.Feed = r.feedFor(p)
	}
	report.Loads, report.Spent = r.loadsFor(name, p), r.quotaUsageFor(name, p, now)
	report.Limits = r.limitUsageFor(name, p, now)
	report.Leaving = r.leavingFor(p)
	report.Bookings = p.takeBookings(now)
	report.Pace = r.paceFor(name, p, now)
	report.Shares = r.sharesFor(name, p, now)
	r.addCrashUpdates(report, p, now)
	if p == r.towardsPlanner() {
		report.Asked = r.demand.Take(r.waitingRequests(), now)
	}
	if p.needsAll || p.membersSent != r.members.version {
		p.membersSent, report.Members = r.members.version, r.members.listBelow
		if p.role == link.Child {
			report.Members = r.members.listAll
		}
	}
	r.addLeaderState(report, name, p, now)
}

// loadsFor returns the loads to report to a neighbour: all of them, or those that changed. A VM below gets the sum of
// each runner without its own part, a relay the loads of this VM and those below.
func (r *routing) loadsFor(name string, p *peer) []link.Load {
	var loads []link.Load
	switch {
	case p.needsAll && p.role == link.Child:
		loads = r.table.Others(name)
	case p.needsAll:
		loads = r.table.Below()
	case p.role == link.Child:
		slices.Sort(p.changed.Runners)
		for _, id := range slices.Compact(p.changed.Runners) {
			loads = append(loads, r.table.OthersAt(name, id))
		}
	default:
		sent := make(map[machine.Place]bool, len(p.changed.Below))
		for _, place := range p.changed.Below {
			if !sent[place] {
				sent[place] = true
				loads = append(loads, r.table.BelowAt(place))
			}
		}
	}
	p.changed.Below, p.changed.Runners = p.changed.Below[:0], p.changed.Runners[:0]
	return loads
}

// quotaUsageFor returns the running totals that changed since they were last reported to a neighbour.
func (r *routing) quotaUsageFor(name string, p *peer, now clock.Instant) []link.QuotaUsage {
	var usage []link.QuotaUsage
	for organisation, q := range r.quotas {
		total := q.Offer(name)
		if reported, ok := p.reportedUsage[organisation]; !p.needsAll && ok && reported == total {
			continue
		}
		p.reportedUsage[organisation] = total
		usage = append(usage, link.QuotaUsage{
			Organisation: organisation, Total: total, Level: q.Level(now), Heard: q.PeerTotal(name),
		})
	}
	return usage
}

// apply records whether a peer has received a report.
func (m reportDelivered) apply(r *routing, now clock.Instant) {
	p := r.members.peers[m.node]
	if p == nil || p.Boot != m.boot {
		return
	}
	p.reportPending = false
	if !m.ok {
		p.needsAll, p.fed = true, link.Position{} // whether the peer has applied the report is unknown
		p.crashUpdates.add(p.crashUpdatesSent)
		if p.failures++; p.failures >= maxDeliveryFailures {
			p.avoidUntil = now.Add(avoidTime)
		}
		return
	}
	p.failures = 0
	if m.role == p.role && m.series == p.series {
		p.knownVersion, p.fed = m.version, p.feedSent
		for organisation := range p.reportedUsage {
			if q := r.quotas[organisation]; q != nil {
				q.Confirm(m.node)
			}
		}
		for id := range p.reportedLimits {
			if limit := r.table.Limits.Get(id); limit != nil {
				limit.Quota.Confirm(m.node)
			}
		}
	}
}

// apply applies a peer's report. A peer that has just started can become known by its report, before its entry in the
// store is read.
func (m peerReported) apply(r *routing, now clock.Instant) {
	in := m.report
	p := r.members.peers[in.Node]
	if in.Node != r.node && (p == nil || in.Boot > p.Boot) {
		p = r.addPeer(in.Node, nodeEntry{Address: in.Address, Zone: in.Zone, Boot: in.Boot}, now)
	}
	if p == nil || p.Boot != in.Boot || in.Sequence <= p.sequence {
		return
	}
	p.sequence, p.heardAt, p.stopping = in.Sequence, now, in.Stopping
	p.seesUsAs, p.planner = in.Receiver, in.Planner
	r.members.newestManifest = max(r.members.newestManifest, in.Manifest)
	p.storePosition = link.Position{Era: in.StoreEra, Revision: in.StoreRevision}
	if in.Relay != in.Node && p.Zone != r.zone {
		p.avoidUntil = now.Add(avoidTime) // no longer the relay of its zone
	}
	r.setRole(in.Node, p, r.roleOf(in.Node, p, now), now)
	if rolesMatch(in.Receiver, p.role) {
		r.applyNeighbourState(in, p, now)
	} else if in.Receiver == link.MeshPeer && !r.isRelay() {
		p.urgent = true // tells the sender that this VM does not relay
	}
	r.applyLoadRequests(in.Wishes, now)
}

// rolesMatch reports whether two VMs see each other in corresponding roles.
func rolesMatch(theirs, ours link.Role) bool {
	switch ours {
	case link.Parent:
		return theirs == link.Child
	case link.Child:
		return theirs == link.Parent
	case link.MeshPeer:
		return theirs == link.MeshPeer
	}
	return false
}

// applyNeighbourState applies what a neighbour reports.
func (r *routing) applyNeighbourState(in link.Report, p *peer, now clock.Instant) {
	if in.Incomplete && now.Sub(p.allSentAt) > minWholePeriod {
		p.needsAll, p.knownVersion = true, 0
	}
	switch {
	case in.Whole:
		p.complete = true
		r.table.SetPeer(in.Node, nonNil(in.Loads))
	case p.complete: // changes of what has not been stated yet would give wrong sums
		r.table.UpdatePeer(in.Node, in.Loads)
	}
	r.applyMembers(p, in.Members, now)
	for _, usage := range in.Spent {
		if o := r.organisation(usage.Organisation); o != nil && o.Limit.PerSecond > 0 && usage.Valid() {
			r.applyQuotaUsage(r.quota(o, now), in, usage, now)
		}
	}
	r.applyLimitUsage(in, now)
	r.applyLeaving(in, now)
	r.applyBookings(in, now)
	r.table.Pace.Apply(in.Node, p.role == link.Child, in.Pace, now)
	r.shares.Apply(in.Node, p.role == link.Child, in.Shares, now)
	r.applyCrashUpdates(in, now)
	r.applyDemand(in, p, now)
	r.applyFeed(in.Feed, now)
	r.applyLeaderState(in, p, now)
}

// nonNil returns an empty slice instead of nil: SetPeer removes the peer if there are no loads at all.
func nonNil(loads []link.Load) []link.Load {
	if loads == nil {
		return []link.Load{}
	}
	return loads
}

// applyDemand applies the demand that a neighbour reports. That of a VM below is passed on towards the planner, at once
// if requests wait.
func (r *routing) applyDemand(in link.Report, p *peer, now clock.Instant) {
	if p.role != link.Child {
		r.leader.scheduler.Observe(in.Node, in.Asked, now)
		return
	}
	r.demand.Merge(in.Node, in.Asked, now)
	for _, d := range in.Asked {
		if next := r.towardsPlanner(); next != nil && d.Waiting > 0 && d.Arrivals > 0 {
			next.urgent = true
			return
		}
	}
}

// passOn calls add for the neighbours that cannot know from elsewhere what source has reported; an empty source is this
// VM.
func (r *routing) passOn(source string, add func(p *peer)) {
	from := r.members.peers[source]
	fromBelow := from == nil || from.role == link.Child
	for name, p := range r.members.peers {
		if name != source && (p.role == link.Child || p.role != link.Unrelated && fromBelow) {
			add(p)
		}
	}
}

// applyQuotaUsage counts what a neighbour reports as admitted. When two VMs first hear of each other, the older one
// counts the younger one's total from its start, and the younger one adopts the older one's level. A relay always counts
// the totals of the VMs below it.
func (r *routing) applyQuotaUsage(q *contract.Quota, in link.Report, usage link.QuotaUsage, now clock.Instant) {
	if q.KnowsPeer(in.Node, in.Series) || in.Boot >= r.boot || in.Receiver == link.Parent {
		q.ApplyPeerUsage(in.Node, in.Series, usage.Total, now)
		return
	}
	q.AdoptPeerLevel(in.Node, in.Series, usage.Total, usage.Level, usage.Heard, now)
}
