package entry

import (
	"github.com/mangopass/mangopass/fleet/link"
	"github.com/mangopass/mangopass/fleet/machine"
)

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
