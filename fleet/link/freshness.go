package link

import (
	"time"

	"github.com/mangopass/mangopass/duty/clock"
)

// Freshness records when what this VM knows of the store was last known to be the newest state, and whether that holds for the
// manifest in use too. An older manifest may still list API keys that have been revoked.
type Freshness struct {
	confirmedAt clock.Instant // of the store's state
	manifestAt  clock.Instant // of the manifest in use
	withdrawn   bool          // the store holds another manifest, which can't be read
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

// Confirm records that the known state of the store was the newest at the given instant, which must not be later than the
// sending of the store call that showed it. It proves the manifest in use too, unless the store holds another one that can't be read.
// An instant before the last confirmation has no effect, nor one at which the store may have shown an older copy.
func (f *Freshness) Confirm(at clock.Instant) {
	if at.Before(f.provesFrom) {
		return
	}
	f.confirmedAt = max(f.confirmedAt, at)
	if !f.withdrawn {
		f.manifestAt = max(f.manifestAt, at)
	}
}

// Withdraw records that the store holds another manifest than the one in use, which can't be read. What is confirmed from now on
// does not prove the one in use, until Restore.
func (f *Freshness) Withdraw() { f.withdrawn = true }

// Restore records that the manifest in the store can be read.
func (f *Freshness) Restore() { f.withdrawn = false }

// Withdrawn reports whether the store holds a manifest that can't be read.
func (f *Freshness) Withdrawn() bool { return f.withdrawn }

// BeginEra records when the first answer of a new era of the store came.
func (f *Freshness) BeginEra(at clock.Instant) { f.eraBeganAt, f.provesFrom = at, at.Add(RewriteGrace) }

// Settle records that what an older copy of the store lacked has been written again.
func (f *Freshness) Settle() { f.provesFrom = 0 }

// EraSettled reports whether the store's state has been confirmed after RewriteGrace in the store's present era.
func (f *Freshness) EraSettled() bool {
	return f.confirmedAt != 0 && !f.confirmedAt.Before(f.eraBeganAt.Add(RewriteGrace))
}

// ConfirmedAt returns the instant at which the store's state was last confirmed, and false if it never was.
func (f *Freshness) ConfirmedAt() (clock.Instant, bool) { return f.confirmedAt, f.confirmedAt != 0 }

// Fresh reports whether requests with API keys may be served.
func (f *Freshness) Fresh(now clock.Instant) bool {
	return f.manifestAt != 0 && now.Sub(f.manifestAt) < f.bound
}

// ManifestAge returns the time since the manifest in use was last known to be the newest.
func (f *Freshness) ManifestAge(now clock.Instant) time.Duration { return now.Sub(f.manifestAt) }

// StoreAge returns the time since the store's state was last confirmed.
func (f *Freshness) StoreAge(now clock.Instant) time.Duration { return now.Sub(f.confirmedAt) }
