package entry

import (
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/duty/ring"
	"github.com/mangopass/mangopass/fleet/link"
	"github.com/mangopass/mangopass/fleet/machine"
	"github.com/mangopass/mangopass/platform"
)

// endedTermPeriod is how long this VM tells its peers that it has ended a term.
const endedTermPeriod = 10 * time.Second

// leader is the state with which the routing duty gives orders to the runners of the shards that this VM leads.
type leader struct {
	scheduler   *machine.Scheduler
	orders      *ring.Ring[orderJob]
	claims      *ring.Ring[claim]
	ownKeysRead bool          // mangopass's own keys in the store have been read
	leaseEnd    clock.Instant // end of the lease of this VM's keys in the store
	begun       begunTerms

	parallelColdLoads int // as logged last
	shards            [machine.Shards]shardState
}

// shardState is what this VM knows of one shard and its leader.
type shardState struct {
	leadership      machine.Leadership
	live            *atomic.Bool // read by the order duties; false once the term has ended
	holderKey       ownKeyChange // the holder key as last read
	leaderNode      string       // name of the VM in the holder key; empty: none
	leaderBoot      int64
	leaderHeard     bool         // the leader's reports arrive
	leaderIsSelf    bool         // the leader is this VM, in this process or an earlier one
	holderIsOld     bool         // the holder key was written in an earlier era of the store: it stands for no term
	lastTermKey     ownKeyChange // the last-term key as last read; its revision is that term's fence
	lastTermAtClaim ownKeyChange // lastTermKey as stated in the last claim, which fails if it has changed

	termEra   int64 // era of the store in which this VM took its term
	continued bool  // this VM gave the orders when the store returned from an older copy, and no other one has led since

	ordersFrom    clock.Instant // earliest moment of an order under the last term that this VM took
	statedPause   time.Duration // with which that term began, as its holder key states
	endedFence    int64         // fence of the last term that this VM ended
	endedAt       clock.Instant
	releasedFence int64 // fence under which a peer says that it gives no more orders
	releasedAt    clock.Instant

	vacantSince clock.Instant // when the shard was first seen without a holder; zero: it has one
	nextClaimAt clock.Instant // earliest time of the next claim
}

// orderJob is an order to send, or a runner to query for its state.
type orderJob struct {
	order   machine.Order
	live    *atomic.Bool
	query   bool // query the runner; there is no order
	runner  machine.RunnerID
	boot    int64
	address string
}

// MayOrder implements machine.Authority.
func (r *routing) MayOrder(id machine.RunnerID, now clock.Instant) bool {
	return r.leader.shards[machine.ShardOf(id)].leadership.MayOrder(now)
}

// HearsLeader implements machine.Authority.
func (r *routing) HearsLeader(id machine.RunnerID) bool {
	return r.leader.shards[machine.ShardOf(id)].leaderHeard
}

// checkLeaders records which leaders' reports arrive.
func (r *routing) checkLeaders(now clock.Instant) {
	for k := range r.leader.shards {
		s := &r.leader.shards[k]
		p := r.members.peers[s.leaderNode]
		s.leaderHeard = p != nil && r.members.heard(p, now)
	}
}

// fence returns the fence of this VM's term over a runner's shard; zero if it has none.
func (l *leader) fence(r machine.RunnerID) int64 {
	return l.shards[machine.ShardOf(r)].leadership.Term().Fence
}

// heldShards returns the number of shards whose terms this VM holds.
func (l *leader) heldShards(now clock.Instant) int {
	n := 0
	for i := range l.shards {
		if l.shards[i].leadership.HoldsTerm(now) {
			n++
		}
	}
	return n
}

