package entry

import (
	"time"

	"github.com/mangopass/mangopass/fleet/link"
	"github.com/mangopass/mangopass/fleet/machine"
)

// urgencyMargin is added to the time that a load from disk and the first token take. A request whose latency
// objective is shorter than the sum is urgent; the others can wait for a load.
const urgencyMargin = 300 * time.Millisecond

// recordDemand adds a new call to the demand for its model. Calls of plain services name no model and are not counted.
func (r *routing) recordDemand(c *call) {
	if c.artifact.Model == "" {
		return
	}
	model, known := r.model(c)
	d := machine.DemandReport{
		Artifact: c.artifact, Arrivals: 1, Work: r.demandedWork(c),
	}
	if known && c.admitted.Route.Objective < model.LoadDisk+link.FirstTokenTime+urgencyMargin {
		d.Urgent = 1
	}
	r.demand.Arrived(d)
}

// demandedWork returns the prefill time that a call adds to the demand for its model: the nominal one, or that at the model's
// measured pace if the model reads more slowly. A model that reads faster keeps the replicas of the nominal pace.
func (r *routing) demandedWork(c *call) time.Duration {
	return max(link.PrefillTime(c.request.PromptTokens), r.table.Pace.Work(c.artifact, c.request.PromptTokens))
}

// recordLateness adds a call to the demand for its model as late, if its runner took longer than the latency objective to the
// first event, or without one. The wait for a load before, and the rest of a stream that goes on, tell nothing of the load
// of the replicas. Nor does a call that an idle runner of the usual pace would answer late too.
func (r *routing) recordLateness(c *call, a attempt, took time.Duration) {
	if a.artifact.Model != "" && !c.pinned && took > c.admitted.Route.Objective &&
		r.idleTime(c, a) <= c.admitted.Route.Objective {
		r.demand.Arrived(machine.DemandReport{Artifact: a.artifact, Late: 1})
	}
}

// idleTime returns the expected time to the first event of a call at an idle runner of the usual pace.
func (r *routing) idleTime(c *call, a attempt) time.Duration {
	work := r.table.Pace.Work(a.artifact, c.request.PromptTokens) + r.table.Pace.FirstWork(a.artifact)
	return r.table.Pace.Reading("", a.artifact.Service, work)
}

// waitingRequests returns the calls that wait for a replica, or for one at its rate limit.
func (r *routing) waitingRequests() []machine.WaitingRequest {
	var waiting []machine.WaitingRequest
	for _, c := range r.waiting {
		if c.waiting && c.artifact.Model != "" {
			due := c.request.Arrived.Add(c.admitted.Route.Objective)
			if c.pinned {
				due = c.deadline
			}
			waiting = append(waiting, machine.WaitingRequest{
				Artifact: c.artifact, Version: c.version, Due: due.Add(-link.FirstTokenTime), HeldUntil: c.heldUntil,
			})
		}
	}
	return waiting
}
