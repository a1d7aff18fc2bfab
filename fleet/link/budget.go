package link

import (
	"time"

	"github.com/mangopass/mangopass/duty/clock"
)

// RetryBudgetRule limits the retries of one service over all entry VMs. A retry is a request that an entry VM sends to
// a runner once more, unlike a request that the caller sends again.
type RetryBudgetRule struct {
	Ratio  float64       // retries allowed per request
	Extra  float64       // retries allowed per window in addition, over all entry VMs
	Window time.Duration // sliding window over which requests and retries are counted
}

const (
	// spendableShare is the share of the budget, from 0 to 1, that the entry VMs use. The rest is a reserve for windows in
	// which a VM joins or leaves: the VMs then divide the extra retries by different numbers.
	spendableShare = 0.8
	// burstShare is the share of a VM's extra retries of a window that it may save up. The others become available in the
	// course of the window, so that no window has more than its part.
	burstShare = 0.5
)

// RetryBudget is one entry VM's part of the retry budget of one service. It needs no messages between the VMs: the
// retries of each are limited to the ratio times its own requests, plus an equal part of the extra retries. The extra ones are
// a token bucket that is empty when the process starts, as those before it may have spent the whole part in the same window.
//
// A retry is reserved when it is decided on, and counts when it is sent, which may be seconds later.
type RetryBudget struct {
	rule     RetryBudgetRule
	requests []clock.Instant
	sent     []clock.Instant // retries within the ratio
	reserved int             // retries within the ratio that have not been sent yet

	tokens        float64 // extra retries saved up, those reserved included
	extraReserved int
	refilledAt    clock.Instant
}

// ReservedRetry is a retry that has been reserved from a budget and neither sent nor released. The zero value is none.
type ReservedRetry int

// What a reserved retry counts as.
const (
	NoRetry ReservedRetry = iota
	withinRatio
	extraRetry
)

// NewRetryBudget returns a budget without requests or retries of a process that started at the given instant.
func NewRetryBudget(rule RetryBudgetRule, started clock.Instant) *RetryBudget {
	return &RetryBudget{rule: rule, refilledAt: started}
}

// SetRule replaces the rule. Requests and retries in the window still count.
func (b *RetryBudget) SetRule(rule RetryBudgetRule) { b.rule = rule }

// CountRequest counts a new request of a caller, which raises the number of retries allowed.
func (b *RetryBudget) CountRequest(now clock.Instant) {
	b.requests = append(b.dropExpired(b.requests, now), now)
}

// Reserve takes one retry from the budget, or returns NoRetry if it is spent; vms is the number of entry VMs that share it.
func (b *RetryBudget) Reserve(vms int, now clock.Instant) ReservedRetry {
	b.requests, b.sent = b.dropExpired(b.requests, now), b.dropExpired(b.sent, now)
	b.refill(vms, now)
	switch {
	case float64(len(b.sent)+b.reserved+1) <= spendableShare*b.rule.Ratio*float64(len(b.requests)):
		b.reserved++
		return withinRatio
	case float64(b.extraReserved+1) <= b.tokens:
		b.extraReserved++
		return extraRetry
	}
	return NoRetry
}

// refill adds the extra retries that have become available since the last call.
func (b *RetryBudget) refill(vms int, now clock.Instant) {
	part := spendableShare * b.rule.Extra / float64(max(1, vms))
	burst := max(min(part, 1), burstShare*part)
	passed := max(0, now.Sub(b.refilledAt)).Seconds() / b.rule.Window.Seconds()
	b.tokens = max(float64(b.extraReserved), min(burst, b.tokens+passed*(part-burst)))
	b.refilledAt = now
}

// Sent counts a reserved retry that is sent now.
func (b *RetryBudget) Sent(r ReservedRetry, now clock.Instant) {
	b.Release(r)
	switch r {
	case withinRatio:
		b.sent = append(b.sent, now)
	case extraRetry:
		b.tokens--
	}
}

// Release gives back a reserved retry that is not sent.
func (b *RetryBudget) Release(r ReservedRetry) {
	switch r {
	case withinRatio:
		b.reserved--
	case extraRetry:
		b.extraReserved--
	}
}

// dropExpired returns the times, which are in ascending order, without those before the window.
func (b *RetryBudget) dropExpired(times []clock.Instant, now clock.Instant) []clock.Instant {
	n := 0
	for n < len(times) && now.Sub(times[n]) > b.rule.Window {
		n++
	}
	return times[n:]
}
