// Package memory decides whether a model engine has room in its memory for a request. It does no I/O; the current time is
// always an argument.
package memory

import (
	"math"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/machine"
)

const (
	// Lag is the time after which all entry VMs know what one of them has sent or claimed, as long as no report is lost: three
	// reports along the tree. It is longer where relays have so many neighbours that they report less often.
	Lag = 250 * time.Millisecond
	// excessTime is how long an engine's statement counts that it uses more than the loads say.
	excessTime = 3 * time.Second
	// maxWindow limits the time for which a request of this VM counts as unknown to others while reports are missing.
	maxWindow = time.Minute
	// denseFill is the fill of an engine, from 0 to 1, from which more VMs than sparseCrowd may count as sending there at the same
	// time. Below, requests that come together find room all the same.
	denseFill   = 0.5
	sparseCrowd = 8
)

// Statement is what an engine has stated of its memory.
type Statement struct {
	Boot int64 // start of the engine
	machine.StatedMemory
}

// covers reports whether a later arrival of a statement is an earlier one or the same. Its time is not exact, since it reaches
// this VM with the time that has passed since.
func (s Statement) covers(other Statement) bool {
	if s.Boot != other.Boot {
		return other.Boot < s.Boot
	}
	same := s.Capacity == other.Capacity && s.Used == other.Used
	return other.At <= s.At || same && other.At.Sub(s.At) < Lag
}

// Held is the tokens of all entry VMs' requests at an engine.
type Held struct {
	Tokens  int // of those that have been sent
	Own     int // the part of Tokens of this VM's requests
	Claimed int // of those that wait for room there
}

// Verdict says whether an engine has room for a request.
type Verdict int

// The verdicts.
const (
	Room     Verdict = iota
	Full             // not now
	TooLarge         // not even if the engine were empty
)

// Book holds what one entry VM knows of the memory of engines beyond the loads.
type Book struct {
	engines    map[machine.RunnerID]*engine
	vms        int
	lag        time.Duration
	informed   bool          // the reports of all neighbours arrive in time
	restoredAt clock.Instant // if so, since when
	informedAt clock.Instant // when this VM and the others last knew of each other what they had sent a lag before
	aliveAt    clock.Instant
}

// engine is an engine whose capacity is known.
type engine struct {
	statement Statement
	excess    int // tokens that the engine states to use beyond the loads at that time
	sent      []sent
	claim     *Claim // of a request of this VM; nil: none

	noClaimsUntil clock.Instant // by this VM
}

// sent is a request of this VM that other VMs may not know of.
type sent struct {
	at     clock.Instant
	tokens int
}

// NewBook returns a book without engines of a process that is the only entry VM.
func NewBook() *Book { return &Book{engines: make(map[machine.RunnerID]*engine), vms: 1, lag: Lag} }

// SetLag states the time after which all entry VMs know what one of them has sent.
func (b *Book) SetLag(lag time.Duration) { b.lag = max(Lag, lag) }

// SetReach states how many entry VMs may send, and whether the reports of all neighbours arrive in time.
func (b *Book) SetReach(vms int, informed bool, now clock.Instant) {
	b.vms = max(1, vms)
	if informed && !b.informed {
		b.restoredAt = now
	}
	if b.informed = informed; informed && now.Sub(b.restoredAt) >= 2*b.lag {
		b.informedAt = now
	}
}

// Alive notes that the process runs. After a pause of the process, the reports that it reads first are old.
func (b *Book) Alive(now clock.Instant) {
	if b.aliveAt != 0 && now.Sub(b.aliveAt) > Lag {
		b.informed = false
	}
	b.aliveAt = now
}

