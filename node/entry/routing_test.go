package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/duty/ring"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/machine"
	"github.com/mangopass/mangopass/node/settings"
)

const t0 = clock.Instant(time.Hour)

// bench is a routing duty without goroutines or I/O: tests apply messages and move the time.
type bench struct {
	*routing
	now clock.Instant
}

func newBench() *bench {
	s := &settings.Entry{ID: "n1", IP: "10.0.0.1", Ports: []int{7600, 7615}, Zone: "z", Zones: map[zoneID]regionID{"z": "r"}, Rules: settings.Rules{
		RevokeMs: 5000, LeaseMs: 3000, RetryRatio: 0.2, RetryExtra: 50, RetryWindowS: 10, GraceS: 8, QuotaWindowS: 8,
	}}
	b := &bench{routing: newRouting(s, 1, slog.New(slog.DiscardHandler), newMetrics(prometheus.NewRegistry())), now: t0}
	b.leader.orders = ring.New[orderJob]("orders", 64)
	b.leader.claims = ring.New[claim]("claims", 64)
	b.members.startLink = func(_ string, p *peer) { p.stopLink = func() {} }
	return b
}

func (b *bench) apply(m message) { m.apply(b.routing, b.now) }

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
		"version": version, "routes": []any{route("confirm", "unsafe", 1, false), route("stock", "safe", 2, false), engine, public},
		"services": []any{map[string]any{"name": "s"}, map[string]any{"name": "e", "engine": map[string]any{
			"slots": 8, "weights_mb": 83000, "adapter_slots": 8, "models": []any{map[string]any{"name": "m", "weights_mb": 16000, "load_s": 6, "disk_s": 1, "warm_s": 0.7}},
		}}},
		"tenants": []any{map[string]any{"name": "coop", "keys": []string{"key"}, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 1000, "burst": 1000}},
	})
	if err != nil {
		panic(err)
	}
	return data
}

// serve puts a manifest in force, announces runners of the plain service and lets the quotas fill.
func (b *bench) serve(runners ...machine.RunnerID) {
	change := storeChanged{manifest: testManifest(1), complete: true, sent: b.now}
	for _, id := range runners {
		change.runners = append(change.runners, runnerChange{id: id, announcement: machine.Announcement{
			ID: id, Service: "s", Address: "1.1.1.1:1", Zone: "z", Slots: 6,
		}})
	}
	b.apply(change)
	b.now = b.now.Add(2 * time.Second)
	b.apply(storeChanged{sent: b.now})
}

// arrive admits a request and returns the call with its decision, or nil while it waits.
func (b *bench) arrive(path, key string) (*call, *decision) {
	c := newCall(context.Background(), &contract.Request{
		ID: "q", Host: "h", Path: path, Key: contract.HashKey(key), HasKey: key != "", Arrived: b.now, Digest: 7,
	})
	b.apply(callArrived{call: c})
	return c, b.decision(c)
}

func (b *bench) decision(c *call) *decision {
	if c.decisions.Len() == 0 {
		return nil
	}
	d, _ := c.decisions.Pop(context.Background())
	return &d
}

func (b *bench) end(c *call, a attempt, r result) *decision {
	b.apply(attemptEnded{call: c, attempt: a, result: r, cause: errors.New("test"), final: r == resultServed})
	return b.decision(c)
}

func wantRefusal(t *testing.T, d *decision, code contract.Code, mayHaveRun bool) {
	t.Helper()
	if d == nil || d.refusal == nil || d.refusal.Code != code || d.refusal.MayHaveRun != mayHaveRun {
		t.Errorf("decision %+v, want refusal %s, may have run %v", d, code, mayHaveRun)
	}
}

// TestNoManifest guards callers of a VM that has just started: it knows nothing, so it may not say that a route or key
// does not exist.
func TestNoManifest(t *testing.T) {
	b := newBench()
	_, d := b.arrive("/none/", "key")
	wantRefusal(t, d, contract.ManifestMissing, false)
	if b.isReady(b.now) {
		t.Error("ready without a manifest")
	}
}

