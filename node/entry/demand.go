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
	for artifact, a := range demand {
		out = append(out, *a)
		if a.Waiting == 0 {
			delete(demand, artifact)
			continue
		}
		a.Arrivals, a.Urgent, a.Work = 0, 0, 0
	}
	return out
}

// countTimely counts, for each artifact, the waiting calls that can still meet their latency objective, and sets the
// shortest time that one of them has left.
func (r *routing) countTimely(demand map[machine.Artifact]*machine.DemandReport, now clock.Instant) {
	for _, a := range demand {
		a.Timely, a.Due = 0, 0
	}
	for _, c := range r.waiting {
		a := demand[c.artifact]
		left := c.request.Arrived.Add(c.admitted.Route.Objective - firstTokenTime).Sub(now)
		if !c.waiting || a == nil || left <= 0 {
			continue
		}
		if a.Timely == 0 || left < a.Due {
			a.Due = left
		}
		a.Timely++
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
