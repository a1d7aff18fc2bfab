package admission

import (
	"math"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
)

const (
	// rankHalfLife is the time in which what was served and refused comes to count for half.
	rankHalfLife = 2 * time.Second
	// overRefusedShare is the refused share of an organisation's cost above which its ranks get shares of its quota. It covers
	// single refusals in short bursts, for which the order by due time is enough.
	overRefusedShare = 0.05
	// rankFloorShare is the share of the mean served part that each rank gets of what it asks, however much the more urgent ask.
	rankFloorShare = 0.5
	// smallRankShare is the part of the quota up to which a rank gets all that it asks: refusing it would serve hardly anybody else.
	smallRankShare = 0.05
	// partMargin is how much more of what it asks a rank gets than a less urgent one. Refused callers who come again without a
	// booking count as new ones, so the served part of patient callers, who come again more often, is larger than it seems.
	partMargin = 0.1
)

// rankLoad is what one rank of an organisation has lately asked of its quota, in cost.
type rankLoad struct {
	served  float64
	refused float64 // without a booking
	booked  float64 // refused with a booking, and not served since
	waiting float64
	mean    float64 // cost of its requests
	// observed is the last wait that ended; the other VMs' waiting requests, which this one does not know, make it longer
	// than expected. It counts for less as it gets older. Requests that can wait for longer than orderHorizon don't count:
	// their waits show their place in the order.
	observed   time.Duration
	observedAt clock.Instant
}

// asked returns all that the rank has asked for.
func (r *rankLoad) asked() float64 { return r.got() + r.refused + r.waiting }

// got returns what the rank has got, bookings included: those are taken up seconds later, and what is divided until then would be
// divided without them.
func (r *rankLoad) got() float64 { return r.served + r.booked }

// part returns which part of what it asked the rank has got.
func (r *rankLoad) part() float64 { return r.got() / max(r.asked(), math.SmallestNonzeroFloat64) }

// ranks divides an organisation's quota between its ranks while it asks for more than its rate. Without that, patient requests
// make a line so long that the urgent ones, which can't wait for it, are served least of all.
type ranks struct {
	loads     [maxRank + 1]rankLoad
	decayedAt clock.Instant
}

// of returns the load of the rank of a claim.
func (r *ranks) of(c Claim) *rankLoad { return &r.loads[c.Order.rank()] }

// decay lets what was served and refused count for less.
func (r *ranks) decay(now clock.Instant) {
	weight := math.Exp2(-now.Sub(r.decayedAt).Seconds() / rankHalfLife.Seconds())
	r.decayedAt = now
	for i := range r.loads {
		r.loads[i].served *= weight
		r.loads[i].refused *= weight
		r.loads[i].booked *= weight
	}
}

// serve notes that a request has been admitted; booked says that it had been refused before.
func (r *ranks) serve(c Claim, booked bool, now clock.Instant) {
	r.decay(now)
	l := r.of(c)
	l.served += c.Cost
	l.note(c.Cost)
	if booked {
		l.booked = max(0, l.booked-c.Cost)
	}
}

// refuse notes that a request has been refused, with a booking or without.
func (r *ranks) refuse(c Claim, booked bool, now clock.Instant) {
	r.decay(now)
	l := r.of(c)
	if booked {
		l.booked += c.Cost
	} else {
		l.refused += c.Cost
	}
	l.note(c.Cost)
}

// note updates the mean cost.
func (r *rankLoad) note(cost float64) {
	const weight = 0.1
	if r.mean == 0 {
		r.mean = cost
	}
	r.mean += weight * (cost - r.mean)
}

// total returns the sums over all ranks.
func (r *ranks) total() (got, asked float64) {
	for i := range r.loads {
		got += r.loads[i].got()
		asked += r.loads[i].asked()
	}
	return got, asked
}

// over reports whether the organisation asks for more than its rate.
func (r *ranks) over() bool {
	refused, all := 0.0, 0.0
	for i := range r.loads {
		l := &r.loads[i]
		refused += l.refused + l.booked
		all += l.got() + l.refused
	}
	return refused > overRefusedShare*all
}

// floor returns what a rank gets in any case, of what all ranks have got lately.
func (r *ranks) floor(rank int, got, asked float64) float64 {
	return floorOf(r.loads[rank].asked(), got, asked)
}

func floorOf(own, got, asked float64) float64 {
	return max(rankFloorShare*own*got/max(asked, math.SmallestNonzeroFloat64), min(own, smallRankShare*got))
}

// behind reports whether a request goes before those of other ranks, since its rank has got less than its floor. waits says
// whether it waits already, or arrives after those of its rank that wait.
func (r *ranks) behind(c Claim, waits bool) bool {
	l := r.of(c)
	got, asked := r.total()
	own, before := l.asked(), l.got()
	if !waits {
		own, asked, before = own+c.Cost, asked+c.Cost, before+l.waiting
	}
	return before < floorOf(own, got, asked)
}

// ahead reports whether a rank has got a larger part of what it asks than a more urgent one.
func (r *ranks) ahead(rank int) bool {
	for i := range rank {
		if l := &r.loads[i]; l.asked() > 0 && l.part() < r.loads[rank].part()+partMargin {
			return true
		}
	}
	return false
}

// next returns the rank whose turn it is, among those that wait: one that has got less than its floor, else the most urgent.
func (r *ranks) next() (rank int, ok bool) {
	got, asked := r.total()
	lowest := 1.0
	for i := range r.loads {
		l := &r.loads[i]
		if l.waiting <= 0 {
			continue
		}
		if !ok {
			rank, ok = i, true
		}
		if part := l.got() / max(r.floor(i, got, asked), math.SmallestNonzeroFloat64); part < lowest {
			rank, lowest = i, part
		}
	}
	return rank, ok
}

// share returns the part of the quota's rate that the requests of a rank can expect: what the more urgent ones leave, without
// the floors of the less urgent.
func (r *ranks) share(rank int) float64 {
	got, asked := r.total()
	if got <= 0 {
		return 1
	}
	left := got
	for i := range r.loads {
		switch {
		case i < rank:
			left -= r.loads[i].got()
		case i > rank:
			left -= min(r.loads[i].got(), r.floor(i, got, asked))
		}
	}
	return min(1, max(left, r.floor(rank, got, asked))/got)
}

// reserve returns the part of the level that a rank leaves to more urgent ones which have got a smaller part of what they asked.
// Some of them can't wait at all, and find room only if the quota has some when they arrive.
// What is taken at the other VMs is known only from their reports, so the room is for one request at each.
func (r *ranks) reserve(rank, vms int) float64 {
	sum := 0.0
	for i := range rank {
		if l := &r.loads[i]; l.asked() > 0 && l.part() < r.loads[rank].part()+partMargin {
			sum += l.mean
		}
	}
	return sum * float64(max(1, vms))
}
