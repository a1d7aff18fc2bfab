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

// Outage is an absence of the platform's store as one VM saw it. It may have been that VM's alone.
type Outage struct {
	// EndedAt is the earliest instant at which it can have ended: when the last call was sent that failed. The first call that
	// succeeds comes up to a time-out and a pause later. Zero: there was no outage.
	EndedAt clock.Instant
	Before  Position // up to which the VM knew the store's changes when it began
}

// OutageTracker tells whether the platform's store was away. It counts the time of failed calls, not the time without an
// answer: while this process is suspended, it makes no calls and gets no answers either.
type OutageTracker struct {
	failed   time.Duration // of the calls in a row, with the pauses after them
	calls    int
	lastSent clock.Instant // of these calls
	before   Position
	last     Outage
}

// FailedCall is a call to the store without an answer.
type FailedCall struct {
	Sent, Ended clock.Instant
	Timeout     time.Duration
	Pause       time.Duration // until the next call
	Known       Position      // up to which the store's changes are known
}

// Failed counts a failed call: the time that it took, no more than its time-out, and the pause after it.
func (o *OutageTracker) Failed(c FailedCall) {
	if o.calls == 0 {
		o.before = c.Known
	}
	took := min(c.Ended.Sub(c.Sent), c.Timeout)
	o.failed += took + c.Pause
	o.calls++
	o.lastSent = c.Ended.Add(-took) // without the time in which this process was suspended
}

// Answered records an answer of the store, and reports whether it ends an outage.
func (o *OutageTracker) Answered() bool {
	ended := o.failed > minOutage && o.calls >= minOutageCalls
	if ended {
		o.last = Outage{EndedAt: o.lastSent, Before: o.before}
	}
	o.Reset()
	return ended
}

// Reset forgets the failed calls without the end of an outage: the store's changes have come another way.
func (o *OutageTracker) Reset() { o.failed, o.calls = 0, 0 }

// Last returns the last outage that has ended.
func (o *OutageTracker) Last() Outage { return o.last }
