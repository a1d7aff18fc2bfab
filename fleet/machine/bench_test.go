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
			w.act(w.placer.Plan(true, w.now), func() int { return 9 })
			var asked []Asked
			for m := range size.models {
				a := Asked{Artifact: artifact(m, 0), Arrivals: 3, Work: 75 * time.Millisecond}
				if m%20 == 0 {
					a.Waiting, a.Timely, a.Due = 1, 1, 2*time.Second
				}
				asked = append(asked, a)
			}
			w.placer.Observe("n", asked, w.now)
			for b.Loop() {
				w.now = w.now.Add(planPeriod)
				for _, book := range w.placer.books { // the runners are free again
					book.pending, book.swap = nil, nil
				}
				w.placer.Plan(true, w.now)
			}
		})
	}
}
