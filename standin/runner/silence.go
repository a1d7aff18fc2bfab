package runner

import (
	"context"
	"time"

	"github.com/mangopass/mangopass/duty"
)

// beginSilence begins a silence of all answers, if the faults state one. The caller holds the lock.
func (r *Runner) beginSilence(now time.Time) {
	r.silentUntil = time.Time{}
	if r.faults.SilentStreams == 0 {
		r.silentUntil = now.Add(time.Duration(r.faults.SilenceMs) * time.Millisecond)
	}
}

// stayQuiet returns when the silence of all answers is over, or the context ends.
func (r *Runner) stayQuiet(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		left := time.Until(r.silentUntil)
		r.mu.Unlock()
		if left <= 0 {
			return
		}
		duty.Pause(ctx, left)
	}
}
