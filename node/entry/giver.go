package entry

import (
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/duty/ring"
	"github.com/mangopass/mangopass/fleet/link"
	"github.com/mangopass/mangopass/fleet/machine"
)

// endedMemory is how long a node tells its peers of a term that it held before.
const endedMemory = 10 * time.Second

// giver is the part of the routing duty that gives orders to the runners of the shards which this VM holds.
type giver struct {
	placer *machine.Placer
	orders *ring.Ring[orderJob]
	claims *ring.Ring[claim]
	listed bool          // mangopass's own keys have been read
	until  clock.Instant // end of the lease under which this VM's keys live
	shards [machine.Shards]shard
}

// shard is what this VM knows of one shard's order giver.
type shard struct {
	tenure    machine.Tenure
	live      *atomic.Bool // read by the order duties; cleared when the term ends
	holder    ownChange    // the holder's key as last seen
	owner     string       // the node that it names; empty: none
	ownerBoot int64
	ownedHere bool      // the owner is this VM, in this process or an earlier one
	last      ownChange // the last term's key as last seen; its revision is that term's fence
	before    ownChange // the same when this VM sent its claim, which succeeds only if nothing has changed

	endedFence    int64 // this VM's own last term
	endedAt       clock.Instant
	releasedFence int64 // a peer's word that it gives no more orders under this fence
	releasedAt    clock.Instant

	vacant  clock.Instant // the shard has had no holder since; zero: it has one
	claimAt clock.Instant // earliest next claim
}

// orderJob is an order to give or a runner to ask.
type orderJob struct {
	order    machine.Order
	live     *atomic.Bool
	question bool // ask the runner for its state
	runner   machine.RunnerID
	boot     int64
	address  string
}

// MayOrder implements machine.Authority.
func (g *giver) MayOrder(r machine.RunnerID, now clock.Instant) bool {
	return g.shards[machine.ShardOf(r)].tenure.MayOrder(now)
}

// fence returns the fence of the term over a runner's shard.
func (g *giver) fence(r machine.RunnerID) int64 {
	return g.shards[machine.ShardOf(r)].tenure.Term().Fence
}

// held returns the number of shards that this VM holds.
func (g *giver) held(now clock.Instant) int {
	n := 0
	for i := range g.shards {
		if g.shards[i].tenure.Holds(now) {
			n++
		}
	}
	return n
}

// beginTerm starts a term over a shard, after the pause that the previous holder's last orders demand.
func (r *routing) beginTerm(k machine.Shard, fence int64, now clock.Instant) {
	s := &r.giver.shards[k]
	if s.tenure.Term().Fence == fence || r.stopping || !now.Before(r.giver.until) {
		return
	}
	taken, quiet := now, r.rules.Lease()
	var last holderEntry
	switch {
	case s.before.value == nil || json.Unmarshal(s.before.value, &last) == nil && r.own(last):
		quiet = 0
	case s.releasedFence == s.before.revision:
		taken = s.releasedAt
	}
	s.tenure.Begin(machine.Term{Holder: r.node, Fence: fence}, taken, quiet, r.giver.until)
	s.live = new(atomic.Bool)
	s.live.Store(true)
	r.giver.placer.Forsake(k)
	r.log.Info("term begins", "shard", k, "fence", fence, "orders_in_ms", max(0, s.tenure.From().Sub(now)).Milliseconds(),
		"previous", last.Node)
}

// endTerm ends a term over a shard; no order is sent under it any more.
func (r *routing) endTerm(k machine.Shard, reason string, now clock.Instant) {
	s := &r.giver.shards[k]
	fence := s.tenure.Term().Fence
	if fence == 0 {
		return
	}
	s.live.Store(false)
	s.endedFence, s.endedAt = fence, now
	s.tenure.End()
	r.giver.placer.Forsake(k)
	r.log.Info("term ends", "shard", k, "fence", fence, "reason", reason)
}

// resign gives up all terms in a planned stop.
func (r *routing) resign(now clock.Instant) {
	for k := range r.giver.shards {
		s := &r.giver.shards[k]
		if s.tenure.Term().Fence == 0 {
			continue
		}
		r.endTerm(machine.Shard(k), "planned stop", now)
		r.giver.claims.TryPush(claim{shard: machine.Shard(k), giveUp: true, holderRevision: s.holder.revision})
	}
}

// giveOrders carries out what is due at the runners of this VM's shards and, as the planner, decides on placement.
func (r *routing) giveOrders(now clock.Instant) {
	if r.manifest == nil || r.stopping {
		return
	}
	r.members.planner = r.choosePlanner(now)
	r.carryOut(r.giver.placer.Plan(r.members.planner == r.node, now), now)
}

