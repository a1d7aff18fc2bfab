package machine

import (
	"time"

	"github.com/mangopass/mangopass/duty/clock"
)

// Waits between further replicas of a model whose requests come late though its load needs none.
const (
	// firstLateWait is the wait after the first such replica is there. Only after the arrivals before it have decayed do late
	// requests tell whether it has helped.
	firstLateWait = 2 * demandTimeConstant
	// lateWaitGrowth is the factor by which each replica after which requests still come late makes the wait longer, up to
	// maxLateWait: they are late for another reason then.
	lateWaitGrowth = 4
	maxLateWait    = 5 * time.Minute
	// lateCalm is the time without lateness after which the waits begin anew.
	lateCalm = 2 * demandTimeConstant
)

// lateWait holds back further replicas of a model whose requests still come late after one was added for that reason.
type lateWait struct {
	wait      time.Duration // after the last such replica
	until     clock.Instant // no further one before
	calmSince clock.Instant // since when few requests come late; zero: many do, or a replica is being loaded
}

// ordered notes a load for lateness.
func (w *lateWait) ordered(now clock.Instant) {
	w.wait = min(max(firstLateWait, lateWaitGrowth*w.wait), maxLateWait)
	w.until, w.calmSince = now.Add(w.wait), 0
}

// observe notes whether many requests come late and whether a replica is being loaded, after which the wait begins.
func (w *lateWait) observe(late, loading bool, now clock.Instant) {
	switch {
	case loading:
		w.until, w.calmSince = now.Add(w.wait), 0
	case late:
		w.calmSince = 0
	case w.calmSince == 0:
		w.calmSince = now
	}
}

// over reports whether the lateness has passed.
func (w *lateWait) over(now clock.Instant) bool {
	return w.calmSince != 0 && now.Sub(w.calmSince) >= lateCalm
}

// observeLateness brings the waits of all models forward and applies them to the demands.
func (s *Scheduler) observeLateness(now clock.Instant) {
	for need, w := range s.lateWaits {
		d := s.demandFor(need)
		w.observe(d.comesLate(), d.loading > 0, now)
		d.lateHeld = w.until.After(now)
		if w.over(now) {
			delete(s.lateWaits, need)
		}
	}
}

// orderedForLateness notes a load for lateness.
func (s *Scheduler) orderedForLateness(need Need, now clock.Instant) {
	w := s.lateWaits[need]
	if w == nil {
		w = &lateWait{}
		s.lateWaits[need] = w
	}
	w.ordered(now)
}