// beginTerm starts this VM's term over a shard. The term gives no orders until the pause after the previous holder's
// last possible order is over. A term that has ended does not begin again, since the peers have been told of its end and count
// their pause from it: after a lease that was renewed late, the shard is claimed anew.
func (r *routing) beginTerm(k machine.Shard, fence int64, now clock.Instant) {
	s := &r.leader.shards[k]
	if s.leadership.Term().Fence == fence || s.endedFence == fence || r.stopping || !now.Before(r.leader.leaseEnd) {
		return
	}
	r.endTerm(k, "taken anew", now)
	previous, ordersFrom := r.previousOrders(k, s, now)
	s.leadership.Begin(machine.Term{Holder: r.node, Fence: fence}, ordersFrom, r.leader.leaseEnd)
	s.termEra, s.continued, s.ordersFrom = s.holderKey.era, false, ordersFrom
	s.live = new(atomic.Bool)
	s.live.Store(true)
	r.leader.scheduler.ResetShard(k)
	r.log.Info("term begins", "shard", k, "fence", fence,
		"orders_in_ms", max(0, ordersFrom.Sub(now)).Milliseconds(), "previous", previous.Node)
}

// previousOrders returns the leader before the term that this VM claims, as the claim states it, and the earliest moment
// at which the term may give orders: a pause after the last order that the leader before can have given.
func (r *routing) previousOrders(
	k machine.Shard, s *shardState, now clock.Instant,
) (previous holderEntry, ordersFrom clock.Instant) {
	last := s.lastTermAtClaim
	if last.value != nil {
		_ = json.Unmarshal(last.value, &previous) // without a readable value, the leader before was another VM
	}
	switch {
	case r.leadsFirst(s, previous) && s.continued:
		return previous, now.Add(platform.OrderTimeout) // the last orders of the former term have arrived by then
	case r.leadsFirst(s, previous) && s.holderKey.era > link.FirstEra:
		return previous, now.Add(max(leaseTTL, r.rules.MinLease()) + r.rules.Lease())
	case last.value == nil:
		return previous, now
	case r.isSelf(previous) && previous.Boot == r.boot:
		return previous, max(now, s.ordersFrom)
	case r.isSelf(previous) && r.leader.begun.has(k, last):
		return previous, now
	case r.isSelf(previous):
		return previous, now.Add(previous.pause())
	case s.releasedFence == last.at().Fence():
		return previous, s.releasedAt.Add(r.rules.Lease())
	}
	return previous, now.Add(r.rules.Lease())
}

// leadsFirst reports whether no term of the shard was taken in the store's present era before this VM's claim. The store
// does not show then who led last in the era before, and that VM may give orders until its lease has run out.
func (r *routing) leadsFirst(s *shardState, previous holderEntry) bool {
	return s.lastTermAtClaim.value == nil || previous.era() < s.holderKey.era
}

// endTerm ends this VM's term over a shard. No order is sent under it any more.
func (r *routing) endTerm(k machine.Shard, reason string, now clock.Instant) {
	s := &r.leader.shards[k]
	fence := s.leadership.Term().Fence
	if fence == 0 {
		return
	}
	s.live.Store(false)
	s.endedFence, s.endedAt = fence, now
	s.leadership.End()
	r.leader.scheduler.ResetShard(k)
	r.log.Info("term ends", "shard", k, "fence", fence, "reason", reason)
}

// releaseTerms ends all terms of this VM for a planned stop and releases their holder keys.
func (r *routing) releaseTerms(now clock.Instant) {
	for k := range r.leader.shards {
		s := &r.leader.shards[k]
		if s.leadership.Term().Fence == 0 {
			continue
		}
		r.endTerm(machine.Shard(k), "planned stop", now)
		r.leader.claims.TryPush(claim{shard: machine.Shard(k), release: true, era: s.holderKey.era, holderRevision: s.holderKey.revision})
	}
}

// schedule carries out what is due at the runners of the shards that this VM leads. If this VM is the planner, it
// decides on placement too.
func (r *routing) schedule(now clock.Instant) {
	if r.manifest == nil || r.stopping {
		return
	}
	r.checkLeaders(now)
	r.executePlan(r.leader.scheduler.Plan(r.members.planner == r.node, now), now)
	if n := r.leader.scheduler.ParallelColdLoads(now); n != r.leader.parallelColdLoads {
		r.log.Info("weight store", "parallel_loads", n, "before", r.leader.parallelColdLoads)
		r.leader.parallelColdLoads = n
	}
}

