package entry

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/link"
	"github.com/mangopass/mangopass/fleet/machine"
	"github.com/mangopass/mangopass/platform"
)

// viewedAt returns the instant of which this VM knows the runners and their software versions in the store; zero: of none. After
// the store's return from an older copy, entries of both may be missing until its era has settled: a manifest that is written
// again does not bring them back.
func (r *routing) viewedAt() clock.Instant {
	at, confirmed := r.freshness.ConfirmedAt()
	settled := r.era.newest <= link.FirstEra || r.era.settled >= r.era.newest || r.freshness.EraSettled()
	if !confirmed || !settled {
		return 0
	}
	return at
}

// viewIsRecent reports whether what follows from the runners and the versions in the store, as this VM knows them, holds.
func (r *routing) viewIsRecent(now clock.Instant) bool {
	return now.Sub(r.viewedAt()) < machine.ViewAge
}

// publishView lets the goroutines of requests know how old the view is. Attempts at processes that the view shows to be gone have
// been ended before.
func (r *routing) publishView() { r.viewed.Store(int64(r.viewedAt())) }

// endReplacedAttempts ends the attempts at resumable streams without a first event that were sent to a process of a runner with
// another software version than its present one: it may be the present one that answers.
func (r *routing) endReplacedAttempts(id machine.RunnerID, present machine.SoftwareVersion) {
	for c := range r.inFlight {
		if a := c.sentTo; a.runner == id && a.resumable && a.version != present {
			c.cancel(errOtherProcess)
		}
	}
}

var (
	errOtherProcess = errors.New("the runner has started again")
	errNotProven    = errors.New("which process of the runner answers is not known")
)

// checkProcess makes sure, before the first event of a resumable stream is passed on, that it comes from the process that the
// attempt names: another one may have another software version. While this VM's view of the store is recent, a later process
// would be known, since it gets its first model only after that time. Otherwise the runner is asked.
func (x *exchange) checkProcess(ctx context.Context, a attempt) error {
	if !a.resumable || !a.engine {
		return nil
	}
	known := max(clock.Instant(x.viewed.Load()), x.askedAt)
	if ctx.Err() != nil { // after the load: a view that shows a later process has ended the attempt before
		return errors.Wrap(context.Cause(ctx), "first event")
	}
	if clock.Now().Sub(known) < machine.ViewAge {
		return nil
	}
	boot, stated, err := x.runners.FetchBoot(ctx, a.runner, a.address)
	if err != nil {
		return errors.Wrap(errNotProven, err.Error()) // without its mark: the request has run
	}
	if boot != a.boot {
		return errors.Wrapf(errOtherProcess, "boot %d", boot)
	}
	if stated.Leaving || stated.ColdLeft > 0 {
		x.pushStated(a, stated)
	}
	return nil
}

// askProcess asks a runner, before a request is sent there, whether it still is the process that the attempt names.
func (x *exchange) askProcess(ctx context.Context, a attempt) error {
	x.askedAt = clock.Now()
	boot, stated, err := x.runners.FetchBoot(ctx, a.runner, a.address)
	if err != nil {
		return err
	}
	if boot != a.boot {
		return errors.Mark(errors.Mark(
			errors.Newf("the runner has started again: boot %d", boot), platform.ErrNoReplica), platform.ErrNotExecuted)
	}
	if stated.Leaving || stated.ColdLeft > 0 {
		x.pushStated(a, stated)
	}
	return nil
}
