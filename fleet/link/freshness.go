package link

import (
	"time"

	"github.com/mangopass/mangopass/duty/clock"
)

// Freshness is a proof that the manifest in force here was the newest one at some instant.
type Freshness struct {
	proved clock.Instant
	bound  time.Duration
}

// NewFreshness returns a proof that never held; requests with keys are served while it is younger than bound.
func NewFreshness(bound time.Duration) Freshness { return Freshness{bound: bound} }

// SetBound applies a changed bound.
func (f *Freshness) SetBound(bound time.Duration) { f.bound = bound }

// Prove notes that the manifest was the newest at an instant, which lies before the call that showed it was sent.
func (f *Freshness) Prove(at clock.Instant) { f.proved = max(f.proved, at) }

// Fresh reports whether requests with keys may be served.
func (f *Freshness) Fresh(now clock.Instant) bool {
	return f.proved != 0 && now.Sub(f.proved) < f.bound
}

// Age returns the age of the proof.
func (f *Freshness) Age(now clock.Instant) time.Duration { return now.Sub(f.proved) }
