package contract

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mangopass/mangopass/duty/clock"
)

const second = clock.Instant(time.Second)

type admittedCost struct {
	at   clock.Instant
	cost float64
}

// maxInWindow returns the largest sum of costs in any window of the given length. The events are in order of time.
func maxInWindow(events []admittedCost, window time.Duration) float64 {
	best, sum, from := 0.0, 0.0, 0
	for _, e := range events {
		sum += e.cost
		for e.at.Sub(events[from].at) > window {
			sum -= events[from].cost
			from++
		}
		best = max(best, sum)
	}
	return best
}

// TestQuotaBoundsEveryWindow guards against VMs that together admit more than the limit. In any window they may admit
// rate x window + burst, and for each VM what was admitted at most between two reports, which it did not know of.
func TestQuotaBoundsEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{PerSecond: 100, Burst: 50, InTokens: true}
		vms := rapid.IntRange(1, 5).Draw(t, "VMs")
		now := second
		quotas := make([]*Quota, vms)
		for i := range quotas {
			quotas[i] = NewQuota(limit, QuotaSlack{}, 1, now)
		}
		names := []string{"a", "b", "c", "d", "e"}
		var events []admittedCost
		sinceReports, maxBetweenReports := 0.0, 0.0 // cost admitted since the last reports, and its maximum
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			n := rapid.IntRange(0, vms-1).Draw(t, "VM")
			cost := float64(rapid.IntRange(1, 40).Draw(t, "cost"))
			if quotas[n].Take(cost, now) {
				events = append(events, admittedCost{now, cost})
				sinceReports += cost
				maxBetweenReports = max(maxBetweenReports, sinceReports)
			}
			if rapid.IntRange(0, 2).Draw(t, "report") == 0 {
				for i, q := range quotas {
					for j, other := range quotas {
						if i != j {
							q.ApplyPeerUsage(names[j], 1, other.Own(), now)
						}
					}
				}
				sinceReports = 0
			}
		}
		for _, window := range []time.Duration{time.Second, 4 * time.Second} {
			bound := limit.PerSecond*window.Seconds() + limit.Burst + float64(vms)*maxBetweenReports
			if got := maxInWindow(events, window); got > bound+0.001 {
				t.Fatalf("admitted %v in a window of %v, want at most %v", got, window, bound)
			}
		}
	})
}

// TestQuotaCountsUsageBeforeFirstReport guards against a second burst, which is granted if a process does not count
// what a peer admitted before its first report. The peer may have started with this process or long before it.
func TestQuotaCountsUsageBeforeFirstReport(t *testing.T) {
	limit := Limit{PerSecond: 100, Burst: 50, InTokens: true}
	a, b := NewQuota(limit, QuotaSlack{}, 1, second), NewQuota(limit, QuotaSlack{}, 1, second)
	if !a.Take(50, second) {
		t.Fatal("the first burst is refused")
	}
	b.Take(20, second)
	b.ApplyPeerUsage("a", 1, a.Own(), second)
	if b.Level(second) != -20 {
		t.Errorf("level %v after 50 and 20 were admitted at two VMs, want -20", b.Level(second))
	}
	c := NewQuota(limit, QuotaSlack{}, 1, second)
	c.AdoptPeerLevel("a", 1, 1e9, a.Level(second), 0, second)
	if c.Take(1, second) {
		t.Error("the burst is admitted again by a new process")
	}
}

// TestQuotaShareBoundsIsolatedVM guards against a VM that is cut off from its peers and admits more than its own part
// of the limit.
func TestQuotaShareBoundsIsolatedVM(t *testing.T) {
	limit := Limit{PerSecond: 100, Burst: 100, InTokens: true}
	q := NewQuota(limit, QuotaSlack{}, 1, second)
	q.SetShare(0.25, second)
	total := 0.0
	for now := second; now < 11*second; now = now.Add(10 * time.Millisecond) {
		if q.Take(5, now) {
			total += 5
		}
	}
	if bound := 0.25 * (100*10 + 100); total > bound {
		t.Errorf("admitted %v, want at most %v", total, bound)
	}
}

