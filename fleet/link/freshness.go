package link

import (
	"time"

	"github.com/mangopass/mangopass/duty/clock"
)

// Freshness records when the manifest in use on this VM was last known to be the newest. An older manifest may still
// list API keys that have been revoked.
type Freshness struct {
	confirmedAt clock.Instant
	bound       time.Duration
}

// NewFreshness returns a Freshness that was never confirmed. Requests with API keys are served while the last
// confirmation is younger than bound.
func NewFreshness(bound time.Duration) Freshness { return Freshness{bound: bound} }

// SetBound replaces the maximum age of the confirmation.
func (f *Freshness) SetBound(bound time.Duration) { f.bound = bound }

// Confirm records that the manifest was the newest at the given instant, which must not be later than the sending of
// the store call that showed it. An instant before the last confirmation has no effect.
func (f *Freshness) Confirm(at clock.Instant) { f.confirmedAt = max(f.confirmedAt, at) }

// ConfirmedAt returns the instant of the last confirmation, and false if there was none.
func (f *Freshness) ConfirmedAt() (clock.Instant, bool) { return f.confirmedAt, f.confirmedAt != 0 }

// Fresh reports whether requests with API keys may be served.
func (f *Freshness) Fresh(now clock.Instant) bool {
	return f.confirmedAt != 0 && now.Sub(f.confirmedAt) < f.bound
}

// Age returns the time since the last confirmation.
func (f *Freshness) Age(now clock.Instant) time.Duration { return now.Sub(f.confirmedAt) }
