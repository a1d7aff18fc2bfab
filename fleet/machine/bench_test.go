package machine

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPlan measures one run of the placement, from today's size to that of the two-year target. Every model has
// demand, and requests wait for one in twenty.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ runners, models int }{{18, 96}, {43, 129}, {500, 300}, {1600, 730}} {
		b.Run(fmt.Sprintf("%d runners", size.runners), func(b *testing.B) {
			sim := newSimulation(size.runners, size.models)
			sim.execute(sim.scheduler.Plan(true, sim.now), func() int { return 9 })
			var reports []DemandReport
			for m := range size.models {
				report := DemandReport{Artifact: artifact(m, 0), Arrivals: 3, Work: 75 * time.Millisecond}
				if m%20 == 0 {
					report.Waiting, report.Timely, report.Due = 1, 1, 2*time.Second
				}
				reports = append(reports, report)
			}
			sim.scheduler.Observe("n", reports, sim.now)
			for b.Loop() {
				sim.now = sim.now.Add(planPeriod)
				for _, state := range sim.scheduler.localStates { // the runners are free again
					state.pending, state.swap = nil, nil
				}
				sim.scheduler.Plan(true, sim.now)
			}
		})
	}
}