// TestStaleManifest guards withdrawn keys: without a fresh proof, keys are neither honoured nor denied, and public
// routes go on.
func TestStaleManifest(t *testing.T) {
	b := newBench()
	b.serve("r1")
	b.now = b.now.Add(4 * time.Second)
	for _, key := range []string{"key", "unknown", ""} {
		_, d := b.arrive("/confirm/", key)
		wantRefusal(t, d, contract.ManifestStale, false)
	}
	if _, d := b.arrive("/open/", ""); d == nil || d.refusal != nil {
		t.Errorf("public route: %+v", d)
	}
	b.apply(storeChanged{sent: b.now})
	if _, d := b.arrive("/confirm/", "key"); d == nil || d.refusal != nil {
		t.Errorf("after a new proof: %+v", d)
	}
}

// TestManifestDoesNotRegress guards against an older manifest from a stale read.
func TestManifestDoesNotRegress(t *testing.T) {
	b := newBench()
	b.apply(storeChanged{manifest: testManifest(9), sent: b.now})
	b.apply(storeChanged{manifest: testManifest(3), sent: b.now})
	b.apply(storeChanged{manifest: []byte("{"), sent: b.now})
	if b.version() != 9 {
		t.Errorf("version %d in force", b.version())
	}
}

// TestUnsafeIsNeverRepeated guards at-most-once: after an attempt that may have run there is no other, and the refusal
// does not promise that it has not run.
func TestUnsafeIsNeverRepeated(t *testing.T) {
	b := newBench()
	b.serve("r1", "r2")
	c, d := b.arrive("/confirm/", "key")
	d = b.end(c, d.attempt, resultBroken)
	wantRefusal(t, d, contract.RunnerFailed, true)
}

// TestUnsafeMovesOnAfterProof guards the use of proofs: what has certainly not run goes to another runner.
func TestUnsafeMovesOnAfterProof(t *testing.T) {
	for _, r := range []result{resultUnreachable, resultShed} {
		b := newBench()
		b.serve("r1", "r2")
		c, d := b.arrive("/confirm/", "key")
		first := d.attempt.runner
		d = b.end(c, d.attempt, r)
		if d == nil || d.refusal != nil || d.attempt.runner == first {
			t.Errorf("%v: decision %+v after %s", r, d, first)
			continue
		}
		if d = b.end(c, d.attempt, r); d.refusal == nil || d.refusal.MayHaveRun {
			t.Errorf("%v at all runners: %+v", r, d)
		}
	}
}

// TestSafeAttemptsAreBounded guards max_attempts.
func TestSafeAttemptsAreBounded(t *testing.T) {
	b := newBench()
	b.serve("r1", "r2", "r3")
	c, d := b.arrive("/stock/", "key")
	d = b.end(c, d.attempt, resultBroken)
	if d.refusal != nil {
		t.Fatalf("no second attempt: %+v", d)
	}
	d = b.end(c, d.attempt, resultBroken)
	wantRefusal(t, d, contract.RunnerFailed, true)
}

// TestTimeoutIsNotAPromise guards the answer at the deadline of a request that is still running.
func TestTimeoutIsNotAPromise(t *testing.T) {
	b := newBench()
	b.serve("r1")
	c, d := b.arrive("/confirm/", "key")
	wantRefusal(t, b.end(c, d.attempt, resultTimeout), contract.DeadlineExceeded, true)
}

// announceEngine adds an engine that holds the model at the given time.
func (b *bench) announceEngine(id machine.RunnerID, models ...machine.ReportedModel) {
	b.apply(storeChanged{sent: b.now, runners: []runnerChange{{id: id, announcement: machine.Announcement{
		ID: id, Service: "e", Address: "1.1.1.1:1", Zone: "z", Slots: 8, HasEngine: true, Contents: machine.Contents{Models: models},
	}}}})
}

