package link

import (
	"time"

	"github.com/mangopass/mangopass/duty/clock"
)

// Freshness is a proof that the manifest in force here was the newest one at some instant.
type Freshness struct {
	confirmedAt clock.Instant
	bound       time.Duration
}

// NewFreshness returns a proof that never held; requests with keys are served while it is younger than bound.
func NewFreshness(bound time.Duration) Freshness { return Freshness{bound: bound} }

// SetBound applies a changed bound.
func (f *Freshness) SetBound(bound time.Duration) { f.bound = bound }

// Confirm notes that the manifest was the newest at an instant, which lies before the call that showed it was sent.
func (f *Freshness) Confirm(at clock.Instant) { f.confirmedAt = max(f.confirmedAt, at) }

// Fresh reports whether requests with keys may be served.
func (f *Freshness) Fresh(now clock.Instant) bool {
	return f.confirmedAt != 0 && now.Sub(f.confirmedAt) < f.bound
}

// Age returns the age of the proof.
func (f *Freshness) Age(now clock.Instant) time.Duration { return now.Sub(f.confirmedAt) }
