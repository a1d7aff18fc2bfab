package machine

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPlan measures one consideration of the placement, from today's size to that of the two-year target: every
// model is asked for, and requests wait for one in twenty.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ runners, models int }{{18, 96}, {43, 129}, {500, 300}, {1600, 730}} {
		b.Run(fmt.Sprintf("%d runners", size.runners), func(b *testing.B) {
			w := newWorld(size.runners, size.models)
			w.act(w.scheduler.Plan(true, w.now), func() int { return 9 })
			var reports []DemandReport
			for m := range size.models {
				a := DemandReport{Artifact: artifact(m, 0), Arrivals: 3, Work: 75 * time.Millisecond}
				if m%20 == 0 {
					a.Waiting, a.Timely, a.Due = 1, 1, 2*time.Second
				}
				reports = append(reports, a)
			}
			w.scheduler.Observe("n", reports, w.now)
			for b.Loop() {
				w.now = w.now.Add(planPeriod)
				for _, state := range w.scheduler.localStates { // the runners are free again
					state.pending, state.swap = nil, nil
				}
				w.scheduler.Plan(true, w.now)
			}
		})
	}
}
