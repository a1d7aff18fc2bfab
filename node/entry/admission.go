package entry

import (
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/link"
	"github.com/mangopass/mangopass/fleet/machine"
)

// Figures of admission and waiting.
const (
	// waitShare is the part of a call's time that it may wait for a replica before it is refused.
	waitShare = 0.45
	// retryManifest, retryService and retryReplica are told to callers whose request has not run.
	retryManifest = 500 * time.Millisecond
	retryService  = 150 * time.Millisecond
	retryReplica  = time.Second
	// minimumLeft is the least time with which an attempt makes sense.
	minimumLeft = 15 * time.Millisecond
	// sendLimit bounds the attempts of one call, those that did not run included.
	sendLimit = 4
	// firstToken is an engine's time to the first event of a prompt that is already read.
	firstToken = 100 * time.Millisecond
	// silenceBound is the silence after which a resumable stream goes on elsewhere; a requester gives up after 3 s.
	silenceBound = 1200 * time.Millisecond
	// quotaBurstPart and quotaSlackPart are the parts of the operators' slack that widen the burst and, spread over the
	// window, the rate. The rest covers what several VMs admit before they hear of each other.
	quotaBurstPart = 0.1
	quotaSlackPart = 0.65
	// quotaFill is the part of a burst that a process grants at its start.
	quotaFill = 0.1
	// quotaRatePart is the part of the tolerated excess of the rate that is used.
	quotaRatePart = 0.8
)

// apply admits a call and makes its first decision.
func (m callArrived) apply(r *routing, now clock.Instant) {
	c := m.call
	if refusal := r.admit(c, now); refusal != nil {
		r.refuse(c, refusal, now)
		return
	}
	r.budget(c.service).Request(now)
	r.recordDemand(c)
	r.decide(c, now)
}

// admit checks a call against the manifest, the crash tracker and the quota.
func (r *routing) admit(c *call, now clock.Instant) *contract.Refusal {
	if r.manifest == nil {
		return contract.Refuse(contract.ManifestMissing, retryManifest, "no manifest has been read yet")
	}
	admitted, refusal := r.manifest.Admit(c.request)
	keyed := refusal != nil || admitted.Organisation != nil
	if keyed && !r.freshness.Fresh(now) {
		return contract.Refuse(contract.ManifestStale, retryManifest, "the manifest is %s old", r.freshness.Age(now).Round(time.Millisecond))
	}
	if refusal != nil {
		return refusal
	}
	c.admitted = admitted
	c.deadline = c.request.Deadline(admitted.Route)
	c.waitUntil = c.request.Arrived.Add(time.Duration(waitShare * float64(c.deadline.Sub(c.request.Arrived))))
	c.service = admitted.Route.Backend(r.rand.Float64())
	c.artifact = machine.Artifact{Service: c.service, Model: c.request.Model, Adapter: c.request.Adapter}
	if r.crashes.Blocked(c.request.Digest, now) {
		return contract.Refuse(contract.CrashSuspect, 0, "runs of this request have broken off at several runners")
	}
	return r.charge(c, now)
}

func (r *routing) charge(c *call, now clock.Instant) *contract.Refusal {
	o := c.admitted.Organisation
	if o == nil || o.Limit.PerSecond <= 0 {
		return nil
	}
	cost := o.Limit.Cost(c.request.PromptTokens, c.request.MaxTokens, c.request.Counted)
	quota := r.quota(o, now)
	if !quota.Take(cost, now) {
		return contract.Refuse(contract.RateLimited, quota.Wait(cost, now), "%s is over its limit", o.Name)
	}
	c.cost = cost
	return nil
}

func (r *routing) quota(o *contract.Organisation, now clock.Instant) *contract.Quota {
	q := r.quotas[o.Name]
	if q == nil {
		q = contract.NewQuota(o.Limit, r.quotaSlack(), quotaFill, now)
		q.SetShare(r.members.heardShare(now), now)
		r.quotas[o.Name] = q
	}
	return q
}

