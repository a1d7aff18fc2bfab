package contract

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mangopass/mangopass/duty/clock"
)

const second = clock.Instant(time.Second)

type admitted struct {
	at   clock.Instant
	cost float64
}

// most returns the largest sum of costs in any window of the given length.
func most(events []admitted, window time.Duration) float64 {
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

// TestQuotaBoundsEveryWindow guards the limit over all entry VMs: whatever the nodes admit together stays under rate x
// window + burst plus what they can admit between two reports.
func TestQuotaBoundsEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{PerSecond: 100, Burst: 50, InTokens: true}
		nodes := rapid.IntRange(1, 5).Draw(t, "nodes")
		now := second
		quotas := make([]*Quota, nodes)
		for i := range quotas {
			quotas[i] = NewQuota(limit, QuotaSlack{}, 1, now)
		}
		names := []string{"a", "b", "c", "d", "e"}
		var events []admitted
		between, lag := 0.0, 0.0 // admitted since the last reports, and the most ever
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			n := rapid.IntRange(0, nodes-1).Draw(t, "node")
			cost := float64(rapid.IntRange(1, 40).Draw(t, "cost"))
			if quotas[n].Take(cost, now) {
				events = append(events, admitted{now, cost})
				between += cost
				lag = max(lag, between)
			}
			if rapid.IntRange(0, 2).Draw(t, "report") == 0 {
				for i, q := range quotas {
					for j, other := range quotas {
						if i != j {
							q.ApplyPeerUsage(names[j], 1, other.Own(), now)
						}
					}
				}
				between = 0
			}
		}
		for _, window := range []time.Duration{time.Second, 4 * time.Second} {
			bound := limit.PerSecond*window.Seconds() + limit.Burst + float64(nodes)*lag
			if got := most(events, window); got > bound+0.001 {
				t.Fatalf("%v admitted in %v, bound %v", got, window, bound)
			}
		}
	})
}

// TestQuotaHearsFirstReport guards against a second burst: what a peer admitted before its first report was heard has to
// count, whether it started with this process or long before.
func TestQuotaHearsFirstReport(t *testing.T) {
	limit := Limit{PerSecond: 100, Burst: 50, InTokens: true}
	a, b := NewQuota(limit, QuotaSlack{}, 1, second), NewQuota(limit, QuotaSlack{}, 1, second)
	if !a.Take(50, second) {
		t.Fatal("the burst is refused")
	}
	b.Take(20, second)
	b.ApplyPeerUsage("a", 1, a.Own(), second)
	if b.Level(second) != -20 {
		t.Errorf("level %v after bursts at two nodes", b.Level(second))
	}
	c := NewQuota(limit, QuotaSlack{}, 1, second)
	c.AdoptPeerLevel("a", 1, 1e9, a.Level(second), 0, second)
	if c.Take(1, second) {
		t.Error("the burst is admitted again by a new process")
	}
}

// TestQuotaShare guards a node that is cut off from its peers: it spends its own part only.
func TestQuotaShare(t *testing.T) {
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
		t.Errorf("admitted %v of %v", total, bound)
	}
}

// TestQuotaRefund guards requests that were admitted and never sent.
func TestQuotaRefund(t *testing.T) {
	q := NewQuota(Limit{PerSecond: 1, Burst: 10, InTokens: true}, QuotaSlack{}, 1, second)
	if !q.Take(10, second) || q.Take(1, second) {
		t.Fatal("the burst is not 10")
	}
	q.Refund(10, second)
	if !q.Take(10, second) || q.Own() != 10 {
		t.Errorf("own %v after refund", q.Own())
	}
}

// TestQuotaLowered guards a lowered limit on both sides: from then on no window exceeds it, and an organisation that used
// most of a large burst is not refused for longer than its new rate asks for.
func TestQuotaLowered(t *testing.T) {
	q := NewQuota(Limit{PerSecond: 1000, Burst: 10000, InTokens: true}, QuotaSlack{}, 1, second)
	q.Take(8000, second)
	q.SetLimit(Limit{PerSecond: 10, Burst: 40, InTokens: true}, second)
	if q.Level(second) > 8 {
		t.Errorf("level %v: a fifth was left of the former burst", q.Level(second))
	}
	total := 0.0
	for now := second; now <= 11*second; now = now.Add(10 * time.Millisecond) {
		for q.Take(1, now) {
			total++
		}
	}
	if total > 10*10+8 || total < 10*10 {
		t.Errorf("%v admitted in ten seconds at 10 a second", total)
	}
}

// TestQuotaStartsLow guards the limit over a restart of all VMs: the new processes know nothing of what was used before.
func TestQuotaStartsLow(t *testing.T) {
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
		t.Errorf("admitted %v of %v", total, bound)
	}
}
