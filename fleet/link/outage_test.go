package link

import (
	"testing"
	"time"
)

// TestSuspensionIsNoOutage guards against taking the time in which this process was suspended for an outage of the store,
// also if the call that was in progress fails afterwards.
func TestSuspensionIsNoOutage(t *testing.T) {
	const timeout, pause = 1300 * time.Millisecond, 250 * time.Millisecond
	cases := []struct {
		name   string
		failed []time.Duration // how long the failed calls took
		want   bool
	}{
		{"no call in progress", nil, false},
		{"a call in progress", []time.Duration{5 * time.Second}, false},
		{"one slow call", []time.Duration{timeout}, false},
		{"refused once", []time.Duration{time.Millisecond}, false},
		{"refused for over a second", []time.Duration{0, 0, 0, 0, 0}, true},
		{"silent", []time.Duration{timeout, timeout}, true},
	}
	for _, c := range cases {
		var o OutageTracker
		o.Answered()
		now := start
		for _, took := range c.failed {
			o.Failed(FailedCall{Sent: now, Ended: now.Add(took), Timeout: timeout, Pause: pause})
			now = now.Add(took + pause)
		}
		if got := o.Answered(); got != c.want || (o.Last().EndedAt != 0) != c.want {
			t.Errorf("%s: outage %v, want %v", c.name, got, c.want)
		}
	}
}

// TestOutageEndsBeforeItIsNoticed guards against counting from when this process notices the store's return, up to a time-out and a
// pause later: runners that leave in that time would be taken for missing too long. The time in which the process was suspended
// is no part of it.
func TestOutageEndsBeforeItIsNoticed(t *testing.T) {
	const timeout, pause = 500 * time.Millisecond, 250 * time.Millisecond
	for name, suspended := range map[string]time.Duration{"awake": 0, "suspended in the last call": 9 * time.Second} {
		var o OutageTracker
		now, before := start, Position{Revision: 7}
		for i := range 4 {
			call := FailedCall{Sent: now, Ended: now.Add(timeout), Timeout: timeout, Pause: pause, Known: before}
			if i == 3 {
				call.Ended = call.Ended.Add(suspended)
			}
			o.Failed(call)
			now, before = call.Ended.Add(pause), Position{}
		}
		if !o.Answered() || o.Last() != (Outage{EndedAt: now.Add(-pause - timeout), Before: Position{Revision: 7}}) {
			t.Errorf("%s: outage %+v, want its end when the last call was sent, and what was known at its beginning", name, o.Last())
		}
	}
}
