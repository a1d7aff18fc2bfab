package entry

import (
	"context"
	"encoding/json"
	"log/slog"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/duty/ring"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/link"
	"github.com/mangopass/mangopass/fleet/machine"
	"github.com/mangopass/mangopass/node/settings"
	"github.com/mangopass/mangopass/platform"
)

const t0 = clock.Instant(time.Hour)

// harness is a routing duty without goroutines or I/O: tests apply messages and advance now themselves.
type harness struct {
	*routing
	now clock.Instant
}

// newHarness returns the routing duty of VM n1 in zone z, without a manifest, runners or peers.
func newHarness() *harness { return newHarnessOf("n1", "z", 1) }

// newHarnessOf returns the routing duty of a VM.
func newHarnessOf(node string, z zoneID, boot int64) *harness {
	s := &settings.Entry{
		ID: node, IP: "10.0.0.1", Ports: []int{7600, 7615}, Zone: string(z),
		Zones: map[zoneID]regionID{"x": "r", "y": "r", "z": "r"},
		Rules: settings.Rules{
			RevokeMs: 5000, LeaseMs: 3000, RetryRatio: 0.2, RetryExtra: 50, RetryWindowS: 10, GraceS: 8,
			QuotaWindowS: 8, MaxPauseS: 30,
		},
	}
	h := &harness{
		routing: newRouting(s, boot, slog.New(slog.DiscardHandler), newMetrics(prometheus.NewRegistry())), now: t0,
	}
	h.startedAt = 0 // long ago, also for tests with the real clock
	h.leader.orders = ring.New[orderJob]("orders", 64)
	h.leader.claims = ring.New[claim]("claims", 64)
	h.members.startLink = func(_ string, p *peer) { p.stopLink = func() {} }
	return h
}

func (h *harness) apply(m message) { m.apply(h.routing, h.now) }

// testManifest returns a manifest with an unsafe route, a safe route, a public safe route, a resumable stream route
// to an engine service with model m, and one organisation.
func testManifest(version int) []byte {
	route := func(name, kind string, attempts int, resume bool) map[string]any {
		return map[string]any{"name": name, "host": "h", "prefix": "/" + name + "/", "kind": kind, "timeout_ms": 10000,
			"target_latency_ms": 600, "service": "s", "max_attempts": attempts, "can_resume": resume}
	}
	engine := route("chat", "stream", 2, true)
	engine["service"] = "e"
	public := route("open", "safe", 2, false)
	public["public"] = true
	data, err := json.Marshal(map[string]any{
		"version": version,
		"routes":  []any{route("confirm", "unsafe", 1, false), route("stock", "safe", 2, false), engine, public},
		"services": []any{map[string]any{"name": "s"}, map[string]any{"name": "e", "engine": map[string]any{
			"slots": 8, "weights_mb": 83000, "adapter_slots": 8, "models": []any{map[string]any{
				"name": "m", "weights_mb": 16000, "load_s": 6, "disk_s": 1, "warm_s": 0.7,
			}},
		}}},
		"tenants": []any{map[string]any{
			"name": "coop", "keys": []string{"key"}, "unit": "tokens", "plain_tokens": 200,
			"rate_per_s": 1000, "burst": 1000,
		}},
	})
	if err != nil {
		panic(err)
	}
	return data
}

// manifestEntry returns the store's entry of a manifest.
func manifestEntry(value []byte) *platform.Entry {
	return &platform.Entry{Key: platform.KeyManifest, Value: value}
}

// setUp puts a manifest in force, announces runners of the plain service and advances the time until the quotas have
// refilled.
func (h *harness) setUp(runners ...machine.RunnerID) {
	change := storeChanged{manifest: manifestEntry(testManifest(1)), complete: true, sent: h.now, ownKeys: []ownKeyChange{
		{key: prefixVersions + "e", value: marshal(versionEntry{}), revision: 1},
	}}
	for _, id := range runners {
		change.runners = append(change.runners, runnerChange{id: id, announcement: machine.Announcement{
			ID: id, Service: "s", Address: "1.1.1.1:1", Zone: "z", Slots: 6,
		}})
	}
	h.apply(change)
	h.now = h.now.Add(2 * time.Second)
	h.apply(storeChanged{sent: h.now})
}