// TestQuotaRefundRestoresLevel guards against a quota that stays charged for requests that were admitted but never
// sent.
func TestQuotaRefundRestoresLevel(t *testing.T) {
	q := NewQuota(Limit{PerSecond: 1, Burst: 10, InTokens: true}, QuotaSlack{}, 1, second)
	if !q.Take(10, second) || q.Take(1, second) {
		t.Fatal("the quota does not admit exactly the burst of 10")
	}
	q.Refund(10, second)
	if !q.Take(10, second) || q.Own() != 10 {
		t.Errorf("a refunded burst is not admitted again, or is counted twice: %v admitted, want 10", q.Own())
	}
}

// TestQuotaLoweredLimit guards against both errors after a limit was lowered: windows that exceed the new limit, and an
// organisation that had used most of a large burst and is refused for longer than the new rate requires.
func TestQuotaLoweredLimit(t *testing.T) {
	q := NewQuota(Limit{PerSecond: 1000, Burst: 10000, InTokens: true}, QuotaSlack{}, 1, second)
	q.Take(8000, second)
	q.SetLimit(Limit{PerSecond: 10, Burst: 40, InTokens: true}, second)
	if q.Level(second) > 8 {
		t.Errorf("level %v, want at most 8: a fifth of the former burst was left, and the new burst is 40",
			q.Level(second))
	}
	total := 0.0
	for now := second; now <= 11*second; now = now.Add(10 * time.Millisecond) {
		for q.Take(1, now) {
			total++
		}
	}
	if total > 10*10+8 || total < 10*10 {
		t.Errorf("admitted %v in 10 s at 10 per second, want 100 to 108", total)
	}
}

// TestQuotaBoundsUsageOverRestart guards against a second burst after a restart of all VMs: the new processes do not
// know what was used before.
func TestQuotaBoundsUsageOverRestart(t *testing.T) {
	limit := Limit{PerSecond: 100, Burst: 100, InTokens: true}
	before := NewQuota(limit, QuotaSlack{}, 1, second)
	total := 0.0
	take := func(q *Quota, from, to clock.Instant) {
		for now := from; now < to; now = now.Add(10 * time.Millisecond) {
			for q.Take(5, now) {
				total += 5
			}
		}
	}
	take(before, second, 3*second)
	take(NewQuota(limit, QuotaSlack{}, 0.1, 3*second), 3*second, 5*second)
	if bound := 100*4 + 100 + 10.0; total > bound {
		t.Errorf("admitted %v, want at most %v", total, bound)
	}
}

// TestUsageIsNotReportedAgain guards against refusing an organisation's requests at all VMs after a planned stop of a relay.
// A VM that relays again, or reports to a VM that was below it, must not report what the other side has got on another
// way in the meantime.
func TestUsageIsNotReportedAgain(t *testing.T) {
	q := NewQuota(Limit{PerSecond: 1000, Burst: 100000, InTokens: true}, QuotaSlack{}, 1, second)
	relayOf := func(zone string) Neighbour { return Neighbour{Zone: zone} }
	use := func(peer string, cost float64) {
		q.Take(cost, second)
		q.Offer(peer)
		q.Confirm(peer)
	}
	q.Connect("a", relayOf("x"), "home") // before the relay of this zone is known
	use("a", 10)
	q.Disconnect("a")
	q.Connect("parent", relayOf("home"), "home")
	use("parent", 5000)
	q.Take(70, second) // not confirmed when the parent stops
	q.Disconnect("parent")
	q.Connect("a", relayOf("x"), "home")
	q.Connect("b", relayOf("y"), "home")
	if a, b := q.TotalFor("a"), q.TotalFor("b"); a != 70 || b != 70 {
		t.Errorf("totals of %v and %v for two relays, want the 70 that the parent has not confirmed", a, b)
	}
	q.Connect("child", Neighbour{Zone: "home", Below: true}, "home")
	use("a", 300)
	q.Offer("child")
	q.Confirm("child")
	q.Take(7, second) // not confirmed by the child
	q.Disconnect("child")
	q.Connect("child", relayOf("home"), "home")
	if got := q.TotalFor("child"); got != 7 {
		t.Errorf("a total of %v for a VM that was below this one and knows all but 7", got)
	}
	q.Disconnect("child")
	q.Connect("parent", relayOf("home"), "home")
	if got := q.TotalFor("parent"); got != 7 {
		t.Errorf("a total of %v for the former parent, want 7: the relays of the other zones have confirmed the rest", got)
	}
}
