package confstore

import (
	"context"
	"log/slog"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/mangopass/mangopass/duty"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/platform"
)

// maxFollowBackoff bounds the pause between attempts while the platform service is away.
const maxFollowBackoff = time.Second

// Follow calls apply with each generation that comes into force, beginning with the present one, until the context ends.
// Generations can be skipped but never repeat or go back.
func Follow(ctx context.Context, s platform.Service, log *slog.Logger, apply func(context.Context, *contract.Config)) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = 50 * time.Millisecond
	pause.MaxInterval = maxFollowBackoff
	var last Head
	connected := true
	for ctx.Err() == nil {
		next, ok := follow(ctx, s, last, apply)
		if ok != connected {
			log.Info("platform service", "reachable", ok)
			connected = ok
		}
		if ok {
			last = next
			pause.Reset()
			continue
		}
		duty.Pause(ctx, pause.NextBackOff())
	}
}

// follow waits for one change after last and applies it.
func follow(ctx context.Context, s platform.Service, last Head, apply func(context.Context, *contract.Config)) (Head, bool) {
	head, ok := nextHead(ctx, s, last)
	if !ok || head.Generation <= last.Generation {
		return last, ok
	}
	config, o, err := ReadConfig(ctx, s, head)
	if err != nil || o != platform.Applied {
		return last, false
	}
	apply(ctx, config)
	return head, true
}

func nextHead(ctx context.Context, s platform.Service, last Head) (Head, bool) {
	if last.Version == 0 {
		head, o, err := ReadHead(ctx, s)
		if err != nil || o != platform.Applied || head.Version != 0 {
			return head, err == nil && o == platform.Applied
		}
	}
	changed, _, o := s.Watch(ctx, HeadKey, last.Version)
	if o != platform.Applied {
		return last, false
	}
	for _, e := range changed {
		if head, err := DecodeHead(e); e.Key == HeadKey && err == nil {
			return head, true
		}
	}
	return last, true
}
