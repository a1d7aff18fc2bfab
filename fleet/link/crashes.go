package link

import (
	"time"

	"github.com/mangopass/mangopass/duty/clock"
)

// Limits for requests that crash runners.
const (
	// crashLimit is the number of broken runs from which a request is refused.
	crashLimit = 2
	// crashWindow is the time after the last broken run for which the count is kept.
	crashWindow = 30 * time.Second
)

// CrashTracker counts the broken runs of each request, those that ended without an answer. A request is known by the
// digest of its content, which stays the same when the caller sends it again. Entry VMs tell each other of broken runs,
// since a caller may send the request again to any of them.
type CrashTracker struct {
	counts map[uint64]*crashCount // by request digest
}

// crashCount is the number of broken runs of one request and the time of the last one.
type crashCount struct {
	runs   int
	lastAt clock.Instant
}

// NewCrashTracker returns a tracker without counts.
func NewCrashTracker() *CrashTracker { return &CrashTracker{counts: make(map[uint64]*crashCount)} }

// Add counts a broken run of the request with the given digest.
func (t *CrashTracker) Add(digest uint64, now clock.Instant) {
	c := t.counts[digest]
	if c == nil || now.Sub(c.lastAt) > crashWindow {
		c = &crashCount{}
		t.counts[digest] = c
	}
	c.runs++
	c.lastAt = now
}

// Blocked reports whether a request must not be sent to a runner again, because it may be what crashes them.
func (t *CrashTracker) Blocked(digest uint64, now clock.Instant) bool {
	c := t.counts[digest]
	return c != nil && c.runs >= crashLimit && now.Sub(c.lastAt) <= crashWindow
}

// Forget drops the count of a request whose broken runs have another cause.
func (t *CrashTracker) Forget(digest uint64) { delete(t.counts, digest) }

// Len returns the number of requests with a count.
func (t *CrashTracker) Len() int { return len(t.counts) }

// Expire deletes the counts of requests without a broken run in the last crashWindow.
func (t *CrashTracker) Expire(now clock.Instant) {
	for digest, c := range t.counts {
		if now.Sub(c.lastAt) > crashWindow {
			delete(t.counts, digest)
		}
	}
}
