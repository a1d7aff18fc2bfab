package entry

import (
	"encoding/json"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/duty/ring"
	"github.com/mangopass/mangopass/fleet/link"
	"github.com/mangopass/mangopass/fleet/machine"
)

// Figures of the order giver's election.
const (
	// claimStagger separates the claims of the entry VMs, the youngest first: in a rolling restart it is the one that
	// has been restarted already.
	claimStagger = 120 * time.Millisecond
	// claimPause is the time between two claims of one VM.
	claimPause = 500 * time.Millisecond
)

// holderEntry is the value of keyHolder and keyTenure.
type holderEntry struct {
	Node string `json:"node"`
	Boot int64  `json:"boot"`
}

// giver is the part of the routing duty that gives orders while this VM holds the term.
type giver struct {
	placer    *machine.Placer
	tenure    machine.Tenure
	orders    *ring.Ring[orderJob]
	claims    *ring.Ring[claim]
	listed    bool      // the store's own keys have been read
	holder    ownChange // keyHolder as last seen
	tenureKey ownChange // keyTenure as last seen
	until     clock.Instant
	vacant    clock.Instant // the key has been free since; zero: it is held
	claimAt   clock.Instant // earliest next claim
}

// orderJob is an order to give or a runner to ask.
type orderJob struct {
	order    machine.Order
	question *machine.Runner // set: ask this runner for its state
	runner   machine.RunnerID
	boot     int64
	address  string
}

// claim asks the lease duty to take or to give up the holder's key.
type claim struct {
	giveUp         bool
	tenureRevision int64
}

// takeHolder applies a change of the holder's key.
func (r *routing) takeHolder(c ownChange, now clock.Instant) {
	if c.revision < r.giver.holder.revision {
		return
	}
	r.giver.holder = c
	if c.gone {
		r.members.giver = ""
		return
	}
	r.giver.vacant = 0
	var e holderEntry
	if err := json.Unmarshal(c.value, &e); err != nil {
		r.log.Error("holder entry rejected", "error", err.Error())
		return
	}
	if c.created > r.members.fence {
		r.members.fence = c.created
	}
	r.members.giver = e.Node
	switch {
	case e.Node == r.node && e.Boot == r.boot:
		r.beginTerm(c.created, now)
	case r.giver.tenure.Term().Fence != 0 && r.giver.tenure.Term().Fence < c.created:
		r.endTerm("another VM took the term", now)
	}
}

// beginTerm starts giving orders under a fence, after the pause that the previous order giver's last orders demand.
func (r *routing) beginTerm(fence int64, now clock.Instant) {
	if r.giver.tenure.Term().Fence == fence || r.stopping || !now.Before(r.giver.until) {
		return
	}
	quiet := r.rules.Lease()
	var last holderEntry
	if r.giver.tenureKey.value == nil || json.Unmarshal(r.giver.tenureKey.value, &last) == nil && last.Node == r.node {
		quiet = 0
	}
	r.giver.tenure.Begin(machine.Term{Holder: r.node, Fence: fence}, now, quiet, r.giver.until)
	r.giver.placer.Begin()
	r.log.Info("term begins", "fence", fence, "quiet_ms", quiet.Milliseconds(), "previous", last.Node)
}

func (r *routing) endTerm(reason string, now clock.Instant) {
	if r.giver.tenure.Term().Fence == 0 {
		return
	}
	r.log.Info("term ends", "fence", r.giver.tenure.Term().Fence, "reason", reason, "was_valid", r.giver.tenure.Holds(now))
	r.giver.tenure.End()
	r.giver.placer.End()
}

// resign gives up the term in a planned stop.
func (r *routing) resign(now clock.Instant) {
	if r.giver.tenure.Term().Fence == 0 {
		return
	}
	r.endTerm("planned stop", now)
	r.giver.claims.TryPush(claim{giveUp: true})
}

