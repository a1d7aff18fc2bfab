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
		o.Answered(start)
		for _, took := range c.failed {
			o.Failed(took, timeout, pause)
		}
		o.Answered(start.Add(6 * time.Second))
		if got := o.EndedAt() != 0; got != c.want {
			t.Errorf("%s: outage %v, want %v", c.name, got, c.want)
		}
	}
}
