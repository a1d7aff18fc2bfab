package machine

import (
	"time"

	"github.com/mangopass/mangopass/duty/clock"
)

// Process is one start of a runner.
type Process struct {
	Runner RunnerID
	Boot   int64
}

// MarkLeaving records that a process of a runner has stated that it leaves. It takes no new requests from then on,
// whatever its entry says. MarkLeaving returns false if that is known already, or of an earlier process than the one that
// is known.
func (f *Fleet) MarkLeaving(p Process, now clock.Instant) bool {
	if r := f.runners[p.Runner]; r != nil && r.Boot == p.Boot {
		news := !r.StatedLeaving
		r.StatedLeaving = true
		return news
	} else if r != nil && p.Boot < r.Boot {
		return false
	}
	d, known := f.departed[p.Runner]
	if known && (p.Boot < d.boot || p.Boot == d.boot && d.leaving) {
		return false
	}
	if !known || p.Boot > d.boot {
		d = departure{boot: p.Boot}
	}
	d.at, d.leaving = now, true
	f.departed[p.Runner] = d
	return true
}

// Leaving returns the processes that have stated that they leave, as far as they are remembered.
func (f *Fleet) Leaving() []Process {
	var out []Process
	for _, r := range f.sorted {
		if r.StatedLeaving {
			out = append(out, Process{Runner: r.ID, Boot: r.Boot})
		}
	}
	for id, d := range f.departed {
		if d.leaving {
			out = append(out, Process{Runner: id, Boot: d.boot})
		}
	}
	return out
}

// Pause records that a process of a runner wants nothing from this VM until the given instant. A shorter pause than one
// before has no effect.
func (f *Fleet) Pause(p Process, until clock.Instant) {
	if r := f.runners[p.Runner]; r != nil && r.Boot == p.Boot {
		r.PausedUntil = max(r.PausedUntil, until)
	} else if d, known := f.departed[p.Runner]; known && d.boot == p.Boot {
		d.pausedUntil = max(d.pausedUntil, until)
		f.departed[p.Runner] = d
	}
}

// ResumeTime is the time after a pause in which this VM sends its requests to the runner one after the other, ResumeGap
// apart, so that the pause does not end with all that has waited for it.
const (
	ResumeTime = time.Second
	ResumeGap  = 50 * time.Millisecond
)

// Paused returns the time until the runner takes the next request or order from this VM; zero: it takes one now.
func (r *Runner) Paused(now clock.Instant) time.Duration {
	return max(0, r.PausedUntil.Sub(now), r.nextAfterPause.Sub(now))
}

// Sent notes a request that is sent to the runner.
func (r *Runner) Sent(now clock.Instant) {
	if r.PausedUntil != 0 && now.Sub(r.PausedUntil) < ResumeTime {
		r.nextAfterPause = now.Add(ResumeGap)
	}
}
