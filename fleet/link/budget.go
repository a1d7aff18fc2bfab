package link

import (
	"time"

	"github.com/mangopass/mangopass/duty/clock"
)

// RetryBudgetRule bounds the requests that are sent more than once, over all entry VMs.
type RetryBudgetRule struct {
	Ratio  float64       // repeats for each request
	Extra  float64       // repeats beyond that
	Window time.Duration // in which both count
}

// budgetSafety is the part of the shared budget that the entry VMs spend; the rest covers windows that lie across
// changes of membership.
const budgetSafety = 0.8

// RetryBudget is one node's part of the retry budget of one service. It needs no exchange between nodes: each spends the
// ratio of its own requests and an equal part of the extra.
type RetryBudget struct {
	rule     RetryBudgetRule
	requests []clock.Instant
	repeats  []clock.Instant
}

// NewRetryBudget returns an unspent budget.
func NewRetryBudget(rule RetryBudgetRule) *RetryBudget { return &RetryBudget{rule: rule} }

// SetRule applies a changed rule.
func (b *RetryBudget) SetRule(rule RetryBudgetRule) { b.rule = rule }

// Request counts a caller's request.
func (b *RetryBudget) Request(now clock.Instant) {
	b.requests = append(b.expired(b.requests, now), now)
}

// Take spends one repeat if the budget allows it; nodes is the number of entry VMs that share it.
func (b *RetryBudget) Take(nodes int, now clock.Instant) bool {
	b.requests, b.repeats = b.expired(b.requests, now), b.expired(b.repeats, now)
	allowed := budgetSafety * (b.rule.Ratio*float64(len(b.requests)) + b.rule.Extra/float64(max(1, nodes)))
	if float64(len(b.repeats)+1) > allowed {
		return false
	}
	b.repeats = append(b.repeats, now)
	return true
}

func (b *RetryBudget) expired(times []clock.Instant, now clock.Instant) []clock.Instant {
	n := 0
	for n < len(times) && now.Sub(times[n]) > b.rule.Window {
		n++
	}
	return times[n:]
}
