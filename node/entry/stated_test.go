package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/link"
	"github.com/mangopass/mangopass/fleet/machine"
	"github.com/mangopass/mangopass/platform"
)

// states lets a runner's process state something in an answer.
func (h *harness) states(id machine.RunnerID, boot int64, s platform.Stated) {
	h.apply(runnerStated{process: machine.Process{Runner: id, Boot: boot}, stated: s, at: h.now})
}

// sentTo sends n requests of the plain service and returns how many reached a runner.
func (h *harness) sentTo(id machine.RunnerID, n int) int {
	sent := 0
	for range n {
		c, d := h.admitCall("/open/", "")
		if d == nil {
			h.apply(callCancelled{call: c})
		} else if d.refusal == nil {
			if d.attempt.runner == id {
				sent++
			}
			h.endAttempt(c, d.attempt, resultServed)
		}
	}
	return sent
}

// TestLeavingRunnerGetsNoRequests guards a runner that has said in an answer that it leaves against requests, whatever the
// store says of the same process afterwards: that it is ready, that it is gone and back, or what an older copy shows.
func TestLeavingRunnerGetsNoRequests(t *testing.T) {
	h := newHarness()
	m := h.listed(link.Position{Era: link.FirstEra, Revision: 30}, 1, 20)
	m.runners = []runnerChange{announced("r1", 1, 3), announced("r2", 1, 3)}
	h.apply(m)
	h.states("r1", 1, platform.Stated{Leaving: true})
	check := func(when string, want bool) {
		t.Helper()
		if n := h.sentTo("r1", 30); (n > 0) != want {
			t.Errorf("%s: %d of 30 requests to the runner that leaves, want some: %v", when, n, want)
		}
	}
	check("after the answer", false)
	write := func(changes ...runnerChange) {
		h.apply(storeChanged{position: h.changes.Position(), sent: h.now, runners: changes})
		h.onTick(h.now)
	}
	write(announced("r1", 1, 9))
	check("entry written again", false)
	write(runnerChange{id: "r1", gone: true})
	write(announced("r1", 1, 10))
	check("entry removed and back", false)
	m = h.listed(restored(25), 1, 20)
	m.runners = []runnerChange{announced("r1", 1, 2), announced("r2", 1, 2)}
	h.apply(m)
	check("in an older copy of the store", false)
	h.states("r1", 2, platform.Stated{Leaving: true}) // of a process whose entry has not been read yet
	write(announced("r1", 2, 1))
	check("statement before the entry", false)
	h.states("r1", 1, platform.Stated{Leaving: true})
	write(announced("r1", 3, 1))
	check("started again", true)
}

// TestLeavingIsToldToAllVMs guards against a runner that each VM has to hear itself, and against a report that brings one
// back: all VMs know it from the answer to one of them, also without the store, and one that joins later too.
func TestLeavingIsToldToAllVMs(t *testing.T) {
	c := newCluster(t, 2)
	c.run(time.Second)
	c.vms[c.order[0]].states("e1", 0, platform.Stated{Leaving: true})
	c.run(500 * time.Millisecond)
	for _, name := range c.order {
		if runner := c.vms[name].fleet.Get("e1"); !runner.StatedLeaving || runner.Usable(c.vms[name].now) {
			t.Errorf("%s does not know that e1 leaves", name)
		}
	}
	late := c.vms[c.order[3]]
	late.fleet.Get("e1").StatedLeaving = false // as after a restart
	c.run(2 * wholePeriod)
	if !late.fleet.Get("e1").StatedLeaving {
		t.Error("a VM that has missed the report does not learn that e1 leaves")
	}
}

// TestPauseIsKept guards a runner that has asked this VM for a pause against requests and retries in it, and against a
// flood as it ends. The VM must not take the pause for a failure, and must use the runner again.
func TestPauseIsKept(t *testing.T) {
	h := newHarness()
	h.setUp("r1")
	h.states("r1", 0, platform.Stated{Pause: 2 * time.Second})
	h.states("r1", 0, platform.Stated{Pause: time.Second}) // of an earlier request
	begin := h.now
	var at []time.Duration
	for h.now.Sub(begin) < 4*time.Second {
		for range h.sentTo("r1", 10) {
			at = append(at, h.now.Sub(begin))
		}
		h.now = h.now.Add(10 * time.Millisecond)
	}
	if len(at) == 0 || at[0] < 2*time.Second {
		t.Fatalf("requests at %v, want none before 2 s and some after", at[:min(3, len(at))])
	}
	first := 0
	for _, d := range at {
		if d < 2500*time.Millisecond {
			first++
		}
	}
	if most := int(500*time.Millisecond/machine.ResumeGap) + 1; first > most {
		t.Errorf("%d requests in the first half second after the pause, want %d at most", first, most)
	}
	c, d := h.admitCall("/open/", "")
	for range 10 {
		h.apply(attemptEnded{call: c, attempt: d.attempt, result: resultShed, paused: true, final: true})
	}
	if runner := h.fleet.Get("r1"); h.table.Link(runner).Ejected(h.now) {
		t.Error("a runner that asks for a pause counts as failing")
	}
}

