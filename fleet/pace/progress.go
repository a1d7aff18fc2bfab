package pace

import "time"

const (
	// missedBy is the factor by which a stream must miss its deadline or its longest pause at the measured pace before it leaves
	// its runner. Lengths are known by hints, which are often far off.
	missedBy = 1.25
	// surelyBetter is the factor by which the rest of a stream must be faster at another runner: its times there are estimates.
	surelyBetter = 2
)

// Progress is how a stream goes on at its runner.
type Progress struct {
	Events float64       // expected to come
	Event  time.Duration // measured time between events
	MaxGap time.Duration // longest pause between events for an answer that is not late; zero: none
	Left   time.Duration // until the deadline
}

// rest returns the time that the rest of the stream takes.
func (p Progress) rest() time.Duration { return span(p.Events * float64(p.Event)) }

// Misses reports whether the stream will miss its deadline, or the pause that its route allows, by far.
func (p Progress) Misses() bool {
	return float64(p.rest()) > missedBy*float64(p.Left) || p.MaxGap > 0 && float64(p.Event) > missedBy*float64(p.MaxGap)
}

// BetterAt reports whether the stream is surely better off at another runner, where its rest is expected to take the given time.
func (p Progress) BetterAt(elsewhere time.Duration) bool {
	return surelyBetter*elsewhere < min(p.rest(), p.Left)
}
