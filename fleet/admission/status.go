package admission

import (
	"slices"
	"strings"

	"github.com/mangopass/mangopass/fleet/contract"
)

// Counts are numbers of events since the start.
type Counts struct {
	Made    int // bookings made here
	TakenUp int // bookings whose callers came in time to this VM
	Lapsed  int // bookings that nobody took up; each VM of the zone counts them
	Lost    int // bookings whose callers came in time and were refused
}

// Counts returns the numbers of events since the start.
func (q *Quotas[T]) Counts() Counts { return q.counts }

// LineStatus is the state of what waits for an organisation's quota, for operators.
type LineStatus struct {
	Organisation contract.OrganisationName `json:"organisation"`
	Waiting      int                       `json:"waiting"`
	Bookings     int                       `json:"bookings"`
	Booked       float64                   `json:"booked"` // cost of the bookings that the zone has made
	Kept         float64                   `json:"kept"`   // of those, of callers who may come now
}

// Status returns the state of all organisations for which something waits or is booked, by name.
func (q *Quotas[T]) Status() []LineStatus {
	out := []LineStatus{}
	for o, l := range q.lines {
		out = append(out, LineStatus{
			Organisation: o, Waiting: len(l.waits), Bookings: len(l.bookings.byDigest), Booked: l.bookings.cost, Kept: l.bookings.kept,
		})
	}
	slices.SortFunc(out, func(a, b LineStatus) int { return strings.Compare(string(a.Organisation), string(b.Organisation)) })
	return out
}

// Size returns the numbers of waiting requests and of bookings.
func (q *Quotas[T]) Size() (waits, booked int) {
	for _, l := range q.lines {
		waits += len(l.waits)
		booked += len(l.bookings.byDigest)
	}
	return waits, booked
}
