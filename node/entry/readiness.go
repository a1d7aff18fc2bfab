package entry

import (
	"sync/atomic"

	"github.com/mangopass/mangopass/duty/clock"
)

// notReadyReason says why a VM should get no new connections; empty: it should.
type notReadyReason string

// The reasons.
const (
	notReadyStopping   notReadyReason = "stopping"
	notReadyNoManifest notReadyReason = "manifest_missing"    // none has been read
	notReadyUnreadable notReadyReason = "manifest_unreadable" // the newest one, or none of its keys, can't be read
	notReadyNoRunners  notReadyReason = "runners_missing"     // their list has not been read
	notReadyStale      notReadyReason = "manifest_stale"      // the one in force may not be the newest
)

// readiness is what the readiness probe reads.
type readiness struct {
	reason atomic.Pointer[notReadyReason]
}

// get returns the reason as last reported.
func (s *readiness) get() notReadyReason {
	if reason := s.reason.Load(); reason != nil {
		return *reason
	}
	return notReadyNoManifest
}

// notReady returns why this VM should get no new connections. A manifest that is not proved prevents them only if calls need a key,
// since no other call is refused for it.
func (r *routing) notReady(now clock.Instant) notReadyReason {
	switch {
	case r.stopping:
		return notReadyStopping
	case r.manifest == nil && r.freshness.Withdrawn():
		return notReadyUnreadable
	case r.manifest == nil:
		return notReadyNoManifest
	case !r.runnersListed:
		return notReadyNoRunners
	case !r.manifest.NeedsKeys:
		return ""
	case r.freshness.Withdrawn() && !r.freshness.Fresh(now), !r.manifest.AdmitsKeys():
		return notReadyUnreadable
	case r.freshness.Fresh(now):
		return ""
	}
	return notReadyStale
}

// isReady reports whether this VM should get new connections.
func (r *routing) isReady(now clock.Instant) bool { return r.notReady(now) == "" }

// reportReadiness tells the readiness probe whether this VM is ready, and logs changes.
func (r *routing) reportReadiness(now clock.Instant) {
	reason := r.notReady(now)
	if reason == r.readiness.get() {
		return
	}
	r.readiness.reason.Store(&reason)
	r.log.Info("readiness changed", "ready", reason == "", "reason", reason, "manifest", r.manifestVersion(),
		"manifest_age_ms", r.freshness.ManifestAge(now).Milliseconds())
}