// admitCall applies the arrival of a request and returns the call with its decision; nil if there is none yet.
func (h *harness) admitCall(path, key string) (*call, *decision) {
	c := newCall(context.Background(), &contract.Request{
		ID: "q", Host: "h", Path: path, Key: contract.HashKey(key), HasKey: key != "", Arrived: h.now, Digest: 7,
	})
	h.apply(callArrived{call: c})
	return c, h.decision(c)
}

// decision returns the pending decision of a call, or nil.
func (h *harness) decision(c *call) *decision {
	if c.decisions.Len() == 0 {
		return nil
	}
	d, _ := c.decisions.Pop(context.Background())
	return &d
}

// endAttempt applies the end of an attempt and returns the next decision, or nil.
func (h *harness) endAttempt(c *call, a attempt, r result) *decision {
	h.apply(attemptEnded{call: c, attempt: a, result: r, cause: errors.New("test"), lost: r == resultBroken, final: r == resultServed})
	return h.decision(c)
}

// spendRetries reserves all retries that the budget of a call's service has left.
func (h *harness) spendRetries(c *call) {
	for h.retryBudget(c.service).Reserve(h.members.count(), h.now) != link.NoRetry {
	}
}

func wantRefusal(t *testing.T, d *decision, code contract.Code, mayHaveRun bool) {
	t.Helper()
	if d == nil || d.refusal == nil || d.refusal.Code != code || d.refusal.MayHaveRun != mayHaveRun {
		t.Errorf("decision %+v, want refusal %s with MayHaveRun %v", d, code, mayHaveRun)
	}
}

// TestCallsAreRefusedWithoutManifest guards against refusing valid requests for good. A VM that has just started
// knows no routes or keys, so it must refuse with manifest_missing and not say that a route or key does not exist.
func TestCallsAreRefusedWithoutManifest(t *testing.T) {
	h := newHarness()
	_, d := h.admitCall("/none/", "key")
	wantRefusal(t, d, contract.ManifestMissing, false)
	if h.isReady(h.now) {
		t.Error("isReady is true without a manifest")
	}
}

// TestKeysNeedFreshManifest guards against serving removed keys. While the store does not answer, the manifest may be
// outdated: requests with a key are then neither served nor refused as invalid, and public routes are served as before.
func TestKeysNeedFreshManifest(t *testing.T) {
	h := newHarness()
	h.setUp("r1")
	h.now = h.now.Add(4 * time.Second)
	for _, key := range []string{"key", "unknown", ""} {
		_, d := h.admitCall("/confirm/", key)
		wantRefusal(t, d, contract.ManifestStale, false)
	}
	if _, d := h.admitCall("/open/", ""); d == nil || d.refusal != nil {
		t.Errorf("public route with a stale manifest: decision %+v, want an attempt", d)
	}
	h.apply(storeChanged{sent: h.now})
	if _, d := h.admitCall("/confirm/", "key"); d == nil || d.refusal != nil {
		t.Errorf("after the manifest was confirmed again: decision %+v, want an attempt", d)
	}
}

// TestOlderManifestIsIgnored guards against replacing the manifest by an older one, which a stale read of the store can
// return, or by one that cannot be decoded.
func TestOlderManifestIsIgnored(t *testing.T) {
	h := newHarness()
	h.apply(storeChanged{manifest: manifestEntry(testManifest(9)), sent: h.now})
	h.apply(storeChanged{manifest: manifestEntry(testManifest(3)), sent: h.now})
	h.apply(storeChanged{manifest: manifestEntry([]byte("{")), sent: h.now})
	if h.manifestVersion() != 9 {
		t.Errorf("manifest version %d is in force, want 9", h.manifestVersion())
	}
}

