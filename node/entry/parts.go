package entry

import (
	"net/http"
	"strconv"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/link"
)

// maxPartUpdates limits the broken runs, and the sound parts, that wait to be reported to a peer. The oldest go first.
const maxPartUpdates = 1024

// blockedPartDetail is the detail of a refusal for a part of the prompt.
const blockedPartDetail = "part %x of the prompt has crashed several runners"

// partUpdates is what this VM has learned of prompt parts and not yet reported to a peer. It does no harm to report it
// again, so it is kept until the peer has confirmed the report.
type partUpdates struct {
	broken []brokenRun
	sound  []uint64
}

// brokenRun is a broken run and the instant at which it broke off.
type brokenRun struct {
	link.BrokenRun
	at clock.Instant
}

func (n *partUpdates) add(more partUpdates) {
	n.broken = lastOf(append(n.broken, more.broken...))
	n.sound = lastOf(append(n.sound, more.sound...))
}

func lastOf[T any](list []T) []T { return list[max(0, len(list)-maxPartUpdates):] }

// recordPartOutcome draws conclusions from the end of an attempt on the parts of its prompt: a complete run proves them
// sound, and one that broke off with its connection makes them suspects.
func (r *routing) recordPartOutcome(m attemptEnded, now clock.Instant) {
	parts := m.call.parts
	if len(parts) == 0 || m.attempt.artifact.Model == "" {
		return
	}
	switch {
	case m.completeRun():
		r.partsCompleted(parts, "", now)
	case m.result == resultBroken && m.lost && m.answering <= link.BeginTime:
		r.addBrokenRun(link.BrokenRun{
			Digest: m.call.request.Digest, Parts: parts, Runner: m.attempt.runner, Boot: m.attempt.boot,
			Answered: m.answered,
		}, "", now)
	}
}

// completeRun reports whether the attempt's answer is certainly a complete and successful one.
func (m attemptEnded) completeRun() bool {
	return m.result == resultServed && m.status/100 == http.StatusOK/100 &&
		(m.delimited || m.answering > link.BeginTime)
}

// addBrokenRun counts a broken run that this VM saw, or that source reported, and passes it on.
func (r *routing) addBrokenRun(run link.BrokenRun, source string, now clock.Instant) {
	if r.promptParts.Add(run, now) {
		r.crashes.Forget(run.Digest)
	}
	update := partUpdates{broken: []brokenRun{{run, now.Add(-run.Age)}}}
	r.passOn(source, func(p *peer) { p.partUpdates.add(update) })
}

// reviewParts blocks prompt parts that have crashed runners. Other requests that these crashes broke off are no
// crash suspects.
func (r *routing) reviewParts(now clock.Instant) {
	blocked, explained := r.promptParts.Review(now)
	for _, digest := range explained {
		r.crashes.Forget(digest)
	}
	for _, part := range blocked {
		r.log.Warn("prompt part blocked", "part", strconv.FormatUint(part, 16), "requests", len(explained))
		r.withdraw(part)
	}
	r.recordBlockedParts(now)
}

// partsCompleted counts a complete run with the given parts that this VM saw, or that source reported. It passes on those
// that had crashes.
func (r *routing) partsCompleted(parts []uint64, source string, now clock.Instant) {
	sound := r.promptParts.Completed(parts, now)
	if len(sound) > 0 {
		r.passOn(source, func(p *peer) { p.partUpdates.add(partUpdates{sound: sound}) })
	}
}

// withdraw cancels the attempts of requests with a blocked part whose answers have not begun, before they crash further
// runners.
func (r *routing) withdraw(part uint64) {
	for c := range r.inFlight {
		for _, other := range c.parts {
			if other == part {
				c.cancel(errBlocked)
			}
		}
	}
}

// addPartUpdates adds to a report what a neighbour does not know yet of prompt parts.
func (r *routing) addPartUpdates(report *link.Report, p *peer, now clock.Instant) {
	for _, run := range p.partUpdates.broken {
		run.Age = now.Sub(run.at)
		report.Broken = append(report.Broken, run.BrokenRun)
	}
	report.Sound = p.partUpdates.sound
	p.partUpdatesSent, p.partUpdates = p.partUpdates, partUpdates{}
	if version := r.promptParts.Version(); p.needsAll || p.blockedSent != version {
		p.blockedSent, report.Blocked = version, r.promptParts.BlockedParts(now)
	}
}

// applyPartUpdates applies what a neighbour reports of prompt parts.
func (r *routing) applyPartUpdates(in link.Report, now clock.Instant) {
	for _, run := range in.Broken {
		r.addBrokenRun(run, in.Node, now)
	}
	if len(in.Sound) > 0 {
		r.partsCompleted(in.Sound, in.Node, now)
	}
	for _, b := range in.Blocked {
		r.adoptPart(b, in.Node, now)
	}
}

// adoptPart takes over a part that another VM blocks; source is that VM, or the store.
func (r *routing) adoptPart(b link.BlockedPart, source string, now clock.Instant) {
	if r.promptParts.Adopt(b, now) {
		r.log.Warn("prompt part blocked", "part", strconv.FormatUint(b.Part, 16), "left_ms", b.Left.Milliseconds(),
			"reported_by", source)
		r.withdraw(b.Part)
	}
}

// refuseBlocked refuses a call that was admitted before a part of its prompt was blocked.
func (r *routing) refuseBlocked(c *call, part uint64, now clock.Instant) {
	if c.runs > 0 {
		r.abandon(c, cutPartBlocked, contract.Failed(contract.CrashSuspect, blockedPartDetail, part), now)
		return
	}
	r.refuse(c, contract.Refuse(contract.CrashSuspect, 0, blockedPartDetail, part), now)
}
