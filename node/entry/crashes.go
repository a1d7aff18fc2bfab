package entry

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/link"
)

// maxCrashUpdates limits each list of what waits to be reported to a peer. The oldest go first.
const maxCrashUpdates = 1024

// Details of refusals.
const (
	blockedPartDetail    = "part %x of the prompt has crashed several runners"
	blockedRequestDetail = "runs of this request have broken off at several runners"
)

// crashUpdates is what this VM has learned of crashes and not yet reported to a peer. It does no harm to report it again,
// so it is kept until the peer has confirmed the report.
type crashUpdates struct {
	broken        []brokenRun
	sound         []uint64 // prompt parts
	soundRequests []uint64 // digests
}

// brokenRun is a broken run and the instant at which it broke off.
type brokenRun struct {
	link.BrokenRun
	at clock.Instant
}

// blockedVersion identifies the state of the blocked prompt parts and requests.
type blockedVersion struct{ parts, requests uint64 }

func (r *routing) blockedVersion() blockedVersion {
	return blockedVersion{parts: r.promptParts.Version(), requests: r.crashes.Version()}
}

func (u *crashUpdates) add(more crashUpdates) {
	u.broken = lastOf(append(u.broken, more.broken...))
	u.sound = lastOf(append(u.sound, more.sound...))
	u.soundRequests = lastOf(append(u.soundRequests, more.soundRequests...))
}

func lastOf[T any](list []T) []T { return list[max(0, len(list)-maxCrashUpdates):] }

// recordOutcome draws conclusions from the end of an attempt on its request and the parts of its prompt: a complete run proves
// them sound, and one whose connection ended before the answer did makes them suspects. An attempt that was given up here or by
// the caller says nothing.
func (r *routing) recordOutcome(m attemptEnded, now clock.Instant) {
	switch {
	case m.wholeAnswer():
		r.requestCompleted(m.call.request.Digest, "", now)
		if m.status/100 == http.StatusOK/100 {
			r.partsCompleted(m.suspectParts(), "", now)
		}
	case m.result == resultBroken && m.lost:
		run := link.BrokenRun{
			Digest: m.call.request.Digest, Runner: m.attempt.runner, Boot: m.attempt.boot, Answered: m.answered, Took: m.took,
		}
		if m.answering <= link.BeginTime {
			run.Parts = m.suspectParts()
		}
		r.addBrokenRun(run, "", now)
	}
}

// suspectParts returns the prompt parts that may crash the runner of the attempt.
func (m attemptEnded) suspectParts() []uint64 {
	if m.attempt.artifact.Model == "" {
		return nil
	}
	return m.call.parts
}

// wholeAnswer reports whether the attempt's answer is certainly complete.
func (m attemptEnded) wholeAnswer() bool {
	return m.result == resultServed && (m.delimited || m.answering > link.BeginTime)
}

// addBrokenRun counts a broken run that this VM saw, or that source reported, and passes it on.
func (r *routing) addBrokenRun(run link.BrokenRun, source string, now clock.Instant) {
	if r.promptParts.Add(run, now) {
		r.crashes.Forget(run.Digest)
	} else if r.crashes.Add(run, now) {
		r.log.Warn("request blocked", "digest", strconv.FormatUint(run.Digest, 16), "runner", run.Runner, "reported_by", source)
		r.withdrawRequest(run.Digest)
	}
	update := crashUpdates{broken: []brokenRun{{run, now.Add(-run.Age)}}}
	r.passOn(source, func(p *peer) { p.crashUpdates.add(update) })
}

// requestCompleted counts a complete run of a request that this VM saw, or that source reported. It passes on one that had
// crashes.
func (r *routing) requestCompleted(digest uint64, source string, now clock.Instant) {
	if r.crashes.Completed(digest) {
		r.passOn(source, func(p *peer) { p.crashUpdates.add(crashUpdates{soundRequests: []uint64{digest}}) })
	}
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
	r.recordBlocked(now)
}

