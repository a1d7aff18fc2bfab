package machine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/zone"
)

// zonedSimulation returns a simulation of two runners in each of three zones. Runner i holds models 4i and 4i+2, and each runner
// has copies of all of them on its disk if copied is true.
func zonedSimulation(copied bool) *simulation {
	sim := newSimulation(6, 24)
	for i := range 6 {
		id := RunnerID(fmt.Sprint("r", i))
		sim.hold(id, 4*i, 4*i+2)
		sim.fleet.Get(id).Zone = zone.ID("abc"[i/2 : i/2+1])
		for m := 0; copied && m < 24; m += 2 {
			sim.copies(id, m)
		}
	}
	return sim
}

// TestModelsOfEvacuatedZoneAreLoadedBeforeRequestsWait guards callers of a model that only an evacuated zone holds: it must be
// loaded in another zone before a request waits, the most asked for first, in place of models that are asked for less, and
// within the limits of the weight store. Once the zone is taken back, nothing is loaded or unloaded again.
func TestModelsOfEvacuatedZoneAreLoadedBeforeRequestsWait(t *testing.T) {
	for _, copied := range []bool{true, false} {
		sim := zonedSimulation(copied)
		var reports []DemandReport
		for m, arrivals := range map[int]int{0: 1, 4: 1, 16: 2, 20: 1} { // 16 and 20 are in zone c
			reports = append(reports, DemandReport{Artifact: artifact(m, 0), Arrivals: arrivals})
		}
		sim.run(4*time.Second, reports...)
		sim.fleet.Evacuate("c", true)
		loads := sim.run(15*time.Second, reports...)
		if len(loads) != 2 || loads[0].Model != modelName(16) || loads[1].Model != modelName(20) {
			t.Fatalf("copies %v: loads %+v, want one of each model with demand that only the zone holds", copied, loads)
		}
		for _, m := range []int{0, 4, 16, 20} {
			if sim.ready(m) == 0 {
				t.Errorf("copies %v: m%d is not ready", copied, m)
			}
		}
		sim.fleet.Evacuate("c", false)
		if loads = sim.run(10*time.Second, reports...); len(loads) > 0 || sim.ready(16) != 2 {
			t.Errorf("copies %v: loads %+v and %d replicas of m16 after the zone was taken back, want none and 2", copied, loads, sim.ready(16))
		}
	}
}

// TestEvacuationDuringALoadLoadsOnce guards against a model that is loaded twice, or not at all, since its runner is evacuated while
// it unloads another model for it or loads it, or since another planner takes over meanwhile.
func TestEvacuationDuringALoadLoadsOnce(t *testing.T) {
	for _, c := range []struct {
		name        string
		begun       time.Duration // from the request until the evacuation
		replaced    bool          // the planner
		unloadsSlow bool
	}{{name: "unload", unloadsSlow: true, begun: 40 * time.Millisecond}, {name: "load", begun: 500 * time.Millisecond},
		{name: "other planner", begun: 500 * time.Millisecond, replaced: true}} {
		sim := zonedSimulation(false)
		sim.copies("r5", 8)
		sim.copies("r0", 8)
		sim.hold("r1", 4, 6)
		sim.hold("r2", 10, 14)
		for _, id := range []RunnerID{"r0", "r1", "r2", "r3", "r4"} {
			sim.fleet.Get(id).Draining = true // the load begins at r5
		}
		if c.unloadsSlow {
			sim.engines["r5"].unloadTime = 200 * time.Millisecond
		}
		quiet := DemandReport{Artifact: artifact(8, 0), Arrivals: 1}
		waiting := quiet
		waiting.Waiting = 1
		sim.run(time.Second, DemandReport{Artifact: artifact(2, 0), Arrivals: 1})
		if begun := len(sim.run(c.begun, waiting)) > 0; begun == c.unloadsSlow {
			t.Fatalf("%s: load begun %v before the evacuation", c.name, begun)
		}
		for _, r := range sim.fleet.All() {
			r.Draining = false
		}
		sim.fleet.Evacuate("c", true)
		if c.replaced {
			sim.scheduler = NewScheduler(sim.fleet, noUsage{}, leadsAll{})
			sim.scheduler.Configure((&contract.Draft{Version: 1, Services: []*contract.Service{testService(24)}}).Manifest())
		}
		loads := sim.run(3*time.Second, waiting)
		if len(loads) != 1 || sim.ready(8) != 1 {
			t.Errorf("%s: loads %+v, %d replicas after the evacuation, want one elsewhere", c.name, loads, sim.ready(8))
		}
		sim.fleet.Evacuate("c", false)
		if loads = sim.run(5*time.Second, quiet); len(loads) > 0 {
			t.Errorf("%s: loads %+v after the zone was taken back, want none", c.name, loads)
		}
	}
}

