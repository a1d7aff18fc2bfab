package link

import (
	"slices"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/machine"
	"github.com/mangopass/mangopass/fleet/overflow"
)

// leaving is what the choice of a runner in another zone depends on.
type leaving struct {
	quote    overflow.Quote
	homeWait time.Duration // the shortest wait at a runner of the request's own zone
}

// leaving lists the runners that could serve a request, and returns its price between zones and the wait in its own zone.
func (t *Table) leaving(f *machine.Fleet, req Requirements, now clock.Instant) leaving {
	var l leaving
	request := overflow.Request{Service: req.Artifact.Service, From: req.From, Bytes: req.Bytes, First: req.First}
	home := false
	t.suitable = t.suitable[:0]
	for _, r := range f.All() {
		if !req.suits(r, now) {
			continue
		}
		t.suitable = append(t.suitable, r)
		if !slices.Contains(request.Zones, r.Zone) {
			request.Zones = append(request.Zones, r.Zone)
		}
		if r.Zone != req.From {
			continue
		}
		if wait := t.WaitAt(r); !home || wait < l.homeWait {
			l.homeWait, home = wait, true
		}
	}
	l.quote = t.Overflow.Quote(request, t.rand.Float64)
	return l
}

// suits reports whether a runner can serve the request.
func (req *Requirements) suits(r *machine.Runner, now clock.Instant) bool {
	if r.Service != req.Artifact.Service || !r.Usable(now) || excluded(req.Exclude, r.ID) {
		return false
	}
	if req.Artifact.Model != "" && !r.Replica(req.Artifact.Model).Ready(req.Artifact.Adapter, now) {
		return false
	}
	return req.Serves == nil || req.Serves(r.Version)
}

// WaitAt returns the expected wait of the next request at a runner: none at a plain service with free places.
func (t *Table) WaitAt(r *machine.Runner) time.Duration {
	running := time.Duration(t.totalFor(r.ID).running)
	if !r.Engine {
		places := time.Duration(max(1, r.Slots))
		return serviceTime * max(0, running+1-places) / places
	}
	return t.Pace.Reading(r.ID, r.Service, t.Queued(r.ID)) + running*runningCost
}

// cost returns the delay that is accepted to keep the request out of the zone of a runner.
func (l leaving) cost(t *Table, r *machine.Runner) time.Duration {
	return l.quote.Cost(r.Zone, l.homeWait-t.WaitAt(r))
}

// explain returns a choice with the reason for its zone.
func (l leaving) explain(c Choice) Choice {
	if c.Leaves = l.quote.Reason(c.Runner.Zone); c.Leaves != overflow.Stays {
		c.LeavesSize = l.quote.Bytes()
	}
	return c
}