// TestUnsafeRequestIsNeverRepeated guards against running an unsafe request twice. After an attempt that broke off
// and may have run there must be no other one, and the refusal must say that the request may have run.
func TestUnsafeRequestIsNeverRepeated(t *testing.T) {
	h := newHarness()
	h.setUp("r1", "r2")
	c, d := h.admitCall("/confirm/", "key")
	d = h.endAttempt(c, d.attempt, resultBroken)
	wantRefusal(t, d, contract.RunnerFailed, true)
}

// TestUnsafeRequestIsRetriedIfNotExecuted guards against refusing an unsafe request that another runner could serve.
// If the runner has certainly not run it, it goes to another one, and a refusal says that it has not run.
func TestUnsafeRequestIsRetriedIfNotExecuted(t *testing.T) {
	for _, r := range []result{resultUnreachable, resultShed} {
		h := newHarness()
		h.setUp("r1", "r2")
		c, d := h.admitCall("/confirm/", "key")
		first := d.attempt.runner
		d = h.endAttempt(c, d.attempt, r)
		if d == nil || d.refusal != nil || d.attempt.runner == first {
			t.Errorf("%v: decision %+v, want an attempt on another runner than %s", r, d, first)
			continue
		}
		if d = h.endAttempt(c, d.attempt, r); d.refusal == nil || d.refusal.MayHaveRun {
			t.Errorf("%v on all runners: decision %+v, want a refusal of a request that has not run", r, d)
		}
	}
}

// TestMaxAttemptsLimitsSafeRequests guards against sending a safe request to more runners than its route's max_attempts
// allows, here two of three, while each attempt breaks off.
func TestMaxAttemptsLimitsSafeRequests(t *testing.T) {
	h := newHarness()
	h.setUp("r1", "r2", "r3")
	c, d := h.admitCall("/stock/", "key")
	d = h.endAttempt(c, d.attempt, resultBroken)
	if d.refusal != nil {
		t.Fatalf("decision %+v after the first attempt, want a second one", d)
	}
	d = h.endAttempt(c, d.attempt, resultBroken)
	wantRefusal(t, d, contract.RunnerFailed, true)
}

// TestRefusalAfterTimeoutMayHaveRun guards against a refusal that wrongly says that the request has not run. At the
// deadline of an attempt the runner may still be running it, and a caller that trusts the refusal would run it twice.
func TestRefusalAfterTimeoutMayHaveRun(t *testing.T) {
	h := newHarness()
	h.setUp("r1")
	c, d := h.admitCall("/confirm/", "key")
	wantRefusal(t, h.endAttempt(c, d.attempt, resultTimeout), contract.DeadlineExceeded, true)
}

// TestRunnerWithoutReplicaIsTriedAgain guards against excluding a runner for the rest of a call because it lacked the
// model or adapter. It may have received the request just before its load was finished, and no other runner may hold
// the adapter.
func TestRunnerWithoutReplicaIsTriedAgain(t *testing.T) {
	h := newHarness()
	h.setUp()
	h.announceEngine("e1", machine.ReportedModel{Model: "m"})
	c, d := h.admitChat()
	if d = h.endAttempt(c, d.attempt, resultNoReplica); d != nil {
		t.Fatalf("decision %+v right after the runner lacked the model, want none yet", d)
	}
	h.now = h.now.Add(200 * time.Millisecond)
	h.dispatchWaiting(h.now)
	if d = h.decision(c); d == nil || d.refusal != nil {
		t.Errorf("decision %+v 200 ms later, want an attempt", d)
	}
}

