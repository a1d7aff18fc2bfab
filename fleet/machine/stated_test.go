package machine

import (
	"testing"
	"time"
)

// TestLeavingReplicaIsPlacedElsewhere guards requests for a model whose only replica is at a runner that has said that it
// leaves: another runner must load the model, and the leaving one must get no load any more.
func TestLeavingReplicaIsPlacedElsewhere(t *testing.T) {
	sim := newSimulation(2, 8)
	if !sim.fleet.MarkLeaving(Process{Runner: "r0", Boot: 1}, sim.now) {
		t.Fatal("the statement is no news")
	}
	loads := 0
	for range 100 {
		sim.advance(20 * time.Millisecond)
		sim.scheduler.Observe("n", []DemandReport{{Artifact: artifact(0, 0), Waiting: 3, Arrivals: 1}}, sim.now)
		plan := sim.scheduler.Plan(true, sim.now)
		for _, o := range plan.Orders {
			if o.Runner == "r0" {
				t.Errorf("order %+v to the runner that leaves", o)
			}
			if o.Kind == Load && o.Model == modelName(0) {
				loads++
			}
		}
		sim.execute(plan, func() int { return 9 })
	}
	if loads != 1 {
		t.Errorf("%d loads of the model at the other runner, want 1", loads)
	}
}
