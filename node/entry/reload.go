package entry

import (
	"context"
	"log/slog"
	"os"
	"syscall"
	"time"

	"github.com/mangopass/mangopass/duty"
	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/duty/ring"
	"github.com/mangopass/mangopass/fleet/link"
	"github.com/mangopass/mangopass/node/settings"
	"github.com/mangopass/mangopass/platform"
)

// reloadPeriod is the time between two readings of the settings file, which may change without a signal.
const reloadPeriod = 2 * time.Second

// settingsReloader is the duty that rereads the settings file. Rules and the store's address take effect at once;
// listen addresses need a restart.
type settingsReloader struct {
	path    string
	text    string // content as last read
	store   *platform.Store
	routing *ring.Ring[message]
	log     *slog.Logger
}

func (r *settingsReloader) run(ctx context.Context) {
	duty.OnSignals(ctx, reloadPeriod, r.reloadIfChanged, syscall.SIGHUP)
}

func (r *settingsReloader) reloadIfChanged(ctx context.Context) {
	data, err := os.ReadFile(r.path)
	if err != nil {
		r.log.Warn("settings not read", "error", err.Error())
		return
	}
	if string(data) == r.text {
		return
	}
	r.text = string(data)
	s, err := settings.Parse(data)
	if err != nil {
		r.log.Error("settings rejected", "error", err.Error())
		return
	}
	r.store.SetAddress(s.Store)
	r.log.Info("settings reloaded", "store", s.Store)
	_ = r.routing.Push(ctx, rulesChanged{rules: s.Rules}) // fails only when the process stops
}

// rulesChanged carries the rules of a changed settings file.
type rulesChanged struct{ rules settings.Rules }

// apply puts the rules in force.
func (m rulesChanged) apply(r *routing, now clock.Instant) {
	if m.rules == r.rules {
		return
	}
	r.rules = m.rules
	r.freshness.SetBound(freshnessBound(m.rules))
	for _, b := range r.retryBudgets {
		b.SetRule(r.budgetRule())
	}
	for _, q := range r.quotas {
		q.SetSlack(r.quotaSlack(), now)
	}
}

func (r *routing) budgetRule() link.RetryBudgetRule {
	return link.RetryBudgetRule{Ratio: r.rules.RetryRatio, Extra: r.rules.RetryExtra, Window: r.rules.RetryWindow()}
}
