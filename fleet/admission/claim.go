package admission

import (
	"math"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
)

// Supply is what a VM knows of the quota of an organisation.
type Supply struct {
	Level    float64 // cost that can be admitted now; negative: the VMs together have admitted too much
	Rate     float64 // cost a second that is added for all VMs together
	Capacity float64 // highest level
	Whole    float64 // highest level while all VMs are heard; Capacity is a part of it otherwise
	VMs      int     // that use the quota, this one included
	Zone     int     // of those, the ones in this zone, which know each other's bookings
}

// zones returns the ratio of all VMs to those of the zone.
func (s Supply) zones() float64 { return float64(max(1, s.VMs)) / float64(max(1, s.Zone)) }

// filled returns the time in which a share of the rate adds up to a cost.
func (s Supply) filled(cost, share float64) time.Duration {
	switch {
	case cost <= 0:
		return 0
	case s.Rate <= 0:
		return math.MaxInt32 * time.Second
	}
	return time.Duration(min(cost/(s.Rate*share), math.MaxInt32) * float64(time.Second))
}

// Claim is a request's claim to a part of its organisation's quota.
type Claim struct {
	Digest   uint64
	Cost     float64
	Order    Order
	Deadline clock.Instant
	Spread   float64 // random, from 0 to 1: spreads the return of callers that are refused together
}

// Action is what becomes of a request now.
type Action int

// The actions.
const (
	Admit Action = iota
	Hold         // it waits
	Refuse
)

// Reason says why a request is refused.
type Reason string

// The reasons of refusals.
const (
	Booked     Reason = "booked"      // its quota is booked for the caller's return
	Early      Reason = "early"       // the caller has come before the time of its booking, which is kept
	TooLate    Reason = "too_late"    // the quota has room only after the time at which the caller comes again
	NotKept    Reason = "not_kept"    // the caller has come at the time of its booking, and the quota has no room
	TooLarge   Reason = "too_large"   // the quota can never have that much room
	StillEmpty Reason = "still_empty" // the caller has waited as long as it could be in time, and can't be booked
)

// QuotaReasons returns the reasons of refusals for lack of quota.
func QuotaReasons() []Reason { return []Reason{Booked, Early, TooLate, NotKept, TooLarge, StillEmpty} }

// Decision is what becomes of a claim.
type Decision struct {
	Action     Action
	Expected   time.Duration // Hold: the wait that is expected
	Until      clock.Instant // Hold: it is refused then
	Reason     Reason        // Refuse
	RetryAfter time.Duration // Refuse
	TookUp     bool          // the caller has come at the time of its booking
}
