package share

import (
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
)

const (
	// saturatedFrom and unsaturatedBelow are the parts of what is asked for, from 0 to 1, that find no runner in time, from which
	// on a service is saturated and below which it no longer is.
	saturatedFrom    = 0.1
	unsaturatedBelow = 0.03
	// settleTime is the time for which either must last. It covers the first reports of the other VMs, which state what they
	// know of a service only once requests have missed their time somewhere.
	settleTime = 500 * time.Millisecond
	// reportedMissed is the missed time at targets, in seconds over all VMs, from which on a service is reported: about one
	// large prompt.
	reportedMissed = 0.1
)

// saturation says whether a service is asked for more than it can serve in time.
type saturation struct {
	saturated bool
	since     clock.Instant // of that state
	turningAt clock.Instant // since when the other state would be right; zero: it is not
}

// Change is the begin or the end of a saturation.
type Change struct {
	Service       contract.ServiceName
	Begins        bool
	Missed        float64 // part of what was asked for lately
	Asked, Given  float64 // time at targets a second
	Organisations int
}

// observe updates the state, and reports whether it has changed.
func (s *saturation) observe(all sums, scale float64, now clock.Instant) bool {
	turns := all.missed > saturatedFrom*all.asked && all.missed/scale >= reportedMissed
	if s.saturated {
		turns = all.missed <= unsaturatedBelow*all.asked || all.missed/scale < reportedMissed/2 // nobody asks any more
	}
	switch {
	case !turns:
		s.turningAt = 0
	case s.turningAt == 0:
		s.turningAt = now
	case now.Sub(s.turningAt) >= settleTime:
		s.saturated, s.since, s.turningAt = !s.saturated, now, 0
		return true
	}
	return false
}
