package entry

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopass/mangopass/fleet/machine"
)

// TestSilentAttemptIsKeptIfItCannotGoOn guards against streams that are cut off because their runner was silent for a while,
// although they can't go on at another runner: none has the model, or the retry budget is spent. One that can go on does so,
// and takes one retry from the budget.
func TestSilentAttemptIsKeptIfItCannotGoOn(t *testing.T) {
	const stop = "e1" // the engine that falls silent
	for name, c := range map[string]struct {
		engines []machine.RunnerID
		spent   bool
		goesOn  bool
	}{
		"another runner has the model": {engines: []machine.RunnerID{stop, "e2"}, goesOn: true},
		"no other runner":              {engines: []machine.RunnerID{stop}},
		"the retry budget is spent":    {engines: []machine.RunnerID{stop, "e2"}, spent: true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness()
			h.setUp()
			for _, e := range c.engines {
				h.announceEngine(e, machine.ReportedModel{Model: "m"})
			}
			chat, d := h.admitChat()
			if d == nil || d.refusal != nil {
				t.Fatalf("decision %+v, want an attempt", d)
			}
			if budget := h.retryBudget(chat.service); c.spent {
				for budget.Take(h.members.count(), h.now) { // spends all of it
				}
			}
			h.now = h.now.Add(2 * time.Second)
			h.apply(attemptSilent{call: chat, attempt: d.attempt})
			if given := errors.Is(context.Cause(d.attempt.ctx), errSilent); given != c.goesOn {
				t.Fatalf("the attempt is given up: %v, want %v", given, c.goesOn)
			}
			if !c.goesOn {
				return
			}
			budget := h.retryBudget(chat.service)
			for budget.Take(h.members.count(), h.now) { // its retry has been taken already
			}
			if next := h.endAttempt(chat, d.attempt, resultBroken); next == nil || next.refusal != nil {
				t.Errorf("decision %+v, want an attempt at the other engine", next)
			}
		})
	}
}

// TestSilentMessageOfEndedAttempt guards the retry budget against an attempt that has ended before its silence is handled.
func TestSilentMessageOfEndedAttempt(t *testing.T) {
	h := newHarness()
	h.setUp()
	h.announceEngine("e1", machine.ReportedModel{Model: "m"})
	h.announceEngine("e2", machine.ReportedModel{Model: "m"})
	chat, d := h.admitChat()
	d.attempt.cancel(nil)
	h.apply(attemptSilent{call: chat, attempt: d.attempt})
	if chat.retryTaken {
		t.Error("a retry was taken for an attempt that has ended")
	}
}