// State records what an engine has stated, with the tokens that the loads say it holds, and reports whether its capacity has
// become known or has changed. Impossible figures and repeated or earlier statements are ignored.
func (b *Book) State(id machine.RunnerID, s Statement, held int) bool {
	if !s.Possible() {
		return false
	}
	e := b.engines[id]
	if e != nil && e.statement.covers(s) {
		return false
	}
	news := e == nil || e.statement.Capacity != s.Capacity
	if e == nil || e.statement.Boot != s.Boot {
		e = &engine{}
		b.engines[id] = e
	}
	e.statement, e.excess = s, max(0, s.Used-held)
	return news
}

// engine returns what is known of the present process of a runner, or nil.
func (b *Book) engine(r *machine.Runner) *engine {
	if e := b.engines[r.ID]; e != nil && e.statement.Boot == r.Boot {
		return e
	}
	return nil
}

// Capacity returns the tokens that a runner can hold; zero: not known.
func (b *Book) Capacity(r *machine.Runner) int {
	if e := b.engine(r); e != nil {
		return e.statement.Capacity
	}
	return 0
}

// Excess returns the tokens that a runner has stated to use beyond the loads.
func (b *Book) Excess(r *machine.Runner, now clock.Instant) int {
	if e := b.engine(r); e != nil {
		return e.excessAt(now)
	}
	return 0
}

func (e *engine) excessAt(now clock.Instant) int {
	if now.Sub(e.statement.At) > excessTime {
		return 0
	}
	return e.excess
}

// Sent notes a request that this VM sends to an engine.
func (b *Book) Sent(r *machine.Runner, tokens int, now clock.Instant) {
	if e := b.engine(r); e != nil && tokens > 0 && b.vms > 1 {
		b.unknown(e, 0, now) // forgets what is old
		e.sent = append(e.sent, sent{now, tokens})
	}
}

// unknown returns the tokens that this VM's requests hold at an engine and of which others may not know. It counts what was sent
// in twice the lag, since what others decide on within the lag may itself rest on what they knew a lag before.
func (b *Book) unknown(e *engine, own int, now clock.Instant) int {
	from := min(now, max(b.informedAt, now.Add(-maxWindow))).Add(-2 * b.lag)
	n, sum := 0, 0
	for _, s := range e.sent {
		if s.at.Before(from) {
			n++
		} else {
			sum += s.tokens
		}
	}
	e.sent = e.sent[n:]
	return min(sum, max(0, own))
}

// Fits returns whether an engine has room for a request of the given size. claim is what the request has claimed, if anything.
func (b *Book) Fits(r *machine.Runner, held Held, tokens int, claim *Claim, now clock.Instant) Verdict {
	e := b.engine(r)
	switch {
	case e == nil || tokens <= 0:
		return Room
	case tokens > e.statement.Capacity:
		return TooLarge
	}
	claimedHere := claim != nil && e.claim == claim
	if claimedHere {
		held.Claimed -= claim.Tokens
	}
	used := max(0, held.Tokens) + e.excessAt(now) + tokens
	free := e.statement.Capacity - used - max(0, held.Claimed)
	switch {
	case free < 0:
		return Full
	case b.vms == 1 || free >= b.margin(e, used, b.unknown(e, held.Own, now)+tokens):
		return Room
	case claimedHere && b.known(claim, now):
		return Room
	}
	return Full
}

// margin returns the tokens that other VMs may hold at an engine without this VM knowing it yet: each VM that may send at the same
// time holds as much as the others may not know of this VM. These are few VMs where there is much room, and all where there is
// little.
func (b *Book) margin(e *engine, used, unknown int) int {
	others := float64(b.vms - 1)
	few := min(others, sparseCrowd-1)
	dense := max(0, float64(used)/float64(e.statement.Capacity)-denseFill) / (1 - denseFill)
	return int(math.Ceil((few + (others-few)*dense*dense) * float64(unknown)))
}

// Prune forgets the engines that have left the fleet or restarted.
func (b *Book) Prune(f *machine.Fleet) {
	for id, e := range b.engines {
		if r := f.Get(id); r == nil || r.Boot != e.statement.Boot {
			delete(b.engines, id)
		}
	}
}
