package link

import (
	"testing"
	"time"

	"github.com/mangopass/mangopass/fleet/machine"
)

// TestOlderStatementOfLimitIsIgnored guards against a limit that comes back, or ends, by a statement that was on its way
// from another VM while the runner had already stated something else.
func TestOlderStatementOfLimitIsIgnored(t *testing.T) {
	_, table := twoRunners()
	r := &machine.Runner{ID: "near", Boot: 1}
	table.Limits.State(r, 2, start, start)
	table.Limits.State(r, 0, start.Add(2*time.Second), start.Add(2*time.Second))
	table.Limits.State(r, 2, start.Add(time.Second), start.Add(3*time.Second))
	if table.Limits.Limited(r) || r.RateLimit != 0 {
		t.Errorf("limit %v after it has ended, want none", r.RateLimit)
	}
	table.Limits.State(r, 3, start.Add(4*time.Second), start.Add(4*time.Second))
	table.Limits.State(r, 0, start.Add(3*time.Second), start.Add(5*time.Second))
	if !table.Limits.Limited(r) || r.RateLimit != 3 {
		t.Errorf("limit %v, want the newest one, 3", r.RateLimit)
	}
}

// TestLimitsOfGoneRunnersAreForgotten guards against memory that grows with each runner ever seen.
func TestLimitsOfGoneRunnersAreForgotten(t *testing.T) {
	f, table := twoRunners()
	for _, r := range f.All() {
		table.Limits.State(r, 2, start, start)
	}
	f.Remove("near", start)
	table.Prune(f)
	if n := len(table.Limits.All()); n != 1 {
		t.Errorf("%d limits after one of two runners is gone, want 1", n)
	}
}
