package admission

import (
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
)

// Parameters of bookings.
const (
	// BookingShare is the share of an organisation's rate that is booked for callers who come again. Requests that arrive for
	// the first time get the rest: they can still be in time, while those that come again are late for their objective.
	BookingShare = 0.25
	// bookingGrace is how long after its time a booking is kept. It covers a new connection and the reports between VMs.
	bookingGrace = 400 * time.Millisecond
	// bookingLead is how long before its time a booking can be taken up, and the quota is kept for it.
	bookingLead = 100 * time.Millisecond
	// minRetryAfter is the shortest time to a booking: the other VMs of the zone must know of it by then.
	minRetryAfter = 150 * time.Millisecond
	// maxKeptShare is the largest part of a quota's capacity that is kept, so that new requests always find room. A single booking
	// may need more; it is kept in full, since it would never be filled while new requests take what is above this part.
	maxKeptShare = 0.5
	// keptPeriod is the time after which what is kept is summed up again, for the bookings that have become due.
	keptPeriod = 5 * time.Millisecond
	// maxBookings limits the bookings of one organisation that a VM knows.
	maxBookings = 4096
)

// Booking is a part of an organisation's quota that a refused request gets when its caller sends it again.
type Booking struct {
	Organisation contract.OrganisationName
	Digest       uint64 // of the request; see contract.Request
	Cost         float64
	Due          clock.Instant // when the caller has been told to come again
	Until        clock.Instant // end of the booking
	Claimed      bool          // its caller has come in time and waits; others with the same request have no booking
}

// Notice tells the other VMs of the zone about a booking, so that its caller finds it at any of them.
type Notice struct {
	Organisation contract.OrganisationName
	Digest       uint64
	Cost         float64 // zero: the booking has ended
	DueIn        time.Duration
	EndsIn       time.Duration
	Claimed      bool
}

// maxNoticeTime bounds the times that another VM states. Callers have no longer timeouts than a few minutes.
const maxNoticeTime = 5 * time.Minute

// maxCost is the largest cost of a booking that another VM may state.
const maxCost = 1e9

// Notice returns what to tell the other VMs at now.
func (b Booking) Notice(now clock.Instant) Notice {
	return Notice{
		Organisation: b.Organisation, Digest: b.Digest, Cost: b.Cost, DueIn: b.Due.Sub(now), EndsIn: b.Until.Sub(now),
		Claimed: b.Claimed,
	}
}

// booking returns the booking that a notice states.
func (n Notice) booking(now clock.Instant) Booking {
	return Booking{
		Organisation: n.Organisation, Digest: n.Digest, Cost: n.Cost, Due: now.Add(n.DueIn), Until: now.Add(n.EndsIn),
		Claimed: n.Claimed,
	}
}

// valid reports whether the figures can be counted with.
func (n Notice) valid() bool {
	return n.Cost >= 0 && n.Cost <= maxCost && max(n.DueIn.Abs(), n.EndsIn.Abs()) <= maxNoticeTime
}

// bookings are those of one organisation that this VM knows.
type bookings struct {
	byDigest map[uint64]Booking
	cost     float64 // of all of them
	kept     float64 // cost of those whose callers may come now, as of keptAt
	largest  float64 // of them
	keptAt   clock.Instant
}

// keep returns the part of a quota's level that is kept for callers who may come now. The other zones are taken to keep as
// much for each of their VMs.
func (b *bookings) keep(s Supply, now clock.Instant) float64 {
	if b.keptAt == 0 || now.Sub(b.keptAt) >= keptPeriod {
		b.kept, b.largest, b.keptAt = 0, 0, now
		for _, booking := range b.byDigest {
			if !now.Before(booking.Due.Add(-bookingLead)) {
				b.kept += booking.Cost
				b.largest = max(b.largest, booking.Cost)
			}
		}
	}
	return min(b.kept*s.zones(), max(maxKeptShare*s.Capacity, b.largest))
}

// due returns when the booked share of the rate has filled the quota for all that is booked in all zones and one booking more.
func (b *bookings) due(cost float64, s Supply, now clock.Instant) clock.Instant {
	return now.Add(max(minRetryAfter, s.filled(-s.Level, 1)+s.filled(b.cost*s.zones()+cost, BookingShare)))
}

// add adds a booking, or changes its time, and reports whether there was room for it.
func (b *bookings) add(booking Booking) bool {
	before, known := b.byDigest[booking.Digest]
	if !known && len(b.byDigest) >= maxBookings {
		return false
	}
	b.byDigest[booking.Digest] = booking
	b.cost += booking.Cost - before.Cost
	b.kept += b.counted(booking) - b.counted(before)
	b.largest = max(b.largest, b.counted(booking))
	return true
}

// counted returns the part of kept that a booking makes up since it was last summed up.
func (b *bookings) counted(booking Booking) float64 {
	if b.keptAt.Before(booking.Due.Add(-bookingLead)) {
		return 0
	}
	return booking.Cost
}

// remove ends a booking; its part of the level is free again.
func (b *bookings) remove(booking Booking) {
	booking = b.byDigest[booking.Digest]
	delete(b.byDigest, booking.Digest)
	b.cost -= booking.Cost
	b.kept = max(0, b.kept-b.counted(booking))
}

// expire ends the bookings that nobody has taken up in time, and returns their number.
func (b *bookings) expire(now clock.Instant) int {
	n := 0
	for _, booking := range b.byDigest {
		if now.After(booking.Until) {
			b.remove(booking)
			n++
		}
	}
	return n
}
