package overflow

import (
	"slices"
	"time"

	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/zone"
)

// Parameters by which the price of a request between zones changes with the loads of the zones.
const (
	// shareFactor multiplies the price of a request of the share that leaves.
	shareFactor = 1.0 / 3
	// otherFactor multiplies the price of a zone which is busier than the request's own and keeps its room for its own callers,
	// and of one that was not drawn for the request.
	otherFactor = 2
	// drawnZones is the largest number of other zones to which a request goes at the ordinary price. The VMs of many zones that see
	// the same loads would else all send to the same zone, and know it only some reports later.
	drawnZones = 3
)

// Request is what the price of a request depends on.
type Request struct {
	Service contract.ServiceName
	From    zone.ID
	Bytes   int
	Zones   []zone.ID // those with a target that could take it
	First   bool      // it goes before all others, as one that goes on with a stream; its price depends on nothing but its bytes
}

// Quote is the price of one request towards each zone.
type Quote struct {
	policy  *Policy
	service *service
	request Request
	home    bool      // a target of its own zone could take it
	drawn   []zone.ID // the other zones to which it goes at the ordinary price; empty: all
	shared  zone.ID   // that to which it goes as one of the share that leaves; empty: it is none of these
}

// Quote returns the price of a request. point returns random numbers from 0 to 1.
func (p *Policy) Quote(r Request, point func() float64) Quote {
	q := Quote{policy: p, service: p.services[r.Service], request: r, home: slices.Contains(r.Zones, r.From)}
	if q.service == nil || q.service.from != r.From || !q.home || r.First {
		return q
	}
	if len(r.Zones)-1 > drawnZones {
		q.drawZones(point)
	}
	if q.service.share > 0 && point() < q.service.share {
		q.shared = q.drawByRoom(point)
	}
	return q
}

// drawZones chooses some of the zones that are heard, each with the same chance.
func (q *Quote) drawZones(point func() float64) {
	var heard []zone.ID
	for _, id := range q.request.Zones {
		if l := q.load(id); id != q.request.From && l != nil && l.heard {
			heard = append(heard, id)
		}
	}
	for len(q.drawn) < drawnZones && len(heard) > 0 {
		i := min(int(point()*float64(len(heard))), len(heard)-1)
		q.drawn = append(q.drawn, heard[i])
		heard = slices.Delete(heard, i, i+1)
	}
}

// drawByRoom chooses one of the zones by the room that they can spare; none, if they have no room.
func (q *Quote) drawByRoom(point func() float64) zone.ID {
	sum := 0.0
	for _, id := range q.request.Zones {
		if l := q.load(id); l != nil {
			sum += l.room
		}
	}
	left := point() * sum
	for _, id := range q.request.Zones {
		if l := q.load(id); l != nil && l.room > 0 {
			if left -= l.room; left < 0 {
				return id
			}
		}
	}
	return ""
}

// Cost returns the delay that is accepted to keep the request out of a zone; waitSaved is how much shorter the wait is there
// than in its own zone. The load of a zone that is not heard is unknown, so its price does not depend on it; it is never
// lower than that of a zone that is heard, since requests would be drawn to where nobody knows the wait.
func (q Quote) Cost(to zone.ID, waitSaved time.Duration) time.Duration {
	if q.policy == nil || to == q.request.From {
		return 0
	}
	home, there := q.load(q.request.From), q.load(to)
	price := Price(q.policy.zones, q.request.From, to, q.request.Bytes)
	silent := there == nil || !there.heard
	if silent {
		price = max(price, ordinaryPrice)
	}
	switch {
	case q.request.First || !q.home || home == nil:
		return price
	case q.shared == to && waitSaved > 0:
		return time.Duration(float64(price) * shareFactor)
	case len(q.drawn) > 0 && !slices.Contains(q.drawn, to), !silent && there.wait > float64(spareWait) && there.wait > home.wait:
		return price * otherFactor
	}
	return price
}

// load returns what is known of a zone's load, or nil.
func (q Quote) load(id zone.ID) *load {
	if q.service == nil {
		return nil
	}
	return q.service.loads[id]
}

// Reason is why a request goes to a zone.
type Reason string

// The reasons for a zone.
const (
	Stays     Reason = ""          // its own zone
	NoTarget  Reason = "no_target" // its own zone has none that could take it
	WaitSaved Reason = "wait"      // the wait that is saved is worth the price
	Shared    Reason = "share"     // the same, at the lower price of the share that leaves
)

// Reasons lists the reasons for another zone.
func Reasons() []Reason { return []Reason{NoTarget, WaitSaved, Shared} }

// Reason returns why the request goes to a zone that was chosen for it.
func (q Quote) Reason(to zone.ID) Reason {
	switch {
	case to == q.request.From || q.policy == nil:
		return Stays
	case !q.home:
		return NoTarget
	case q.shared == to:
		return Shared
	}
	return WaitSaved
}

// Bytes returns the expected size of the request between zones.
func (q Quote) Bytes() int { return q.request.Bytes }
