package machine

import (
	"math"

	"github.com/mangopass/mangopass/duty/clock"
)

// StatedMemory is what a model engine states of the memory for its requests, in tokens.
type StatedMemory struct {
	Capacity int // zero: not stated
	Used     int // by the requests that it runs
	At       clock.Instant
}

// Possible reports whether an engine can have such figures.
func (m StatedMemory) Possible() bool {
	return m.Capacity > 0 && m.Capacity <= math.MaxInt32 && m.Used >= 0 && m.Used <= math.MaxInt32
}

// stateMemory records what the runner has stated. Impossible figures are ignored.
func (r *Runner) stateMemory(m StatedMemory) {
	if m.Possible() {
		r.Memory = m
	}
}

func (v *RunnerView) setMemory(m StatedMemory, now clock.Instant) {
	if m.Capacity > 0 {
		v.MemoryTokens, v.UsedTokens, v.UsedAgo = m.Capacity, m.Used, max(0, now.Sub(m.At))
	}
}

// memory returns what the runner has stated according to the view.
func (v *RunnerView) memory(now clock.Instant) StatedMemory {
	return StatedMemory{Capacity: v.MemoryTokens, Used: v.UsedTokens, At: now.Add(-max(0, v.UsedAgo))}
}
