package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/mangopass/mangopass/duty/ring"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/link"
	"github.com/mangopass/mangopass/fleet/zone"
	"github.com/mangopass/mangopass/node/wire"
)

// message is anything that reaches the admission duty: *call, *routesQuery, *finished, configInForce, heartbeat.
type message any

// configInForce replaces the configuration by a higher generation.
type configInForce struct{ config *contract.Config }

// heartbeat carries an agent's report.
type heartbeat struct{ report link.Report }

// finished reports the end of an attempt.
type finished struct {
	dispatch *dispatch
	outcome  attemptOutcome
	refusal  contract.Refusal // for attemptRefused
}

// attemptOutcome is how an attempt ended.
type attemptOutcome int

const (
	attemptAnswered attemptOutcome = iota // the caller's reply ring has the end of the answer
	attemptRefused                        // the agent refused before it answered
	attemptNotSent                        // the agent certainly did not receive the request
	attemptUnknown                        // the connection broke before the first byte of the answer
)

const (
	maxAttempts      = 3
	admissionBatch   = 64
	retryAfterNoSlot = time.Second
)

// admission is the duty that decides on each call: whose it is, whether it may run, and at which agent. It owns the
// configuration, the buckets and the links to the agents, and never blocks on a push.
type admission struct {
	inbox   *ring.Ring[message]
	forward *ring.Ring[*dispatch]
	at      zone.DataCentreID
	log     *slog.Logger
	metrics *entryMetrics

	config  *contract.Config
	links   *link.Table
	buckets map[contract.OrganisationID]*contract.Bucket
}

func newAdmission(at zone.DataCentreID, zones *zone.Map, inbox *ring.Ring[message], forward *ring.Ring[*dispatch], log *slog.Logger, m *entryMetrics) *admission {
	source := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &admission{
		inbox: inbox, forward: forward, at: at, log: log, metrics: m,
		links:   link.NewTable(zones, source),
		buckets: make(map[contract.OrganisationID]*contract.Bucket),
	}
}

func (a *admission) run(ctx context.Context) {
	batch := make([]message, admissionBatch)
	for {
		n, err := a.inbox.PopBatch(ctx, batch)
		if err != nil {
			return
		}
		now := time.Now()
		for _, m := range batch[:n] {
			a.handle(m, now)
		}
	}
}

func (a *admission) handle(m message, now time.Time) {
	switch m := m.(type) {
	case *call:
		a.admit(m, now)
	case *finished:
		a.finish(m, now)
	case configInForce:
		a.apply(m.config)
	case *routesQuery:
		a.routes(m)
	case heartbeat:
		a.links.Heard(m.report, now)
	default:
		panic("entry: unknown message to admission")
	}
}

func (a *admission) apply(c *contract.Config) {
	if a.config != nil && c.Generation <= a.config.Generation {
		return
	}
	a.config = c
	a.metrics.generation.Set(float64(c.Generation))
	a.log.Info("configuration in force", "generation", c.Generation)
}

func (a *admission) admit(c *call, now time.Time) {
	if refusal := a.judge(c, now); refusal != nil {
		a.refuse(c, refusal)
		return
	}
	a.dispatch(c, now)
}

// judge decides whether the call may run at all.
func (a *admission) judge(c *call, now time.Time) *contract.Refusal {
	if a.config == nil {
		return contract.Refuse(contract.ConfigurationStale, retryAfterNoSlot, "no configuration is in force yet")
	}
	grant, refusal := a.config.Authorise(&c.request)
	if refusal != nil {
		return refusal
	}
	if (grant.Route.Service != "") != c.service {
		return contract.Refuse(contract.RouteNotFound, 0, "route %q is of another kind", c.request.Route)
	}
	c.grant = grant
	return a.charge(c, now)
}

func (a *admission) charge(c *call, now time.Time) *contract.Refusal {
	org, ok := a.config.Organisations[c.grant.Organisation]
	if !ok {
		return nil // an open route without a key has no limit of its own
	}
	bucket := a.buckets[org.ID]
	if bucket == nil {
		bucket = contract.NewBucket(org.Limit, org.Limit.BurstTokens, now)
		a.buckets[org.ID] = bucket
	}
	tokens := c.request.Tokens()
	if bucket.Take(tokens, now) {
		return nil
	}
	wait, _ := bucket.Wait(tokens, now)
	return contract.Refuse(contract.RateLimited, wait, "the organisation's rate is used up")
}

// dispatch sends the call to an agent, or refuses it when there is none or no forwarder is free.
func (a *admission) dispatch(c *call, now time.Time) {
	if !now.Before(c.grant.Deadline) {
		a.refuse(c, contract.Refuse(contract.DeadlineExceeded, 0, "the deadline passed before the request ran"))
		return
	}
	route := c.grant.Route
	agent, ok := a.links.Pick(link.Need{
		Artifact: route.Artifact, Service: route.Service, From: a.at, Exclude: c.tried,
	}, now)
	if !ok {
		a.refuse(c, contract.Refuse(contract.NoReplica, retryAfterNoSlot, "no target can take the request now"))
		return
	}
	c.attempts++
	d := &dispatch{call: c, agent: agent.Report().Agent, addr: agent.Report().Stream, run: runRequest(c)}
	if !a.forward.TryPush(d) {
		a.refuse(c, contract.Refuse(contract.Overloaded, retryAfterNoSlot, "too many requests are in flight here"))
		return
	}
	agent.Sent()
}

func runRequest(c *call) wire.RunRequest {
	route := c.grant.Route
	return wire.RunRequest{
		Request: c.request.ID, Attempt: c.request.ID + "." + strconv.Itoa(c.attempts),
		Organisation: c.grant.Organisation, Route: route.Name, Class: route.Class, Idempotent: route.Idempotent,
		Artifact: route.Artifact, Service: route.Service, Method: c.method, Path: c.path, ContentType: c.mime,
		Digest: c.request.BodyDigest, Tokens: c.request.Tokens(), Deadline: c.grant.Deadline,
	}
}

// finish applies the end of an attempt: a failed one is tried elsewhere if that cannot run the request twice.
func (a *admission) finish(f *finished, now time.Time) {
	c := f.dispatch.call
	if agent := a.links.Get(f.dispatch.agent); agent != nil {
		agent.Finished()
	}
	if f.outcome == attemptAnswered {
		a.metrics.answered.Inc()
		return
	}
	if a.mayRetry(f) {
		a.metrics.retries.Inc()
		c.tried = append(c.tried, f.dispatch.agent)
		a.dispatch(c, now)
		return
	}
	a.refuse(c, failure(f))
}

func (a *admission) mayRetry(f *finished) bool {
	c := f.dispatch.call
	if c.attempts >= maxAttempts || c.ctx.Err() != nil {
		return false
	}
	switch f.outcome {
	case attemptNotSent:
		return true
	case attemptRefused:
		return f.refusal.Run == contract.NotRun && f.refusal.Code != contract.DeadlineExceeded
	default:
		return c.grant.Route.Idempotent
	}
}

func failure(f *finished) *contract.Refusal {
	switch f.outcome {
	case attemptRefused:
		return &f.refusal
	case attemptNotSent:
		return contract.Refuse(contract.TargetFailed, retryAfterNoSlot, "no target could be reached")
	default:
		return &contract.Refusal{
			Code: contract.OutcomeUnknown, Run: contract.RunUnknown, Detail: "the target broke off before it answered",
		}
	}
}

func (a *admission) refuse(c *call, r *contract.Refusal) {
	a.metrics.refused.WithLabelValues(string(r.Code)).Inc()
	c.refuse(r)
}
