package entry

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/link"
	"github.com/mangopass/mangopass/fleet/machine"
)

// cluster is a set of routing duties that exchange reports over a simulated network.
type cluster struct {
	t        require
	vms      map[string]*harness
	order    []string        // names, the longest-running first
	down     map[string]bool // neither send nor receive
	fresh    map[string]bool // started again, so that they do not know what was admitted before
	limit    contract.Limit
	reports  int            // delivered so far
	demandTo map[string]int // requests reported as waiting in the last step, by receiver
}

const clusterStep = 20 * time.Millisecond

// newCluster returns VMs in the zones x, y and z, all with the same manifest and two runners.
func newCluster(t require, perZone int) *cluster {
	c := &cluster{t: t, vms: map[string]*harness{}, down: map[string]bool{}, fresh: map[string]bool{}}
	for i := range 3 * perZone {
		name := fmt.Sprintf("vm-%02d", i)
		h := newHarnessOf(name, []zoneID{"x", "y", "z"}[i%3], int64(i+1))
		h.setUp()
		h.announceEngine("e1", machine.ReportedModel{Model: "m"})
		h.announceEngine("e2", machine.ReportedModel{Model: "m"})
		c.vms[name], c.order = h, append(c.order, name)
	}
	for _, name := range c.order {
		for _, other := range c.order {
			if other != name {
				c.vms[name].addPeerIn(c.vms[other].zone, other, c.vms[other].boot)
			}
		}
	}
	for _, h := range c.vms {
		h.now = t0.Add(time.Minute)
	}
	return c
}

// run lets the VMs exchange reports for the given time.
func (c *cluster) run(d time.Duration) {
	for range d / clusterStep {
		c.demandTo = map[string]int{}
		for _, name := range c.order {
			c.vms[name].now = c.vms[name].now.Add(clusterStep)
			if !c.down[name] {
				c.vms[name].sendReports(c.vms[name].now)
			}
		}
		for _, name := range c.order {
			if !c.down[name] {
				c.deliver(c.vms[name])
			}
		}
	}
}

// deliver delivers the reports that a VM has sent.
func (c *cluster) deliver(h *harness) {
	for to, p := range h.members.peers {
		if p.outbox.Len() == 0 {
			continue
		}
		report := h.takeReport(c.t, to, !c.down[to])
		if c.down[to] {
			continue
		}
		c.reports++
		for _, d := range report.Asked {
			c.demandTo[to] += d.Waiting
		}
		c.vms[to].apply(peerReported{report: report})
	}
}

// send counts a request that a VM has at a runner.
func (c *cluster) send(vm string, runner machine.RunnerID, running int) {
	l := c.vms[vm].table.Link(c.vms[vm].fleet.Get(runner))
	for range running {
		l.Sent(machine.Artifact{Service: "e", Model: "m"}, time.Millisecond, true)
	}
}

// checkQueued compares the prefill time that each VM knows of at a runner.
func (c *cluster) checkQueued(runner machine.RunnerID, want time.Duration) {
	for _, name := range c.order {
		if got := c.vms[name].table.Queued(runner); !c.down[name] && got != want {
			c.t.Fatalf("%s knows of %v queued at %s, want %v", name, got, runner, want)
		}
	}
}

// checkLevel checks what each VM believes to be left of the organisation's limit.
func (c *cluster) checkLevel(least, most float64) {
	for _, name := range c.order {
		h := c.vms[name]
		got := h.quota(h.organisation("coop"), h.now).Level(h.now)
		if !c.down[name] && !c.fresh[name] && (got < least-0.01 || got > most+0.01) {
			c.t.Fatalf("%s believes %v to be left of the limit, want %v to %v", name, got, least, most)
		}
	}
}

