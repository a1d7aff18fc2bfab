package admission

import (
	"math"
	"slices"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
)

// wait is a request that waits for its organisation's quota.
type wait[T comparable] struct {
	request T
	claim   Claim
	since   clock.Instant
	until   clock.Instant
	passed  float64 // cost of those that have gone past it
	booked  bool    // it has come again at the time of its booking
}

// Quotas holds the requests that wait at this VM for the quota of their organisation, and the bookings of callers that
// come again. It answers the load of organisations that ask for more than their rate for seconds: without an order all
// refused callers return at the same time and are refused again, and urgent or patient ones with them.
type Quotas[T comparable] struct {
	lines  map[contract.OrganisationName]*line[T]
	news   []Booking
	counts Counts
}

// line is what waits for one organisation's quota.
type line[T comparable] struct {
	waits    []wait[T] // in their order
	bookings bookings
	ranks    ranks
}

// observedHalfLife is the time in which an observed wait comes to count for half.
const observedHalfLife = 300 * time.Millisecond

// holdShare is the share of the time until a request is late during which it waits for its quota. In a line that is full
// the requests served have waited nearly as long as they may; the rest is for the queue at the runner.
const holdShare = 0.6

// passShare is the largest cost of a request that goes past a waiting one, in units of the cost of that one.
const passShare = 0.25

// returnWaitShare is the share of the time left for which a caller that has come at the time of its booking waits if the
// quota has less room than expected. Many have no further try.
const returnWaitShare = 1.0 / 3

// NewQuotas returns an empty object.
func NewQuotas[T comparable]() *Quotas[T] {
	return &Quotas[T]{lines: make(map[contract.OrganisationName]*line[T])}
}

func (q *Quotas[T]) line(o contract.OrganisationName) *line[T] {
	l := q.lines[o]
	if l == nil {
		l = &line[T]{bookings: bookings{byDigest: make(map[uint64]Booking)}}
		q.lines[o] = l
	}
	return l
}

// Decide decides on a claim that arrives. One that comes before the time of its booking may be of another caller with the
// same request, and gets what a new one gets; the booking stays. One that is admitted is taken from the quota by the caller of Decide, one that
// is held is given to Add.
func (q *Quotas[T]) Decide(o contract.OrganisationName, c Claim, s Supply, now clock.Instant) Decision {
	switch {
	case c.Cost > max(s.Whole, s.Capacity):
		return Decision{Action: Refuse, Reason: TooLarge}
	case c.Cost > s.Capacity: // there is room once more VMs are heard, or at another VM
		return Decision{Action: Refuse, Reason: TooLate, RetryAfter: unbooked(c, 0, now)}
	}
	l := q.line(o)
	booking, known := l.bookings.byDigest[c.Digest]
	returned := known && !booking.Claimed && !now.Before(booking.Due.Add(-bookingLead))
	if returned {
		c.Order.Due = booking.Due
	}
	ahead := l.ahead(c, s, returned, now)
	if l.room(c, s, returned, false, now) >= c.Cost && (ahead == 0 || !returned && l.pass(c)) {
		if returned {
			q.end(l, booking)
			q.counts.TakenUp++
		}
		l.ranks.serve(c, returned, now)
		return Decision{Action: Admit, TookUp: returned}
	}
	if until, expected, ok := l.hold(c, s, ahead, returned, now); ok {
		if returned {
			booking.Due, booking.Until, booking.Claimed = now, until, true // it is kept while the caller waits, at all VMs
			l.bookings.add(booking)
			q.news = append(q.news, booking)
		}
		return Decision{Action: Hold, Expected: expected, Until: until, TookUp: returned}
	}
	switch {
	case returned:
		q.end(l, booking)
		q.counts.Lost++
		return Decision{Action: Refuse, Reason: NotKept, RetryAfter: unbooked(c, s.filled(c.Cost-s.Level, 1), now), TookUp: true}
	case known && booking.Claimed: // by another caller with the same request
		l.ranks.refuse(c, false, now)
		return Decision{Action: Refuse, Reason: TooLate, RetryAfter: unbooked(c, 0, now)}
	case known:
		return Decision{Action: Refuse, Reason: Early, RetryAfter: booking.Due.Sub(now)}
	}
	return q.refuse(o, l, c, s, TooLate, now)
}