// considerTerm claims the holder's key when it is free, and ends a term whose lease has run out.
func (r *routing) considerTerm(now clock.Instant) {
	g := &r.giver
	if g.tenure.Term().Fence != 0 && !g.tenure.Holds(now) {
		r.endTerm("lease ran out", now)
	}
	if g.listed && !g.holder.gone && g.tenure.Term().Fence == 0 && r.members.giver == r.node && now.Before(g.until) {
		r.takeHolder(g.holder, now) // the lease was renewed after it had seemed to run out
	}
	if !g.listed || !g.holder.gone || r.stopping || !r.hasModels() || !now.Before(g.until) {
		return
	}
	if g.vacant == 0 {
		g.vacant = now
		g.claimAt = now.Add(time.Duration(r.rank()) * claimStagger)
	}
	if now.Before(g.claimAt) {
		return
	}
	g.claimAt = now.Add(claimPause)
	g.claims.TryPush(claim{tenureRevision: g.tenureKey.revision})
}

// rank returns the number of peers that should claim before this VM: those that started later.
func (r *routing) rank() int {
	n := 0
	for _, p := range r.members.peers {
		if p.Boot > r.boot {
			n++
		}
	}
	return n
}

// giveOrders carries out the placer's plan.
func (r *routing) giveOrders(now clock.Instant) {
	if !r.giver.tenure.MayOrder(now) {
		return
	}
	plan := r.giver.placer.Plan(now)
	for _, o := range plan.Orders {
		r.giver.tenure.Sign(&o)
		job := orderJob{order: o, runner: o.Runner, boot: o.Boot, address: o.Address}
		if !r.giver.orders.TryPush(job) {
			r.giver.placer.Answered(o, machine.OrderNotSent, now)
		}
	}
	for _, q := range plan.Questions {
		if !r.giver.orders.TryPush(orderJob{question: q, runner: q.ID, boot: q.Boot, address: q.Address}) {
			r.giver.placer.Reported(q.ID, q.Boot, machine.Contents{}, false, now)
		}
	}
}

// apply books the outcome of an order.
func (m orderAnswered) apply(r *routing, now clock.Instant) {
	r.giver.placer.Answered(m.order, m.outcome, now)
	cause := ""
	if m.cause != nil {
		cause = m.cause.Error()
	}
	r.log.Info("order", "runner", m.order.Runner, "kind", m.order.Kind.String(), "model", m.order.Model,
		"adapter", m.order.Adapter, "expected", m.order.Expected, "fence", m.order.Term.Fence,
		"outcome", m.outcome.String(), "took_ms", m.took.Milliseconds(), "cause", cause)
	r.metrics.orders.WithLabelValues(m.order.Kind.String(), m.outcome.String()).Inc()
}

// apply books a runner's report.
func (m runnerReported) apply(r *routing, now clock.Instant) {
	r.giver.placer.Reported(m.runner, m.boot, m.contents, m.err == nil, now)
	cause := ""
	if m.err != nil {
		cause = m.err.Error()
	}
	r.log.Info("runner asked", "runner", m.runner, "sequence", m.contents.Sequence, "busy", m.contents.Busy,
		"models", len(m.contents.Models), "cause", cause)
}

// news reports whether the peer lacks changes of the account.
func (g *giver) news(p *peer, now clock.Instant) bool {
	return g.tenure.Holds(now) && (p.fence != g.tenure.Term().Fence || p.version < g.placer.Version())
}

// addViews adds the changes of the account that the peer lacks.
func (g *giver) addViews(report *link.Report, p *peer, now clock.Instant) {
	if !g.tenure.Holds(now) {
		return
	}
	after := p.version
	if p.fence != g.tenure.Term().Fence {
		after = 0
	}
	report.Fence, report.Version = g.tenure.Term().Fence, g.placer.Version()
	report.Views = g.placer.Views(after, now)
}

// apply extends the lease under which this VM's keys live.
func (m leaseRenewed) apply(r *routing, _ clock.Instant) {
	r.giver.until = m.until
	r.giver.tenure.Renew(m.until)
}

// apply ends the term with the lease.
func (leaseLost) apply(r *routing, now clock.Instant) {
	r.giver.until = 0
	r.endTerm("lease lost", now)
}
