package machine

import (
	"testing"
	"time"
)

// TestDelaysAreTold guards the way from a refused request to its cause: while requests wait for a model that is not loaded,
// the placement says why, once a second.
func TestDelaysAreTold(t *testing.T) {
	newest := func() *world {
		w := newWorld(1, 8)
		w.act(w.scheduler.Plan(true, w.now), func() int { return 9 })
		w.advance(minLoadedTime)
		return w
	}
	wait := func(w *world, models ...int) []Delay {
		var reports []DemandReport
		for _, m := range models {
			reports = append(reports, DemandReport{Artifact: artifact(m, 0), Waiting: 1, Arrivals: 1, Urgent: 1})
		}
		w.advance(planPeriod)
		w.scheduler.Observe("n", reports, w.now)
		return w.scheduler.Plan(true, w.now).Delays
	}
	for _, c := range []struct {
		name     string
		prepare  func(w *world)
		models   []int
		obstacle Obstacle
	}{
		{"the runner leaves", func(w *world) { w.fleet.Get("r0").LeavesAt = w.now.Add(time.Minute) }, []int{1}, NoRunner},
		{"the weight store is at its limit", func(w *world) {
			w.scheduler.services["s"].Engine.LoadsPerSecond = 0.2
			w.scheduler.coldLoadStarts[Place{"r9", artifact(5, 0)}] = w.now
		}, []int{1}, StoreBusy},
		{"requests wait for what is there", func(w *world) {
			for _, replica := range w.fleet.Get("r0").Replicas {
				replica.ReadyAt = w.now.Add(time.Minute)
			}
		}, []int{0, 2, 4}, NoRoom},
		{"what is there is worth more", func(w *world) {
			for range 30 {
				wait(w, 0, 2)
			}
			w.scheduler.Observe("n", nil, w.now)
		}, []int{4}, TooCostly},
		{"the runner is busy", func(w *world) { w.scheduler.localState(w.fleet.Get("r0")).busyUntil = w.now.Add(time.Second) }, []int{1}, RunnerBusy},
	} {
		w := newest()
		c.prepare(w)
		last := artifact(c.models[len(c.models)-1], 0)
		delays := wait(w, c.models...)
		if len(delays) == 0 || delays[len(delays)-1].Artifact != last || delays[len(delays)-1].Obstacle != c.obstacle {
			t.Errorf("%s: delays %+v, want %v", c.name, delays, c.obstacle)
		}
	}
	w := newest()
	w.scheduler.localState(w.fleet.Get("r0")).busyUntil = w.now.Add(time.Minute)
	told := 0
	for range int(2*delayReportPeriod/planPeriod) - 1 {
		told += len(wait(w, 1))
	}
	if told != 2 {
		t.Errorf("told %d times in two seconds", told)
	}
}
