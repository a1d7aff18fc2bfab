package machine

import (
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
)

// Limits and learning of the loads from the weight store.
const (
	// initialParallelLoads is the number of loads at a time that the weight store is taken to serve at full speed, until
	// the times of loads show more or fewer.
	initialParallelLoads = 2
	// maxParallelLoads is the largest number of loads at a time.
	maxParallelLoads = 4
	// coldLoadWindow is the time over which loads from the weight store are counted to limit their rate.
	coldLoadWindow = 5 * time.Second
	// slowLoad is the time of a load, in units of the stated one, from which on it was slowed down by those beside it.
	slowLoad = 1.25
	// slowLoadsNeeded is the number of slow loads after which fewer run at a time. A single one may have had another
	// reason, such as a late report of the runner.
	slowLoadsNeeded = 2
	// slowLoadMemory is the time after which a slow load no longer counts, so that a weight store that has become faster
	// is used in full again.
	slowLoadMemory = 10 * time.Minute
)

// weightStore is the store from which engines load models that they have no copy of, as the planner sees it. It serves some
// loads at a time at full speed. A load that begins beside more of them takes longer in proportion, which gains nothing: the
// requests for its model only wait longer. The number is stated nowhere, so it is learned from the times that loads take: once
// loads have run at full speed, one more may run beside them, unless such a load has been slow.
type weightStore struct {
	count  int                     // loads in progress or about to start
	starts map[Place]clock.Instant // of the loads that started within coldLoadWindow
	loads  map[Place]coldLoad      // in progress
	slow   []slowColdLoad          // the latest ones, the oldest first; at most slowLoadsNeeded

	further   int           // loads in a row for further replicas of models
	missingAt clock.Instant // when a missing model last waited for the weight store; zero: never
	proven    int           // most loads at a time beside which one ran at full speed
	refutedAt clock.Instant // when a load beside more than that was last slow; zero: never
}

// coldLoad is a load from the weight store in progress.
type coldLoad struct {
	began  clock.Instant
	beside int           // loads in progress when it was first seen, itself included
	after  int           // of these, the loads seen before it, itself included: those that surely began before it
	stated time.Duration // at full speed
}

// slowAt reports whether a load that ends at now, or later, was slowed down.
func (l coldLoad) slowAt(now clock.Instant) bool {
	return now.Sub(l.began).Seconds() >= slowLoad*l.stated.Seconds()
}

// slowColdLoad is what a load that was slowed down says of the weight store.
type slowColdLoad struct {
	at       clock.Instant
	parallel float64 // loads at a time at full speed
}

func newWeightStore() *weightStore {
	return &weightStore{starts: make(map[Place]clock.Instant), loads: make(map[Place]coldLoad)}
}

// begin counts a load that is about to start. Its start is recorded only once.
func (w *weightStore) begin(p Place, now clock.Instant) {
	w.count++
	if _, known := w.starts[p]; !known {
		w.starts[p] = now
	}
}

// ParallelColdLoads returns the number of loads at a time that the weight store is taken to serve at full speed.
func (s *Scheduler) ParallelColdLoads(now clock.Instant) int { return s.weights.parallel(now) }

// mayLoad reports whether the limits on concurrent loads and on their rate allow one more load.
func (w *weightStore) mayLoad(e *contract.Engine, now clock.Instant) bool {
	return w.count < w.parallel(now) && float64(len(w.starts)+1) <= max(1, e.LoadsPerSecond*coldLoadWindow.Seconds())
}

// fullSpeed returns the number of loads at a time that have run at full speed, or that are taken to until loads have ended.
func (w *weightStore) fullSpeed() int { return max(initialParallelLoads, w.proven) }

// parallel returns the number of loads at a time that the weight store serves at full speed. Of the slow loads, the one that
// shows the most counts, since a late report makes a load look slower than it was.
func (w *weightStore) parallel(now clock.Instant) int {
	limit := max(initialParallelLoads, w.proven+1)
	if w.probing() || w.refutedAt != 0 && now.Sub(w.refutedAt) < slowLoadMemory {
		limit = w.fullSpeed()
	}
	limit = min(limit, maxParallelLoads)
	most, valid := 0.0, 0
	for _, s := range w.slow {
		if now.Sub(s.at) < slowLoadMemory {
			most, valid = max(most, s.parallel), valid+1
		}
	}
	if valid < slowLoadsNeeded {
		return limit
	}
	return min(limit, max(1, int(most+0.5)))
}

// observe compares the loads in progress, each with its stated time, with those of the last call, and learns from the loads
// that have ended. ended reports whether the engine has the model now.
func (w *weightStore) observe(inProgress map[Place]time.Duration, ended func(Place) bool, now clock.Instant) {
	for p, load := range w.loads {
		if _, still := inProgress[p]; still {
			if load.slowAt(now) && load.beside > w.fullSpeed() {
				w.refutedAt = now
			}
			continue
		}
		delete(w.loads, p)
		if ended(p) {
			w.learn(load, now)
		}
	}
	known := len(w.loads)
	for p, stated := range inProgress {
		if _, seen := w.loads[p]; !seen {
			w.loads[p] = coldLoad{began: now, beside: len(inProgress), after: known + 1, stated: stated}
		}
	}
	for p, began := range w.starts {
		if now.Sub(began) > coldLoadWindow {
			delete(w.starts, p)
		}
	}
}

// probing reports whether a load is in progress that began beside more than have run at full speed. No other one begins like
// that before it has ended, since it may be slowed down too.
func (w *weightStore) probing() bool {
	for _, l := range w.loads {
		if l.beside > w.fullSpeed() {
			return true
		}
	}
	return false
}

// anySince reports whether a load is in progress that was first seen at the given instant.
func (w *weightStore) anySince(began clock.Instant) bool {
	for _, l := range w.loads {
		if l.began == began {
			return true
		}
	}
	return false
}

// learn notes what the time of a load that has ended says of the weight store.
func (w *weightStore) learn(load coldLoad, now clock.Instant) {
	if !load.slowAt(now) {
		w.proven = max(w.proven, load.after)
		if !w.anySince(load.began) { // of the loads that were first seen together, none was slower
			w.proven = max(w.proven, load.beside)
		}
		return
	}
	if load.beside > w.fullSpeed() {
		w.refutedAt = now
	}
	took := now.Sub(load.began).Seconds() / load.stated.Seconds()
	w.slow = append(w.slow, slowColdLoad{at: now, parallel: float64(load.beside) / took})
	w.slow = w.slow[max(0, len(w.slow)-slowLoadsNeeded):]
}