func (r *routing) quotaSlack() contract.QuotaSlack {
	return contract.QuotaSlack{
		Rate: quotaRatePart * r.rules.QuotaOver, PerSecond: quotaSlackPart * r.rules.QuotaSlack / r.rules.QuotaWindowS,
		Burst: quotaBurstPart * r.rules.QuotaSlack,
	}
}

func (r *routing) budget(s contract.ServiceName) *link.RetryBudget {
	b := r.budgets[s]
	if b == nil {
		b = link.NewRetryBudget(r.budgetRule())
		r.budgets[s] = b
	}
	return b
}

// recordDemand counts the demand for a call's model.
func (r *routing) recordDemand(c *call) {
	if c.artifact.Model == "" {
		return
	}
	model, known := r.model(c)
	urgent := known && c.admitted.Route.Objective < model.LoadDisk+firstToken+urgencyMargin
	r.updateDemand(c.artifact, func(a *machine.DemandReport) {
		a.Arrivals++
		a.Work += link.PrefillTime(c.request.PromptTokens)
		if urgent {
			a.Urgent++
		}
	})
}

// urgencyMargin is the time beyond a load and the first token that a request must have to count as able to wait.
const urgencyMargin = 300 * time.Millisecond

// model returns the model that a call names.
func (r *routing) model(c *call) (contract.Model, bool) {
	s := r.manifest.Services[c.service]
	if s == nil || s.Engine == nil {
		return contract.Model{}, false
	}
	m, ok := s.Engine.Models[c.artifact.Model]
	return m, ok
}

// decide sends a call to a runner, lets it wait for a replica, or refuses it.
func (r *routing) decide(c *call, now clock.Instant) {
	if c.deadline.Sub(now) < minimumLeft {
		r.giveUp(c, contract.DeadlineExceeded, "the deadline has passed", now)
		return
	}
	need := link.Requirements{
		Artifact: c.artifact, PromptTokens: c.request.PromptTokens, Prompt: c.request.Prompt, From: r.zone, Exclude: c.exclude,
	}
	choice, ok := r.table.Pick(r.fleet, need, now)
	if ok {
		r.send(c, choice, now)
		return
	}
	if _, known := r.model(c); !known {
		r.giveUp(c, contract.NoRunner, "no runner of the service is usable", now)
		return
	}
	if !now.Before(c.waitUntil) || r.stopping && !now.Before(r.stopWait) {
		r.giveUp(c, contract.NoReplica, "no runner holds the model", now)
		return
	}
	r.wait(c, now)
}

// send makes an attempt at the chosen runner.
func (r *routing) send(c *call, choice link.Choice, now clock.Instant) {
	r.stopWaiting(c)
	c.sends++
	runner := choice.Runner
	route := c.admitted.Route
	a := attempt{
		runner: runner.ID, boot: runner.Boot, address: runner.Address, artifact: c.artifact, prefill: choice.Prefill,
		expected: choice.Wait + choice.Prefill + firstToken, deadline: c.deadline, priority: -1,
		resume: route.Kind == contract.Stream && route.Resumable,
	}
	if c.admitted.Organisation != nil {
		a.tenant = c.admitted.Organisation.Name
	}
	if c.artifact.Model == "" {
		a.expected = 0
	}
	a.silence = silenceFor(route, a, c.deadline.Sub(now))
	r.table.Link(runner).Sent(c.artifact, choice.Prefill)
	r.log.Info("sent", "request", c.request.ID, "route", route.Name, "runner", runner.ID, "model", c.artifact.Model,
		"adapter", c.artifact.Adapter, "attempt", c.sends, "queued_ms", choice.Wait.Milliseconds(),
		"waited_ms", now.Sub(c.request.Arrived).Milliseconds(), "manifest", r.manifest.Version)
	r.metrics.sent.Inc()
	c.decisions.TryPush(decision{attempt: a})
}

