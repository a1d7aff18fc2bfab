package entry

import (
	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/machine"
)

// takeDemand returns the demand since the last call and resets the counts, except that of waiting calls.
func (r *routing) takeDemand(
	demand map[machine.Artifact]*machine.DemandReport, now clock.Instant,
) []machine.DemandReport {
	r.countTimely(demand, now)
	out := make([]machine.DemandReport, 0, len(demand))
	for artifact, d := range demand {
		out = append(out, *d)
		if d.Waiting == 0 {
			delete(demand, artifact)
			continue
		}
		d.Arrivals, d.Urgent, d.Work = 0, 0, 0
	}
	return out
}

// countTimely counts, for each artifact, the waiting calls that can still meet their latency objective, and sets the
// shortest time that one of them has left.
func (r *routing) countTimely(demand map[machine.Artifact]*machine.DemandReport, now clock.Instant) {
	for _, d := range demand {
		d.Timely, d.Due = 0, 0
	}
	for _, c := range r.waiting {
		d := demand[c.artifact]
		left := c.request.Arrived.Add(c.admitted.Route.Objective - firstTokenTime).Sub(now)
		if !c.waiting || d == nil || left <= 0 {
			continue
		}
		if d.Timely == 0 || left < d.Due {
			d.Due = left
		}
		d.Timely++
	}
}

// updateDemand applies a change to this VM's own demand and to the demand that is still to be reported to each peer.
func (r *routing) updateDemand(a machine.Artifact, change func(*machine.DemandReport)) {
	change(demandFor(r.demand, a))
	for _, p := range r.members.peers {
		change(demandFor(p.demand, a))
	}
}

// demandFor returns the demand report of an artifact and adds it if it is missing.
func demandFor(demand map[machine.Artifact]*machine.DemandReport, a machine.Artifact) *machine.DemandReport {
	report := demand[a]
	if report == nil {
		report = &machine.DemandReport{Artifact: a}
		demand[a] = report
	}
	return report
}
