package entry

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/mangopass/mangopass/duty/ring"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/machine"
	"github.com/mangopass/mangopass/platform"
)

// object is an object of a manifest that a test changes.
type object = map[string]any

// listed returns an object of a list in a manifest by its name.
func listed(m object, list, name string) object {
	for _, o := range m[list].([]any) {
		if o.(object)["name"] == name {
			return o.(object)
		}
	}
	return nil
}

// without removes an object from a list in a manifest.
func without(m object, list, name string) {
	m[list] = slices.DeleteFunc(m[list].([]any), func(o any) bool { return o.(object)["name"] == name })
}

// manifestChanges are changes of the test manifest that concern the calls of its chat route.
var manifestChanges = map[string]func(m object){
	"route removed":           func(m object) { without(m, "routes", "chat") },
	"route's service changed": func(m object) { listed(m, "routes", "chat")["service"] = "s" },
	"weights changed": func(m object) {
		listed(m, "routes", "chat")["backends"] = []any{object{"service": "e", "weight": 0}, object{"service": "s", "weight": 1}}
	},
	"timeout raised":        func(m object) { listed(m, "routes", "chat")["timeout_ms"] = 60000 },
	"timeout lowered":       func(m object) { listed(m, "routes", "chat")["timeout_ms"] = 500 },
	"max_attempts lowered":  func(m object) { listed(m, "routes", "chat")["max_attempts"] = 1 },
	"no longer resumable":   func(m object) { listed(m, "routes", "chat")["can_resume"] = false },
	"no longer a stream":    func(m object) { listed(m, "routes", "chat")["kind"] = "unsafe" },
	"key withdrawn":         func(m object) { listed(m, "tenants", "coop")["keys"] = []any{} },
	"organisation removed":  func(m object) { without(m, "tenants", "coop") },
	"quota lowered":         func(m object) { listed(m, "tenants", "coop")["burst"] = 1 },
	"quota removed":         func(m object) { listed(m, "tenants", "coop")["rate_per_s"] = 0 },
	"service removed":       func(m object) { without(m, "services", "e") },
	"no engine any more":    func(m object) { delete(listed(m, "services", "e"), "engine") },
	"model removed":         func(m object) { listed(m, "services", "e")["engine"].(object)["models"] = []any{} },
	"limits changed":        func(m object) { m["limits"] = object{"body_bytes": 1} },
	"all routes removed":    func(m object) { m["routes"] = []any{} },
	"all services removed":  func(m object) { m["services"] = []any{} },
	"nothing but a version": func(object) {},
}

// modelGone names the changes after which no runner loads the model any more.
var modelGone = []string{"service removed", "no engine any more", "model removed", "all services removed"}

// changeManifest puts the second version of the test manifest in force, with a change.
func (h *harness) changeManifest(change func(m object)) {
	var m object
	if err := json.Unmarshal(testManifest(2), &m); err != nil {
		panic(err)
	}
	change(m)
	h.apply(storeChanged{manifest: manifestEntry(marshal(m)), sent: h.now})
}

// liveCall is a call in a certain state.
type liveCall struct {
	*call
	attempt *attempt // in progress; nil: none
	chosen  bool     // the attempt has been decided on and not sent
}

func (h *harness) start(c *call, a attempt) { h.apply(attemptStarted{call: c, attempt: a}) }

func (h *harness) breakStream(c *call, a attempt) {
	h.apply(attemptEnded{
		call: c, attempt: a, result: resultBroken, started: true, startReported: true, streaming: true,
		sent: passedOn{events: 1, lastEvent: "1"},
	})
}

