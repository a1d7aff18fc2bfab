package link

import (
	"time"

	"github.com/mangopass/mangopass/duty/clock"
)

// Figures of the judgement of requests that crash runners.
const (
	// strikeLimit is the number of broken runs after which a request is refused.
	strikeLimit = 2
	// strikeMemory is how long a broken run counts.
	strikeMemory = 30 * time.Second
)

// Strikes counts, for requests that come again with the same content, the runs that broke off without an answer. Entry
// VMs exchange the counts, since a caller repeats at any of them.
type Strikes struct {
	counts map[uint64]*strike
}

type strike struct {
	n  int
	at clock.Instant
}

// NewStrikes returns an empty count.
func NewStrikes() *Strikes { return &Strikes{counts: make(map[uint64]*strike)} }

// Add counts a broken run of the request with this digest.
func (s *Strikes) Add(digest uint64, now clock.Instant) {
	c := s.counts[digest]
	if c == nil || now.Sub(c.at) > strikeMemory {
		c = &strike{}
		s.counts[digest] = c
	}
	c.n++
	c.at = now
}

// Out reports whether the request must not run again.
func (s *Strikes) Out(digest uint64, now clock.Instant) bool {
	c := s.counts[digest]
	return c != nil && c.n >= strikeLimit && now.Sub(c.at) <= strikeMemory
}

// Expire forgets old counts.
func (s *Strikes) Expire(now clock.Instant) {
	for digest, c := range s.counts {
		if now.Sub(c.at) > strikeMemory {
			delete(s.counts, digest)
		}
	}
}
