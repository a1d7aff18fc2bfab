package entry

import (
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/link"
	"github.com/mangopass/mangopass/fleet/machine"
	"github.com/mangopass/mangopass/platform"
)

// apply records what a runner has stated in an answer.
func (m runnerStated) apply(r *routing, now clock.Instant) {
	r.heardFrom(m.process, m.stated, m.at, now)
}

// heardFrom records what a process of a runner has stated of itself, in an answer that came at the given instant: that it
// leaves, which the other VMs are told, or that it wants nothing from this VM for a while.
func (r *routing) heardFrom(p machine.Process, s platform.Stated, at, now clock.Instant) {
	if s.Malformed != "" {
		r.log.Warn("runner statement rejected", "runner", p.Runner, "statement", s.Malformed)
		r.metrics.rejectedStatements.Inc()
	}
	if s.Leaving {
		r.markLeaving(p, "", now)
	}
	r.heardCold(p, s.ColdLeft, at, now)
	if s.Pause <= 0 {
		return
	}
	pause := min(s.Pause, r.rules.MaxPause())
	if pause < s.Pause {
		r.metrics.rejectedStatements.Inc()
	}
	r.fleet.Pause(p, at.Add(pause))
	r.metrics.pauses.Inc()
	r.log.Info("runner paused", "runner", p.Runner, "boot", p.Boot, "stated_ms", s.Pause.Milliseconds(),
		"pause_ms", pause.Milliseconds(), "stated_ms_ago", now.Sub(at).Milliseconds())
}

// markLeaving records that a process of a runner leaves, as it has stated to this VM or to source, and tells the neighbours.
func (r *routing) markLeaving(p machine.Process, source string, now clock.Instant) {
	if !r.fleet.MarkLeaving(p, now) {
		return
	}
	r.log.Info("runner leaves", "runner", p.Runner, "boot", p.Boot, "reported_by", source)
	r.passOn(source, func(n *peer) { n.unreportedLeaving = append(n.unreportedLeaving, p) })
}

// leavingFor returns the processes of runners to report to a neighbour: all that are known to leave in a complete report,
// and those that it has not been told otherwise.
func (r *routing) leavingFor(p *peer) []machine.Process {
	news := p.unreportedLeaving
	p.unreportedLeaving = nil
	if p.needsAll {
		return r.fleet.Leaving()
	}
	return news
}

// applyLeaving applies what a neighbour reports of runners that leave. It can only add to what is known.
func (r *routing) applyLeaving(in link.Report, now clock.Instant) {
	for _, p := range in.Leaving {
		r.markLeaving(p, in.Node, now)
	}
}

// pausedRunners returns the number of runners that want nothing from this VM now.
func (r *routing) pausedRunners(now clock.Instant) int {
	n := 0
	for _, runner := range r.fleet.All() {
		if runner.Paused(now) > time.Duration(0) {
			n++
		}
	}
	return n
}
