package entry

import (
	"context"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/duty/ring"
	"github.com/mangopass/mangopass/fleet/machine"
	"github.com/mangopass/mangopass/platform"
)

// orderDuties is the number of duties that send orders and state queries. A runner that does not answer blocks one of
// them.
const orderDuties = 12

// orderSender is one of the duties that send orders and state queries to runners.
type orderSender struct {
	runners *platform.RunnerClient
	jobs    *ring.Ring[orderJob]
	routing *ring.Ring[message]
}

func (o *orderSender) run(ctx context.Context) {
	for {
		job, err := o.jobs.Pop(ctx)
		if err != nil {
			return
		}
		if o.routing.Push(ctx, o.execute(ctx, job)) != nil {
			return
		}
	}
}

// execute sends one order, unless its term may have ended meanwhile, or one state query.
func (o *orderSender) execute(ctx context.Context, job orderJob) message {
	if job.query {
		contents, stated, err := o.runners.FetchReport(ctx, job.runner, job.address)
		return runnerReported{
			runner: job.runner, boot: job.boot, contents: contents, err: err, stated: stated, at: clock.Now(),
		}
	}
	sent := clock.Now()
	if !sent.Before(job.order.Expires) || !job.live.Load() {
		return orderAnswered{order: job.order, outcome: machine.OrderNotSent}
	}
	outcome, stated, err := o.runners.SendOrder(ctx, job.order)
	now := clock.Now()
	return orderAnswered{order: job.order, outcome: outcome, cause: err, took: now.Sub(sent), stated: stated, at: now}
}
