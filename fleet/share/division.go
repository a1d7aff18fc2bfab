package share

import (
	"cmp"
	"slices"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
)

const (
	// divisionPeriod is the time after which a service is divided again.
	divisionPeriod = 50 * time.Millisecond
	// maxReserve is the part of what was served, from 0 to 1, that is not divided. It empties the queues of requests that can be in
	// time: while these are full, the requests of all organisations are late. Less is kept if the organisation that asks for
	// most is nearly alone: reservePerOther times what the others ask for.
	maxReserve      = 0.1
	reservePerOther = 2.0
)

// division is how a service is divided among the organisations that ask for it.
type division struct {
	shares    map[contract.OrganisationName]float64 // stored sums
	dividedAt clock.Instant
}

// Limits returns an organisation's limit in the manifest in force. Its rate is the organisation's weight.
type Limits func(contract.OrganisationName) contract.Limit

// claim is what an organisation asks for in a division.
type claim struct {
	organisation   contract.OrganisationName
	weight, demand float64
}

// divide divides what was served of the service lately, if it is time.
func (s *service) divide(limits Limits, now clock.Instant) {
	if s.shares != nil && now.Sub(s.dividedAt) < divisionPeriod {
		return
	}
	s.dividedAt = now
	all, demand, largest := s.sum(), 0.0, 0.0
	claims := make([]claim, 0, len(s.total))
	for organisation, of := range s.total {
		c := claim{organisation: organisation, demand: max(0, of.demand())}
		claims = append(claims, c)
		demand, largest = demand+c.demand, max(largest, c.demand)
	}
	weigh(claims, limits)
	served := max(0, all.done, all.within)
	s.shares = maxMin(claims, served-min(maxReserve*served, reservePerOther*(demand-largest)))
}

// weigh sets the weights: an organisation's rate relative to the mean of the rates in the same unit, and 1 if none is stated.
func weigh(claims []claim, limits Limits) {
	var total, count [2]float64 // by unit
	unit := func(l contract.Limit) int {
		if l.InTokens {
			return 1
		}
		return 0
	}
	for i := range claims {
		if l := limits(claims[i].organisation); l.PerSecond > 0 {
			claims[i].weight = l.PerSecond
			total[unit(l)] += l.PerSecond
			count[unit(l)]++
		}
	}
	for i := range claims {
		u := unit(limits(claims[i].organisation))
		if claims[i].weight > 0 {
			claims[i].weight *= count[u] / total[u]
		} else {
			claims[i].weight = 1
		}
	}
}

// maxMin divides an amount: nobody gets more than it asks for, and what it leaves is divided among the others by their weights.
func maxMin(claims []claim, amount float64) map[contract.OrganisationName]float64 {
	slices.SortFunc(claims, func(a, b claim) int {
		return cmp.Or(cmp.Compare(a.demand*b.weight, b.demand*a.weight), cmp.Compare(a.organisation, b.organisation))
	})
	weights := 0.0
	for _, c := range claims {
		weights += c.weight
	}
	out := make(map[contract.OrganisationName]float64, len(claims))
	for _, c := range claims {
		part := min(c.demand, amount*c.weight/weights)
		out[c.organisation] = part
		amount -= part
		weights -= c.weight
	}
	return out
}