// TestPlannedStopReleasesTerms guards the handover in a planned stop. The VM must report not ready, end its terms and
// release their holder keys, or its shards stay without a leader until its lease has run out. No call may wait for a
// replica beyond drainTime, after which the platform sends the VM no new connections.
func TestPlannedStopReleasesTerms(t *testing.T) {
	h := newHarness()
	h.setUp()
	h.apply(leaseRenewed{until: h.now.Add(3 * time.Second)})
	value := marshal(holderEntry{Node: "n1", Address: "10.0.0.1:7600", Boot: 1})
	h.apply(claimApplied{shard: 3, change: ownKeyChange{value: value, revision: 5}})
	if !h.leader.shards[3].leadership.MayOrder(h.now) {
		t.Fatal("MayOrder is false after the claim of shard 3")
	}
	c, _ := h.admitChat()
	h.apply(stopRequested{})
	if h.isReady(h.now) || h.leader.shards[3].leadership.HoldsTerm(h.now) || h.leader.claims.Len() != 1 {
		t.Error("after the stop request the VM is ready, holds its term, or has not released exactly one holder key")
	}
	h.now = h.now.Add(drainTime)
	h.apply(storeChanged{sent: h.now})
	h.dispatchWaiting(h.now)
	wantRefusal(t, h.decision(c), contract.Stopping, false)
	_, late := h.admitChat()
	wantRefusal(t, late, contract.Stopping, false)
}

// TestNewTermPausesAfterAnotherLeader guards against orders from two leaders at once. After another VM's term, a new
// leader must pause for the lease time, since the former one may still give orders. The test takes the case that the
// answer to the claim was lost and the watch brings the shard's holder key and last-term key together, so that the
// last-term key already names this VM when its term begins.
func TestNewTermPausesAfterAnotherLeader(t *testing.T) {
	h := newHarness()
	h.setUp()
	other := marshal(holderEntry{Node: "n2", Boot: 1})
	own := marshal(holderEntry{Node: "n1", Address: "10.0.0.1:7600", Boot: 1})
	h.apply(leaseRenewed{until: h.now.Add(3 * time.Second)})
	h.apply(storeChanged{sent: h.now, ownKeys: []ownKeyChange{{key: keyLastTerm(2), value: other, revision: 4}}})
	h.leader.ownKeysRead = true
	for range 40 { // until the claim is due
		h.now = h.now.Add(100 * time.Millisecond)
		h.apply(leaseRenewed{until: h.now.Add(3 * time.Second)})
		h.checkTerms(h.now)
	}
	h.apply(storeChanged{sent: h.now, ownKeys: []ownKeyChange{
		{key: keyHolder(2), value: own, revision: 9}, {key: keyLastTerm(2), value: own, revision: 9},
	}})
	leadership := &h.leader.shards[2].leadership
	if !leadership.HoldsTerm(h.now) || leadership.MayOrder(h.now.Add(2*time.Second)) {
		t.Error("shard 2 is not held, or orders are allowed 2 s into its term, before the pause of 3 s has ended")
	}
	leadership.Renew(h.now.Add(9 * time.Second))
	if !leadership.MayOrder(h.now.Add(3100 * time.Millisecond)) {
		t.Error("MayOrder is false after the pause of 3 s")
	}
}

// TestReleasedTermShortensPause guards against a full pause after a planned handover. If the former leader has
// reported that it gave up the term 2 s ago, the pause of 3 s counts from then.
func TestReleasedTermShortensPause(t *testing.T) {
	h := newHarness()
	h.setUp()
	h.apply(leaseRenewed{until: h.now.Add(9 * time.Second)})
	s := &h.leader.shards[2]
	s.lastTermAtClaim = ownKeyChange{value: marshal(holderEntry{Node: "n2", Boot: 1}), revision: 4}
	s.releasedFence, s.releasedAt = 4, h.now.Add(-2*time.Second)
	h.apply(claimApplied{shard: 2, change: ownKeyChange{
		value: marshal(holderEntry{Node: "n1", Address: "10.0.0.1:7600", Boot: 1}), revision: 9,
	}})
	if s.leadership.MayOrder(h.now.Add(900*time.Millisecond)) ||
		!s.leadership.MayOrder(h.now.Add(1100*time.Millisecond)) {
		t.Error("orders are not allowed from 1 s on (checked at 0.9 s and 1.1 s), 3 s after the release")
	}
}