// callStates are the states that a call can be in, each with what brings a call of the chat route there. The engine e2 gets
// the model half a second after the change.
var callStates = map[string]func(h *harness) liveCall{
	"waits for its origin": func(h *harness) liveCall {
		h.apply(storeChanged{sent: h.now, ownKeys: []ownKeyChange{{key: prefixVersions + "e", revision: 2, value: marshal(
			versionEntry{Others: map[machine.SoftwareVersion]machine.VersionState{"v2": machine.VersionOpen}})}}})
		h.announceEngine("e0") // has the version, but not the model
		h.streams.reads = originReads{ring.New[originRead]("origins", 1)}
		c := newCall(context.Background(), &contract.Request{
			ID: "q", Host: "h", Path: "/chat/", Key: contract.HashKey("key"), HasKey: true, Arrived: h.now, Model: "m",
			PromptTokens: 100, MaxTokens: 50, Counted: true, LastEvent: "1", Resumes: "p",
		})
		h.apply(callArrived{call: c})
		return liveCall{call: c}
	},
	"waits for a replica": func(h *harness) liveCall {
		c, _ := h.admitChat()
		return liveCall{call: c}
	},
	"held by a rate limit": func(h *harness) liveCall {
		h.announceEngines(1)
		h.apply(limitStated{runner: "e0", perSecond: 1})
		for {
			c, d := h.admitChat()
			if d == nil {
				return liveCall{call: c}
			}
			h.endAttempt(c, d.attempt, resultServed)
		}
	},
	"decided, not sent": func(h *harness) liveCall {
		h.announceEngines(1)
		c, d := h.admitChat()
		return liveCall{call: c, attempt: &d.attempt, chosen: true}
	},
	"sent, no answer": func(h *harness) liveCall {
		h.announceEngines(1)
		c, d := h.admitChat()
		return liveCall{call: c, attempt: &d.attempt}
	},
	"streaming": func(h *harness) liveCall {
		h.announceEngines(1)
		c, d := h.admitChat()
		h.start(c, d.attempt)
		return liveCall{call: c, attempt: &d.attempt}
	},
	"given up for silence": func(h *harness) liveCall {
		h.announceEngines(2)
		c, d := h.admitChat()
		h.start(c, d.attempt)
		since := h.now
		h.now = h.now.Add(d.attempt.soundSilence)
		h.apply(attemptSilent{call: c, attempt: d.attempt, since: since, at: h.now, started: true, progress: since})
		if d.attempt.ctx.Err() == nil {
			panic("the silent attempt is kept")
		}
		return liveCall{call: c, attempt: &d.attempt}
	},
	"retry after a broken run": func(h *harness) liveCall {
		h.announceEngines(1)
		c, d := h.admitChat()
		h.start(c, d.attempt)
		h.announceEngine("e5")
		h.breakStream(c, d.attempt)
		if h.decision(c) != nil {
			panic("the broken stream does not wait")
		}
		return liveCall{call: c}
	},
}

// finish lets the time go on until the call has ended: attempts in progress end, broken off if they were given up, else whole,
// and a further engine gets the model. It returns the refusal; nil: the call got its whole answer.
func (h *harness) finish(c liveCall) *contract.Refusal {
	for range 600 {
		h.now = h.now.Add(20 * time.Millisecond)
		h.apply(storeChanged{sent: h.now})
		if read, ok := h.popOriginRead(); ok {
			h.apply(originFound{call: read.call, outcome: platform.Applied, entry: platform.Entry{
				Value: marshal(streamEntry{Service: "e"}),
			}})
		}
		if h.now.Sub(c.request.Arrived) > 500*time.Millisecond && h.fleet.Get("e9") == nil {
			h.announceEngine("e9", machine.ReportedModel{Model: "m"})
		}
		if a := c.attempt; a != nil {
			if c.attempt = nil; a.ctx.Err() == nil {
				h.apply(attemptEnded{call: c.call, attempt: *a, result: resultServed, started: true, streaming: true, final: true, status: 200})
				return nil
			}
			h.breakStream(c.call, *a)
		}
		h.onTick(h.now)
		if d := h.decision(c.call); d != nil && d.refusal != nil {
			return d.refusal
		} else if d != nil {
			c.attempt = &d.attempt
		}
	}
	return contract.Failed("no_decision", "the call has got no decision")
}

// TestCallsOutliveManifestChanges guards calls that are open while the manifest changes. They were admitted under the one before
// and keep its terms: each gets its whole answer. Only a call that waits for a model which no runner will load any more may be
// refused, as not run, and one that is charged once its origin is known, by the limit in force then. Nothing is left of any of
// them.
func TestCallsOutliveManifestChanges(t *testing.T) {
	for state, reach := range callStates {
		for _, change := range slices.Sorted(maps.Keys(manifestChanges)) {
			t.Run(state+", "+change, func(t *testing.T) {
				h := newHarness()
				h.setUp()
				c := reach(h)
				h.changeManifest(manifestChanges[change])
				if h.manifestVersion() != 2 {
					t.Fatal("the changed manifest is not in force")
				}
				if c.chosen && c.attempt.ctx.Err() != nil {
					t.Error("the attempt that has been decided on is cancelled")
				}
				refusal := h.finish(c)
				mayRefuse := slices.Contains(modelGone, change) && !c.streaming && c.sends == 0
				if state == "waits for its origin" && change == "quota lowered" {
					if mayRefuse = true; refusal == nil || refusal.Code != contract.RateLimited {
						t.Errorf("got %+v, want a refusal by the lowered limit", refusal)
					}
				}
				if refusal != nil && (!mayRefuse || refusal.MayHaveRun) {
					t.Errorf("refused with %s, may have run %v (%s); want a whole answer", refusal.Code, refusal.MayHaveRun, refusal.Detail)
				}
				if counts := h.cutCounts(); len(counts) > 0 {
					t.Errorf("answers cut off: %v", counts)
				}
				for id := range h.inFlight {
					t.Errorf("call %s is in flight after its end", id.request.ID)
				}
				h.onTick(h.now.Add(time.Second))
				if len(h.waiting) > 0 || len(h.table.Below()) > 0 {
					t.Errorf("%d calls wait, loads %+v after the end", len(h.waiting), h.table.Below())
				}
				if q := h.quotas["coop"]; refusal != nil && q.Own() != 0 || len(h.quotas) != 1 {
					t.Errorf("%v is charged after a refusal; %d quotas, want one", q.Own(), len(h.quotas))
				}
			})
		}
	}
}

