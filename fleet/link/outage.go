package link

import (
	"time"

	"github.com/mangopass/mangopass/duty/clock"
)

// minOutage is the shortest time of failed calls in a row that counts as an outage of the platform's store. They must be
// several: a call that was in progress while this process was suspended fails too.
const (
	minOutage      = time.Second
	minOutageCalls = 2
)

// OutageTracker tells whether the platform's store was away. It counts the time of failed calls, not the time without an
// answer: while this process is suspended, it makes no calls and gets no answers either.
type OutageTracker struct {
	failed  time.Duration // of the calls in a row, with the pauses after them
	calls   int
	endedAt clock.Instant
}

// Failed counts a failed call: the time that it took, no more than its time-out, and the pause after it.
func (o *OutageTracker) Failed(took, timeout, pause time.Duration) {
	o.failed += min(took, timeout) + pause
	o.calls++
}

// Answered records an answer of the store, which ends an outage.
func (o *OutageTracker) Answered(now clock.Instant) {
	if o.failed > minOutage && o.calls >= minOutageCalls {
		o.endedAt = now
	}
	o.Reset()
}

// Reset forgets the failed calls without the end of an outage: the store's changes have come another way.
func (o *OutageTracker) Reset() { o.failed, o.calls = 0, 0 }

// EndedAt returns when the last outage ended; zero: there was none.
func (o *OutageTracker) EndedAt() clock.Instant { return o.endedAt }