func (b *bench) chat() (*call, *decision) {
	c := newCall(context.Background(), &contract.Request{
		ID: "q", Host: "h", Path: "/chat/", Key: contract.HashKey("key"), HasKey: true, Arrived: b.now, Model: "m",
		PromptTokens: 100, MaxTokens: 50, Counted: true, Digest: 7,
	})
	b.apply(callArrived{call: c})
	return c, b.decision(c)
}

// TestWaitsForReplica guards requests for a model that nobody holds: they wait, go out as soon as it is there, and get
// back what they took from the quota if they are refused.
func TestWaitsForReplica(t *testing.T) {
	b := newBench()
	b.serve()
	c, d := b.chat()
	if d != nil {
		t.Fatalf("decision %+v without a replica", d)
	}
	other, _ := b.chat()
	b.now = b.now.Add(500 * time.Millisecond)
	b.announceEngine("e1", machine.ReportedModel{Model: "m"})
	b.retryWaiting(b.now)
	if d = b.decision(c); d == nil || d.refusal != nil || d.attempt.runner != "e1" {
		t.Errorf("decision %+v", d)
	}
	b.decision(other)

	b = newBench()
	b.serve()
	c, _ = b.chat()
	level := b.quotas["coop"].Level(b.now)
	b.now = b.now.Add(6 * time.Second)
	b.apply(storeChanged{sent: b.now})
	b.retryWaiting(b.now)
	d = b.decision(c)
	wantRefusal(t, d, contract.NoReplica, false)
	if d.refusal != nil && d.refusal.RetryAfter == 0 {
		t.Error("no word when to come back")
	}
	if got := b.quotas["coop"].Level(b.now); got < level+150 || b.quotas["coop"].Own() != 0 {
		t.Errorf("level %v after refund, %v before; own %v", got, level, b.quotas["coop"].Own())
	}
}

// TestMissingAdapterIsAskedForAgain guards a request that met a runner a moment before its adapter was there: the runner
// is not ejected for good.
func TestMissingAdapterIsAskedForAgain(t *testing.T) {
	b := newBench()
	b.serve()
	b.announceEngine("e1", machine.ReportedModel{Model: "m"})
	c, d := b.chat()
	if d = b.end(c, d.attempt, resultNoReplica); d != nil {
		t.Fatalf("decision %+v at once", d)
	}
	b.now = b.now.Add(200 * time.Millisecond)
	b.retryWaiting(b.now)
	if d = b.decision(c); d == nil || d.refusal != nil {
		t.Errorf("decision %+v after the adapter's load", d)
	}
}

// TestCrashingRequest guards runners from a request that crashes each of them, wherever it comes again.
func TestCrashingRequest(t *testing.T) {
	b := newBench()
	b.serve()
	for i := range 4 {
		b.announceEngine(machine.RunnerID(fmt.Sprint("e", i)), machine.ReportedModel{Model: "m"})
	}
	c, d := b.chat()
	d = b.end(c, d.attempt, resultBroken)
	wantRefusal(t, b.end(c, d.attempt, resultBroken), contract.RunnerFailed, true)
	_, d = b.chat()
	wantRefusal(t, d, contract.CrashSuspect, false)
}

// TestStopPassesTheTermsOn guards planned stops: the VM is not ready, gives no orders, gives its shards up and lets no
// call wait beyond the time that the platform needs to move on.
func TestStopPassesTheTermsOn(t *testing.T) {
	b := newBench()
	b.serve()
	b.apply(leaseRenewed{until: b.now.Add(3 * time.Second)})
	value := marshal(holderEntry{Node: "n1", Address: "10.0.0.1:7600", Boot: 1})
	b.apply(claimApplied{shard: 3, change: ownKeyChange{value: value, revision: 5}})
	if !b.leader.shards[3].leadership.MayOrder(b.now) {
		t.Fatal("no term")
	}
	c, _ := b.chat()
	b.apply(stopRequested{})
	if b.isReady(b.now) || b.leader.shards[3].leadership.HoldsTerm(b.now) || b.leader.claims.Len() != 1 {
		t.Error("the term or the readiness goes on")
	}
	b.now = b.now.Add(drainTime)
	b.apply(storeChanged{sent: b.now})
	b.retryWaiting(b.now)
	wantRefusal(t, b.decision(c), contract.NoReplica, false)
}

