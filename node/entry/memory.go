package entry

import (
	"math"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/admission"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/link"
	"github.com/mangopass/mangopass/fleet/machine"
	"github.com/mangopass/mangopass/fleet/memory"
	"github.com/mangopass/mangopass/node/metrics"
)

// memoryReviewPeriod is the time between two reviews of what is known of the memory of engines.
const memoryReviewPeriod = 50 * time.Millisecond

// memoryState is what the routing duty has last seen of the memory of engines.
type memoryState struct {
	reviewedAt clock.Instant
	full       map[machine.RunnerID]bool // as logged last
}

// heldTokens returns the tokens that a call is expected to hold in the memory of a runner, prompt and answer; zero for a plain
// service.
func (r *routing) heldTokens(c *call) int {
	if c.artifact.Model == "" {
		return 0
	}
	if c.claim.Tokens > 0 {
		return c.claim.Tokens // a claim of another size would begin anew
	}
	answer := r.expectedEvents(c)
	if answer == 0 {
		answer = float64(c.request.LengthHint)
		if c.request.MaxTokens > 0 {
			answer = min(answer, float64(c.request.MaxTokens))
		}
	}
	return c.request.PromptTokens + int(math.Ceil(answer))
}

// holdMemory counts what an attempt that is sent holds in the memory of its runner.
func (r *routing) holdMemory(runner *machine.Runner, a attempt, now clock.Instant) {
	r.table.Link(runner).Holds(a.artifact, a.tokens)
	r.table.Memory.Sent(runner, a.tokens, now)
}

// handleShortage refuses a call that is larger than the memory of each runner with its model, and lets one wait that finds no room
// until it can't be answered in time any more. It reports whether memory was short.
func (r *routing) handleShortage(c *call, choice link.Choice, now clock.Instant) bool {
	until := max(c.waitUntil, c.deadline.Add(-c.patience().Answer-choice.Wait))
	switch {
	case choice.Memory == memory.TooLarge:
		refusal := contract.Refuse(contract.RequestTooLarge, 0, "the request needs more memory than any runner of the model has")
		r.endForMemory(c, refusal, "too_large", now)
	case choice.Memory == memory.Full && now.Before(until) && (c.streaming || !r.stopsSoon(now)):
		r.wait(c, choice, until, now)
	case choice.Memory == memory.Full:
		retryAfter := admission.QueueRetry(choice.Wait, r.rand.Float64())
		refusal := contract.Refuse(contract.Overloaded, retryAfter, "the memory of the runners of the model is full")
		r.endForMemory(c, refusal, "full", now)
	default:
		return false
	}
	return true
}

func (r *routing) endForMemory(c *call, refusal *contract.Refusal, reason string, now clock.Instant) {
	r.metrics.memory.refused.WithLabelValues(reason).Inc()
	refusal.DecidedBy = "memory: " + reason
	if c.runs == 0 {
		r.refuse(c, refusal, now)
		return
	}
	failed := contract.Failed(refusal.Code, "%s", refusal.Detail)
	failed.DecidedBy = refusal.DecidedBy
	r.abandon(c, cutLimits, failed, now)
}

// countMemoryWait counts a call that begins to wait for room.
func (r *routing) countMemoryWait(choice link.Choice) {
	if choice.Memory == memory.Full {
		r.metrics.memory.waits.Inc()
	}
}

// reviewMemory passes on what the runners have stated of their memory, and whether the other VMs' loads are known, and logs
// what has changed.
func (r *routing) reviewMemory(now clock.Instant) {
	if now.Sub(r.memory.reviewedAt) < memoryReviewPeriod {
		return
	}
	r.memory.reviewedAt = now
	book := r.table.Memory
	book.SetLag(r.loadLag())
	book.SetReach(r.members.sharing(r.rules.RetryWindow(), now), r.hearsNeighbours(now), now)
	for _, runner := range r.fleet.All() {
		if runner.Memory.Capacity == 0 {
			continue
		}
		before := book.Capacity(runner)
		s := memory.Statement{Boot: runner.Boot, StatedMemory: runner.Memory}
		if book.State(runner.ID, s, r.table.Held(runner).Tokens) {
			r.log.Info("runner states its memory", "runner", runner.ID, "boot", runner.Boot, "tokens", s.Capacity, "before", before)
		}
		r.logFill(runner)
	}
	for id := range r.memory.full {
		if r.fleet.Get(id) == nil {
			delete(r.memory.full, id)
		}
	}
}