// silenceFor returns how long an attempt may be silent before another runner is asked; zero where no other may be.
func silenceFor(route *contract.Route, a attempt, left time.Duration) time.Duration {
	switch {
	case a.resume:
		return silenceBound + a.expected
	case route.Kind == contract.Safe && route.MaxAttempts > 1:
		return left / 3
	}
	return 0
}

// wait parks a call until a replica is ready or its wait ends.
func (r *routing) wait(c *call, now clock.Instant) {
	if c.waiting {
		return
	}
	c.waiting = true
	r.waiting = append(r.waiting, c)
	r.updateDemand(c.artifact, func(a *machine.DemandReport) { a.Waiting++ })
	if p := r.members.peers[r.members.planner]; p != nil {
		p.urgent = true
	}
	r.log.Info("waiting", "request", c.request.ID, "model", c.artifact.Model, "adapter", c.artifact.Adapter,
		"patience_ms", c.waitUntil.Sub(now).Milliseconds(), "planner", r.members.planner)
}

func (r *routing) stopWaiting(c *call) {
	if !c.waiting {
		return
	}
	c.waiting = false
	r.updateDemand(c.artifact, func(a *machine.DemandReport) { a.Waiting = max(0, a.Waiting-1) })
}

// retryWaiting decides again on each waiting call.
func (r *routing) retryWaiting(now clock.Instant) {
	if len(r.waiting) == 0 {
		return
	}
	for _, c := range r.waiting {
		if c.waiting {
			r.decide(c, now)
		}
	}
	kept := r.waiting[:0]
	for _, c := range r.waiting {
		if c.waiting {
			kept = append(kept, c)
		}
	}
	clear(r.waiting[len(kept):])
	r.waiting = kept
}

// giveUp refuses a call; the refusal says whether it may have run.
func (r *routing) giveUp(c *call, code contract.Code, detail string, now clock.Instant) {
	if c.runs > 0 {
		r.refuse(c, contract.Failed(code, "%s", detail), now)
		return
	}
	retry := retryReplica
	switch code {
	case contract.NoRunner:
		retry = retryService
	case contract.DeadlineExceeded, contract.RunnerFailed:
		code = contract.Overloaded // it has not run, and the answer may say so
	}
	r.refuse(c, contract.Refuse(code, retry, "%s", detail), now)
}

// refuse ends a call without an answer of a runner. What a call that was never sent took from its quota goes back.
func (r *routing) refuse(c *call, refusal *contract.Refusal, now clock.Instant) {
	r.stopWaiting(c)
	if c.cost > 0 && c.sends == 0 {
		r.quota(c.admitted.Organisation, now).Refund(c.cost, now)
		c.cost = 0
	}
	version := int64(0)
	if r.manifest != nil {
		version = r.manifest.Version
	}
	r.log.Info("refused", "request", c.request.ID, "code", refusal.Code, "may_have_run", refusal.MayHaveRun,
		"detail", refusal.Detail, "model", c.artifact.Model, "waited_ms", now.Sub(c.request.Arrived).Milliseconds(),
		"manifest", version, "manifest_age_ms", r.freshness.Age(now).Milliseconds())
	r.metrics.refused.WithLabelValues(string(refusal.Code)).Inc()
	r.metrics.request.WithLabelValues("refused").Observe(now.Sub(c.request.Arrived).Seconds())
	c.decisions.TryPush(decision{refusal: refusal})
}

// apply forgets a call whose caller has gone away.
func (m callCancelled) apply(r *routing, now clock.Instant) {
	c := m.call
	r.stopWaiting(c)
	if c.cost > 0 && c.sends == 0 && c.admitted.Organisation != nil {
		r.quota(c.admitted.Organisation, now).Refund(c.cost, now)
		c.cost = 0
	}
	r.log.Info("caller gone", "request", c.request.ID, "sends", c.sends, "waited_ms", now.Sub(c.request.Arrived).Milliseconds())
	r.metrics.results.WithLabelValues(resultGone.String()).Inc()
	r.metrics.request.WithLabelValues(resultGone.String()).Observe(now.Sub(c.request.Arrived).Seconds())
}
