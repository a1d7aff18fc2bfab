package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/mangopass/mangopass/duty/ring"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/link"
	"github.com/mangopass/mangopass/fleet/machine"
)

// Prompt parts of the requests in these tests.
const (
	sharedPart   = 1 // in all of them
	crashingPart = 2 // crashes each runner
)

// admitPrompt applies the arrival of a chat request with the given digest, which is also its last prompt part.
func (h *harness) admitPrompt(digest uint64, parts ...uint64) (*call, *decision) {
	var prompt []contract.PromptPart
	for _, id := range append(parts, digest) {
		prompt = append(prompt, contract.PromptPart{ID: id, Tokens: 10})
	}
	c := newCall(context.Background(), &contract.Request{
		ID: fmt.Sprint("q", digest), Host: "h", Path: "/chat/", Key: contract.HashKey("key"), HasKey: true,
		Arrived: h.now, Model: "m", PromptTokens: 10, MaxTokens: 2, Counted: true, Digest: digest, Prompt: prompt,
	})
	h.apply(callArrived{call: c})
	return c, h.decision(c)
}

// breakOff applies the end of an attempt whose runner went down right after the head of the answer.
func (h *harness) breakOff(c *call, a attempt) *decision {
	h.apply(attemptEnded{
		call: c, attempt: a, result: resultBroken, cause: io.ErrUnexpectedEOF, lost: true, answered: true,
		answering: 50 * time.Millisecond, status: 200,
	})
	return h.decision(c)
}

// announceEngines announces n engines that hold model m.
func (h *harness) announceEngines(n int) {
	for i := range n {
		h.announceEngine(machine.RunnerID(fmt.Sprint("e", i)), machine.ReportedModel{Model: "m"})
	}
}

// crashRunners lets each of n different requests with crashingPart break off once, and the request with the digest 50 with
// each of them.
func (h *harness) crashRunners(n int) {
	for i := range uint64(n) {
		h.now = h.now.Add(time.Second)
		h.apply(storeChanged{sent: h.now})
		tainted, d := h.admitPrompt(100+i, sharedPart, crashingPart)
		sound, other := h.admitPrompt(50, sharedPart, 9)
		other.attempt.runner = d.attempt.runner
		h.breakOff(sound, other.attempt)
		h.breakOff(tainted, d.attempt)
	}
	h.now = h.now.Add(200 * time.Millisecond)
	h.onTick(h.now)
}

// TestRequestsWithCrashingPartAreRefused guards the runners against requests that differ in all but one part of their
// prompts, which crashes each runner, and sound requests against being refused because the same crashes broke off their
// runs.
func TestRequestsWithCrashingPartAreRefused(t *testing.T) {
	h := newHarness()
	h.setUp()
	h.announceEngines(9)
	waiting, pending := h.admitPrompt(99, sharedPart, crashingPart)
	h.crashRunners(3)
	_, d := h.admitPrompt(200, sharedPart, crashingPart)
	wantRefusal(t, d, contract.CrashSuspect, false)
	if cause := context.Cause(pending.attempt.ctx); !errors.Is(cause, errBlocked) {
		t.Errorf("the attempt in progress ends with %v, want errBlocked", cause)
	}
	h.apply(attemptEnded{call: waiting, attempt: pending.attempt, result: resultWithdrawn, cause: errBlocked})
	wantRefusal(t, h.decision(waiting), contract.CrashSuspect, true)
	for _, parts := range [][]uint64{{sharedPart, 9}, {sharedPart}} {
		if _, d := h.admitPrompt(50, parts...); d == nil || d.refusal != nil {
			t.Errorf("request with parts %v: decision %+v, want an attempt", parts, d)
		}
	}
}

// TestSilentRunsAreNoStrikes guards against blocking the prompt parts of requests whose runs were cancelled by mangopass,
// failed with an error of the runner, or were broken off long after their answers had begun.
func TestSilentRunsAreNoStrikes(t *testing.T) {
	ends := map[string]attemptEnded{
		"silent":  {result: resultBroken, cause: errSilent},
		"failed":  {result: resultFailed, cause: io.ErrUnexpectedEOF, lost: true, answered: true},
		"running": {result: resultBroken, cause: io.EOF, lost: true, answered: true, answering: 2 * time.Second},
	}
	for name, end := range ends {
		h := newHarness()
		h.setUp()
		h.announceEngines(9)
		for i := range uint64(5) {
			h.now = h.now.Add(time.Second)
			h.apply(storeChanged{sent: h.now})
			c, d := h.admitPrompt(100+i, sharedPart, crashingPart)
			end.call, end.attempt = c, d.attempt
			h.apply(end)
		}
		h.now = h.now.Add(200 * time.Millisecond)
		h.onTick(h.now)
		if _, d := h.admitPrompt(200, sharedPart, crashingPart); d == nil || d.refusal != nil {
			t.Errorf("%s: decision %+v, want an attempt", name, d)
		}
	}
}

// TestUndelimitedAnswerIsNoProof guards against taking a run for complete whose answer ended with its connection: that is
// also what the crash of a runner looks like right after the head.
func TestUndelimitedAnswerIsNoProof(t *testing.T) {
	h := newHarness()
	h.setUp()
	h.announceEngines(9)
	h.crashRunners(2)
	c, d := h.admitPrompt(300, sharedPart, crashingPart)
	h.apply(attemptEnded{
		call: c, attempt: d.attempt, result: resultServed, final: true, status: 200, answered: true,
		answering: 50 * time.Millisecond,
	})
	h.crashRunners(1)
	_, d = h.admitPrompt(200, sharedPart, crashingPart)
	wantRefusal(t, d, contract.CrashSuspect, false)
}

