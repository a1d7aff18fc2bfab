package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/duty/ring"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/link"
	"github.com/mangopass/mangopass/fleet/machine"
	"github.com/mangopass/mangopass/fleet/zone"
	"github.com/mangopass/mangopass/node/settings"
)

// Figures of the routing duty.
const (
	// tick is the longest pause between two looks at waiting calls, orders and reports, lookPeriod the shortest.
	tick       = 20 * time.Millisecond
	lookPeriod = 6 * time.Millisecond
	// intakeRing bounds the messages that wait for the routing duty.
	intakeRing = 4096
	// messageBatch is the number of messages taken at once.
	messageBatch = 64
)

// routing is the duty that decides: it owns what this VM knows of the manifest, the runners and its peers, and no other
// goroutine reads or changes it.
type routing struct {
	node     string
	address  string // for reports of peers
	zone     zone.ID
	boot     int64
	rules    settings.Rules
	log      *slog.Logger
	metrics  *entryMetrics
	intake   *ring.Ring[message]
	rand     *rand.Rand
	lastTick clock.Instant
	due      bool         // messages have come since the last look
	ready    atomic.Bool  // read by the readiness probe
	bodyMax  atomic.Int64 // read by the front ends
	stopping bool
	stopWait clock.Instant // during a planned stop: calls wait for a replica no longer

	manifest  *contract.Manifest
	freshness link.Freshness
	runnersIn bool // the list of runners has been read
	fleet     *machine.Fleet
	table     *link.Table
	quotas    map[contract.OrganisationName]*contract.Quota
	budgets   map[contract.ServiceName]*link.RetryBudget
	crashes   *link.CrashTracker
	waiting   []*call
	demand    map[machine.Artifact]*machine.DemandReport

	members members
	leader  leader
}

func newRouting(s *settings.Entry, boot int64, log *slog.Logger, m *entryMetrics) *routing {
	random := rand.New(rand.NewPCG(uint64(boot), uint64(len(s.ID))))
	r := &routing{
		node: s.ID, address: s.PeerAddress(), zone: zone.ID(s.Zone), boot: boot, rules: s.Rules, log: log, metrics: m, rand: random,
		intake: ring.New[message]("routing", intakeRing), freshness: link.NewFreshness(freshnessBound(s.Rules)),
		fleet: machine.NewFleet(), table: link.NewTable(s.Zones, random),
		quotas: make(map[contract.OrganisationName]*contract.Quota), budgets: make(map[contract.ServiceName]*link.RetryBudget),
		crashes: link.NewCrashTracker(), demand: make(map[machine.Artifact]*machine.DemandReport),
	}
	r.leader.scheduler = machine.NewScheduler(r.fleet, r.table, &r.leader)
	for k := range r.leader.shards {
		r.leader.shards[k].holderKey.gone = true
	}
	r.members.peers = make(map[string]*peer)
	r.bodyMax.Store(defaultBodyBytes)
	return r
}

// freshnessBound is the age of the proof up to which keys are honoured. Watches can miss changes for a second, and the
// proof ages while a request is on its way.
func freshnessBound(rules settings.Rules) time.Duration { return rules.Revoke() * 3 / 4 }

// run takes messages until the context ends.
func (r *routing) run(ctx context.Context) {
	batch := make([]message, messageBatch)
	for {
		wait := tick
		if r.due {
			wait = lookPeriod
		}
		n, err := r.intake.PopBatchUntil(ctx, time.Now().Add(wait), batch)
		if err != nil {
			return
		}
		now := clock.Now()
		for _, m := range batch[:n] {
			m.apply(r, now)
		}
		if r.due = now.Sub(r.lastTick) < lookPeriod; !r.due {
			r.lastTick = now
			r.onTick(now)
		}
	}
}

// onTick does what is due at now.
func (r *routing) onTick(now clock.Instant) {
	for _, id := range r.fleet.Expire(now) {
		r.log.Info("runner gone", "runner", id, "reason", "entry did not come back after the store's outage")
	}
	r.retryWaiting(now)
	r.checkTerms(now)
	r.schedule(now)
	r.sendReports(now)
	r.updateGauges(now)
	r.ready.Store(r.isReady(now))
}

// isReady reports whether this VM wants new connections.
func (r *routing) isReady(now clock.Instant) bool {
	return !r.stopping && r.manifest != nil && r.runnersIn &&
		(r.freshness.Fresh(now) || !r.manifest.HasOrganisations())
}

// apply starts the planned stop. The terms pass on at once, so that their pause runs while this VM drains.
func (stopRequested) apply(r *routing, now clock.Instant) {
	r.stopping, r.stopWait = true, now.Add(drainTime)
	r.log.Info("stopping", "waiting", len(r.waiting))
	r.releaseTerms(now)
}
