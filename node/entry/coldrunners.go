package entry

import (
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/machine"
	"github.com/mangopass/mangopass/fleet/zone"
)

// coldTime returns the time for which a runner is cold after its start; zero: its service does not limit what it then gets.
func (r *routing) coldTime(runner *machine.Runner) time.Duration {
	if r.manifest == nil {
		return 0
	}
	if s := r.manifest.Services[runner.Service]; s != nil && s.Cold.PerSecond > 0 {
		return s.Cold.Time
	}
	return 0
}

// dropUnlimitedCold drops that a runner is cold from its entry if its service does not limit what such a runner gets, so that the
// entry is no news to the VMs below.
func (r *routing) dropUnlimitedCold(a *machine.Announcement) {
	if r.manifest == nil {
		return
	}
	if s := r.manifest.Services[a.Service]; s != nil && s.Cold.PerSecond <= 0 {
		a.ColdLeft = 0
	}
}

// coldLeft returns the time for which a runner counts as cold; zero for one that is not known.
func (r *routing) coldLeft(id machine.RunnerID, now clock.Instant) time.Duration {
	if runner := r.fleet.Get(id); runner != nil {
		return runner.ColdLeft(now)
	}
	return 0
}

// noteCold takes note of a runner's entry and of its effect. A process that starts amid traffic is cold, also if its first
// entry that this VM reads does not say so. before is the time for which the runner counted as cold before.
func (r *routing) noteCold(id machine.RunnerID, effect machine.Change, before time.Duration, now clock.Instant) {
	runner := r.fleet.Get(id)
	if runner == nil || effect == machine.Outdated {
		return
	}
	if effect == machine.Joined || effect == machine.Restarted {
		if r.runnersListed && !runner.Returned {
			runner.ExpectCold(now.Add(r.coldTime(runner)))
		}
		// The entry may have been absent when the zone was taken back.
		if at := r.evacuations.EndedAt(runner.Zone); at != 0 {
			runner.ExpectCold(at.Add(r.coldTime(runner)))
		}
	}
	r.logCold(runner, "entry", before, now)
}

// heardCold records that a process of a runner has stated, in an answer that came at the given instant, how long it stays cold.
func (r *routing) heardCold(p machine.Process, left time.Duration, at, now clock.Instant) {
	runner := r.fleet.Get(p.Runner)
	if left <= 0 || runner == nil || runner.Boot != p.Boot {
		return
	}
	before := runner.ColdLeft(now)
	runner.HearCold(left, at)
	r.logCold(runner, "answer", before, now)
}

// expectCold has the runners of a zone that was taken back count as cold: they may be, and their entries say so late.
func (r *routing) expectCold(z zone.ID, now clock.Instant) {
	for _, runner := range r.fleet.All() {
		if t := r.coldTime(runner); runner.Zone == z && t > 0 {
			before := runner.ColdLeft(now)
			runner.ExpectCold(now.Add(t))
			r.logCold(runner, "zone taken back", before, now)
		}
	}
}

// logCold logs that a runner has become cold.
func (r *routing) logCold(runner *machine.Runner, source string, before time.Duration, now clock.Instant) {
	if left := runner.ColdLeft(now); before <= 0 && r.table.Limits.Cold(runner, now) {
		r.log.Info("runner cold", "runner", runner.ID, "boot", runner.Boot, "left_ms", left.Milliseconds(), "source", source)
	}
}
