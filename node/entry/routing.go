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
	"github.com/mangopass/mangopass/fleet/pace"
	"github.com/mangopass/mangopass/fleet/zone"
	"github.com/mangopass/mangopass/node/settings"
)

// Limits of the routing duty.
const (
	// maxTickPeriod and minTickPeriod are the longest and the shortest time between two ticks, which dispatch waiting
	// calls again and send due orders and reports.
	maxTickPeriod = 20 * time.Millisecond
	minTickPeriod = 6 * time.Millisecond
	// intakeCapacity is the number of messages that can wait for the routing duty.
	intakeCapacity = 4096
	// crashExpiryPeriod is the time between two removals of counts of broken runs that no longer matter.
	crashExpiryPeriod = 10 * time.Second
	// maxBatch is the largest number of messages taken from the ring at once.
	maxBatch = 64
)

// routing is the duty that makes all decisions of an entry VM. It owns what the VM knows of the manifest, the runners
// and its peers; other goroutines access only its ring and its atomic fields.
type routing struct {
	node          string // this VM's name
	address       string // IP:port at which peers send reports
	zone          zone.ID
	boot          int64 // this process's start in Unix nanoseconds
	rules         settings.Rules
	log           *slog.Logger
	metrics       *entryMetrics
	cuts          cutLog
	intake        *ring.Ring[message]
	rand          *rand.Rand
	lastTick      clock.Instant
	tickPending   bool          // messages were applied too soon after the last tick for another one
	readiness     readiness     // as last reported
	bodyLimit     atomic.Int64  // bytes; read by the front ends
	startedAt     clock.Instant // of this process
	viewed        atomic.Int64  // instant of viewedAt; read by the goroutines of requests
	stopping      bool
	stopWaitUntil clock.Instant // in a planned stop: from then on no call waits for a replica

	streamsMoved     int // that have left slow runners
	manifest         *contract.Manifest
	freshness        link.Freshness
	era              storeEra
	manifestText     atomic.Pointer[[]byte] // redacted, for operators; read by the status listener
	manifestSince    clock.Instant          // when this VM put the manifest in force
	manifestAt       link.Position          // of the last write of the manifest in force
	changes          *link.ChangeLog        // of the store, as far as the VMs below need them
	feeds            *ring.Ring[storeFed]   // to the watch
	outage           link.Outage            // the last one of the store
	runnersListed    bool                   // the list of runners has been read
	fleet            *machine.Fleet
	evacuations      *zone.Evacuations
	fedAt            clock.Instant // when a feed was last applied
	table            *link.Table
	quotas           map[contract.OrganisationName]*contract.Quota
	quotaQueue       quotaQueue
	quotaWaits       quotaWaits
	outlooks         outlooks
	shares           shares
	retryBudgets     map[contract.ServiceName]*link.RetryBudget
	crashes          *link.CrashTracker
	promptParts      *link.PartTracker
	versions         softwareVersions
	streams          streams
	storedBlocks     map[suspect]storedBlock // blocked suspects in the platform's store
	keyWrites        *ring.Ring[keyWrite]    // to the key writer
	blocksRecordedAt clock.Instant           // last comparison of the blocked suspects with those in the store
	blocksRecorded   blockedVersion          // of the blocked suspects at that time
	crashesExpiredAt clock.Instant
	inFlight         map[*call]bool // with an attempt whose answer has not begun
	paceReviewedAt   clock.Instant
	memory           memoryState
	lengths          *pace.Lengths
	waiting          []*call
	demand           *machine.DemandBook

	members members
	leader  leader
}

