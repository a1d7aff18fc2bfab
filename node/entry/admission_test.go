package entry

import (
	"context"
	"testing"
	"time"

	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/machine"
)

// announceEngine announces a model engine that holds the given models.
func (h *harness) announceEngine(id machine.RunnerID, models ...machine.ReportedModel) {
	h.apply(storeChanged{sent: h.now, runners: []runnerChange{{id: id, announcement: machine.Announcement{
		ID: id, Service: "e", Address: "1.1.1.1:1", Zone: "z", Slots: 8, HasEngine: true,
		Contents: machine.Contents{Models: models},
	}}}})
}

// admitChat applies the arrival of a chat request for model m and returns the call with its decision; nil if it waits.
func (h *harness) admitChat() (*call, *decision) {
	c := newCall(context.Background(), &contract.Request{
		ID: "q", Host: "h", Path: "/chat/", Key: contract.HashKey("key"), HasKey: true, Arrived: h.now, Model: "m",
		PromptTokens: 100, MaxTokens: 50, Counted: true, Digest: 7,
	})
	h.apply(callArrived{call: c})
	return c, h.decision(c)
}

// TestCallWaitsForReplica guards requests for a model that no runner holds. They must wait, be sent as soon as a runner
// holds it, and otherwise be refused with a retry delay and a refund to the quota, since they never ran.
func TestCallWaitsForReplica(t *testing.T) {
	h := newHarness()
	h.setUp()
	c, d := h.admitChat()
	if d != nil {
		t.Fatalf("decision %+v without a replica, want none yet", d)
	}
	other, _ := h.admitChat()
	h.now = h.now.Add(500 * time.Millisecond)
	h.announceEngine("e1", machine.ReportedModel{Model: "m"})
	h.dispatchWaiting(h.now)
	if d = h.decision(c); d == nil || d.refusal != nil || d.attempt.runner != "e1" {
		t.Errorf("decision %+v with a replica on e1, want an attempt there", d)
	}
	h.decision(other)

	h = newHarness()
	h.setUp()
	c, _ = h.admitChat()
	level := h.quotas["coop"].Level(h.now)
	h.now = h.now.Add(6 * time.Second)
	h.apply(storeChanged{sent: h.now})
	h.dispatchWaiting(h.now)
	d = h.decision(c)
	wantRefusal(t, d, contract.NoReplica, false)
	if d.refusal != nil && d.refusal.RetryAfter == 0 {
		t.Error("the refusal has no retry delay")
	}
	if got := h.quotas["coop"].Level(h.now); got < level+150 || h.quotas["coop"].Own() != 0 {
		t.Errorf("quota level %v after the refund and %v before, own usage %v; want at least 150 more and no usage",
			got, level, h.quotas["coop"].Own())
	}
}
