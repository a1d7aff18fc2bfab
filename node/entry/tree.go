package entry

import (
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/link"
	"github.com/mangopass/mangopass/fleet/zone"
)

// Reports travel along a tree. Each zone has a relay, the VM that has run longest of those that can be reached; the
// other VMs of the zone report to it, and the relays of all zones report to each other. What a VM learns from one side
// it passes on to the others: from below to the other relays and the VMs below, from other relays to the VMs below only.
const (
	// avoidTime is how long a relay that can't be reached, or no longer relays, is passed over. The entry of a VM that is
	// gone stays in the store for three seconds.
	avoidTime = 5 * time.Second
	// maxDeliveryFailures is the number of reports in a row without an answer after which a relay is passed over.
	maxDeliveryFailures = 2
	// treePeriod is the shortest time between two reviews of the tree.
	treePeriod = 20 * time.Millisecond
	// freshTime is how long after its start another VM's process may not have heard yet what was admitted before.
	freshTime = 2 * time.Second
	// suspendedGap is the time between two reviews from which on this process counts as having been suspended. Reports
	// that came meanwhile are still to be read, so silence before says nothing of the relays.
	suspendedGap = 300 * time.Millisecond
	// fanOutUnit sets how the report periods grow with the number of neighbours of a relay, so that what it sends in a
	// second grows more slowly than their number.
	fanOutUnit = 8
)

// reviewTree chooses the relays anew and gives each peer its role.
func (r *routing) reviewTree(now clock.Instant) {
	m := &r.members
	if now.Sub(m.reviewedAt) < treePeriod {
		return
	}
	if now.Sub(m.reviewedAt) > suspendedGap {
		m.resumedAt = now
	}
	m.reviewedAt = now
	m.relays = r.chooseRelays(now)
	m.relay = m.relays[r.zone].Name
	m.fanOut = m.countFanOut(r.zone)
	for name, p := range m.peers {
		if p.role == link.Parent || p.role == link.MeshPeer {
			r.checkRelay(p, now)
		}
		r.setRole(name, p, r.roleOf(name, p, now), now)
	}
	m.planner = r.choosePlanner(now)
}

// chooseRelays returns the relay of each zone as this VM sees it. A VM that is stopping relays only if there is no other
// one in its zone.
func (r *routing) chooseRelays(now clock.Instant) zone.Relays {
	self := zone.Member{Name: r.node, Zone: r.zone, Boot: r.boot}
	relays := make(zone.Relays)
	if !r.stopping {
		relays.Offer(self)
	}
	for name, p := range r.members.peers {
		if !p.stopping && !now.Before(p.avoidUntil) && (p.registered || r.members.heard(p, now)) {
			relays.Offer(zone.Member{Name: name, Zone: p.Zone, Boot: p.Boot})
		}
	}
	if _, ok := relays[r.zone]; !ok {
		relays.Offer(self)
	}
	return relays
}

// checkRelay passes over a relay that this VM reports to but does not hear.
func (r *routing) checkRelay(p *peer, now clock.Instant) {
	if since := max(p.heardAt, p.roleSince, r.members.resumedAt); now.Sub(since) > r.members.silenceLimit() {
		p.avoidUntil = now.Add(avoidTime)
	}
}

// roleOf returns how this VM sees a peer.
func (r *routing) roleOf(name string, p *peer, now clock.Instant) link.Role {
	m := &r.members
	reports := p.sequence > 0 && now.Sub(p.heardAt) <= m.silenceLimit()
	switch {
	case name == m.relay:
		return link.Parent
	case reports && p.seesUsAs == link.Parent:
		return link.Child
	case m.relay != r.node || p.Zone == r.zone:
		return link.Unrelated
	case m.relays[p.Zone].Name == name || reports && p.seesUsAs == link.MeshPeer:
		return link.MeshPeer
	}
	return link.Unrelated
}

// setRole changes a peer's role. What was known from the peer in the former role is dropped, and both sides start anew
// with complete reports.
func (r *routing) setRole(name string, p *peer, role link.Role, now clock.Instant) {
	if p.role == role {
		return
	}
	r.log.Info("report tree", "peer", name, "role", role.String(), "before", p.role.String(), "zone", p.Zone,
		"relay", r.members.relay)
	r.demand.Remove(name)
	r.shares.RemovePeer(name)
	r.leader.scheduler.RemoveNode(name, now)
	r.members.series++
	p.role, p.roleSince, p.series, p.knownVersion = role, now, r.members.series, 0
	p.needsAll, p.complete, p.failures = true, false, 0
	clear(p.reportedUsage)
	clear(p.reportedLimits)
	p.membersSent, p.fed, p.feedSent = 0, link.Position{}, link.Position{}
	p.unreportedLeaving = nil
	p.crashUpdates, p.crashUpdatesSent = crashUpdates{}, crashUpdates{}
	if role == link.Unrelated {
		r.table.SetPeer(name, nil)
	} else {
		r.table.Place(name, role == link.Child)
	}
	for q := range r.sharedQuotas() {
		if role == link.Unrelated {
			q.Disconnect(name)
		} else {
			r.connectQuota(q, name, p, now)
		}
	}
}

// connectQuota starts the running total of an organisation for a neighbour.
func (r *routing) connectQuota(q *contract.Quota, name string, p *peer, now clock.Instant) {
	q.Connect(name, contract.Neighbour{
		Zone: string(p.Zone), Below: p.role == link.Child, Fresh: now.Sub(p.addedAt) < freshTime,
	}, string(r.zone))
}

// isRelay reports whether this VM relays for its zone.
func (r *routing) isRelay() bool { return r.members.relay == r.node }

// choosePlanner returns the name of the VM that decides on placement: of the relays, the one that has run longest. Two
// planners at the same time do no harm, since the leaders check each load request. A VM that isn't a relay learns the
// planner's name from its relay.
func (r *routing) choosePlanner(now clock.Instant) string {
	m := &r.members
	if !r.isRelay() {
		if relay := m.peers[m.relay]; relay != nil {
			return relay.planner
		}
		return ""
	}
	best := zone.Member{Name: r.node, Zone: r.zone, Boot: r.boot}
	for name, p := range m.peers {
		if p.role != link.MeshPeer || p.stopping || p.sequence == 0 || now.Sub(p.heardAt) > m.silenceLimit() {
			continue
		}
		if candidate := (zone.Member{Name: name, Zone: p.Zone, Boot: p.Boot}); candidate.Before(best) {
			best = candidate
		}
	}
	if best.Name != m.planner {
		r.log.Info("planner", "chosen", best.Name, "before", m.planner)
	}
	return best.Name
}

// towardsPlanner returns the peer to which this VM reports demand; nil if it is the planner itself.
func (r *routing) towardsPlanner() *peer {
	if r.isRelay() {
		return r.members.peers[r.members.planner]
	}
	return r.members.peers[r.members.relay]
}

// countFanOut returns the largest number of neighbours that a relay can have: the VMs of the largest zone and the other
// relays.
func (m *members) countFanOut(own zone.ID) int {
	sizes := map[zone.ID]int{own: 1}
	largest := 0
	for _, p := range m.peers {
		sizes[p.Zone]++
	}
	for _, n := range sizes {
		largest = max(largest, n)
	}
	return largest - 1 + len(sizes) - 1
}

// periodFactor returns the factor by which the periods between reports grow with the number of neighbours of a relay.
func (m *members) periodFactor() time.Duration { return time.Duration(max(1, m.fanOut/fanOutUnit)) }