// Fills of an engine's memory, from 0 to 1, at which it counts as full and no longer so in the log and the metrics.
const (
	fullFrom  = 0.9
	fullUntil = 0.75
)

// logFill logs that the memory of a runner has become full, or has room again.
func (r *routing) logFill(runner *machine.Runner) {
	held, capacity := r.table.Held(runner), r.table.Memory.Capacity(runner)
	fill, full := float64(held.Tokens+held.Claimed)/float64(max(1, capacity)), r.memory.full[runner.ID]
	message := ""
	switch {
	case !full && fill >= fullFrom:
		message = "runner memory full"
		r.memory.full[runner.ID] = true
	case full && fill <= fullUntil:
		message = "runner memory has room"
		delete(r.memory.full, runner.ID)
	default:
		return
	}
	r.log.Info(message, "runner", runner.ID, "held", held.Tokens, "claimed", held.Claimed, "tokens", capacity)
}

// loadLag returns the time after which all VMs know what one of them has sent: a report to its relay, one between relays and one
// from a relay. The latter two come less often where relays have many neighbours.
func (r *routing) loadLag() time.Duration {
	return memory.Lag + 2*reportPeriod*(r.members.periodFactor()-1)
}

// hearsNeighbours reports whether the reports of all neighbours arrive in time, and this VM's reach them.
func (r *routing) hearsNeighbours(now clock.Instant) bool {
	lag := r.loadLag()
	for _, p := range r.members.peers {
		if p.role != link.Unrelated && (now.Sub(p.heardAt) > lag || p.failures > 0) {
			return false
		}
	}
	return true
}

// memoryMetrics shows the memory of engines.
type memoryMetrics struct {
	held    prometheus.Gauge
	claimed prometheus.Gauge
	known   prometheus.Gauge
	full    prometheus.Gauge
	waits   prometheus.Counter
	refused *prometheus.CounterVec
}

func newMemoryMetrics(r prometheus.Registerer) memoryMetrics {
	m := memoryMetrics{
		held:    newGauge("memory_held_tokens", "Tokens that the requests of all VMs are expected to hold at runners."),
		claimed: newGauge("memory_claimed_tokens", "Tokens of requests of all VMs that wait for room in a runner's memory."),
		known:   newGauge("memory_capacity_tokens", "Memory of the runners that have stated it."),
		full:    newGauge("runners_memory_full", "Runners whose memory is full."),
		waits: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Name: "memory_waits_total", Help: "Requests that began to wait for room in a runner's memory.",
		}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Name: "memory_refusals_total",
			Help: "Requests refused because no runner had the memory for them, by whether one could have it later.",
		}, []string{"reason"}),
	}
	for _, reason := range []string{"too_large", "full"} {
		m.refused.WithLabelValues(reason)
	}
	r.MustRegister(m.held, m.claimed, m.known, m.full, m.waits, m.refused)
	return m
}

// update sets the gauges to what the routing duty knows.
func (m memoryMetrics) update(r *routing) {
	held, claimed, known := 0, 0, 0
	for _, runner := range r.fleet.All() {
		h := r.table.Held(runner)
		held, claimed, known = held+h.Tokens, claimed+h.Claimed, known+r.table.Memory.Capacity(runner)
	}
	m.held.Set(float64(held))
	m.claimed.Set(float64(claimed))
	m.known.Set(float64(known))
	m.full.Set(float64(len(r.memory.full)))
}
