package machine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mangopass/mangopass/duty/clock"
)

// TestLeaderChangeKeepsPause guards against orders of two leaders that follow each other without the pause. That could
// happen if a lease renewal gets no answer or if a leader is suspended: it would go on giving orders after the store
// has granted its holder key to another VM. The test's model of the store grants the key to one VM at a time.
func TestLeaderChangeKeepsPause(t *testing.T) {
	const ttl, pause = 3 * time.Second, 3 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		leaderships := make([]Leadership, 3)
		holder, leaseEnd, fence := -1, clock.Instant(0), int64(0)
		lastNode, lastAt := -1, clock.Instant(0)
		previous := -1
		for now := start; now < start.Add(60*time.Second); {
			now = now.Add(time.Duration(rapid.IntRange(1, 800).Draw(t, "ms")) * time.Millisecond)
			if holder >= 0 && now.After(leaseEnd) {
				holder = -1
			}
			n := rapid.IntRange(0, len(leaderships)-1).Draw(t, "node")
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0: // a claim, just after the renewal of the VM's lease
				if holder >= 0 {
					break
				}
				holder, leaseEnd = n, now.Add(ttl)
				fence++
				wait := pause
				if previous == n || previous < 0 {
					wait = 0
				}
				leaderships[n].Begin(Term{Holder: fmt.Sprint(n), Fence: fence}, now.Add(wait), now.Add(ttl))
				previous = n
			case 1: // a renewal, whose answer may be lost
				if holder == n {
					leaseEnd = now.Add(ttl)
					if rapid.Bool().Draw(t, "answered") {
						leaderships[n].Renew(now.Add(ttl))
					}
				}
			default: // an order
				if !leaderships[n].MayOrder(now) {
					break
				}
				if lastNode >= 0 && lastNode != n && now.Sub(lastAt) < pause {
					t.Fatalf("orders of VMs %d and %d are only %v apart", lastNode, n, now.Sub(lastAt))
				}
				lastNode, lastAt = n, now
			}
		}
	})
}

// TestExpiredTermGivesNoOrders guards against orders of a leader that was suspended: its lease ends without any event
// that tells it.
func TestExpiredTermGivesNoOrders(t *testing.T) {
	var leadership Leadership
	leadership.Begin(Term{Holder: "a", Fence: 1}, start, start.Add(3*time.Second))
	var o Order
	leadership.Stamp(&o)
	if !leadership.MayOrder(start.Add(time.Second)) || leadership.MayOrder(start.Add(3*time.Second)) {
		t.Error("orders are not allowed within the lease, or are allowed after it")
	}
	if o.Expires.After(start.Add(3 * time.Second)) {
		t.Error("a stamped order expires after the lease")
	}
}

// TestEveryShardIsUsed guards against a hash that gives a shard outside of the range, or that leaves shards without
// runners.
func TestEveryShardIsUsed(t *testing.T) {
	used := map[Shard]bool{}
	for i := range 200 {
		s := ShardOf(RunnerID(fmt.Sprint("runner-", i)))
		if s < 0 || s >= Shards {
			t.Fatalf("shard %d is out of range", s)
		}
		used[s] = true
	}
	if len(used) != Shards {
		t.Errorf("200 runners use only %d shards", len(used))
	}
}
