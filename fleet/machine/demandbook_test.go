package machine

import (
	"testing"
	"time"
)

// TestDemandBook guards against a planner that sees waiting requests twice, or after they have ended: what waits below is
// replaced by each report and repeated by each Take, while arrivals are passed on once.
func TestDemandBook(t *testing.T) {
	b, a := NewDemandBook(), artifact(1, 0)
	b.Arrived(DemandReport{Artifact: a, Arrivals: 1, Urgent: 1, Work: time.Millisecond})
	b.Merge("n2", []DemandReport{
		{Artifact: a, Arrivals: 2, Waiting: 3, Timely: 1, Due: time.Second, Held: 2, Work: time.Millisecond},
	}, start)
	own := []WaitingRequest{
		{Artifact: a, Due: start.Add(400 * time.Millisecond)},
		{Artifact: a, Due: start.Add(-time.Second), HeldUntil: start.Add(time.Second)},
	}
	now := start.Add(100 * time.Millisecond)
	first := b.Take(own, now)
	want := DemandReport{
		Artifact: a, Waiting: 5, Timely: 2, Due: 300 * time.Millisecond, Arrivals: 3, Urgent: 1, Held: 3,
		Work: 2 * time.Millisecond,
	}
	if len(first) != 1 || first[0] != want {
		t.Errorf("first report %+v, want %+v", first, want)
	}
	if again := b.Take(nil, now); len(again) != 1 || again[0].Waiting != 3 || again[0].Arrivals != 0 {
		t.Errorf("second report %+v, want the three requests that wait below and no arrivals", again)
	}
	b.Merge("n2", nil, now)
	if last := b.Take(nil, now); len(last) != 0 {
		t.Errorf("report %+v after nothing waits any more", last)
	}
}
