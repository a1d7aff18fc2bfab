package entry

import (
	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/admission"
	"github.com/mangopass/mangopass/fleet/link"
	"github.com/mangopass/mangopass/fleet/memory"
)

// waitedLongEnough reports whether a call may wait no longer. In the later part of a planned stop only those wait whose answers
// have begun.
func (r *routing) waitedLongEnough(c *call, now clock.Instant) bool {
	return !now.Before(c.waitUntil) || r.stopsSoon(now) && !c.streaming
}

// waitForReplica queues a call for which there is no replica, or one at its rate limit only, or refuses it.
func (r *routing) waitForReplica(c *call, choice link.Choice, now clock.Instant) {
	until, reason := c.waitUntil, admission.NotLoaded
	if !choice.Limited {
		until, reason = r.replicaWait(c, now)
	}
	if !now.Before(until) || r.stopsSoon(now) && !c.streaming {
		r.refuseReplica(c, reason, now)
		return
	}
	r.wait(c, choice, until, now)
}

// pick chooses a runner for a call. A stream whose silent runner was given up goes back to a runner that it has left, if it finds
// no other one and that one is not ejected: it may have been silent only for a while.
func (r *routing) pick(c *call, now clock.Instant) (link.Choice, bool) {
	requirements := r.requirements(c, now)
	choice, ok := r.table.Pick(r.fleet, requirements, now)
	if ok || !c.streaming || !c.givenUp {
		return choice, ok
	}
	requirements.Exclude = nil
	if again, found := r.table.Offer(r.fleet, requirements, now); !found || r.table.Link(again.Runner).Ejected(now) {
		return choice, false
	}
	return r.table.Pick(r.fleet, requirements, now)
}

// wait queues a call until a replica is ready or a runner at its rate limit takes one more request, or until it may wait
// no longer. The planner gets a report at once, since it decides which runner loads the model.
func (r *routing) wait(c *call, choice link.Choice, until, now clock.Instant) {
	if c.heldUntil = 0; choice.Limited {
		c.heldUntil = now.Add(choice.Retry)
	}
	if c.waiting {
		return
	}
	c.waiting = true
	r.countMemoryWait(choice)
	r.waiting = append(r.waiting, c)
	if p := r.towardsPlanner(); p != nil && c.artifact.Model != "" {
		p.urgent = true
	}
	r.log.Info("waiting", "request", c.request.ID, "model", c.artifact.Model, "adapter", c.artifact.Adapter,
		"patience_ms", until.Sub(now).Milliseconds(), "limited", choice.Limited, "memory", choice.Memory == memory.Full, "planner", r.members.planner)
}

func (r *routing) stopWaiting(c *call) {
	c.waiting = false
	r.table.EndClaim(&c.claim)
}

// dispatchWaiting dispatches each waiting call again.
func (r *routing) dispatchWaiting(now clock.Instant) {
	if len(r.waiting) == 0 {
		return
	}
	for _, c := range r.waiting {
		if c.waiting {
			r.dispatch(c, now)
		}
	}
	kept := r.waiting[:0]
	for _, c := range r.waiting {
		if c.waiting {
			kept = append(kept, c)
		}
	}
	clear(r.waiting[len(kept):])
	r.waiting = kept
}