// TestBlockedPartReachesAllVMs guards against one VM after the other learning by crashes of its own that a prompt part
// crashes runners: each VM sees at most one crash, and one VM starts only afterwards.
func TestBlockedPartReachesAllVMs(t *testing.T) {
	c := newCluster(t, 3)
	late := c.order[len(c.order)-1]
	c.down[late] = true
	c.run(time.Second)
	for i, name := range c.order[:3] {
		h := c.vms[name]
		h.addBrokenRun(link.BrokenRun{
			Digest: uint64(i), Parts: []uint64{sharedPart, crashingPart}, Runner: machine.RunnerID(fmt.Sprint("e", i)),
			Answered: true,
		}, "", h.now)
		c.run(time.Second)
	}
	c.down[late] = false
	c.run(2 * time.Second)
	for _, name := range c.order {
		h := c.vms[name]
		h.reviewParts(h.now)
		c.run(clusterStep)
		if _, blocked := h.promptParts.Blocked([]uint64{crashingPart}, h.now); !blocked {
			t.Errorf("%s does not block the part", name)
		}
		if _, blocked := h.promptParts.Blocked([]uint64{sharedPart}, h.now); blocked {
			t.Errorf("%s blocks a part that other requests share", name)
		}
	}
}

// TestLostReportOfBrokenRunIsRepeated guards against a crash that the other VMs never learn of, because the report of it
// was lost, and against reporting it for ever.
func TestLostReportOfBrokenRunIsRepeated(t *testing.T) {
	h := newHarness()
	h.setUp()
	h.addPeerEntry("n2", 5)
	h.addBrokenRun(link.BrokenRun{Digest: 1, Parts: []uint64{crashingPart}, Runner: "e1", Answered: true}, "", h.now)
	for i, want := range []int{1, 1, 0} {
		h.now = h.now.Add(reportPeriod)
		h.sendReports(h.now)
		report := h.takeReport(t, "n2", i > 0)
		if len(report.Broken) != want {
			t.Fatalf("report %d has %d broken runs, want %d", i, len(report.Broken), want)
		}
		if want > 0 && report.Broken[0].Age != time.Duration(i+1)*reportPeriod {
			t.Errorf("report %d: the run broke off %v ago, want %v", i, report.Broken[0].Age, time.Duration(i+1)*reportPeriod)
		}
	}
}

// partKey returns the write of a blocked part's key, or its removal.
func partKey(part uint64, revision int64, value any) keyWrite {
	return keyWrite{key: fmt.Sprintf("%s%x", prefixBlocked, part), revision: revision, value: value}
}

// blockWrites takes the writes of blocked parts' keys from the ring; those of other keys are dropped.
func (h *harness) blockWrites() (writes []keyWrite) {
	for {
		write, pending := h.keyWrites.TryPop()
		if !pending {
			return writes
		}
		if strings.HasPrefix(write.key, prefixBlocked) {
			writes = append(writes, write)
		}
	}
}

// TestBlockedPartsAreStored guards against a part that crashes runners again after all VMs have started anew, and against
// keys that stay in the store when their parts are no longer blocked, or that nobody can read.
func TestBlockedPartsAreStored(t *testing.T) {
	h := newHarness()
	h.keyWrites = ring.New[keyWrite]("keys", 8)
	h.setUp()
	h.announceEngines(9)
	h.crashRunners(3)
	if writes := h.blockWrites(); len(writes) == 0 || writes[0] != partKey(crashingPart, 0, blockEntry{Blocks: 1}) {
		t.Fatalf("writes %+v, want part %d blocked for the first time", writes, crashingPart)
	}
	stored := ownKeyChange{key: prefixBlocked + "2", value: marshal(blockEntry{Blocks: 1}), revision: 7}
	h.apply(storeChanged{sent: h.now, ownKeys: []ownKeyChange{stored}})
	h.now = h.now.Add(2 * blockWritePeriod)
	h.apply(storeChanged{sent: h.now})
	h.onTick(h.now)
	if writes := h.blockWrites(); len(writes) != 0 {
		t.Errorf("writes %+v although the part is in the store", writes)
	}

	fresh := newHarness()
	fresh.keyWrites = ring.New[keyWrite]("keys", 8)
	fresh.setUp()
	fresh.apply(storeChanged{sent: fresh.now, ownKeys: []ownKeyChange{
		stored, {key: prefixBlocked + "3", value: []byte("{"), revision: 8}, {key: prefixBlocked + "x", revision: 9},
	}})
	fresh.announceEngines(9)
	_, d := fresh.admitPrompt(200, sharedPart, crashingPart)
	wantRefusal(t, d, contract.CrashSuspect, false)
	fresh.onTick(fresh.now)
	if writes := fresh.blockWrites(); len(writes) == 0 || writes[0] != partKey(3, 8, nil) {
		t.Errorf("writes %+v, want the removal of the malformed key", writes)
	}
	fresh.partsCompleted([]uint64{crashingPart}, "", fresh.now)
	fresh.onTick(fresh.now)
	if !slices.Contains(fresh.blockWrites(), partKey(crashingPart, 7, nil)) {
		t.Error("the part that has proved sound is not removed from the store")
	}
}
