package memory

import (
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/machine"
)

// maxClaimPauseLags is the longest time, in lags, for which this VM claims nothing at an engine where a claim has given way to
// those of other VMs.
const maxClaimPauseLags = 4

// Claim is the room that a waiting request keeps at an engine. All VMs count it as held, so that smaller requests don't use
// what becomes free. The zero value is none.
type Claim struct {
	Runner   machine.RunnerID
	Artifact machine.Artifact
	Tokens   int // zero: none

	since    clock.Instant
	reviewAt clock.Instant // when it may next give way
}

// known reports whether all VMs know a claim, and this VM what the others sent before they knew it: each takes a lag.
func (b *Book) known(c *Claim, now clock.Instant) bool {
	return b.informed && now.Sub(c.since) >= 2*b.lag && now.Sub(b.informedAt) < b.lag
}

// Holder returns the claim of this VM's requests at a runner, or nil. There is one at a time, which keeps the claims of all VMs
// within an engine's memory.
func (b *Book) Holder(r *machine.Runner) *Claim {
	if e := b.engine(r); e != nil {
		return e.claim
	}
	return nil
}

// Take claims room for a request at a runner without a claim of this VM, and returns false if it may not claim now: there is no
// room for it beside the larger claims of other VMs, or one has given way to them lately.
func (b *Book) Take(c *Claim, r *machine.Runner, a machine.Artifact, tokens int, held Held, now clock.Instant) bool {
	e := b.engine(r)
	switch {
	case e == nil || e.claim != nil || now.Before(e.noClaimsUntil):
		return false
	case held.Claimed+tokens > e.statement.Capacity && held.Claimed >= tokens:
		return false
	}
	e.claim = c
	c.Runner, c.Artifact, c.Tokens, c.since, c.reviewAt = r.ID, a, tokens, now, now.Add(b.lag)
	return true
}

// End ends a claim, and reports whether its engine still counted it: it has not restarted since.
func (b *Book) End(c *Claim) bool {
	e := b.engines[c.Runner]
	counted := e != nil && e.claim == c
	if counted {
		e.claim = nil
	}
	c.Runner, c.Artifact, c.Tokens = "", machine.Artifact{}, 0
	return counted
}

// GivesWay reports whether a claim must end because it doesn't fit beside those of other VMs, which may wait for it in
// the same way. The larger one stays; else chance decides. spread returns a random number from 0 to 1.
func (b *Book) GivesWay(c *Claim, held Held, spread func() float64, now clock.Instant) bool {
	e := b.engines[c.Runner]
	others := held.Claimed - c.Tokens
	if e == nil || e.claim != c || others <= 0 || now.Before(c.reviewAt) {
		return false
	}
	c.reviewAt = now.Add(b.lag)
	alone := max(0, held.Tokens) + c.Tokens
	if alone > e.statement.Capacity || alone+others <= e.statement.Capacity || c.Tokens > others || spread() < 0.5 {
		return false
	}
	e.noClaimsUntil = now.Add(b.lag + time.Duration(spread()*float64((maxClaimPauseLags-1)*b.lag)))
	return true
}