// room returns the level that a request may use. What is kept is for callers that come at the time of their booking, who may
// use all. While the organisation is over its rate, less urgent ranks leave room for more urgent ones.
func (l *line[T]) room(c Claim, s Supply, booked, waits bool, now clock.Instant) float64 {
	if booked {
		return s.Level
	}
	kept := l.bookings.keep(s, now)
	if l.ranks.over() && !l.ranks.behind(c, waits) {
		kept += max(0, min(l.ranks.reserve(c.Order.rank(), s.VMs), s.Capacity-kept-c.Cost))
	}
	return s.Level - kept
}

// fits reports whether a request finds room beside what is kept if the quota is full.
func (l *line[T]) fits(c Claim, s Supply, booked bool, now clock.Instant) bool {
	return booked || c.Cost <= s.Capacity-l.bookings.keep(s, now)
}

// pass reports whether a claim may go past those that wait, since it is small beside the first one and there is room for it.
// Many small requests can't wait at all. The first one is passed by no more than its own cost in all.
func (l *line[T]) pass(c Claim) bool {
	i := slices.IndexFunc(l.waits, func(w wait[T]) bool { return !w.booked })
	if i < 0 || c.Cost > passShare*l.waits[i].claim.Cost || l.waits[i].passed+c.Cost > l.waits[i].claim.Cost {
		return false
	}
	l.waits[i].passed += c.Cost
	return true
}

// ahead returns the cost of the waiting requests that go before a claim, of those with or without a booking as it has.
func (l *line[T]) ahead(c Claim, s Supply, booked bool, now clock.Instant) float64 {
	sum := 0.0
	byRank := !booked && l.ranks.over()
	behind := byRank && l.ranks.behind(c, false)
	for _, w := range l.waits {
		rank := w.claim.Order.rank()
		if w.booked != booked || !l.fits(w.claim, s, booked, now) || byRank && rank > c.Order.rank() || behind && rank != c.Order.rank() {
			continue
		}
		if byRank && rank < c.Order.rank() || w.claim.Order.Compare(c.Order) <= 0 {
			sum += w.claim.Cost
		}
	}
	return sum
}

// hold returns until when a claim may wait and the wait that is expected, and false if it would wait for too long. As
// much as here is taken to wait at each other VM, but for a caller that has come at the time of its booking, to which the
// others leave what is kept.
func (l *line[T]) hold(
	c Claim, s Supply, ahead float64, returned bool, now clock.Instant,
) (clock.Instant, time.Duration, bool) {
	until, share := now.Add(time.Duration(holdShare*float64(c.Order.Due.Sub(now)))), 1.0
	switch {
	case returned:
		until = now.Add(time.Duration(returnWaitShare * float64(c.Deadline.Sub(now))))
	case len(l.bookings.byDigest) > 0:
		share = 1 - BookingShare
	}
	until = min(until, c.Deadline)
	if !returned {
		ahead *= float64(s.VMs)
	}
	if !returned && l.ranks.over() && !l.ranks.behind(c, false) {
		share *= l.ranks.share(c.Order.rank())
	}
	expected := s.filled(ahead+c.Cost-l.room(c, s, returned, false, now), share)
	if r := l.ranks.of(c); !returned {
		age := max(0, now.Sub(r.observedAt))
		weight := math.Exp2(-age.Seconds() / observedHalfLife.Seconds())
		expected = max(expected, time.Duration(weight*float64(r.observed)))
	}
	return until, expected, expected < until.Sub(now) && l.fits(c, s, returned, now)
}

