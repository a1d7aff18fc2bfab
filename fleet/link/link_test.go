package link

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/machine"
	"github.com/mangopass/mangopass/fleet/zone"
)

const start = clock.Instant(time.Hour)

// TestBudgetOverAllNodes guards the shared retry budget: whatever each node spends, no window has more repeats over all
// nodes than the rule allows for the requests in it or in the window before.
func TestBudgetOverAllNodes(t *testing.T) {
	rule := RetryBudgetRule{Ratio: 0.2, Extra: 20, Window: 10 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 5).Draw(t, "nodes")
		budgets := make([]*RetryBudget, nodes)
		for i := range budgets {
			budgets[i] = NewRetryBudget(rule)
		}
		var requests, repeats []clock.Instant
		now := start
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 120).Draw(t, "ms")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, nodes-1).Draw(t, "node")]
			if rapid.Bool().Draw(t, "request") {
				b.Request(now)
				requests = append(requests, now)
			} else if b.Take(nodes, now) {
				repeats = append(repeats, now)
			}
			allowed := rule.Ratio*float64(max(within(requests, now, rule.Window), within(requests, now.Add(-rule.Window), rule.Window))) + rule.Extra
			if got := float64(within(repeats, now, rule.Window)); got > allowed {
				t.Fatalf("%v repeats, allowed %v", got, allowed)
			}
		}
	})
}

// within counts the instants in the window that ends at now.
func within(at []clock.Instant, now clock.Instant, window time.Duration) int {
	n := 0
	for _, a := range at {
		if !a.After(now) && now.Sub(a) <= window {
			n++
		}
	}
	return n
}

// TestCrashTracker guards runners from a request that crashes each of them, and innocent requests from being refused for
// good.
func TestCrashTracker(t *testing.T) {
	s := NewCrashTracker()
	s.Add(7, start)
	if s.Blocked(7, start) {
		t.Error("out after one broken run")
	}
	s.Add(7, start.Add(time.Second))
	if !s.Blocked(7, start.Add(2*time.Second)) {
		t.Error("not out after two broken runs")
	}
	later := start.Add(time.Minute)
	s.Expire(later)
	if s.Blocked(7, later) || len(s.counts) != 0 {
		t.Error("out for good")
	}
}

// TestFreshness guards withdrawn keys at a node that was cut off: an old proof does not count, and no proof never does.
func TestFreshness(t *testing.T) {
	f := NewFreshness(3 * time.Second)
	if f.Fresh(start) {
		t.Error("fresh without a proof")
	}
	f.Confirm(start)
	f.Confirm(start.Add(-time.Second)) // an older answer that arrives late
	if !f.Fresh(start.Add(2900*time.Millisecond)) || f.Fresh(start.Add(3*time.Second)) {
		t.Error("the bound does not hold")
	}
}

func twoRunners() (*machine.Fleet, *Table) {
	f := machine.NewFleet()
	for _, id := range []machine.RunnerID{"near", "far"} {
		f.Announce(machine.Announcement{
			ID: id, Service: "s", Address: "1.1.1.1:1", Zone: zone.ID(id), Slots: 8, HasEngine: true,
			Contents: machine.Contents{Models: []machine.ReportedModel{{Model: "m"}}},
		}, start)
	}
	return f, NewTable(zone.Map{"near": "r", "far": "r"}, rand.New(rand.NewPCG(1, 2)))
}

// TestPick guards the choice of a runner: the nearer one while it is idle, the other one once prefill work is queued at
// the first by any entry VM, and neither without the model.
func TestPick(t *testing.T) {
	f, table := twoRunners()
	need := Requirements{Artifact: machine.Artifact{Service: "s", Model: "m"}, PromptTokens: 500, From: "near"}
	if c, ok := table.Pick(f, need, start); !ok || c.Runner.ID != "near" {
		t.Errorf("choice %+v", c)
	}
	table.SetPeer("peer", []Load{{Runner: "near", Artifact: need.Artifact, Running: 4, Queued: 300 * time.Millisecond}})
	if c, _ := table.Pick(f, need, start); c.Runner.ID != "far" {
		t.Error("the queue that a peer reports is ignored")
	}
	need.Exclude = []machine.RunnerID{"far"}
	if c, _ := table.Pick(f, need, start); c.Runner.ID != "near" {
		t.Error("an excluded runner is chosen")
	}
	need.Artifact.Model = "other"
	if _, ok := table.Pick(f, need, start); ok {
		t.Error("a runner without the model is chosen")
	}
}

// TestPickKeepsPrefixes guards the use of cached prompt prefixes.
func TestPickKeepsPrefixes(t *testing.T) {
	f, table := twoRunners()
	need := Requirements{
		Artifact: machine.Artifact{Service: "s", Model: "m"}, PromptTokens: 6000, From: "far",
		Prompt: []contract.PromptPart{{ID: 1, Tokens: 5000}, {ID: 2, Tokens: 1000}},
	}
	first, _ := table.Pick(f, need, start)
	need.From = "near"
	again, _ := table.Pick(f, need, start)
	if again.Runner.ID != first.Runner.ID || again.Prefill != 0 {
		t.Errorf("first %s, then %s with %v to read", first.Runner.ID, again.Runner.ID, again.Prefill)
	}
}

// TestFailingRunnerIsEjected guards against runners that fail requests while their health is good, and gives them
// another chance later.
func TestFailingRunnerIsEjected(t *testing.T) {
	f, table := twoRunners()
	need := Requirements{Artifact: machine.Artifact{Service: "s", Model: "m"}, From: "near"}
	l := table.Link(f.Get("near"))
	for range 5 {
		l.Failed(start)
	}
	if c, _ := table.Pick(f, need, start); c.Runner.ID != "far" {
		t.Error("a failing runner is chosen")
	}
	if c, _ := table.Pick(f, need, start.Add(ejection)); c.Runner.ID != "near" {
		t.Error("the runner gets no other chance")
	}
}

// TestRestartedRunnerHasAFreshLink guards against counting requests that ended with the runner's earlier start.
func TestRestartedRunnerHasAFreshLink(t *testing.T) {
	f, table := twoRunners()
	a := machine.Artifact{Service: "s", Model: "m"}
	table.Link(f.Get("near")).Sent(a, time.Second)
	place := machine.Place{Runner: "near", Artifact: a}
	if table.Running(place) != 1 || table.Queued("near") != time.Second {
		t.Fatal("a sent request does not count")
	}
	f.Announce(machine.Announcement{ID: "near", Service: "s", Address: "1.1.1.1:1", Zone: "near", Boot: 5}, start)
	table.Link(f.Get("near"))
	if table.Running(place) != 0 {
		t.Error("requests of the earlier start count")
	}
}
