package machine

import (
	"testing"
	"time"
)

// TestReplacedVersionGetsNoModelAtOnce guards against a request of a VM that still knows the process of before: it must find no
// model at a runner that has started again with another software version, until all VMs with a recent view know of it.
func TestReplacedVersionGetsNoModelAtOnce(t *testing.T) {
	for _, c := range []struct {
		name    string
		version SoftwareVersion
		removed bool // its entry is removed between
		waits   bool
	}{{"same version", "v1", false, false}, {"other version", "v2", false, true}, {"removed before", "v2", true, true}} {
		sim := newSimulation(1, 8)
		sim.fleet.Get("r0").Version = "v1"
		sim.engines["r0"].restart()
		if c.removed {
			sim.fleet.Remove("r0", sim.now)
		}
		sim.heartbeats++
		sim.fleet.Announce(Announcement{
			ID: "r0", Service: "s", Address: "1.1.1.1:1", Zone: "z", Slots: 8, Boot: sim.engines["r0"].boot,
			Heartbeat: sim.heartbeats, Version: c.version, HasEngine: true,
		}, sim.now)
		restarted, first := sim.now, time.Duration(0)
		for first == 0 && sim.now.Sub(restarted) < 2*ViewAge {
			sim.advance(20 * time.Millisecond)
			sim.scheduler.Observe("n", []DemandReport{{Artifact: artifact(0, 0), Waiting: 5, Arrivals: 1}}, sim.now)
			plan := sim.scheduler.Plan(true, sim.now)
			if len(plan.Orders) > 0 {
				first = sim.now.Sub(restarted)
			}
			sim.execute(plan, func() int { return 9 })
		}
		if waits := first >= ViewAge; first == 0 || waits != c.waits {
			t.Errorf("%s: the first order comes %v after the start; wants a wait of %v: %v", c.name, first, ViewAge, c.waits)
		}
	}
}
