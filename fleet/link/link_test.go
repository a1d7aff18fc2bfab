package link

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/machine"
	"github.com/mangopass/mangopass/fleet/zone"
)

const start = clock.Instant(time.Hour)

// countWithin counts the instants in the window that ends at now.
func countWithin(at []clock.Instant, now clock.Instant, window time.Duration) int {
	n := 0
	for _, a := range at {
		if !a.After(now) && now.Sub(a) <= window {
			n++
		}
	}
	return n
}

// TestFreshness guards against accepting revoked API keys. A VM that is cut off from the store goes on with an old
// manifest that still lists them, so it may serve keys only for a limited time after the last confirmation, and not at
// all before the first.
func TestFreshness(t *testing.T) {
	f := NewFreshness(3 * time.Second)
	if f.Fresh(start) {
		t.Error("fresh before the first confirmation")
	}
	f.Confirm(start)
	f.Confirm(start.Add(-time.Second)) // the answer to an earlier call arrives late
	if !f.Fresh(start.Add(2900*time.Millisecond)) || f.Fresh(start.Add(3*time.Second)) {
		t.Error("not fresh just before the bound of 3s, or still fresh at it")
	}
}

// twoRunners returns a fleet of two runners with the same model in two zones of a region, and an empty table.
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

// TestPick guards against requests that go to a farther runner without need, queue behind the requests of other VMs, or
// reach a runner that has failed them or lacks the model. The nearer runner is chosen while it is idle, the other one
// once a peer reports prefill time queued at the first.
func TestPick(t *testing.T) {
	f, table := twoRunners()
	req := Requirements{Artifact: machine.Artifact{Service: "s", Model: "m"}, PromptTokens: 500, From: "near"}
	if c, ok := table.Pick(f, req, start); !ok || c.Runner.ID != "near" {
		t.Errorf("chose %+v, want the idle runner in the same zone", c)
	}
	table.SetPeer("peer", []Load{{Runner: "near", Artifact: req.Artifact, Running: 4, Queued: 300 * time.Millisecond}})
	if c, _ := table.Pick(f, req, start); c.Runner.ID != "far" {
		t.Error("the runner with a queue reported by a peer is chosen")
	}
	req.Exclude = []machine.RunnerID{"far"}
	if c, _ := table.Pick(f, req, start); c.Runner.ID != "near" {
		t.Error("an excluded runner is chosen")
	}
	req.Artifact.Model = "other"
	if _, ok := table.Pick(f, req, start); ok {
		t.Error("a runner without the model is chosen")
	}
}

// TestPickPrefersCachedPrefix guards against reading a long prompt again at a second runner: the runner that was sent
// the prompt first is chosen again, with no prefill left, also for a request from the other runner's zone.
func TestPickPrefersCachedPrefix(t *testing.T) {
	f, table := twoRunners()
	req := Requirements{
		Artifact: machine.Artifact{Service: "s", Model: "m"}, PromptTokens: 6000, From: "far",
		Prompt: []contract.PromptPart{{ID: 1, Tokens: 5000}, {ID: 2, Tokens: 1000}},
	}
	first, _ := table.Pick(f, req, start)
	req.From = "near"
	again, _ := table.Pick(f, req, start)
	if again.Runner.ID != first.Runner.ID || again.Prefill != 0 {
		t.Errorf("chose %s, then %s with %v of prefill, want the first again with none",
			first.Runner.ID, again.Runner.ID, again.Prefill)
	}
}

// TestFailingRunnerIsEjected guards against more requests to a runner that fails them although its health check is
// good, and against never using it again: it is ejected, and chosen again after ejectionTime.
func TestFailingRunnerIsEjected(t *testing.T) {
	f, table := twoRunners()
	req := Requirements{Artifact: machine.Artifact{Service: "s", Model: "m"}, From: "near"}
	l := table.Link(f.Get("near"))
	for range 5 {
		l.Failed(start)
	}
	if c, _ := table.Pick(f, req, start); c.Runner.ID != "far" {
		t.Error("an ejected runner is chosen")
	}
	l.Unreachable(start)
	if c, _ := table.Pick(f, req, start.Add(unreachableEjectionTime)); c.Runner.ID != "far" {
		t.Error("a failed connection shortens the ejection")
	}
	if c, _ := table.Pick(f, req, start.Add(ejectionTime)); c.Runner.ID != "near" {
		t.Error("the runner is not chosen after ejectionTime")
	}
}

// TestRestartedRunnerHasNewLink guards against counting requests as running that ended when their runner restarted,
// which would make it look busy for good.
func TestRestartedRunnerHasNewLink(t *testing.T) {
	f, table := twoRunners()
	a := machine.Artifact{Service: "s", Model: "m"}
	table.Link(f.Get("near")).Sent(a, time.Second, true)
	place := machine.Place{Runner: "near", Artifact: a}
	if table.Running(place) != 1 || table.Queued("near") != time.Second {
		t.Fatal("a sent request is not counted as running, or its prefill time not as queued")
	}
	f.Announce(machine.Announcement{ID: "near", Service: "s", Address: "1.1.1.1:1", Zone: "near", Boot: 5}, start)
	table.Link(f.Get("near"))
	if table.Running(place) != 0 {
		t.Error("requests from before the restart still count")
	}
}
