package link

import (
	"slices"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/machine"
)

// Limits for prompt parts that crash runners.
const (
	// BeginTime is the time after the head of an answer within which a part that crashes runners does so. A run that
	// breaks off later is not the cause.
	BeginTime = 500 * time.Millisecond
	// blockScore is the sum of the scores of a part's crashes from which it is blocked.
	blockScore = 15
	// answeredScore is the score of a crash within BeginTime of the head of an answer to a request with the part.
	answeredScore = 5
	// unansweredScore is the score of a crash before such a head. The request may only have been waiting at the runner, but
	// if runners go down before they send a head, the fifth crash must be enough.
	unansweredScore = 3
	// settleTime is the time from the crash with which a part reaches blockScore until it is blocked, in which the other
	// VMs report their runs of the same crashes, and a complete run can still clear the part.
	settleTime = 100 * time.Millisecond
	// crashSpacing is the time within which crashes count as one. Runners that go down together, as in a loss of power,
	// have no part in common that explains it.
	crashSpacing = 100 * time.Millisecond
	// sameCrashTime is the time within which runs that break off at one start of a runner belong to the same crash. A
	// runner takes longer than that to start again, and a starved VM may see its runs break off that much later.
	sameCrashTime = time.Second
	// partWindow is how long crashes and complete runs are remembered.
	partWindow = time.Minute
	// maxTrackedParts limits the parts with crashes. Further ones are not counted.
	maxTrackedParts = 4096
)

// BrokenRun is a run that broke off when its runner went down, and that may be the cause.
type BrokenRun struct {
	Digest   uint64   // of the request
	Parts    []uint64 // of the prompt, as returned by SharedParts; none if it broke off later than BeginTime after the head
	Runner   machine.RunnerID
	Boot     int64         // start of the runner
	Answered bool          // the head of the answer had arrived, no longer than BeginTime before
	Took     time.Duration // time from the sending of the request until then
	Age      time.Duration // time since it broke off
}

// SharedParts returns the IDs of the parts of a prompt that other requests may share: all but the last one, which belongs
// to the request.
func SharedParts(prompt []contract.PromptPart) []uint64 {
	if len(prompt) < 2 {
		return nil
	}
	ids := make([]uint64, len(prompt)-1)
	for i := range ids {
		ids[i] = prompt[i].ID
	}
	return ids
}

// PartTracker finds prompt parts that crash each runner that begins to answer a request with them, whatever else the
// request holds. A part scores for each crash in which a run with it broke off, and is blocked at blockScore. A complete
// run with the part proves it sound and clears its score: a part that sound requests share is cleared again and again,
// while one that crashes runners never is. Of several parts over the limit the one with the highest score is blocked. Its
// crashes are then explained, and no longer count for the parts of other runs that they broke off.
type PartTracker struct {
	parts     map[uint64]*partRecord
	crashes   map[runnerStart]*crash
	completed map[uint64]clock.Instant // last complete run with a part
	reviewAt  clock.Instant            // when the next part may have to be blocked; zero: none is over the limit
	version   uint64                   // changes with the blocked parts
}

// runnerStart identifies one process of a runner.
type runnerStart struct {
	runner machine.RunnerID
	boot   int64
}

// crash is an instant at which a runner went down.
type crash struct {
	at        clock.Instant
	digests   []uint64 // requests with runs that broke off
	explained bool     // a blocked part was among them
}

// partRecord holds the crashes of one part, and for how long it is blocked.
type partRecord struct {
	position int         // in the prompt, from the start
	crashes  []partCrash // in the order of time
	block
}

// partCrash is a crash in which a run with the part broke off.
type partCrash struct {
	crash  *crash
	score  int
	digest uint64 // of the request
}

// NewPartTracker returns a tracker without crashes.
func NewPartTracker() *PartTracker {
	return &PartTracker{
		parts: make(map[uint64]*partRecord), crashes: make(map[runnerStart]*crash),
		completed: make(map[uint64]clock.Instant),
	}
}

