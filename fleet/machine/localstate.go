package machine

import (
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
)

// Durations and limits of orders, state queries and views.
const (
	// loadMargin is added to the stated duration of a load before requests are sent to the model.
	loadMargin = 25 * time.Millisecond
	// adapterLoadTime is the usual duration of an adapter's load.
	adapterLoadTime = 20 * time.Millisecond
	// swapTime is the usual duration of a load from a copy on the runner, with the unloads before it.
	swapTime = 900 * time.Millisecond
	// conflictRetryDelay is the time without orders to a runner after an order conflicted with another one in progress.
	// It doubles with each further conflict, up to maxConflictRetryDelay.
	conflictRetryDelay    = 40 * time.Millisecond
	maxConflictRetryDelay = 320 * time.Millisecond
	// reportLag is the maximum age of the contents in a runner's own report.
	reportLag = 200 * time.Millisecond
	// viewPeriod is the time after which an unchanged state is sent to the peers again, so that a view that was lost
	// stays unknown no longer than that.
	viewPeriod = 5 * time.Second
	// maxBackoffFactor is the longest pause between state queries to a runner that does not answer, in units of
	// reportLag.
	maxBackoffFactor = 5
	// missingPause is how long no request for a model or adapter is sent to a runner that has just said that it lacks
	// it.
	missingPause = 120 * time.Millisecond
	// maxColdLoadFactor is the longest expected duration of a load from the weight store, in units of the stated one.
	maxColdLoadFactor = maxParallelLoads + 1
	// overdueShare is the further time that a load beyond its expected end is taken to need, as a share of the time that it
	// has taken so far.
	overdueShare = 0.25
	// maxConflicts is the number of conflicts in a row after which the runner is asked for its state.
	maxConflicts = 8
)

// swap is a load of a model with the unloads that make room for it.
type swap struct {
	victims []contract.ModelName // still to be unloaded
	model   contract.ModelName
	drain   bool // requests run on a victim, whose unload waits for them
}

// localState is the leader's exact state of one runner.
type localState struct {
	boot         int64         // start of the runner to which the state belongs
	reportRead   bool          // the runner's own report has been applied in this term
	synced       bool          // the state is exact; if not, orders wait for a report
	queryPending bool          // a state query has no result yet
	nextQuery    clock.Instant // earliest time of the next state query
	pending      *Order        // issued and without an outcome; nil: none
	swap         *swap         // in progress; nil: none
	holdUntil    clock.Instant // no order is issued before
	busyUntil    clock.Instant // expected end of the load in progress
	loadBegan    clock.Instant // start of the last load of a model; zero: not known
	sharedAt     clock.Instant // when the state was last marked for sending to the peers again
	unloading    *unloadWait   // waited for before the next order; nil: the last order was no unload
	conflicts    int           // order conflicts in a row
	failures     int           // orders and state queries in a row without an answer
}

// idle reports whether an order can be issued to the runner at now.
func (s *localState) idle(now clock.Instant) bool {
	return s.synced && s.pending == nil && s.swap == nil && !s.holdUntil.After(now) && !s.busyUntil.After(now)
}

// freeIn returns the expected time until an order can be issued to the runner.
func (s *localState) freeIn(now clock.Instant) time.Duration {
	wait := max(0, s.holdUntil.Sub(now), s.busyUntil.Sub(now))
	switch {
	case s.swap != nil:
		wait += swapTime
	case !s.synced || s.pending != nil:
		wait = max(wait, reportLag)
	}
	return wait
}

// loadContinues extends the expected end of the load that a runner's report still shows in progress. The weight store slows
// loads down when there are many, so a load that is overdue may take much longer.
func (s *localState) loadContinues(now clock.Instant) {
	if s.loadBegan == 0 {
		s.loadBegan = now
	}
	if s.busyUntil.Sub(now) < 2*reportLag { // it must not pass before the next report
		s.busyUntil = now.Add(max(2*reportLag, time.Duration(overdueShare*float64(now.Sub(s.loadBegan)))))
	}
}

// invalidate marks the state as inexact and drops the swap in progress. Orders then wait for a report; it is requested
// reportLag after now, since an earlier one could show the contents before now.
func (s *localState) invalidate(now clock.Instant) {
	s.synced, s.queryPending = false, false
	s.nextQuery = now.Add(reportLag)
	s.swap = nil
}

// usedMB returns the memory that the models and adapters on a runner take, in MB.
func usedMB(r *Runner, engine *contract.Engine) float64 {
	used := 0.0
	for _, replica := range r.Replicas {
		used += replicaMB(replica, engine)
	}
	return used
}

// replicaMB returns the memory that a model and its adapters take on a runner, in MB. A model that the manifest does not list could take
// all of it: nothing is loaded beside it, and it is unloaded first.
func replicaMB(replica *Replica, engine *contract.Engine) float64 {
	m, listed := engine.Models[replica.Model]
	if !listed {
		return engine.WeightsMB
	}
	return m.WeightsMB + float64(len(replica.Adapters))*m.AdapterMB
}

// adapterCount returns the number of adapters on a runner, each of which takes one adapter slot.
func adapterCount(r *Runner) int {
	n := 0
	for _, replica := range r.Replicas {
		n += len(replica.Adapters)
	}
	return n
}