// TestSparesMakeRoomInEvacuation guards the last replicas of models while a zone is evacuated: the second replica of a busy
// model, kept in case the first is lost, must make room for a model of that zone before they do.
func TestSparesMakeRoomInEvacuation(t *testing.T) {
	sim := zonedSimulation(true)
	sim.hold("r2", 0, 10) // m0 is at r0 too
	reports := []DemandReport{busy(0, 1, 0)}
	for _, m := range []int{2, 4, 6, 10, 12, 14, 16, 16} {
		reports = append(reports, DemandReport{Artifact: artifact(m, 0), Arrivals: 1})
	}
	sim.run(4*time.Second, reports...)
	sim.fleet.Evacuate("c", true)
	sim.run(5*time.Second, reports...)
	for _, m := range []int{0, 2, 4, 6, 10, 12, 14, 16} {
		if n := sim.ready(m); n != 1 {
			t.Errorf("m%d is ready at %d runners, want 1", m, n)
		}
	}
}

// TestFullFleetServesMoreThanAFixedPlacement guards callers against runners that only unload and load models, since those of an
// evacuated zone don't fit beside those of the others: more requests must be answered in time than if the models that are asked
// for most stayed and the others were never loaded.
func TestFullFleetServesMoreThanAFixedPlacement(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		crowd := newCrowd(seed)
		crowd.run(5 * time.Second)
		crowd.sim.fleet.Evacuate("c", true)
		crowd.loads, crowd.inTime, crowd.arrived = 0, 0, 0
		crowd.run(20 * time.Second)
		const fixed = 6.6 / 8.7 // rates of the eight models that are asked for most, and of all
		if float64(crowd.inTime) < fixed*float64(crowd.arrived) {
			t.Errorf("seed %d: %d of %d requests in time with %d loads, want at least %.2f of them", seed, crowd.inTime, crowd.arrived, crowd.loads, fixed)
		}
	}
}

// crowd sends requests for all models of a zoned simulation, which wait for a replica.
type crowd struct {
	sim                    *simulation
	random                 *rand.Rand
	waiting                map[int][]time.Duration // ages of the requests, by model
	loads, inTime, arrived int
}

// newCrowd returns a crowd whose requests come at random moments.
func newCrowd(seed uint64) *crowd {
	return &crowd{sim: zonedSimulation(true), random: rand.New(rand.NewPCG(seed, 0)), waiting: make(map[int][]time.Duration)}
}

// run lets requests arrive for a time; each waits for its model for as long as it can still be answered in time.
func (c *crowd) run(d time.Duration) {
	const step, patience = 20 * time.Millisecond, 2 * time.Second
	for end := c.sim.now.Add(d); c.sim.now.Before(end); {
		var reports []DemandReport
		for m := 0; m < 24; m += 2 {
			report := DemandReport{Artifact: artifact(m, 0)}
			if rate := crowdRates[m/2]; c.random.Float64() < rate*step.Seconds() {
				report.Arrivals, report.Urgent = 1, 1
				c.arrived++
				c.waiting[m] = append(c.waiting[m], 0)
			}
			if c.sim.ready(m) > 0 {
				c.inTime += len(c.waiting[m])
				c.waiting[m] = nil
			}
			var left []time.Duration
			for _, age := range c.waiting[m] {
				if age += step; age < patience {
					left = append(left, age)
				}
			}
			if c.waiting[m] = left; len(left) > 0 {
				report.Waiting, report.Timely, report.Due = len(left), len(left), patience-left[0]
			}
			if report.Arrivals > 0 || report.Waiting > 0 {
				reports = append(reports, report)
			}
		}
		c.loads += len(c.sim.run(step, reports...))
	}
}

// crowdRates are the requests per second for each model of a crowd.
var crowdRates = [12]float64{0.9, 0.9, 0.8, 0.7, 0.6, 0.5, 0.4, 0.9, 0.9, 0.8, 0.7, 0.6}
