package agent

import (
	"context"

	"github.com/mangopass/mangopass/duty/ring"
)

// orderer is one of the duties that give load and unload orders to the engine.
type orderer struct {
	queue     *ring.Ring[order]
	scheduler *ring.Ring[message]
	engine    Engine
}

func (o *orderer) run(ctx context.Context) {
	for {
		next, err := o.queue.Pop(ctx)
		if err != nil {
			return
		}
		done := orderDone{order: next, outcome: o.give(ctx, next)}
		if o.scheduler.Push(ctx, done) != nil {
			return
		}
	}
}

func (o *orderer) give(ctx context.Context, next order) OrderOutcome {
	if next.unload {
		return o.engine.Unload(ctx, next.artifact, 0)
	}
	return o.engine.Load(ctx, next.artifact, next.bytes, 0)
}
