package entry

import (
	"testing"
	"time"

	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/machine"
)

// queueAt makes the only engine read prompts for the given time before the next request.
func (h *harness) queueAt(runner machine.RunnerID, d time.Duration) {
	h.table.Link(h.fleet.Get(runner)).Sent(machine.Artifact{Service: "e", Model: "m"}, d, true)
}

// TestRankOfAttempts guards against calls of a low priority, or late ones, that hold up those of a higher one at a runner.
// The organisation's priority goes before that of the route; a call that is late in any case comes after all others.
func TestRankOfAttempts(t *testing.T) {
	zero, eight := 0, 8
	for name, test := range map[string]struct {
		organisation *int
		queued       time.Duration
		want         int
	}{
		"of the route": {nil, 0, 3}, "of the organisation": {&zero, 0, 1}, "beyond the last rank": {&eight, 0, 4},
		"late": {nil, time.Second, 7}, "late, of the organisation": {&zero, time.Second, 5},
	} {
		h := newHarness()
		h.setUp()
		h.announceEngine("e1", machine.ReportedModel{Model: "m"})
		h.queueAt("e1", test.queued)
		h.organisation("coop").Priority = test.organisation
		h.manifest.Route("h", "/chat/").Priority = 2
		_, d := h.admitChat()
		if d == nil || d.refusal != nil || d.attempt.priority != test.want || d.attempt.timely != (test.queued == 0) {
			t.Errorf("%s: decision %+v, want an attempt of rank %d", name, d, test.want)
		}
	}
}

// TestFullQueueIsRefusedAtOnce guards against holding a call that can't be answered before its deadline. It has not run,
// so the caller is told when to return, not before half of the queue is gone and not always at the same time, and the
// quota gets the cost back.
func TestFullQueueIsRefusedAtOnce(t *testing.T) {
	h := newHarness()
	h.setUp()
	h.announceEngine("e1", machine.ReportedModel{Model: "m"})
	h.queueAt("e1", 12*time.Second) // the route's time limit is ten seconds
	quota := h.quota(h.organisation("coop"), h.now)
	before := quota.Level(h.now)
	delays := map[time.Duration]bool{}
	for range 5 {
		_, d := h.admitChat()
		wantRefusal(t, d, contract.Overloaded, false)
		if after := d.refusal.RetryAfter; after < 6*time.Second || after > 12*time.Second {
			t.Errorf("retry after %v with a queue of 12 s", after)
		}
		delays[d.refusal.RetryAfter] = true
	}
	if len(delays) < 3 {
		t.Errorf("five callers are told to return at %d different times", len(delays))
	}
	if quota.Level(h.now) != before {
		t.Errorf("level %v after refusals, want %v", quota.Level(h.now), before)
	}
}

// TestCutOffAnswerIsNotRefusedAsUnrun guards against a refusal that wrongly says that a request has not run, because the
// queue is too long when a broken attempt is to be repeated.
func TestCutOffAnswerIsNotRefusedAsUnrun(t *testing.T) {
	h := newHarness()
	h.setUp()
	h.announceEngine("e1", machine.ReportedModel{Model: "m"})
	h.announceEngine("e2", machine.ReportedModel{Model: "m"})
	c, d := h.admitChat()
	h.queueAt("e1", 12*time.Second)
	h.queueAt("e2", 12*time.Second)
	wantRefusal(t, h.endAttempt(c, d.attempt, resultBroken), contract.Overloaded, true)
}

// TestSlowStreamIsNotCut guards against cutting a sound stream whose pauses its route allows, and against waiting without
// end for one that stalls.
func TestSlowStreamIsNotCut(t *testing.T) {
	for _, gap := range []time.Duration{0, 400 * time.Millisecond, 800 * time.Millisecond, 2 * time.Second} {
		h := newHarness()
		h.setUp()
		h.announceEngine("e1", machine.ReportedModel{Model: "m"})
		h.manifest.Route("h", "/chat/").MaxGap = gap
		_, d := h.admitChat()
		if d == nil || d.refusal != nil {
			t.Fatalf("decision %+v, want an attempt", d)
		}
		for _, got := range []time.Duration{d.attempt.silenceTimeout, d.attempt.keptFor(true), d.attempt.keptFor(false)} {
			if got <= gap || got > 8*max(gap, 375*time.Millisecond) {
				t.Errorf("the stream is suspected or given up after %v without an event, pauses of %v are allowed", got, gap)
			}
		}
	}
}

// TestTakeUpsGoFirst guards streams that callers take up against waiting behind new requests at the runners of their version,
// and against being refused while a load may still be in time for them.
func TestTakeUpsGoFirst(t *testing.T) {
	takeUp := func(h *harness) (*call, *decision) {
		c := newCall(t.Context(), &contract.Request{
			ID: "again", Host: "h", Path: "/chat/", Key: contract.HashKey("key"), HasKey: true, Arrived: h.now, Model: "m",
			PromptTokens: 100, MaxTokens: 50, Counted: true, Digest: 7, LastEvent: "3", Resumes: "begun",
		})
		h.apply(callArrived{call: c})
		return c, h.decision(c)
	}
	h := newHarness()
	h.setUp()
	h.announceEngine("e1", machine.ReportedModel{Model: "m"})
	h.queueAt("e1", 30*time.Second)
	if _, d := takeUp(h); d == nil || d.refusal != nil || !d.attempt.timely || d.attempt.priority != 0 {
		t.Errorf("decision %+v, want an attempt of the first rank", d)
	}
	h = newHarness()
	h.setUp()
	h.announceEngine("e1")
	c, d := takeUp(h)
	if d != nil {
		t.Fatalf("decision %+v, want none while no runner holds the model", d)
	}
	h.now = h.now.Add(8 * time.Second)
	h.apply(storeChanged{sent: h.now})
	if h.dispatchWaiting(h.now); h.decision(c) != nil {
		t.Error("refused after 8 of 10 s")
	}
	if waiting := h.waitingRequests(); len(waiting) != 1 || !waiting[0].Due.After(h.now) {
		t.Errorf("waiting %+v, want one that can still be in time", waiting)
	}
}