// setLevels gives all VMs half of a limit that hardly refills, and lets them hear of each other's totals.
func (c *cluster) setLevels(burst float64) {
	for _, h := range c.vms {
		o := h.organisation("coop")
		c.limit = contract.Limit{PerSecond: 1e-6, Burst: burst, InTokens: true}
		o.Limit = c.limit
		q := contract.NewQuota(o.Limit, contract.QuotaSlack{}, 0.5, h.now)
		for name, p := range h.members.peers {
			if p.role != link.Unrelated {
				h.connectQuota(q, name, p, h.now)
				clear(p.reportedUsage)
			}
		}
		h.quotas[o.Name] = q
	}
	c.run(500 * time.Millisecond)
}

// TestReportsReachAllVMs guards against VMs that choose runners or admit requests on a part of the fleet's state, or on
// one that counts a VM twice: what one VM has at a runner and admits must reach each other VM exactly once, through the
// relays of both zones, and end there when it ends.
func TestReportsReachAllVMs(t *testing.T) {
	c := newCluster(t, 5)
	c.run(time.Second)
	c.setLevels(1000)
	for i, name := range c.order {
		c.send(name, "e1", i%3)
		h := c.vms[name]
		h.quota(h.organisation("coop"), h.now).Take(float64(10+i), h.now)
	}
	c.run(500 * time.Millisecond)
	c.checkQueued("e1", 15*time.Millisecond)
	c.checkLevel(500-255, 500-255)
	for i, name := range c.order {
		l := c.vms[name].table.Link(c.vms[name].fleet.Get("e1"))
		for range i % 3 {
			l.Finished(machine.Artifact{Service: "e", Model: "m"})
		}
	}
	c.run(500 * time.Millisecond)
	c.checkQueued("e1", 0)
	for _, name := range c.order {
		if share := c.vms[name].members.heardShare(c.vms[name].now); share != 1 {
			t.Errorf("%s hears %v of the VMs", name, share)
		}
	}
}

// TestReportsGrowWithZones guards against traffic and processor time that grow with the square of the number of VMs.
func TestReportsGrowWithZones(t *testing.T) {
	count := func(perZone int) float64 {
		c := newCluster(t, perZone)
		c.run(time.Second)
		before := c.reports
		for range 50 {
			for _, name := range c.order {
				c.send(name, "e1", 1)
			}
			c.run(clusterStep)
		}
		return float64(c.reports-before) / float64(len(c.order))
	}
	if few, many := count(2), count(20); many > 2*few {
		t.Errorf("%v reports a second for each of 60 VMs, %v for each of 6", many, few)
	}
}

// TestRelayIsReplaced guards against a zone that is cut off because its relay is gone. Within two seconds the next VM
// relays, the loads of the lost VM are dropped and the others count once. No usage is forgotten; of each lost relay at
// most what was on its way may count twice.
func TestRelayIsReplaced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, 3)
		c.run(time.Second)
		c.setLevels(100000)
		spent := 0.0
		lost := rapid.SliceOfNDistinct(rapid.SampledFrom(c.order), 1, 3, rapid.ID).Draw(t, "lost")
		for round := range 3 {
			for i, name := range c.order {
				if c.down[name] {
					continue
				}
				h := c.vms[name]
				if h.quota(h.organisation("coop"), h.now).Take(float64(10+i), h.now) {
					spent += float64(10 + i)
				}
			}
			c.run(time.Duration(rapid.IntRange(20, 400).Draw(t, "ms")) * time.Millisecond)
			if round < len(lost) {
				c.run(400 * time.Millisecond) // what the lost VM admitted has reached the others
				c.down[lost[round]] = true
			}
		}
		for _, name := range c.order {
			if !c.down[name] {
				c.send(name, "e2", 1)
			}
		}
		c.run(2 * time.Second)
		c.checkQueued("e2", time.Duration(9-len(c.down))*time.Millisecond)
		const round = 9*10 + 8*9/2 // cost that the VMs admit together in one round
		c.checkLevel(50000-spent-float64(len(c.down)*round), 50000-spent)
	})
}

