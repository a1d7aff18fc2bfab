package link

import (
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/machine"
	"github.com/mangopass/mangopass/fleet/memory"
)

// roomRetry is the shortest time after which a request that waits for room in a runner's memory may find it.
const roomRetry = 50 * time.Millisecond

// shortage is what the choice of a runner has found of runners that lack the memory for a request.
type shortage struct {
	full    *machine.Runner // the one with the most room
	missing int             // tokens there beyond its capacity
}

// Held returns the tokens that all entry VMs' requests hold and claim in the memory of a runner. Requests beyond its slots
// wait there and hold nothing yet; which ones these are is not known, so each counts for the same part.
func (t *Table) Held(r *machine.Runner) memory.Held {
	var held memory.Held
	running := 1.0 // part of the requests that have a slot
	if sum := t.totals[r.ID]; sum != nil {
		if r.Slots > 0 && sum.running > r.Slots {
			running = float64(r.Slots) / float64(sum.running)
		}
		held.Tokens, held.Claimed = int(running*float64(sum.tokens)), sum.claimed
	}
	if l := t.links[r.ID]; l != nil {
		held.Own = int(running * float64(l.ownTokens))
	}
	return held
}

// hasRoom reports whether a runner has the memory for a request, and notes the shortage if not. hashes are the prefixHashes of
// its prompt.
func (t *Table) hasRoom(r *machine.Runner, req Requirements, hashes []uint64, s *shortage, now clock.Instant) bool {
	if req.Tokens <= 0 || t.Memory.Capacity(r) == 0 {
		return true
	}
	held := t.Held(r)
	switch t.Memory.Fits(r, held, t.tokensAt(r, req, hashes), req.Claim, now) {
	case memory.Room:
		return true
	case memory.Full:
		if missing := held.Tokens + held.Claimed - t.Memory.Capacity(r); s.full == nil || missing < s.missing {
			s.full, s.missing = r, missing
		}
	}
	return false
}

// tokensAt returns what a request takes of a runner's memory beside the parts of its prompt that are cached there: those are
// kept once, and count with the request that has brought them.
func (t *Table) tokensAt(r *machine.Runner, req Requirements, hashes []uint64) int {
	return max(0, t.sizeAt(r, req)-t.Link(r).cache.cachedTokens(hashes, req.Prompt))
}

// sizeAt returns the tokens of a request at a runner. The length of the answer is an estimate, so it makes no request larger than
// an engine that can hold its prompt.
func (t *Table) sizeAt(r *machine.Runner, req Requirements) int {
	if capacity := t.Memory.Capacity(r); capacity > 0 && req.PromptTokens <= capacity {
		return min(req.Tokens, capacity)
	}
	return req.Tokens
}

// explainShortage returns the choice of no runner with the part that memory has in it. A request is too large only if all
// runners that hold its model are too small for it, also those that it can't use now.
func (t *Table) explainShortage(
	f *machine.Fleet, req Requirements, refused Choice, s shortage, now clock.Instant,
) Choice {
	if s.full != nil {
		if !refused.Limited || roomRetry < refused.Retry {
			refused.Retry = roomRetry
		}
		refused.Limited, refused.Memory, refused.full = true, memory.Full, s.full
		refused.Wait = t.Pace.Writing(s.full.ID, req.Artifact, max(req.Usual, req.Events))
		return refused
	}
	if req.Tokens > 0 && t.tooLarge(f, req, now) {
		return Choice{Memory: memory.TooLarge}
	}
	return refused
}

// tooLarge reports whether all runners with the model of a request are too small for its prompt, and there is one.
func (t *Table) tooLarge(f *machine.Fleet, req Requirements, now clock.Instant) bool {
	found := false
	req.Exclude = nil
	for _, r := range f.All() {
		if !req.suits(r, now) {
			continue
		}
		if capacity := t.Memory.Capacity(r); capacity == 0 || req.PromptTokens <= capacity {
			return false
		}
		found = true
	}
	return found
}

// claimRoom keeps room for a request that has found none at the runner with the most room. Its claim ends if it no longer
// helps: the runner is gone, or it gives way to others.
func (t *Table) claimRoom(f *machine.Fleet, req Requirements, c Choice, now clock.Instant) {
	claim := req.Claim
	if claim == nil {
		return
	}
	if claim.Tokens > 0 {
		r := f.Get(claim.Runner)
		if c.full != nil && r != nil && t.claimStands(claim, req) && !t.Memory.GivesWay(claim, t.Held(r), t.rand.Float64, now) {
			return
		}
		t.EndClaim(claim)
	}
	if c.full == nil {
		return
	}
	if holder := t.Memory.Holder(c.full); holder != nil && holder.Tokens < req.Tokens {
		t.EndClaim(holder) // else a large request might wait behind small ones for ever
	}
	size := t.sizeAt(c.full, req)
	if t.Memory.Take(claim, c.full, req.Artifact, size, t.Held(c.full), now) {
		t.Link(c.full).claim(req.Artifact, size)
	}
}

// claimStands reports whether the runner of a claim still counts it and could take the request.
func (t *Table) claimStands(claim *memory.Claim, req Requirements) bool {
	for _, r := range t.suitable {
		if r.ID == claim.Runner {
			return claim.Tokens == t.sizeAt(r, req) && t.Memory.Holder(r) == claim && t.Memory.Capacity(r) >= claim.Tokens
		}
	}
	return false
}

// EndClaim gives back the room that a request has claimed.
func (t *Table) EndClaim(claim *memory.Claim) {
	if claim.Tokens == 0 {
		return
	}
	runner, artifact, tokens := claim.Runner, claim.Artifact, claim.Tokens
	if l := t.links[runner]; t.Memory.End(claim) && l != nil {
		l.claim(artifact, -tokens)
	}
}

// claim changes the claimed tokens by the given number.
func (l *RunnerLink) claim(a machine.Artifact, tokens int) {
	load := l.ownLoads[a]
	if load == nil {
		if tokens < 0 {
			return
		}
		load = &Load{Runner: l.id, Artifact: a}
		l.ownLoads[a] = load
	}
	l.adjustLoad(load, Load{Claimed: max(tokens, -load.Claimed)})
	if load.Running <= 0 && load.Claimed <= 0 {
		l.adjustLoad(load, load.negated())
		delete(l.ownLoads, a)
	}
}

// Holds counts the tokens that a request sent to the runner is expected to hold there.
func (l *RunnerLink) Holds(a machine.Artifact, tokens int) {
	if load := l.ownLoads[a]; load != nil && tokens > 0 {
		l.adjustLoad(load, Load{Tokens: tokens})
	}
}

// Frees counts that a request which ends no longer holds its tokens. It goes before Finished.
func (l *RunnerLink) Frees(a machine.Artifact, tokens int) {
	if load := l.ownLoads[a]; load != nil && tokens > 0 {
		l.adjustLoad(load, Load{Tokens: -min(tokens, load.Tokens)})
	}
}