// TestPauseIsBounded guards against a runner that is lost for good because of an absurd pause, and against a pause of a
// former process.
func TestPauseIsBounded(t *testing.T) {
	h := newHarness()
	h.setUp("r1")
	h.states("r1", 0, platform.Stated{Pause: 24 * time.Hour})
	h.states("r1", 7, platform.Stated{Pause: time.Second, Malformed: fmt.Sprint("Retry-After: ", "soon")})
	h.now = h.now.Add(h.rules.MaxPause())
	h.apply(storeChanged{sent: h.now})
	if h.sentTo("r1", 3) == 0 {
		t.Error("the runner gets no request after the longest allowed pause")
	}
}

// TestPausedRunnerGetsNoOrders guards a runner that has asked for a pause against orders and state queries of its leader.
func TestPausedRunnerGetsNoOrders(t *testing.T) {
	h := newHarness()
	h.setUp()
	h.announceEngines(1)
	h.apply(leaseRenewed{until: h.now.Add(time.Minute)})
	shard := machine.ShardOf("e0")
	h.apply(claimApplied{shard: shard, change: ownKeyChange{
		key: keyHolder(shard), value: marshal(holderEntry{Node: "n1", Address: "10.0.0.1:7600", Boot: 1}), revision: 5,
	}})
	h.states("e0", 0, platform.Stated{Pause: 2 * time.Second})
	for end := h.now.Add(2 * time.Second); h.now.Before(end); h.now = h.now.Add(20 * time.Millisecond) {
		h.onTick(h.now)
		if h.leader.orders.Len() > 0 {
			t.Fatalf("an order or a state query %v before the end of the pause", end.Sub(h.now))
		}
	}
	h.onTick(h.now)
	if h.leader.orders.Len() == 0 {
		t.Error("no state query after the pause")
	}
}

// TestCallsOfPausedServiceAreRefused guards callers against waiting for runners that all want a pause beyond the time that
// they have, and against returns that come back together when it ends.
func TestCallsOfPausedServiceAreRefused(t *testing.T) {
	const pause = 8 * time.Second
	h := newHarness()
	h.setUp("r1", "r2")
	h.states("r1", 0, platform.Stated{Pause: pause + time.Second})
	h.states("r2", 0, platform.Stated{Pause: pause})
	returns := make(map[time.Duration]bool)
	for range 20 {
		_, d := h.admitCall("/open/", "")
		wantRefusal(t, d, contract.Overloaded, false)
		if d.refusal.RetryAfter < pause {
			t.Errorf("the caller may return after %v, the first runner takes requests after %v", d.refusal.RetryAfter, pause)
		}
		returns[d.refusal.RetryAfter.Round(100*time.Millisecond)] = true
	}
	if len(returns) < 5 {
		t.Errorf("20 callers return at %d instants, want them spread", len(returns))
	}
}

// TestHeldRequestsAreReported guards requests for a model whose only runner has asked this VM for a pause: the planner must
// know, since it may have been asked for none. A pause that ends before a load could is not worth one.
func TestHeldRequestsAreReported(t *testing.T) {
	for pause, want := range map[time.Duration]int{0: 0, 500 * time.Millisecond: 0, 2 * time.Second: 1} {
		h := newHarness()
		h.setUp()
		h.announceEngine("e1", machine.ReportedModel{Model: "m"})
		h.states("e1", 0, platform.Stated{Pause: pause})
		h.admitChat()
		held := 0
		for _, d := range h.demand.Take(h.waitingRequests(), h.now) {
			held += d.Held
		}
		if held != want {
			t.Errorf("pause of %v: %d requests reported as held back, want %d", pause, held, want)
		}
	}
}