// Add counts a broken run. It reports whether a blocked part explains it.
func (t *PartTracker) Add(run BrokenRun, now clock.Instant) (explained bool) {
	c := t.crashOf(run, now.Add(-max(0, run.Age)))
	for i, part := range run.Parts {
		p := t.record(part, now)
		if p == nil {
			continue
		}
		p.position = i
		p.addCrash(c, run)
		c.explained = c.explained || p.active(now)
		if t.reviewAt == 0 && p.overLimit() {
			t.reviewAt = now.Add(settleTime)
		}
	}
	return c.explained
}

// Review blocks the parts that are over the limit, if it is time. It returns them, and the digests of the requests whose
// broken runs they explain.
func (t *PartTracker) Review(now clock.Instant) (blocked, explained []uint64) {
	if t.reviewAt == 0 || now.Before(t.reviewAt) {
		return nil, nil
	}
	t.reviewAt = 0
	for {
		part, p := t.highestScore(now)
		if p == nil {
			return blocked, explained
		}
		p.blockFrom(now)
		t.version++
		blocked = append(blocked, part)
		explained = append(explained, p.explain()...)
	}
}

// highestScore returns the part over the limit that has the highest score, or nil if none is over it. Of parts with the
// same score it is the one furthest back in the prompt, which is in fewer requests.
func (t *PartTracker) highestScore(now clock.Instant) (uint64, *partRecord) {
	var part uint64
	var most *partRecord
	for id, p := range t.parts {
		if p.active(now) || !p.overLimit() {
			continue
		}
		if most == nil || p.scoresHigher(most) || !most.scoresHigher(p) && id < part {
			part, most = id, p
		}
	}
	return part, most
}

// scoresHigher reports whether the part is to be blocked before the other one.
func (p *partRecord) scoresHigher(other *partRecord) bool {
	sum, _ := p.sum()
	otherSum, _ := other.sum()
	return sum > otherSum || sum == otherSum && p.position > other.position
}

// crashOf returns the crash that a run which broke off at the given instant belongs to.
func (t *PartTracker) crashOf(run BrokenRun, at clock.Instant) *crash {
	key := runnerStart{run.Runner, run.Boot}
	c := t.crashes[key]
	if c == nil || at.Sub(c.at) > sameCrashTime {
		c = &crash{at: at}
		t.crashes[key] = c
	}
	if !slices.Contains(c.digests, run.Digest) {
		c.digests = append(c.digests, run.Digest)
	}
	return c
}

// record returns the record of a part, or nil if there are too many.
func (t *PartTracker) record(part uint64, now clock.Instant) *partRecord {
	p := t.parts[part]
	if p == nil && len(t.parts) < maxTrackedParts {
		p = &partRecord{}
		t.parts[part] = p
	}
	if p != nil {
		p.expire(now)
	}
	return p
}

// addCrash adds a crash, or raises the score of the one that is there.
func (p *partRecord) addCrash(c *crash, run BrokenRun) {
	score := unansweredScore
	if run.Answered {
		score = answeredScore
	}
	for i := range p.crashes {
		if p.crashes[i].crash == c {
			p.crashes[i].score = max(p.crashes[i].score, score)
			return
		}
	}
	p.crashes = append(p.crashes, partCrash{crash: c, score: score, digest: run.Digest})
}

// expire drops the crashes that are older than partWindow.
func (p *partRecord) expire(now clock.Instant) {
	p.crashes = slices.DeleteFunc(p.crashes, func(s partCrash) bool { return now.Sub(s.crash.at) > partWindow })
}

// overLimit reports whether the part is to be blocked. Its crashes must come from several requests, as one that crashes
// runners by itself is known by its digest. Once the part has been blocked, one crash is enough.
func (p *partRecord) overLimit() bool {
	if p.times > 0 {
		return slices.ContainsFunc(p.crashes, func(s partCrash) bool {
			return !s.crash.explained && !s.crash.at.Before(p.until)
		})
	}
	sum, several := p.sum()
	return several && sum >= blockScore
}

