package link

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mangopass/mangopass/duty/clock"
)

// retryModel is a group of entry VMs that share the retries of one service, and what reaches its runners.
type retryModel struct {
	rule              RetryBudgetRule
	now               clock.Instant
	budgets           []*RetryBudget
	waiting           [][]ReservedRetry // of each VM: reserved, and not sent yet
	requests, retries []clock.Instant   // of all VMs
}

func newRetryModel(rule RetryBudgetRule, vms int) *retryModel {
	m := &retryModel{rule: rule, now: start, budgets: make([]*RetryBudget, vms), waiting: make([][]ReservedRetry, vms)}
	for i := range m.budgets {
		m.restart(i)
	}
	return m
}

// restart replaces a VM's process, which knows nothing of the one before.
func (m *retryModel) restart(i int) {
	m.budgets[i], m.waiting[i] = NewRetryBudget(m.rule, m.now), nil
}

func (m *retryModel) request(i int) {
	m.budgets[i].CountRequest(m.now)
	m.requests = append(m.requests, m.now)
}

// reserve reserves a retry and reports whether there was one.
func (m *retryModel) reserve(i, vms int) bool {
	r := m.budgets[i].Reserve(vms, m.now)
	if r != NoRetry {
		m.waiting[i] = append(m.waiting[i], r)
	}
	return r != NoRetry
}

// end sends the retry that was reserved first, or releases it.
func (m *retryModel) end(i int, sent bool) {
	if len(m.waiting[i]) == 0 {
		return
	}
	r := m.waiting[i][0]
	m.waiting[i] = m.waiting[i][1:]
	if !sent {
		m.budgets[i].Release(r)
		return
	}
	m.budgets[i].Sent(r, m.now)
	m.retries = append(m.retries, m.now)
}

// check compares the window that ends now with what the rule allows, by the requests in it, in the one before or in the one half a
// window before.
func (m *retryModel) check(t interface{ Fatalf(string, ...any) }) {
	w, most := m.rule.Window, 0
	for _, shift := range []time.Duration{0, w / 2, w} {
		most = max(most, countWithin(m.requests, m.now.Add(-shift), w))
	}
	allowed := m.rule.Ratio*float64(most) + m.rule.Extra
	if got := float64(countWithin(m.retries, m.now, w)); got > allowed {
		t.Fatalf("%v retries in the window over all VMs, allowed %v", got, allowed)
	}
}

// TestRetryBudgetAcrossVMs guards runners against more retries than the rule allows. Each VM takes retries from its own
// part of the budget without asking the others, so the sum could exceed it: of VMs whose processes are replaced again and again, in
// any order, and of retries that wait for seconds before they are sent.
func TestRetryBudgetAcrossVMs(t *testing.T) {
	rule := RetryBudgetRule{Ratio: 0.2, Extra: 20, Window: 10 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(1, 5).Draw(t, "VMs")
		m := newRetryModel(rule, vms)
		longest := rapid.SampledFrom([]int{20, 120, 400}).Draw(t, "longest step in ms")
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, longest).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, vms-1).Draw(t, "VM")
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0, 1, 2:
				m.request(i)
			case 3, 4, 5, 6:
				m.reserve(i, vms)
			case 7, 8:
				m.end(i, rapid.IntRange(0, 3).Draw(t, "sent") > 0)
			default:
				m.restart(i)
			}
			m.check(t)
		}
	})
}

// TestRetryBudgetOfShortLives guards runners against VMs that are killed every few seconds, each time after they have spent all
// retries that they could get.
func TestRetryBudgetOfShortLives(t *testing.T) {
	rule := RetryBudgetRule{Ratio: 0.2, Extra: 56, Window: 10 * time.Second}
	for _, life := range []time.Duration{100 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second, 9 * time.Second} {
		m := newRetryModel(rule, 5)
		for range 6000 {
			m.now = m.now.Add(10 * time.Millisecond)
			for i := range m.budgets {
				if m.now.Sub(start) > 20*time.Second && m.now.Sub(start)%life == 0 {
					m.restart(i)
				}
				if m.now.Sub(start)%(200*time.Millisecond) == 0 {
					m.request(i)
				}
				for m.reserve(i, 5) {
					m.end(i, true)
				}
			}
			m.check(t)
		}
		if len(m.retries) == 0 {
			t.Errorf("lives of %v: no retries at all", life)
		}
	}
}

// TestRetriesOfCalmStart guards callers against a process that makes no retries for long after its start.
func TestRetriesOfCalmStart(t *testing.T) {
	m := newRetryModel(RetryBudgetRule{Ratio: 0.2, Extra: 56, Window: 10 * time.Second}, 1)
	m.now = m.now.Add(3 * time.Second)
	n := 0
	for m.reserve(0, 5) {
		n++
	}
	if n == 0 {
		t.Error("no retry 3 s after the start")
	}
	m.now = m.now.Add(time.Minute)
	for m.reserve(0, 5) {
		n++
	}
	if n < 4 {
		t.Errorf("%d retries after a minute of calm, want half of the part at once", n)
	}
}

// TestReservedRetriesAreGivenBack guards callers against a budget that shrinks with each retry that was reserved and never sent.
func TestReservedRetriesAreGivenBack(t *testing.T) {
	m := newRetryModel(RetryBudgetRule{Ratio: 0.2, Extra: 20, Window: 10 * time.Second}, 1)
	m.now = m.now.Add(time.Minute)
	for range 30 {
		m.request(0)
	}
	for range 100 {
		n := 0
		for m.reserve(0, 1) {
			n++
		}
		if n == 0 {
			t.Fatal("no retry is left though none was sent")
		}
		for range n {
			m.end(0, false)
		}
	}
}