// refuse refuses a claim, with a booking if the caller honours its time.
func (q *Quotas[T]) refuse(
	o contract.OrganisationName, l *line[T], c Claim, s Supply, otherwise Reason, now clock.Instant,
) Decision {
	due := l.bookings.due(c.Cost, s, now)
	spread := min(time.Duration(c.Spread*float64(s.filled(c.Cost, BookingShare))), bookingLead)
	d := Decision{Action: Refuse, Reason: otherwise, RetryAfter: due.Sub(now) + spread}
	// A patient caller honours later dates: without the second condition nearly all bookings are of the least urgent ranks.
	if d.RetryAfter > honoured(c.Deadline, now) || l.ranks.over() && l.ranks.ahead(c.Order.rank()) {
		l.ranks.refuse(c, false, now)
		d.RetryAfter = unbooked(c, d.RetryAfter, now)
		return d
	}
	booking := Booking{Organisation: o, Digest: c.Digest, Cost: c.Cost, Due: due, Until: due.Add(spread + bookingGrace)}
	added := l.bookings.add(booking)
	l.ranks.refuse(c, added, now)
	if added {
		q.news = append(q.news, booking)
		q.counts.Made++
		d.Reason = Booked
		return d
	}
	d.RetryAfter = unbooked(c, d.RetryAfter, now)
	return d
}

// end ends a booking, and lets the other VMs know.
func (q *Quotas[T]) end(l *line[T], b Booking) {
	l.bookings.remove(b)
	b.Cost = 0
	q.news = append(q.news, b)
}

// endKept ends the booking of a request that has waited.
func (q *Quotas[T]) endKept(l *line[T], c Claim) {
	if b, known := l.bookings.byDigest[c.Digest]; known {
		q.end(l, b)
	}
}

// Add lets a request wait whose claim Decide has held.
func (q *Quotas[T]) Add(o contract.OrganisationName, request T, c Claim, d Decision, now clock.Instant) {
	l := q.lines[o]
	if d.TookUp {
		c.Order.Due = now // it goes before those that arrive from now on, and after those that are due earlier
	}
	at, _ := slices.BinarySearchFunc(l.waits, c, func(w wait[T], c Claim) int {
		if w.claim.Order.Compare(c.Order) <= 0 {
			return -1 // of equal ones the first to arrive goes first
		}
		return 1
	})
	if !d.TookUp {
		l.ranks.of(c).waiting += c.Cost
	}
	l.waits = slices.Insert(l.waits, at, wait[T]{request: request, claim: c, since: now, until: d.Until, booked: d.TookUp})
}

// Next removes a request that ends its wait for an organisation's quota, and returns it with the decision on it; false if
// none does. Supply is as before the request is taken from the quota.
func (q *Quotas[T]) Next(o contract.OrganisationName, s Supply, now clock.Instant) (T, Decision, bool) {
	var none T
	if l := q.lines[o]; l == nil || len(l.waits) == 0 {
		return none, Decision{}, false
	}
	l := q.line(o)
	for _, booked := range []bool{true, false} { // what is kept for bookings must not wait behind others
		i := l.first(s, booked, now)
		if i < 0 || l.room(l.waits[i].claim, s, booked, true, now) < l.waits[i].claim.Cost {
			continue
		}
		w := q.leave(l, i, now)
		l.ranks.serve(w.claim, booked, now)
		if booked {
			q.endKept(l, w.claim)
			q.counts.TakenUp++
		}
		return w.request, Decision{Action: Admit, TookUp: booked}, true
	}
	for i, w := range l.waits {
		if now.Before(w.until) {
			continue
		}
		q.leave(l, i, now)
		if w.booked {
			q.endKept(l, w.claim)
			q.counts.Lost++
			return w.request, Decision{Action: Refuse, Reason: NotKept, RetryAfter: unbooked(w.claim, s.filled(w.claim.Cost-s.Level, 1), now)}, true
		}
		if l.bookings.byDigest[w.claim.Digest].Claimed { // of another caller with the same request
			l.ranks.refuse(w.claim, false, now)
			return w.request, Decision{Action: Refuse, Reason: StillEmpty, RetryAfter: unbooked(w.claim, 0, now)}, true
		}
		return w.request, q.refuse(o, l, w.claim, s, StillEmpty, now), true
	}
	return none, Decision{}, false
}

