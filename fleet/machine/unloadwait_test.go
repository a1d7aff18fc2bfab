package machine

import (
	"testing"
	"time"
)

// TestFewOrdersMeetUnloads guards against orders that are refused because the unload before them is still in progress:
// each costs a call and holds the swap up. The runner does not say how long an unload takes.
func TestFewOrdersMeetUnloads(t *testing.T) {
	for _, unload := range []time.Duration{0, 30 * time.Millisecond, 90 * time.Millisecond, 180 * time.Millisecond} {
		sim := newSimulation(1, 8)
		engine := sim.engines["r0"]
		engine.unloadTime = unload
		orders, conflicts, swaps := 0, 0, 0
		for sim.now.Sub(start) < 15*time.Minute {
			plan := sim.scheduler.Plan(false, sim.now)
			if state := sim.scheduler.localStates["r0"]; state != nil && state.idle(sim.now) {
				r := sim.fleet.Get("r0")
				request := LoadRequest{Runner: "r0", Boot: 1, Model: modelName(6)}
				for name := range r.Replicas {
					request.Victims = append(request.Victims, name)
				}
				if r.Replica(request.Model) != nil {
					request.Model = modelName(4)
				}
				swaps++
				plan.Orders = append(plan.Orders, sim.scheduler.HandleLoadRequest(request, sim.now).Orders...)
			}
			before := engine.sequence
			orders += len(plan.Orders)
			sim.execute(plan, func() int { return 9 })
			conflicts += len(plan.Orders) - int(engine.sequence-before)
			sim.advance(5 * time.Millisecond)
		}
		if swaps < 300 || conflicts*20 > orders {
			t.Errorf("unloads of %v: %d of %d orders were refused in %d swaps, want at most 5 in 100", unload, conflicts,
				orders, swaps)
		}
		if engine.overloaded != "" {
			t.Error(engine.overloaded)
		}
	}
}
