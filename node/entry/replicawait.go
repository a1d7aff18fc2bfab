package entry

import (
	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/admission"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/link"
	"github.com/mangopass/mangopass/fleet/machine"
)

// outlooks holds when models that calls wait for can be expected, as of one instant.
type outlooks struct {
	at      clock.Instant
	byModel map[machine.Artifact]machine.Outlook
}

// outlook returns when a call's model can be expected at a runner.
func (r *routing) outlook(c *call, now clock.Instant) machine.Outlook {
	if r.outlooks.at != now {
		r.outlooks.at = now
		clear(r.outlooks.byModel)
	}
	a := c.artifact.Base()
	o, known := r.outlooks.byModel[a]
	if !known {
		if model, ok := r.model(c); ok {
			o = r.fleet.Outlook(a.Service, model, now)
		}
		r.outlooks.byModel[a] = o
	}
	return o
}

// patience returns how long a call can wait.
func (c *call) patience() admission.Patience {
	return admission.Patience{
		Arrived: c.request.Arrived, Deadline: c.deadline, Answer: link.FirstTokenTime + link.PrefillTime(c.request.PromptTokens),
	}
}

// replicaWait returns until when a call waits for a replica, and why it is refused then. Calls that have been sent, or go on
// with a stream, have their own limit.
func (r *routing) replicaWait(c *call, now clock.Instant) (clock.Instant, admission.Reason) {
	if c.runs > 0 || c.pinned || c.artifact.Model == "" {
		return c.waitUntil, admission.NotLoaded
	}
	return admission.ReplicaWait(c.patience(), r.outlook(c, now), now)
}

// refuseReplica refuses a call that gets no replica in the time that it can wait.
func (r *routing) refuseReplica(c *call, reason admission.Reason, now clock.Instant) {
	const detail = "no runner holds the model"
	if c.runs > 0 {
		r.abandon(c, cutNoReplica, contract.Failed(contract.NoReplica, detail), now)
		return
	}
	retryAfter := admission.ReplicaRetry(r.outlook(c, now), c.deadline, r.rand.Float64(), now)
	refusal := contract.Refuse(contract.NoReplica, retryAfter, detail)
	refusal.DecidedBy = "replica: " + string(reason)
	r.metrics.replicaRefusals.WithLabelValues(string(reason)).Inc()
	r.refuse(c, refusal, now)
}