// first returns the index of the waiting request whose turn it is, of those with or without a booking; -1 if there is none. One that
// would not fit if the quota were full keeps no other one waiting.
func (l *line[T]) first(s Supply, booked bool, now clock.Instant) int {
	rank, byRank := 0, !booked && l.ranks.over()
	if byRank {
		rank, byRank = l.ranks.next()
	}
	other := -1
	for i, w := range l.waits {
		switch {
		case w.booked != booked || !l.fits(w.claim, s, booked, now):
		case !byRank || w.claim.Order.rank() == rank:
			return i
		case other < 0:
			other = i
		}
	}
	return other
}

// leave removes a waiting request, and records how long it has waited.
func (q *Quotas[T]) leave(l *line[T], i int, now clock.Instant) wait[T] {
	w := l.waits[i]
	l.waits = slices.Delete(l.waits, i, i+1)
	l.left(w)
	if r := l.ranks.of(w.claim); !w.booked && w.claim.Order.Due.Sub(w.since) < orderHorizon {
		r.observed, r.observedAt = now.Sub(w.since), now
	}
	return w
}

// left counts a request no longer among those that wait.
func (l *line[T]) left(w wait[T]) {
	if r := l.ranks.of(w.claim); !w.booked {
		r.waiting = max(0, r.waiting-w.claim.Cost)
	}
}

// Release removes the first request that waits for an organisation's quota and returns it; false if none waits. A booking that it has
// claimed is kept for its caller, who is told to come again at once at another VM.
func (q *Quotas[T]) Release(o contract.OrganisationName, now clock.Instant) (T, bool) {
	var none T
	l := q.lines[o]
	if l == nil || len(l.waits) == 0 {
		return none, false
	}
	w := q.leave(l, 0, now)
	if b, known := l.bookings.byDigest[w.claim.Digest]; known && w.booked {
		b.Due, b.Until, b.Claimed = now, now.Add(bookingGrace), false
		l.bookings.add(b)
		q.news = append(q.news, b)
	}
	return w.request, true
}

// Remove drops a waiting request whose caller has gone.
func (q *Quotas[T]) Remove(o contract.OrganisationName, request T) {
	if l := q.lines[o]; l != nil {
		l.waits = slices.DeleteFunc(l.waits, func(w wait[T]) bool {
			if w.request == request {
				l.left(w)
			}
			if w.request == request && w.booked {
				q.endKept(l, w.claim)
			}
			return w.request == request
		})
	}
}

// Apply applies a notice of another VM of the zone. It returns what the notice states, and false if that is not valid.
func (q *Quotas[T]) Apply(n Notice, now clock.Instant) (Booking, bool) {
	if !n.valid() {
		return Booking{}, false
	}
	l := q.line(n.Organisation)
	known, ok := l.bookings.byDigest[n.Digest]
	switch {
	case n.Cost > 0:
		l.bookings.add(n.booking(now))
	case ok:
		l.bookings.remove(known)
	}
	return n.booking(now), true
}

// Expire ends the bookings that nobody has taken up.
func (q *Quotas[T]) Expire(now clock.Instant) {
	for o, l := range q.lines {
		q.counts.Lapsed += l.bookings.expire(now)
		if len(l.waits) == 0 && len(l.bookings.byDigest) == 0 && now.Sub(l.ranks.decayedAt) > rankHalfLife {
			delete(q.lines, o)
		}
	}
}

// TakeNews returns the bookings that were made or have ended here since the last call; those that have ended have no cost.
func (q *Quotas[T]) TakeNews() []Booking {
	news := q.news
	q.news = nil
	return news
}

// Waiting returns the organisations for whose quotas requests wait.
func (q *Quotas[T]) Waiting() []contract.OrganisationName {
	var out []contract.OrganisationName
	for o, l := range q.lines {
		if len(l.waits) > 0 {
			out = append(out, o)
		}
	}
	return out
}