func (r *routing) executePlan(plan machine.Plan, now clock.Instant) {
	l := &r.leader
	for _, o := range plan.Orders {
		s := &l.shards[machine.ShardOf(o.Runner)]
		s.leadership.Stamp(&o)
		if !l.orders.TryPush(orderJob{order: o, live: s.live, runner: o.Runner, boot: o.Boot, address: o.Address}) {
			l.scheduler.HandleOutcome(o, machine.OrderNotSent, now)
		}
	}
	for _, q := range plan.StateQueries {
		if !l.orders.TryPush(orderJob{query: true, runner: q.ID, boot: q.Boot, address: q.Address}) {
			l.scheduler.HandleReport(q.ID, q.Boot, machine.Contents{}, false, now)
		}
	}
	for _, d := range plan.Delays {
		r.log.Info("load delayed", "model", d.Model, "for_version", d.Version, "obstacle", d.Obstacle.String(), "runner", d.Runner,
			"gain", d.Gain, "lost", d.Lost)
	}
	for _, request := range plan.LoadRequests {
		leader := l.shards[machine.ShardOf(request.Runner)].leaderNode
		if p := r.members.peers[leader]; p != nil {
			p.loadRequests = append(p.loadRequests, request)
			p.urgent = true
		}
		r.log.Info("load requested", "runner", request.Runner, "model", request.Model, "adapter", request.Adapter,
			"order_giver", leader)
	}
}

// apply passes the outcome of an order to the scheduler.
func (m orderAnswered) apply(r *routing, now clock.Instant) {
	r.heardFrom(machine.Process{Runner: m.order.Runner, Boot: m.order.Boot}, m.stated, m.at, now)
	r.leader.scheduler.HandleOutcome(m.order, m.outcome, now)
	r.log.Info("order", "runner", m.order.Runner, "kind", m.order.Kind.String(), "model", m.order.Model,
		"adapter", m.order.Adapter, "expected", m.order.Expected, "fence", m.order.Term.Fence,
		"outcome", m.outcome.String(), "took_ms", m.took.Milliseconds(), "cause", errorText(m.cause))
	r.metrics.orders.WithLabelValues(m.order.Kind.String(), m.outcome.String()).Inc()
}

// apply passes a runner's answer to a state query to the scheduler.
func (m runnerReported) apply(r *routing, now clock.Instant) {
	r.heardFrom(machine.Process{Runner: m.runner, Boot: m.boot}, m.stated, m.at, now)
	r.leader.scheduler.HandleReport(m.runner, m.boot, m.contents, m.err == nil, now)
	r.log.Info("runner queried", "runner", m.runner, "sequence", m.contents.Sequence, "busy", m.contents.Busy,
		"models", len(m.contents.Models), "cause", errorText(m.err))
}

// errorText returns an error's text, or an empty string for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// addLeaderState adds to a report the runner states that a neighbour lacks and the terms that ended lately.
func (r *routing) addLeaderState(report *link.Report, name string, p *peer, now clock.Instant) {
	l := &r.leader
	report.Version = l.scheduler.Version()
	report.Views = l.scheduler.Views(p.knownVersion, p.receiver(name), l.fence, now)
	for k := range l.shards {
		s := &l.shards[k]
		for _, ended := range []link.EndedTerm{
			{Fence: s.endedFence, Since: now.Sub(s.endedAt)}, {Fence: s.releasedFence, Since: now.Sub(s.releasedAt)},
		} {
			if ended.Fence != 0 && ended.Since < endedTermPeriod {
				ended.Shard = machine.Shard(k)
				report.Ended = append(report.Ended, ended)
			}
		}
	}
}

// applyLeaderState applies the states of runners and the ended terms that a neighbour reports.
func (r *routing) applyLeaderState(in link.Report, p *peer, now clock.Instant) {
	for _, v := range in.Views {
		r.leader.scheduler.ApplyView(v, in.Node, p.role == link.Child, now)
	}
	for _, e := range in.Ended {
		if e.Shard < 0 || e.Shard >= machine.Shards {
			continue
		}
		if s := &r.leader.shards[e.Shard]; e.Fence > s.releasedFence {
			s.releasedFence, s.releasedAt = e.Fence, now.Add(-e.Since)
		}
	}
}

// applyLoadRequests carries out the planner's load requests.
func (r *routing) applyLoadRequests(requests []machine.LoadRequest, now clock.Instant) {
	for _, request := range requests {
		r.executePlan(r.leader.scheduler.HandleLoadRequest(request, now), now)
	}
}