func (h *harness) popOriginRead() (originRead, bool) {
	if h.streams.reads.ring == nil {
		return originRead{}, false
	}
	return h.streams.reads.ring.TryPop()
}

// TestStreamGoesOnAtServiceWithoutWeight guards streams against an operator who moves a route's requests to another service by
// their weights: the callers of the streams that have begun take them up where they began.
func TestStreamGoesOnAtServiceWithoutWeight(t *testing.T) {
	for change, want := range map[string]contract.Code{
		"weights changed": "", "route's service changed": contract.StreamLost,
	} {
		h := newHarness()
		h.setUp("r1")
		h.announceEngines(2)
		c, d := h.admitChat()
		h.start(c, d.attempt)
		h.changeManifest(manifestChanges[change])
		up := newCall(context.Background(), &contract.Request{
			ID: "up", Host: "h", Path: "/chat/", Key: contract.HashKey("key"), HasKey: true, Arrived: h.now, Model: "m",
			PromptTokens: 100, MaxTokens: 50, Counted: true, LastEvent: "1", Resumes: c.request.ID,
		})
		h.apply(callArrived{call: up})
		taken := h.decision(up)
		if taken == nil || codeOf(taken.refusal) != want {
			t.Fatalf("%s: decision %+v, want the code %q", change, taken, want)
		}
		if a := taken.attempt; want == "" && a.artifact.Service != "e" {
			t.Errorf("%s: the stream goes on at service %s, want e", change, a.artifact.Service)
		}
	}
}

// TestTakeUpIsRefusedIfStoreIsSilent guards callers that take streams up while the store gives no answers against getting no
// answer either: the reads of their origins wait for each other.
func TestTakeUpIsRefusedIfStoreIsSilent(t *testing.T) {
	h := newHarness()
	h.setUp()
	h.announceEngines(2)
	c := callStates["waits for its origin"](h)
	read, _ := h.popOriginRead()
	h.now = h.now.Add(originWait - 20*time.Millisecond)
	h.onTick(h.now)
	if d := h.decision(c.call); d != nil {
		t.Fatalf("decision %+v before %v", d, originWait)
	}
	h.now = h.now.Add(20 * time.Millisecond)
	h.onTick(h.now)
	wantRefusal(t, h.decision(c.call), contract.OriginUnknown, false)
	h.apply(originFound{call: read.call, outcome: platform.Applied, entry: platform.Entry{
		Value: marshal(streamEntry{Service: "e"}),
	}})
	if d := h.decision(c.call); d != nil || len(h.inFlight) > 0 {
		t.Errorf("decision %+v after the refusal, want none", d)
	}
}

// TestBrokenStreamWaitsInPlannedStop guards streams that break off in the later part of a planned stop, in which no new call waits
// for a replica, against being cut off at once: there is time until the end of the stop.
func TestBrokenStreamWaitsInPlannedStop(t *testing.T) {
	h := newHarness()
	h.setUp()
	h.announceEngines(1)
	c, d := h.admitChat()
	h.start(c, d.attempt)
	h.announceEngine("e5")
	h.apply(stopRequested{})
	h.now = h.now.Add(drainTime)
	h.apply(storeChanged{sent: h.now})
	h.breakStream(c, d.attempt)
	if refusal := h.finish(liveCall{call: c}); refusal != nil {
		t.Errorf("refused with %s (%s), want that the stream goes on", refusal.Code, refusal.Detail)
	}
}