func (r *routing) carryOut(plan machine.Plan, now clock.Instant) {
	g := &r.giver
	for _, o := range plan.Orders {
		s := &g.shards[machine.ShardOf(o.Runner)]
		s.tenure.Sign(&o)
		if !g.orders.TryPush(orderJob{order: o, live: s.live, runner: o.Runner, boot: o.Boot, address: o.Address}) {
			g.placer.Answered(o, machine.OrderNotSent, now)
		}
	}
	for _, q := range plan.Questions {
		if !g.orders.TryPush(orderJob{question: true, runner: q.ID, boot: q.Boot, address: q.Address}) {
			g.placer.Reported(q.ID, q.Boot, machine.Contents{}, false, now)
		}
	}
	for _, d := range plan.Delays {
		r.log.Info("load delayed", "model", d.Artifact.Model, "obstacle", d.Obstacle.String(), "runner", d.Runner, "gain", d.Gain, "lost", d.Lost)
	}
	for _, w := range plan.Wishes {
		owner := g.shards[machine.ShardOf(w.Runner)].owner
		if p := r.members.peers[owner]; p != nil {
			p.wishes = append(p.wishes, w)
			p.urgent = true
		}
		r.log.Info("wish", "runner", w.Runner, "model", w.Model, "adapter", w.Adapter, "order_giver", owner)
	}
}

// choosePlanner returns the node that decides on placement: of those that are heard and not stopping, the one that has
// run longest. Two planners at a time do no harm, since the order givers check each wish.
func (r *routing) choosePlanner(now clock.Instant) string {
	best, boot := r.node, r.boot
	for name, p := range r.members.peers {
		if p.stopping || p.sequence == 0 || now.Sub(p.heard) > r.members.silence() {
			continue
		}
		if p.Boot < boot || p.Boot == boot && name < best {
			best, boot = name, p.Boot
		}
	}
	if best != r.members.planner {
		r.log.Info("planner", "chosen", best, "before", r.members.planner)
	}
	return best
}

// apply books the outcome of an order.
func (m orderAnswered) apply(r *routing, now clock.Instant) {
	r.giver.placer.Answered(m.order, m.outcome, now)
	r.log.Info("order", "runner", m.order.Runner, "kind", m.order.Kind.String(), "model", m.order.Model,
		"adapter", m.order.Adapter, "expected", m.order.Expected, "fence", m.order.Term.Fence,
		"outcome", m.outcome.String(), "took_ms", m.took.Milliseconds(), "cause", text(m.cause))
	r.metrics.orders.WithLabelValues(m.order.Kind.String(), m.outcome.String()).Inc()
}

// apply books a runner's report.
func (m runnerReported) apply(r *routing, now clock.Instant) {
	r.giver.placer.Reported(m.runner, m.boot, m.contents, m.err == nil, now)
	r.log.Info("runner asked", "runner", m.runner, "sequence", m.contents.Sequence, "busy", m.contents.Busy,
		"models", len(m.contents.Models), "cause", text(m.err))
}

// text returns an error's text, or nothing.
func text(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// addAccounts adds the accounts that a peer lacks, the wishes for it and the terms that ended here.
func (r *routing) addAccounts(report *link.Report, p *peer, now clock.Instant) {
	g := &r.giver
	report.Version = g.placer.Version()
	report.Views = g.placer.Views(p.version, g.fence, now)
	report.Wishes, p.wishes = p.wishes, nil
	for k := range g.shards {
		s := &g.shards[k]
		if s.endedFence != 0 && now.Sub(s.endedAt) < endedMemory {
			report.Ended = append(report.Ended, link.Ended{Shard: machine.Shard(k), Fence: s.endedFence, Since: now.Sub(s.endedAt)})
		}
	}
}

// takeAccounts takes over what a peer says of the runners whose orders it gives.
func (r *routing) takeAccounts(in link.Report, now clock.Instant) {
	for _, v := range in.Views {
		r.giver.placer.Apply(v, now)
	}
	for _, w := range in.Wishes {
		r.carryOut(r.giver.placer.Grant(w, now), now)
	}
	for _, e := range in.Ended {
		if e.Shard >= 0 && e.Shard < machine.Shards {
			s := &r.giver.shards[e.Shard]
			s.releasedFence, s.releasedAt = e.Fence, now.Add(-e.Since)
		}
	}
}
