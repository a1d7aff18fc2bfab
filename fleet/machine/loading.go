package machine

import (
	"slices"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
)

// Outlook is when a model that no runner holds can be expected at one, as far as this process knows.
type Outlook struct {
	Loading bool
	ReadyAt clock.Instant // if Loading: the expected end of the load that ends first; it has passed if the load is overdue
	Slack   time.Duration // if Loading: how much later the load may end
	Load    time.Duration // duration of a load from the nearest copy at a usable runner; zero: there is no such runner
}

const (
	// loadSlack is how much later than expected a load from a copy at the runner may end and be known here.
	loadSlack = 300 * time.Millisecond
	// coldSlackShare is the same for a load from the weight store, in units of the stated duration: loads share its rate.
	coldSlackShare = 0.3
)

// Outlook returns when a model of a service can be expected at a usable runner.
func (f *Fleet) Outlook(s contract.ServiceName, m contract.Model, now clock.Instant) Outlook {
	var out Outlook
	for _, r := range f.sorted {
		if r.Service != s || !r.Engine || !r.Usable(now) {
			continue
		}
		if replica := r.Replica(m.Name); replica != nil && replica.ReadyAt.After(now) {
			ready, slack := replica.expected(m, now)
			missed := out.Loading && now.After(out.ReadyAt.Add(out.Slack))
			if !out.Loading || missed || ready < out.ReadyAt && !now.After(ready.Add(slack)) {
				out.Loading, out.ReadyAt, out.Slack = true, ready, slack
			}
		}
		load := m.LoadCold
		switch {
		case slices.Contains(r.InMemory, m.Name):
			load = m.LoadWarm
		case slices.Contains(r.OnDisk, m.Name):
			load = m.LoadDisk
		}
		if out.Load == 0 || load < out.Load {
			out.Load = load
		}
	}
	return out
}

// expected returns when the load of a replica is expected to end, and how much later it may. ReadyAt of a load from the
// weight store is the latest end; see applyLoad. The instant is the same at each call while a load goes on, so that an
// overdue load holds nobody for longer and longer.
func (r *Replica) expected(m contract.Model, now clock.Instant) (clock.Instant, time.Duration) {
	if r.ReadyAt.Sub(now) <= m.LoadDisk+loadMargin {
		return r.ReadyAt, loadSlack
	}
	slack := loadSlack + time.Duration(coldSlackShare*float64(m.LoadCold))
	return r.ReadyAt.Add(-(maxColdLoadFactor - 1) * m.LoadCold), slack
}