func newRouting(s *settings.Entry, boot int64, log *slog.Logger, m *entryMetrics) *routing {
	random := rand.New(rand.NewPCG(uint64(boot), uint64(len(s.ID))))
	r := &routing{
		startedAt: clock.Now(), node: s.ID, address: s.AdvertisedAddress(), zone: zone.ID(s.Zone), boot: boot, rules: s.Rules, log: log, metrics: m,
		cuts: cutLog{log: log, counter: m.cutAnswers},
		rand: random, intake: ring.New[message]("routing", intakeCapacity),
		freshness: link.NewFreshness(freshnessBound(s.Rules)), changes: link.NewChangeLog(), fleet: machine.NewFleet(),
		evacuations:  zone.NewEvacuations(),
		table:        link.NewTable(s.Zones, random),
		quotas:       make(map[contract.OrganisationName]*contract.Quota),
		quotaQueue:   newQuotaQueue(),
		quotaWaits:   newQuotaWaits(),
		shares:       newShares(),
		outlooks:     outlooks{byModel: make(map[machine.Artifact]machine.Outlook)},
		retryBudgets: make(map[contract.ServiceName]*link.RetryBudget),
		crashes:      link.NewCrashTracker(), promptParts: link.NewPartTracker(), inFlight: make(map[*call]bool),
		storedBlocks: make(map[suspect]storedBlock), versions: newSoftwareVersions(),
		memory:  memoryState{full: make(map[machine.RunnerID]bool)},
		streams: streams{origins: link.NewOriginBook()},
		demand:  machine.NewDemandBook(), lengths: pace.NewLengths(),
	}
	r.leader.scheduler = machine.NewScheduler(r.fleet, r.table, r)
	r.leader.scheduler.SetPace(r.table.Pace)
	for k := range r.leader.shards {
		r.leader.shards[k].holderKey.gone = true
	}
	r.members.left = make(map[string]clock.Instant)
	r.members.peers, r.members.relay, r.members.planner = make(map[string]*peer), r.node, r.node
	r.era.newest = noEra
	r.members.series, r.members.sentAt = boot, make(map[uint64]clock.Instant)
	r.bodyLimit.Store(defaultBodyBytes)
	return r
}

// freshnessBound returns the age of the manifest's last confirmation up to which calls with a key are served. It lies
// below the time in which a removed key must stop working, since a watch of the store can miss changes for a second
// and the confirmation ages further while a request is on its way.
func freshnessBound(rules settings.Rules) time.Duration { return rules.Revoke() * 3 / 4 }

// run applies messages and ticks until the context ends.
func (r *routing) run(ctx context.Context) {
	batch := make([]message, maxBatch)
	for {
		wait := maxTickPeriod
		if r.tickPending {
			wait = minTickPeriod
		}
		n, err := r.intake.PopBatchUntil(ctx, time.Now().Add(wait), batch)
		if err != nil {
			return
		}
		now := clock.Now()
		r.table.Pace.Alive(now)
		r.table.Memory.Alive(now)
		for _, m := range batch[:n] {
			m.apply(r, now)
		}
		if r.tickPending = now.Sub(r.lastTick) < minTickPeriod; !r.tickPending {
			r.lastTick = now
			r.onTick(now)
		}
	}
}

// onTick performs the periodic work.
func (r *routing) onTick(now clock.Instant) {
	for _, id := range r.fleet.Expire(now) {
		r.log.Info("runner gone", "runner", id, "reason", "entry did not come back after the store's outage")
	}
	for _, a := range r.fleet.Release(now) {
		r.applyRunner(runnerChange{id: a.ID, announcement: a}, now)
	}
	r.endHeldEvacuations(now)
	r.reviewParts(now)
	r.reviewPace(now)
	r.reviewMemory(now)
	r.reviewShares(now)
	r.recordSettledEra(now)
	r.recordVersions(now)
	r.endOriginWaits(now)
	r.admitQueued(now)
	r.endQuotaWaits(now)
	r.dispatchWaiting(now)
	r.checkTerms(now)
	r.recordBegunTerms(now)
	r.schedule(now)
	r.sendReports(now)
	r.observeZones(now)
	if now.Sub(r.crashesExpiredAt) > crashExpiryPeriod {
		r.crashesExpiredAt = now
		r.crashes.Expire(now)
		r.promptParts.Expire(now)
		r.streams.origins.Expire(now)
	}
	r.updateGauges(now)
	r.reportReadiness(now)
}

// apply starts a planned stop. The VM gives up its terms at once, so that the next leaders' pause before their first
// order passes while this VM drains.
func (stopRequested) apply(r *routing, now clock.Instant) {
	r.stopping, r.stopWaitUntil = true, now.Add(drainTime)
	r.log.Info("stopping", "waiting", len(r.waiting))
	r.releaseTerms(now)
}