// partsCompleted counts a complete run with the given parts that this VM saw, or that source reported. It passes on those
// that had crashes.
func (r *routing) partsCompleted(parts []uint64, source string, now clock.Instant) {
	sound := r.promptParts.Completed(parts, now)
	if len(sound) > 0 {
		r.passOn(source, func(p *peer) { p.crashUpdates.add(crashUpdates{sound: sound}) })
	}
}

// withdraw cancels the attempts of requests with a blocked part whose answers have not begun, before they crash further
// runners.
func (r *routing) withdraw(part uint64) {
	for c := range r.inFlight {
		if slices.Contains(c.parts, part) {
			c.cancel(errBlocked)
		}
	}
}

// withdrawRequest does the same for a blocked request.
func (r *routing) withdrawRequest(digest uint64) {
	for c := range r.inFlight {
		if c.request.Digest == digest {
			c.cancel(errBlocked)
		}
	}
}

// addCrashUpdates adds to a report what a neighbour does not know yet of crashes.
func (r *routing) addCrashUpdates(report *link.Report, p *peer, now clock.Instant) {
	for _, run := range p.crashUpdates.broken {
		run.Age = now.Sub(run.at)
		report.Broken = append(report.Broken, run.BrokenRun)
	}
	report.Sound, report.SoundRequests = p.crashUpdates.sound, p.crashUpdates.soundRequests
	p.crashUpdatesSent, p.crashUpdates = p.crashUpdates, crashUpdates{}
	if version := r.blockedVersion(); p.needsAll || p.blockedSent != version {
		p.blockedSent = version
		report.Blocked, report.BlockedRequests = r.promptParts.BlockedParts(now), r.crashes.BlockedRequests(now)
	}
}

// applyCrashUpdates applies what a neighbour reports of crashes.
func (r *routing) applyCrashUpdates(in link.Report, now clock.Instant) {
	for _, run := range in.Broken {
		r.addBrokenRun(run, in.Node, now)
	}
	if len(in.Sound) > 0 {
		r.partsCompleted(in.Sound, in.Node, now)
	}
	for _, digest := range in.SoundRequests {
		r.requestCompleted(digest, in.Node, now)
	}
	for _, b := range in.Blocked {
		r.adoptPart(b, in.Node, now)
	}
	for _, b := range in.BlockedRequests {
		r.adoptRequest(b, in.Node, now)
	}
}

// adoptPart takes over a part that another VM blocks; source is that VM, or the store.
func (r *routing) adoptPart(b link.BlockedSuspect, source string, now clock.Instant) {
	if r.promptParts.Adopt(b, now) {
		r.log.Warn("prompt part blocked", "part", strconv.FormatUint(b.Part, 16), "left_ms", b.Left.Milliseconds(),
			"reported_by", source)
		r.withdraw(b.Part)
	}
}

// adoptRequest does the same for a request.
func (r *routing) adoptRequest(b link.BlockedSuspect, source string, now clock.Instant) {
	if r.crashes.Adopt(b, now) {
		r.log.Warn("request blocked", "digest", strconv.FormatUint(b.Part, 16), "left_ms", b.Left.Milliseconds(),
			"reported_by", source)
		r.withdrawRequest(b.Part)
	}
}

// crashSuspect says why a call must not be sent to a runner.
type crashSuspect struct {
	cause  cutCause
	detail string
}

// suspectIn returns what of a call is blocked, and false if nothing is.
func (r *routing) suspectIn(c *call, now clock.Instant) (crashSuspect, bool) {
	if r.crashes.Blocked(c.request.Digest, now) {
		return crashSuspect{cutCrashing, blockedRequestDetail}, true
	}
	if part, blocked := r.promptParts.Blocked(c.parts, now); blocked {
		return crashSuspect{cutPartBlocked, fmt.Sprintf(blockedPartDetail, part)}, true
	}
	return crashSuspect{}, false
}

// refuseSuspect refuses a call that was admitted before it, or a part of its prompt, was blocked.
func (r *routing) refuseSuspect(c *call, s crashSuspect, now clock.Instant) {
	if c.runs > 0 {
		r.abandon(c, s.cause, contract.Failed(contract.CrashSuspect, "%s", s.detail), now)
		return
	}
	r.refuse(c, contract.Refuse(contract.CrashSuspect, 0, "%s", s.detail), now)
}