// TestRestartReclaimsOwnTerm guards against shards without orders after a VM's process was killed and restarted. The
// holder key still names the VM, so it must claim the shard at once and need no pause, since no other VM has given
// orders.
func TestRestartReclaimsOwnTerm(t *testing.T) {
	h := newHarness()
	h.setUp()
	h.apply(leaseRenewed{until: h.now.Add(3 * time.Second)})
	former := marshal(holderEntry{Node: "n1", Address: "10.0.0.1:7600", Boot: 0})
	h.apply(storeChanged{sent: h.now, complete: true, ownKeys: []ownKeyChange{
		{key: keyHolder(2), value: former, revision: 4}, {key: keyLastTerm(2), value: former, revision: 4},
	}})
	h.checkTerms(h.now)
	c, err := h.leader.claims.Pop(t.Context())
	if err != nil || c.shard != 2 || c.holderRevision != 4 || c.lastRevision != 4 {
		t.Fatalf("claim %+v, error %v; want shard 2 and revision 4 of both keys", c, err)
	}
	h.apply(claimApplied{shard: 2, change: ownKeyChange{
		value: marshal(holderEntry{Node: "n1", Address: "10.0.0.1:7600", Boot: 1}), revision: 9,
	}})
	if leadership := &h.leader.shards[2].leadership; !leadership.MayOrder(h.now) || leadership.Term().Fence != 9 {
		t.Errorf("leadership %+v, want fence 9 and orders allowed at once", leadership)
	}
}

// TestRestartKeepsPause guards runners against orders of two leaders within the lease time. A VM that takes a term anew
// which began with a pause after another leader must keep the pause, in the same process or in a later one.
func TestRestartKeepsPause(t *testing.T) {
	for name, former := range map[string]holderEntry{
		"same process":            {Node: "n1", Address: "10.0.0.1:7600", Boot: 1, PauseMs: 3000},
		"process that has paused": {Node: "n1", Address: "10.0.0.1:7600", Boot: 0, PauseMs: 3000},
	} {
		h := newHarness()
		h.setUp()
		h.apply(leaseRenewed{until: h.now.Add(time.Hour)})
		s := &h.leader.shards[2]
		if former.Boot == 1 {
			s.lastTermAtClaim = ownKeyChange{value: marshal(holderEntry{Node: "n2", Boot: 1}), revision: 4}
			h.apply(claimApplied{shard: 2, change: ownKeyChange{value: marshal(former), revision: 9}})
			h.apply(leaseLost{})
			h.apply(leaseRenewed{until: h.now.Add(time.Hour)})
		}
		h.apply(storeChanged{sent: h.now, complete: true, ownKeys: []ownKeyChange{
			{key: keyLastTerm(2), value: marshal(former), revision: 9},
		}})
		taken := h.now
		var c claim
		for c.shard != 2 {
			h.checkTerms(h.now)
			var err error
			if c, err = h.leader.claims.Pop(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		if c.pause != 3*time.Second {
			t.Errorf("%s: claim %+v does not state the pause of 3 s", name, c)
		}
		own := marshal(holderEntry{Node: "n1", Address: "10.0.0.1:7600", Boot: 1, PauseMs: c.pause.Milliseconds()})
		h.apply(claimApplied{shard: 2, change: ownKeyChange{value: own, revision: 12}})
		if s.leadership.MayOrder(taken.Add(2900*time.Millisecond)) || !s.leadership.MayOrder(taken.Add(3*time.Second)) {
			t.Errorf("%s: orders are not allowed from 3 s after the other leader on", name)
		}
	}
}
