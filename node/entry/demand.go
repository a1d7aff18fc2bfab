package entry

import (
	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/machine"
)

// takeAsked returns the demand since the last call and starts anew.
func (r *routing) takeAsked(asked map[machine.Artifact]*machine.Asked, now clock.Instant) []machine.Asked {
	r.judgeWaiting(asked, now)
	out := make([]machine.Asked, 0, len(asked))
	for artifact, a := range asked {
		out = append(out, *a)
		if a.Waiting == 0 {
			delete(asked, artifact)
			continue
		}
		a.Arrivals, a.Urgent, a.Work = 0, 0, 0
	}
	return out
}

// judgeWaiting counts the waiting calls that can still be answered within their objective.
func (r *routing) judgeWaiting(asked map[machine.Artifact]*machine.Asked, now clock.Instant) {
	for _, a := range asked {
		a.Timely, a.Due = 0, 0
	}
	for _, c := range r.waiting {
		a := asked[c.artifact]
		left := c.request.Arrived.Add(c.admitted.Route.Objective - firstToken).Sub(now)
		if !c.waiting || a == nil || left <= 0 {
			continue
		}
		if a.Timely == 0 || left < a.Due {
			a.Due = left
		}
		a.Timely++
	}
}

// eachAsked applies a change of demand to this VM's own account and to what the peers have still to be told.
func (r *routing) eachAsked(a machine.Artifact, change func(*machine.Asked)) {
	change(askedOf(r.asked, a))
	for _, p := range r.members.peers {
		change(askedOf(p.asked, a))
	}
}

// askedOf returns the account of an artifact's demand, a new one if there is none.
func askedOf(asked map[machine.Artifact]*machine.Asked, a machine.Artifact) *machine.Asked {
	of := asked[a]
	if of == nil {
		of = &machine.Asked{Artifact: a}
		asked[a] = of
	}
	return of
}
