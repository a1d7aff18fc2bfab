// Package share divides a saturated service among the organisations that ask for it, by weighted max-min fairness over all
// entry VMs. It does no I/O; the current time is always an argument. The routing duty owns a Book.
package share

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
)

const (
	// reviewPeriod is the time between two reviews of the saturation of the services.
	reviewPeriod = 100 * time.Millisecond
	// expiryPeriod is the time between two removals of what no longer counts.
	expiryPeriod = time.Second
)

// Request is what the division needs to know of a request.
type Request struct {
	Key
	Route        string
	Model        contract.ModelName
	Rank         int // 0 is the most urgent
	PromptTokens int
	Digest       uint64        // equal if the caller sends the request again; zero: not known
	Cost         time.Duration // time at a target
	Spread       float64       // from 0 to 1, evenly spread over the requests
}

// Book holds what all entry VMs have been asked for and have given lately.
type Book struct {
	ledger
	parts      parts
	repeats    repeats
	reviewedAt clock.Instant
	expiredAt  clock.Instant
	spread     float64
}

// NewBook returns a book that knows of no requests.
func NewBook() *Book { return &Book{ledger: newLedger(), parts: newParts(), repeats: make(repeats)} }

// scale returns the factor by which stored sums exceed their value now.
func (b *Book) scale(now clock.Instant) float64 {
	before := b.landmark
	s := b.scaleSums(now)
	if before != 0 && b.landmark != before {
		b.parts.rescale(decayed(now.Sub(before)))
	}
	return s
}

// Above reports whether a request is above its organisation's share of a saturated service. Nothing is while only one
// organisation asks for the service.
func (b *Book) Above(r Request, limits Limits, now clock.Instant) bool {
	s := b.services[r.Service]
	if s == nil || !s.saturated || len(s.total) < 2 {
		return false
	}
	scale := b.scale(now)
	s.divide(limits, now)
	share, known := s.shares[r.Organisation]
	own := s.total[r.Organisation]
	if !known || own.demand() <= share {
		return false
	}
	return !b.parts.within(r, share/own.demand(), r.Cost.Seconds()*scale)
}

// goldenRatio spreads the numbers of Spread most evenly.
const goldenRatio = 0.6180339887498949

// Spread returns the next number for Request.Spread.
func (b *Book) Spread() float64 {
	b.spread = math.Mod(b.spread+goldenRatio, 1)
	return b.spread
}

// Asked counts a request that reaches this VM, and returns the time that it adds to what was asked for: less than its cost if its
// caller sends it again after it ended without an answer.
func (b *Book) Asked(r Request, now clock.Instant) time.Duration {
	added := time.Duration(float64(r.Cost) * b.repeats.asked(r, now))
	b.count(r, sums{asked: added.Seconds()}, now)
	return added
}

// Missed counts a request that no runner can answer in time. added is what Asked has returned for it.
func (b *Book) Missed(r Request, added time.Duration, now clock.Instant) {
	b.count(r, sums{missed: added.Seconds()}, now)
}

// Sent counts a request that is sent within its organisation's share.
func (b *Book) Sent(r Request, now clock.Instant) { b.count(r, sums{within: r.Cost.Seconds()}, now) }

// Unanswered notes that a request which was counted as asked at an instant has ended without an answer.
func (b *Book) Unanswered(r Request, asked clock.Instant) { b.repeats.ended(r, asked) }

// Served counts a request that a runner has answered.
func (b *Book) Served(r Request, now clock.Instant) {
	b.add(r.Key, sums{}.plus(sums{done: r.Cost.Seconds()}, b.scale(now)), true)
}

func (b *Book) count(r Request, s sums, now clock.Instant) {
	stored := sums{}.plus(s, b.scale(now))
	b.add(r.Key, stored, true)
	b.parts.add(r, stored)
}

// Review updates the saturation of the services, if it is time, and returns what has changed.
func (b *Book) Review(now clock.Instant) []Change {
	if now.Sub(b.reviewedAt) < reviewPeriod {
		return nil
	}
	b.reviewedAt = now
	scale := b.scale(now)
	if now.Sub(b.expiredAt) >= expiryPeriod {
		b.expiredAt = now
		b.expire(scale)
		b.parts.expire(scale)
		b.repeats.expire(now)
	}
	var changes []Change
	for name, s := range b.services {
		all := s.sum()
		if !s.observe(all, scale, now) {
			continue
		}
		s.shares = nil
		c := Change{
			Service: name, Begins: s.saturated, Asked: rate(all.asked, scale), Given: rate(all.done, scale), Organisations: len(s.total),
		}
		if all.asked > 0 {
			c.Missed = all.missed / all.asked
		}
		changes = append(changes, c)
	}
	return changes
}

// rate returns the time at targets a second that a stored sum stands for.
func rate(sum, scale float64) float64 {
	const ln2 = 0.693147
	return max(0, sum) / scale * ln2 / halfLife.Seconds()
}

// State is a saturated service as operators see it.
type State struct {
	Service       contract.ServiceName
	Since         clock.Instant
	Organisations []OrganisationState // those that ask for most first
}

// OrganisationState is what an organisation asks for and gets, in time at targets a second.
type OrganisationState struct {
	Name                contract.OrganisationName
	Asked, Given, Share float64
}

// States returns the saturated services, by name.
func (b *Book) States(limits Limits, now clock.Instant) []State {
	var out []State
	scale := b.scale(now)
	for name, s := range b.services {
		if !s.saturated {
			continue
		}
		s.divide(limits, now)
		state := State{Service: name, Since: s.since}
		for organisation, of := range s.total {
			state.Organisations = append(state.Organisations, OrganisationState{
				Name: organisation, Asked: rate(of.asked, scale), Given: rate(of.done, scale), Share: rate(s.shares[organisation], scale),
			})
		}
		slices.SortFunc(state.Organisations, func(a, b OrganisationState) int {
			return cmp.Or(cmp.Compare(b.Asked, a.Asked), cmp.Compare(a.Name, b.Name))
		})
		out = append(out, state)
	}
	slices.SortFunc(out, func(a, b State) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// Saturated reports whether a service is saturated.
func (b *Book) Saturated(name contract.ServiceName) bool {
	s := b.services[name]
	return s != nil && s.saturated
}
