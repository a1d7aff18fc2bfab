// Package admission decides which requests wait for what they lack, how long and in which order, and when a refused
// caller may come again. It does no I/O; the current time is always an argument.
package admission

import (
	"time"

	"github.com/mangopass/mangopass/duty/clock"
)

// Order is what determines a request's place among those that wait for the same thing.
type Order struct {
	Rank    int // of the organisation or the route; 0 is the most urgent
	Arrived clock.Instant
	Due     clock.Instant // the last instant at which the request can be sent and be in time
}

const (
	// orderHorizon bounds the time to Due that counts in the order. A request with more time than this goes before those
	// that arrive later than that, instead of waiting until its own time has nearly run out.
	orderHorizon = time.Second
	// rankDelay is the waiting time that makes up for one rank. A request is overtaken only by those that arrive within
	// orderHorizon and maxRank times this after it, so none starves.
	rankDelay = 50 * time.Millisecond
	maxRank   = 9
)

// rank returns the rank within the bounds that are told apart.
func (o Order) rank() int { return min(max(0, o.Rank), maxRank) }

// place returns the instant by which requests are ordered.
func (o Order) place() clock.Instant {
	place := max(o.Arrived, min(o.Due, o.Arrived.Add(orderHorizon)))
	return place.Add(time.Duration(o.rank()) * rankDelay)
}

// Compare returns a negative number if the request goes before the other one, and a positive one if it goes after it.
func (o Order) Compare(other Order) int { return int(max(-1, min(1, o.place().Sub(other.place())))) }

// HonouredShare is the part of the time that a caller has left up to which it honours Retry-After.
const HonouredShare = 1.0 / 3

// honoured returns the longest Retry-After that a caller with the given deadline honours.
func honoured(deadline, now clock.Instant) time.Duration {
	return time.Duration(HonouredShare * float64(deadline.Sub(now)))
}

// unbookedShare is the share of the time that a caller honours after which it is told to come again at the earliest if its quota
// has room only later and it has no booking.
const unbookedShare = 1.0 / 3

// unbooked returns when a caller without a booking may come again, if its quota may have room after the given time. All those that
// are refused together are told different times: they come at the end of what they honour if they are told a later time.
func unbooked(c Claim, room time.Duration, now clock.Instant) time.Duration {
	longest := max(2*minRetryAfter, honoured(c.Deadline, now))
	earliest := max(minRetryAfter, min(room, time.Duration(unbookedShare*float64(longest))))
	return earliest + time.Duration(c.Spread*float64(longest-earliest))
}