// restart replaces a VM by a new process that reads the same store.
func (c *cluster) restart(name string, boot int64) {
	old := c.vms[name]
	h := newHarnessOf(name, old.zone, boot)
	h.now = old.now.Add(-2 * time.Second) // setUp takes two seconds
	h.setUp()
	c.vms[name] = h
	for _, other := range c.order {
		if other != name {
			h.addPeerIn(c.vms[other].zone, other, c.vms[other].boot)
			c.vms[other].addPeerIn(h.zone, name, boot)
		}
	}
	for _, other := range c.vms {
		other.now = h.now
	}
	o := h.organisation("coop")
	o.Limit = c.limit
	delete(h.quotas, o.Name)
	c.down[name], c.fresh[name] = false, true
}

// TestRollingStopKeepsUsage guards against refusals at all VMs, or usage beyond the limit, while the VMs are stopped and
// started in turn: each relay hands over to another VM and becomes one of those below it, and none may report again what
// the others have counted. At each hand-over at most what was on its way is forgotten or counts twice.
func TestRollingStopKeepsUsage(t *testing.T) {
	c := newCluster(t, 3)
	c.run(time.Second)
	c.setLevels(100000)
	spent, round := 0.0, 9*10+8*9/2.0
	use := func() {
		for i, name := range c.order {
			h := c.vms[name]
			if !c.down[name] && h.quota(h.organisation("coop"), h.now).Take(float64(10+i), h.now) {
				spent += float64(10 + i)
			}
		}
		c.run(100 * time.Millisecond)
	}
	for k, stopping := range c.order {
		c.vms[stopping].stopping = true
		for range 10 {
			use()
		}
		c.down[stopping] = true
		use()
		c.restart(stopping, int64(100+k))
		for range 5 {
			use()
		}
		c.run(500 * time.Millisecond)
		c.checkLevel(50000-spent-float64(k+1)*2*round, 50000-spent+float64(k+1)*2*round)
	}
}

// TestWaitingReachesPlanner guards against a model that is not loaded because the VM where requests wait for it is not
// heard by the planner, which is in another zone. The planner is the VM that has run longest, and the next one if that
// is lost.
func TestWaitingReachesPlanner(t *testing.T) {
	c := newCluster(t, 3)
	c.run(time.Second)
	last := c.vms[c.order[8]]
	last.fleet.Remove("e1", last.now)
	last.fleet.Remove("e2", last.now)
	for _, planner := range []string{"vm-00", "vm-01"} {
		last.apply(storeChanged{sent: last.now})
		if _, d := last.admitChat(); d != nil {
			t.Fatalf("decision %+v without a replica", d)
		}
		waiting := 0
		for range 100 {
			c.run(clusterStep)
			waiting = max(waiting, c.demandTo[planner])
		}
		if last.members.planner != planner || waiting == 0 {
			t.Errorf("the planner is %s, to which %d waiting requests were reported; want %s", last.members.planner,
				waiting, planner)
		}
		c.down[planner] = true
		c.run(3 * time.Second)
	}
}

// TestFormerRelayIsPassedOver guards against a relay that keeps reporting to a VM of another zone that does not relay:
// its reports would be ignored and its zone unknown there.
func TestFormerRelayIsPassedOver(t *testing.T) {
	h := newHarness()
	h.setUp()
	h.addPeerEntry("n2", 5)
	h.addPeerEntry("n3", 6)
	if role := h.members.peers["n2"].role; role != link.MeshPeer {
		t.Fatalf("the relay of the other zone is a %s", role)
	}
	h.apply(peerReported{report: link.Report{
		Node: "n2", Zone: "y", Boot: 5, Sequence: 1, Relay: "n3", Receiver: link.Unrelated,
	}})
	h.now = h.now.Add(treePeriod)
	h.reviewTree(h.now)
	if got := h.members.peers["n3"].role; got != link.MeshPeer {
		t.Errorf("n3 is a %s, want a mesh peer: n2 says that n3 relays for its zone", got)
	}
}
