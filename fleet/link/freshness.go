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
	eraBeganAt  clock.Instant // first answer of the store's present era
	provesFrom  clock.Instant // what the store showed before proves nothing
}

// RewriteGrace is the time after the store's return from an older copy in which others write again what they had written
// since. Until then the store may show an older manifest than the newest one.
const RewriteGrace = 2 * time.Second

// NewFreshness returns a Freshness that was never confirmed. Requests with API keys are served while the last
// confirmation is younger than bound.
func NewFreshness(bound time.Duration) Freshness { return Freshness{bound: bound} }

// SetBound replaces the maximum age of the confirmation.
func (f *Freshness) SetBound(bound time.Duration) { f.bound = bound }

// Confirm records that the manifest was the newest at the given instant, which must not be later than the sending of
// the store call that showed it. An instant before the last confirmation has no effect, nor one at which the store may
// have shown an older copy.
func (f *Freshness) Confirm(at clock.Instant) {
	if !at.Before(f.provesFrom) {
		f.confirmedAt = max(f.confirmedAt, at)
	}
}

// BeginEra records when the first answer of a new era of the store came.
func (f *Freshness) BeginEra(at clock.Instant) { f.eraBeganAt, f.provesFrom = at, at.Add(RewriteGrace) }

// Settle records that what an older copy of the store lacked has been written again.
func (f *Freshness) Settle() { f.provesFrom = 0 }

// EraSettled reports whether the manifest has been confirmed after RewriteGrace in the store's present era.
func (f *Freshness) EraSettled() bool {
	return f.confirmedAt != 0 && !f.confirmedAt.Before(f.eraBeganAt.Add(RewriteGrace))
}

// ConfirmedAt returns the instant of the last confirmation, and false if there was none.
func (f *Freshness) ConfirmedAt() (clock.Instant, bool) { return f.confirmedAt, f.confirmedAt != 0 }

// Fresh reports whether requests with API keys may be served.
func (f *Freshness) Fresh(now clock.Instant) bool {
	return f.confirmedAt != 0 && now.Sub(f.confirmedAt) < f.bound
}

// Age returns the time since the last confirmation.
func (f *Freshness) Age(now clock.Instant) time.Duration { return now.Sub(f.confirmedAt) }
