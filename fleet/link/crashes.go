package link

import (
	"time"

	"github.com/mangopass/mangopass/duty/clock"
)

// Figures of the judgement of requests that crash runners.
const (
	// crashLimit is the number of broken runs after which a request is refused.
	crashLimit = 2
	// crashWindow is how long a broken run counts.
	crashWindow = 30 * time.Second
)

// CrashTracker counts, for requests that come again with the same content, the runs that broke off without an answer. Entry
// VMs exchange the counts, since a caller repeats at any of them.
type CrashTracker struct {
	counts map[uint64]*crashCount
}

type crashCount struct {
	n  int
	at clock.Instant
}

// NewCrashTracker returns an empty count.
func NewCrashTracker() *CrashTracker { return &CrashTracker{counts: make(map[uint64]*crashCount)} }

// Add counts a broken run of the request with this digest.
func (s *CrashTracker) Add(digest uint64, now clock.Instant) {
	c := s.counts[digest]
	if c == nil || now.Sub(c.at) > crashWindow {
		c = &crashCount{}
		s.counts[digest] = c
	}
	c.n++
	c.at = now
}

// Blocked reports whether the request must not run again.
func (s *CrashTracker) Blocked(digest uint64, now clock.Instant) bool {
	c := s.counts[digest]
	return c != nil && c.n >= crashLimit && now.Sub(c.at) <= crashWindow
}

// Expire forgets old counts.
func (s *CrashTracker) Expire(now clock.Instant) {
	for digest, c := range s.counts {
		if now.Sub(c.at) > crashWindow {
			delete(s.counts, digest)
		}
	}
}
