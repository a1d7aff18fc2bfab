package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mangopass/mangopass/duty"
)

// zones are the zones of a run. Entry VMs, engines and instances of the plain service are spread over them.
var zones = []string{"dc-a", "dc-b"}

const (
	// evacuationBound is the time after its acknowledgement from which on an evacuation keeps everything new from a zone.
	evacuationBound = 5 * time.Second
	// evacuationGap is the largest time between the starts of two evacuations, maxEvacuated the largest time for which a zone is
	// out after the bound, and oneInShort the number of evacuations of which one ends within a second.
	evacuationGap = 6 * time.Second
	maxEvacuated  = 4 * time.Second
	oneInShort    = 4
	// evacuationStream is the stream of random numbers for PlanEvacuations.
	evacuationStream = 1<<32 + 60
)

// Evacuated is a time in which a zone was out, since the start of the load: from the acknowledgement of the key until its removal
// began.
type Evacuated struct {
	Zone     string
	At, Back time.Duration
}

// PlanEvacuations draws evacuations of zones, one zone at a time.
func PlanEvacuations(r *rand.Rand, duration time.Duration, others []Fault) []Fault {
	return drawFaults(r, evacuationGap, duration, others, func(at time.Duration) Fault {
		lasts := evacuationBound + minFaultTime + time.Duration(r.Int64N(int64(maxEvacuated)))
		if r.IntN(oneInShort) == 0 {
			lasts = minFaultTime
		}
		return Fault{Kind: ZoneEvacuated, Target: "zone", Index: r.IntN(len(zones)), Start: at, End: at + lasts}
	})
}

// evacuate keeps a zone out until the end that lasts waits for.
func (o *operator) evacuate(ctx context.Context, zone string, lasts func()) {
	o.mu.Lock()
	o.evacuated = zone
	o.writeEvacuation(ctx, zone)
	out := Evacuated{Zone: zone, At: time.Since(o.start)}
	o.mu.Unlock()
	lasts()
	o.mu.Lock()
	defer o.mu.Unlock()
	out.Back = time.Since(o.start)
	o.evacuations = append(o.evacuations, out)
	o.evacuated = ""
	o.writeEvacuation(ctx, zone)
}

// writeEvacuation writes the key of a zone, or removes it, until the store acknowledges that. The caller holds o.mu.
func (o *operator) writeEvacuation(ctx context.Context, zone string) {
	var value []byte // empty: the key is removed
	if zone == o.evacuated {
		value = []byte("{}")
	}
	for o.deployment.Put(ctx, "op/evacuate/"+zone, value) != nil && ctx.Err() == nil {
		duty.Pause(ctx, holdPeriod)
	}
}

// checkEvacuations checks that no request reaches a runner of an evacuated zone after evacuationBound, unless its entry VM could
// not read the store.
func (c *checker) checkEvacuations() {
	for i, record := range c.Records {
		for _, run := range record.Runs {
			at := c.at(run)
			for _, out := range c.Evacuations {
				if out.Zone == c.Zones[i] && at > out.At+evacuationBound && at < out.Back && !c.outOfTouch(run.Request, i, out.At, at) {
					c.report("%s reached runner %d %v after the evacuation of %s", run.Request, i, at-out.At, out.Zone)
				}
			}
		}
	}
}

// outOfTouch reports whether a fault may have kept the entry VM of a request from the store, or the request from the runner, between
// two moments.
func (c *checker) outOfTouch(request string, index int, from, to time.Duration) bool {
	q, known := c.requests[request]
	return slices.ContainsFunc(c.Faults, func(f Fault) bool {
		if f.Start >= to || f.End+settled <= from {
			return false
		}
		sender := !known || f.Index == q.Entry
		switch f.Target {
		case "store":
			return !f.Kind.planned()
		case "entry":
			return sender && (f.Kind == EntryPaused || f.Kind == EntryMisses)
		case "link":
			return f.Index == index || !known || f.Index == len(c.Records)+q.Entry
		}
		return false
	})
}