// TestTermKeepsThePause guards the pause after another node's term, also where the claim's answer was lost and the watch
// shows both of the shard's keys at once.
func TestTermKeepsThePause(t *testing.T) {
	b := newBench()
	b.serve()
	other := marshal(holderEntry{Node: "n2", Boot: 1})
	own := marshal(holderEntry{Node: "n1", Address: "10.0.0.1:7600", Boot: 1})
	b.apply(leaseRenewed{until: b.now.Add(3 * time.Second)})
	b.apply(storeChanged{sent: b.now, own: []ownKeyChange{{key: keyLastTerm(2), value: other, revision: 4}}})
	b.leader.ownKeysRead = true
	for range 40 { // until the claim is due
		b.now = b.now.Add(100 * time.Millisecond)
		b.apply(leaseRenewed{until: b.now.Add(3 * time.Second)})
		b.checkTerms(b.now)
	}
	b.apply(storeChanged{sent: b.now, own: []ownKeyChange{
		{key: keyHolder(2), value: own, revision: 9}, {key: keyLastTerm(2), value: own, revision: 9},
	}})
	leadership := &b.leader.shards[2].leadership
	if !leadership.HoldsTerm(b.now) || leadership.MayOrder(b.now.Add(2*time.Second)) {
		t.Error("no pause after the other node's term")
	}
	leadership.Renew(b.now.Add(9 * time.Second))
	if !leadership.MayOrder(b.now.Add(3100 * time.Millisecond)) {
		t.Error("the pause does not end")
	}
}

// TestReleasedTermShortensThePause guards planned handovers: the pause counts from the other node's last order.
func TestReleasedTermShortensThePause(t *testing.T) {
	b := newBench()
	b.serve()
	b.apply(leaseRenewed{until: b.now.Add(9 * time.Second)})
	s := &b.leader.shards[2]
	s.lastTermAtClaim = ownKeyChange{value: marshal(holderEntry{Node: "n2", Boot: 1}), revision: 4}
	s.releasedFence, s.releasedAt = 4, b.now.Add(-2*time.Second)
	b.apply(claimApplied{shard: 2, change: ownKeyChange{value: marshal(holderEntry{Node: "n1", Address: "10.0.0.1:7600", Boot: 1}), revision: 9}})
	if s.leadership.MayOrder(b.now.Add(900*time.Millisecond)) || !s.leadership.MayOrder(b.now.Add(1100*time.Millisecond)) {
		t.Error("the pause does not count from the last order")
	}
}

// TestRestartTakesOwnTermBack guards a VM whose process was killed: its key still stands in the store, and orders go on
// without a pause, since nobody else has given any.
func TestRestartTakesOwnTermBack(t *testing.T) {
	b := newBench()
	b.serve()
	b.apply(leaseRenewed{until: b.now.Add(3 * time.Second)})
	former := marshal(holderEntry{Node: "n1", Address: "10.0.0.1:7600", Boot: 0})
	b.apply(storeChanged{sent: b.now, complete: true, own: []ownKeyChange{
		{key: keyHolder(2), value: former, revision: 4}, {key: keyLastTerm(2), value: former, revision: 4},
	}})
	b.checkTerms(b.now)
	c, err := b.leader.claims.Pop(t.Context())
	if err != nil || c.shard != 2 || c.holderRevision != 4 || c.lastRevision != 4 {
		t.Fatalf("claim %+v, error %v", c, err)
	}
	b.apply(claimApplied{shard: 2, change: ownKeyChange{value: marshal(holderEntry{Node: "n1", Address: "10.0.0.1:7600", Boot: 1}), revision: 9}})
	if leadership := &b.leader.shards[2].leadership; !leadership.MayOrder(b.now) || leadership.Term().Fence != 9 {
		t.Errorf("leadership %+v", leadership)
	}
}
