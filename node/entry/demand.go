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
			waiting = append(waiting, machine.WaitingRequest{
				Artifact: c.artifact, Due: c.request.Arrived.Add(c.admitted.Route.Objective - link.FirstTokenTime),
				Version: c.version, HeldUntil: c.heldUntil,
			})
		}
	}
	return waiting
}
