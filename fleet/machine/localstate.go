package machine

import (
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
)

// Times of the orders' progress.
const (
	// loadMargin is added to the stated time of a load before requests are sent.
	loadMargin = 25 * time.Millisecond
	// adapterLoad is the usual time of an adapter's load.
	adapterLoad = 20 * time.Millisecond
	// swapTime is the usual time of a load from a copy at hand with the unloads before it.
	swapTime = 900 * time.Millisecond
	// conflictPause is the wait before an order is repeated that met another one in progress.
	conflictPause = 40 * time.Millisecond
	// reportLag is the age that a runner's report of itself can have.
	reportLag = 200 * time.Millisecond
	// runPause is the wait for the runs of a model that is being unloaded before the next order is tried.
	runPause = 300 * time.Millisecond
	// viewPeriod is the time after which an unchanged state is shown to the peers again: one that learns of a runner only
	// after its leader has asked it has missed the first view.
	viewPeriod = 500 * time.Millisecond
	// viewsMissed is the number of periods without a view after which a leader counts as gone.
	viewsMissed = 3
	// maxBackoff bounds the growth of the pause between state queries to a runner that does not answer.
	maxBackoff = 5
	// refusedPause is how long no request is sent for a model or adapter that a runner has just said not to hold.
	refusedPause = 120 * time.Millisecond
	// coldBound times the stated time of a load from the weight store is the longest that is expected.
	coldBound = 3
	// conflictLimit is the number of conflicts in a row after which the runner is asked for its state.
	conflictLimit = 8
)

// swap is a load that needs models to be unloaded first.
type swap struct {
	victims []contract.ModelName
	model   contract.ModelName
}

// localState is the leader's exact state of one runner.
type localState struct {
	boot         int64
	read         bool          // the runner's own report has been read in this term
	synced       bool          // the state is exact: nothing happened since that a report has to settle
	queryPending bool          // a report has been asked for and not arrived
	nextQuery    clock.Instant // earliest time of the next state query
	pending      *Order        // sent and not answered
	swap         *swap
	holdUntil    clock.Instant // no order before
	busyUntil    clock.Instant // the load in progress ends then
	sharedAt     clock.Instant // to the peers, last
	conflicts    int
	failures     int // orders and state queries in a row without an answer
}

func (b *localState) idle(now clock.Instant) bool {
	return b.synced && b.pending == nil && b.swap == nil && !b.holdUntil.After(now) && !b.busyUntil.After(now)
}

// freeIn returns the expected time until the runner can take an order.
func (b *localState) freeIn(now clock.Instant) time.Duration {
	wait := max(0, b.holdUntil.Sub(now), b.busyUntil.Sub(now))
	switch {
	case b.swap != nil:
		wait += swapTime
	case !b.synced || b.pending != nil:
		wait = max(wait, reportLag)
	}
	return wait
}

// invalidate makes the next order wait for a report that was made after now.
func (b *localState) invalidate(now clock.Instant) {
	b.synced, b.queryPending = false, false
	b.nextQuery = now.Add(reportLag)
	b.swap = nil
}

// usedMB returns the room that a runner's models and adapters take.
func usedMB(r *Runner, engine *contract.Engine) float64 {
	used := 0.0
	for name, replica := range r.Replicas {
		m := engine.Models[name]
		used += m.WeightsMB + float64(len(replica.Adapters))*m.AdapterMB
	}
	return used
}

// adapterCount returns the adapter places in use.
func adapterCount(r *Runner) int {
	n := 0
	for _, replica := range r.Replicas {
		n += len(replica.Adapters)
	}
	return n
}
