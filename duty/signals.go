package duty

import (
	"context"
	"os"
	"os/signal"
	"time"
)

// OnSignals calls f when one of the signals arrives, and once per period, until the context ends. Signals that arrive
// while f runs lead to one further call.
func OnSignals(ctx context.Context, period time.Duration, f func(ctx context.Context), signals ...os.Signal) {
	notified := make(chan os.Signal, 1)
	signal.Notify(notified, signals...)
	defer signal.Stop(notified)
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-notified:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		f(ctx)
	}
}

// Survive keeps the signals from ending the process for as long as it runs, also before the first and after the last call of
// OnSignals for them.
func Survive(signals ...os.Signal) { signal.Notify(make(chan os.Signal, 1), signals...) }
