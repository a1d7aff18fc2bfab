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

// spendableShare is the share of the budget, from 0 to 1, that the entry VMs use. The rest is a reserve for windows in
// which a VM joins or leaves: the VMs then divide the extra retries by different numbers.
const spendableShare = 0.8

// RetryBudget is one entry VM's part of the retry budget of one service. It needs no messages between the VMs: the
// retries of each are limited to the ratio times its own requests, plus an equal part of the extra retries.
type RetryBudget struct {
	rule     RetryBudgetRule
	requests []clock.Instant
	retries  []clock.Instant
}

// NewRetryBudget returns a budget without requests or retries.
func NewRetryBudget(rule RetryBudgetRule) *RetryBudget { return &RetryBudget{rule: rule} }

// SetRule replaces the rule. Requests and retries in the window still count.
func (b *RetryBudget) SetRule(rule RetryBudgetRule) { b.rule = rule }

// CountRequest counts a new request of a caller, which raises the number of retries allowed.
func (b *RetryBudget) CountRequest(now clock.Instant) {
	b.requests = append(b.dropExpired(b.requests, now), now)
}

// Take counts one retry and returns true if the budget allows it; vms is the number of entry VMs that share it.
func (b *RetryBudget) Take(vms int, now clock.Instant) bool {
	b.requests, b.retries = b.dropExpired(b.requests, now), b.dropExpired(b.retries, now)
	allowed := spendableShare * (b.rule.Ratio*float64(len(b.requests)) + b.rule.Extra/float64(max(1, vms)))
	if float64(len(b.retries)+1) > allowed {
		return false
	}
	b.retries = append(b.retries, now)
	return true
}

// dropExpired returns the times, which are in ascending order, without those before the window.
func (b *RetryBudget) dropExpired(times []clock.Instant, now clock.Instant) []clock.Instant {
	n := 0
	for n < len(times) && now.Sub(times[n]) > b.rule.Window {
		n++
	}
	return times[n:]
}
