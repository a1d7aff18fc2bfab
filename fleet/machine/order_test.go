package machine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mangopass/mangopass/duty/clock"
)

// TestTermsKeepApart guards the pause between two leaders under lost renewals and suspended holders: no two nodes
// may give orders within the pause of each other. The store is the oracle: it grants the key to one node at a time.
func TestTermsKeepApart(t *testing.T) {
	const ttl, pause = 3 * time.Second, 3 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		tenures := make([]Leadership, 3)
		holder, ends, fence := -1, clock.Instant(0), int64(0)
		lastNode, lastAt := -1, clock.Instant(0)
		previous := -1
		for now := start; now < start.Add(60*time.Second); {
			now = now.Add(time.Duration(rapid.IntRange(1, 800).Draw(t, "ms")) * time.Millisecond)
			if holder >= 0 && now.After(ends) {
				holder = -1
			}
			n := rapid.IntRange(0, len(tenures)-1).Draw(t, "node")
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0: // claim; the node's lease was renewed a little earlier
				if holder >= 0 {
					break
				}
				holder, ends = n, now.Add(ttl)
				fence++
				quiet := pause
				if previous == n || previous < 0 {
					quiet = 0
				}
				tenures[n].Begin(Term{Holder: fmt.Sprint(n), Fence: fence}, now, quiet, now.Add(ttl))
				previous = n
			case 1: // renewal, whose answer may be lost
				if holder == n {
					ends = now.Add(ttl)
					if rapid.Bool().Draw(t, "answered") {
						tenures[n].Renew(now.Add(ttl))
					}
				}
			default: // an order
				if !tenures[n].MayOrder(now) {
					break
				}
				if lastNode >= 0 && lastNode != n && now.Sub(lastAt) < pause {
					t.Fatalf("orders of %d and %d are %v apart", lastNode, n, now.Sub(lastAt))
				}
				lastNode, lastAt = n, now
			}
		}
	})
}

// TestExpiredTermGivesNoOrders guards a holder that was suspended: its lease has run out although nobody told it.
func TestExpiredTermGivesNoOrders(t *testing.T) {
	var leadership Leadership
	leadership.Begin(Term{Holder: "a", Fence: 1}, start, 0, start.Add(3*time.Second))
	var o Order
	leadership.Stamp(&o)
	if !leadership.MayOrder(start.Add(time.Second)) || leadership.MayOrder(start.Add(3*time.Second)) {
		t.Error("the term does not end with its lease")
	}
	if o.Expires.After(start.Add(3 * time.Second)) {
		t.Error("a signed order outlives the lease")
	}
}

func TestShardsSpread(t *testing.T) {
	used := map[Shard]bool{}
	for i := range 200 {
		s := ShardOf(RunnerID(fmt.Sprint("runner-", i)))
		if s < 0 || s >= Shards {
			t.Fatalf("shard %d", s)
		}
		used[s] = true
	}
	if len(used) != Shards {
		t.Errorf("%d shards of 200 runners in use", len(used))
	}
}
