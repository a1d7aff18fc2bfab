package entry

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/duty/ring"
	"github.com/mangopass/mangopass/platform"
)

// Timing of the lease of this VM's keys.
const (
	// leaseTTL is the lifetime of a lease that is not renewed. It is as long as the pause that a new leader must keep
	// before its first order anyway.
	leaseTTL = 3 * time.Second
	// renewPeriod is the time between two renewals. It leaves room for three lost renewals.
	renewPeriod = 700 * time.Millisecond
)

// leaseKeeper is the duty that keeps this VM's keys in the store under a lease: its entry and the holder key of each
// shard that it leads.
type leaseKeeper struct {
	store   *platform.Store
	routing *ring.Ring[message]
	claims  *ring.Ring[claim]
	log     *slog.Logger
	node    string
	entry   nodeEntry
	ttl     time.Duration

	lease        platform.Lease // the zero one: none
	entryWritten bool           // this VM's entry has been written under the lease
}

func (l *leaseKeeper) run(ctx context.Context) {
	next := time.Now()
	buf := make([]claim, 1)
	for {
		n, err := l.claims.PopBatchUntil(ctx, next, buf)
		if err != nil {
			return
		}
		if n > 0 {
			l.commitClaim(ctx, buf[0])
			continue
		}
		l.renewLease(ctx)
		next = time.Now().Add(renewPeriod)
		if l.lease.ID == 0 || !l.entryWritten {
			next = time.Now().Add(retryPause)
		}
	}
}

// renewLease renews the lease, or obtains a new one and writes this VM's entry under it.
func (l *leaseKeeper) renewLease(ctx context.Context) {
	if l.lease.ID != 0 {
		l.extendLease(ctx)
	}
	if l.lease.ID == 0 {
		l.grantLease(ctx)
	}
	if l.lease.ID != 0 && !l.entryWritten {
		l.writeEntry(ctx)
	}
}

func (l *leaseKeeper) extendLease(ctx context.Context) {
	sent := clock.Now()
	ttl, outcome, err := l.store.Renew(ctx, l.lease)
	switch outcome {
	case platform.Applied:
		l.reportRenewal(ctx, sent.Add(ttl))
	case platform.NotFound:
		l.dropLease(ctx)
	case platform.Restored:
		l.leaveEra()
	default:
		l.logFailure("renew", outcome, err)
	}
}

func (l *leaseKeeper) grantLease(ctx context.Context) {
	sent := clock.Now()
	lease, ttl, outcome, err := l.store.Grant(ctx, l.ttl)
	if outcome != platform.Applied {
		l.logFailure("grant", outcome, err)
		return
	}
	l.lease, l.entryWritten = lease, false
	l.reportRenewal(ctx, sent.Add(ttl))
}

// leaveEra gives up a lease that was granted before the store returned from an older copy. The terms under it go on until
// it has run out: no other VM gives orders before.
func (l *leaseKeeper) leaveEra() {
	l.log.Warn("lease of an earlier era given up", "era", l.lease.Era)
	l.lease = platform.Lease{}
}

// dropLease gives up a lease that the store no longer has, and the terms under it.
func (l *leaseKeeper) dropLease(ctx context.Context) {
	l.lease = platform.Lease{}
	l.log.Warn("lease lost")
	_ = l.routing.Push(ctx, leaseLost{}) // fails only when the process stops
}

func (l *leaseKeeper) reportRenewal(ctx context.Context, until clock.Instant) {
	_ = l.routing.Push(ctx, leaseRenewed{era: l.lease.Era, until: until})
}

// writeEntry writes this VM's entry over what it reads there. A write of a former process that the store applies late, and
// removes with the former lease, then finds another revision.
func (l *leaseKeeper) writeEntry(ctx context.Context) {
	key := prefixNodes + l.node
	before, era, outcome, err := l.store.Get(ctx, key)
	if outcome == platform.Applied || outcome == platform.NotFound {
		if era != l.lease.Era {
			l.leaveEra()
			return
		}
		_, outcome, err = l.store.Commit(ctx, platform.Txn{
			Era: era, Conditions: []platform.Condition{{Key: key, Revision: before.Revision}},
			Writes: []platform.Write{{Key: key, Value: marshal(l.entry), Lease: l.lease}},
		})
		if outcome == platform.NotFound {
			l.dropLease(ctx)
			return
		}
	}
	switch outcome {
	case platform.Applied:
		l.entryWritten = true
	case platform.Restored:
		l.leaveEra()
	default:
		l.logFailure("list", outcome, err)
	}
}

func (l *leaseKeeper) logFailure(call string, outcome platform.Outcome, err error) {
	l.log.Warn("lease call failed", "call", call, "outcome", outcome.String(), "error", errorText(err))
}

// commitClaim writes or removes a holder key. If a claim gets no answer, the watch shows whether it took effect.
func (l *leaseKeeper) commitClaim(ctx context.Context, c claim) {
	if l.lease.ID == 0 || l.lease.Era != c.era {
		return
	}
	key := keyHolder(c.shard)
	if c.release {
		_, outcome, err := l.store.Commit(ctx, platform.Txn{
			Era: c.era, Conditions: []platform.Condition{{Key: key, Revision: c.holderRevision}}, Removes: []string{key},
		})
		if outcome != platform.Applied {
			l.logFailure("give up term", outcome, err)
		}
		return
	}
	value := marshal(holderEntry{Node: l.node, Address: l.entry.Address, Boot: l.entry.Boot, Era: c.era, PauseMs: c.pause.Milliseconds()})
	revision, outcome, err := l.store.Commit(ctx, platform.Txn{
		Era: c.era, Conditions: []platform.Condition{
			{Key: key, Revision: c.holderRevision}, {Key: keyLastTerm(c.shard), Revision: c.lastRevision},
		},
		Writes: []platform.Write{
			{Key: key, Value: value, Lease: l.lease}, {Key: keyLastTerm(c.shard), Value: value},
		},
	})
	l.log.Info("claim", "shard", c.shard, "outcome", outcome.String(), "revision", revision,
		"era", c.era, "holder_revision", c.holderRevision, "last_revision", c.lastRevision)
	switch outcome {
	case platform.Applied:
		change := ownKeyChange{key: key, value: value, era: c.era, revision: revision}
		_ = l.routing.Push(ctx, claimApplied{shard: c.shard, change: change})
	case platform.Conflict:
	default:
		l.logFailure("claim", outcome, err)
	}
}

func marshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic("entry: encode value as JSON: " + err.Error())
	}
	return data
}