// sum returns the score of the crashes that are not explained, and whether they come from several requests.
func (p *partRecord) sum() (sum int, several bool) {
	var first, group *partCrash // the first one, and the first of those that count as one crash
	score := 0                  // of the group
	for i := range p.crashes {
		s := &p.crashes[i]
		if s.crash.explained {
			continue
		}
		if first == nil {
			first = s
		}
		several = several || s.digest != first.digest
		if group == nil || s.crash.at.Sub(group.crash.at) >= crashSpacing {
			sum, score, group = sum+score, 0, s
		}
		score = max(score, s.score)
	}
	return sum + score, several
}

// blockFrom blocks the part since its first crash.
func (p *partRecord) blockFrom(now clock.Instant) {
	first := now
	for _, s := range p.crashes {
		first = min(first, s.crash.at)
	}
	p.begin(now, first)
}

// explain marks the part's crashes as explained, and returns the digests of the requests whose runs broke off in those
// that were not before.
func (p *partRecord) explain() []uint64 {
	var digests []uint64
	for _, s := range p.crashes {
		if !s.crash.explained {
			s.crash.explained = true
			digests = append(digests, s.crash.digests...)
		}
	}
	return digests
}

// Blocked returns the first of the given parts that is blocked, and false if none is.
func (t *PartTracker) Blocked(parts []uint64, now clock.Instant) (uint64, bool) {
	for _, part := range parts {
		if p := t.parts[part]; p != nil && p.active(now) {
			return part, true
		}
	}
	return 0, false
}

// Completed counts a complete run with the given parts, and returns those of them that had crashes. A run that was sent
// before a crash that a peer reports counts too: no run with a part that crashes runners is ever completed.
func (t *PartTracker) Completed(parts []uint64, now clock.Instant) []uint64 {
	var cleared []uint64
	for _, part := range parts {
		t.completed[part] = now
		if p := t.parts[part]; p != nil {
			if p.times > 0 {
				t.version++
			}
			delete(t.parts, part)
			cleared = append(cleared, part)
		}
	}
	return cleared
}

// Adopt takes over a part that a peer blocks, and reports whether it was not blocked here. A part with a complete run
// since its first crash is not taken over.
func (t *PartTracker) Adopt(b BlockedSuspect, now clock.Instant) bool {
	if !b.valid() {
		return false
	}
	if at, ok := t.completed[b.Part]; ok && now.Sub(at) <= b.Since {
		return false
	}
	p := t.record(b.Part, now)
	if p == nil {
		return false
	}
	adopted, began := p.adopt(b, now)
	if adopted {
		p.explain()
		t.version++
	}
	return began
}

// BlockedParts returns the parts that are blocked.
func (t *PartTracker) BlockedParts(now clock.Instant) []BlockedSuspect {
	var out []BlockedSuspect
	for part, p := range t.parts {
		if p.active(now) {
			out = append(out, p.state(part, now))
		}
	}
	return out
}

// Version returns a number that changes whenever a part is blocked or cleared.
func (t *PartTracker) Version() uint64 { return t.version }

// Expire forgets what is older than partWindow. A part that was blocked is remembered for as long again, so that the next
// crash blocks it at once.
func (t *PartTracker) Expire(now clock.Instant) {
	for part, p := range t.parts {
		p.expire(now)
		if len(p.crashes) == 0 && p.over(now) {
			delete(t.parts, part)
		}
	}
	for key, c := range t.crashes {
		if now.Sub(c.at) > partWindow {
			delete(t.crashes, key)
		}
	}
	for part, at := range t.completed {
		if now.Sub(at) > partWindow {
			delete(t.completed, part)
		}
	}
}
