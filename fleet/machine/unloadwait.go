package machine

import "time"

// unloadWait is how long a leader waits after an unload before it gives the next order, learned from the answers to
// these orders. A runner refuses orders until the unload is done, and does not tell how long that takes.
type unloadWait struct {
	wait      time.Duration
	most      time.Duration
	increment time.Duration // added after a conflict
	decrement time.Duration // subtracted after an order that is accepted at once
}

// A decrement of a twentieth of the increment lets about one order in twenty meet a conflict.
const waitIncrementShare = 20

// newIdleUnloadWait returns the wait after the unload of a model that no request uses.
func newIdleUnloadWait() *unloadWait {
	const increment = 10 * time.Millisecond
	return &unloadWait{
		wait: unloadTime, most: 5 * unloadTime, increment: increment, decrement: increment / waitIncrementShare,
	}
}

// newDrainUnloadWait returns the wait after the unload of a model with running requests, in which these can end.
func newDrainUnloadWait() *unloadWait {
	const increment = 100 * time.Millisecond
	return &unloadWait{
		wait: drainTime, most: 5 * drainTime, increment: increment, decrement: increment / waitIncrementShare,
	}
}

// adjust applies the answer to the first order after an unload.
func (w *unloadWait) adjust(conflict bool) {
	if conflict {
		w.wait = min(w.most, w.wait+w.increment)
		return
	}
	w.wait = max(0, w.wait-w.decrement)
}
