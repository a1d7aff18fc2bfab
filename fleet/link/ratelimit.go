package link

import (
	"iter"
	"math/rand/v2"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/machine"
)

// Parameters of the rate limits of runners.
const (
	// limitBurst is the number of requests that a limited runner may get at once, beside those of limitBurstTime.
	limitBurst     = 1
	limitBurstTime = 500 * time.Millisecond
	// contentionTime spreads the requests that wait for a limited runner, for each entry VM: all VMs see at the same
	// moment that the runner takes one more request, and what one of them sends takes up to 200 ms to be known to all.
	contentionTime = 50 * time.Millisecond
	// limitedCost is the delay accepted to spare a limited or cold runner for the requests that no other one can take.
	limitedCost = 30 * time.Millisecond
	// probeTime is the time without a request from which on a limited runner is preferred by probeGain: only an answer of
	// it tells whether it needs its limit any longer.
	probeTime = 2 * time.Second
	probeGain = 20 * time.Millisecond
)

// LimitUsage is what one entry VM reports of a limited runner.
type LimitUsage struct {
	Runner    machine.RunnerID
	Boot      int64         // start of the runner
	PerSecond float64       // as the runner last stated it; zero: it states no limit any more
	Age       time.Duration // time since it stated that
	Total     float64       // running total of the requests that were sent to it, of the report's series
	Level     float64       // requests that the sender could send now; see QuotaUsage
	Heard     float64       // see QuotaUsage
}

// Valid reports whether the figures are numbers that a limit can be counted with.
func (u LimitUsage) Valid() bool {
	return u.PerSecond >= 0 && u.Age >= 0 && finite(u.PerSecond, u.Total, u.Level, u.Heard)
}

// RateLimits keeps the rate limits that runners state and what all entry VMs have sent to them, and this VM's shares of the
// limits of cold runners. Both apply to a request.
type RateLimits struct {
	limits map[machine.RunnerID]*RateLimit
	vms    int     // entry VMs
	share  float64 // part of the limits that the VMs which are heard may use, 0 to 1
	rand   *rand.Rand
	cold   coldLimits
}

// RateLimit is the limit of one runner: a token bucket that all entry VMs share by reports of what they have sent.
type RateLimit struct {
	Quota     *contract.Quota
	boot      int64
	perSecond float64
	statedAt  clock.Instant
	usedAt    clock.Instant // when a request was last sent to it, or a peer reported one
	// retryAt is when a waiting request may take the next token. It is drawn at random once the token is there; zero: not
	// drawn yet.
	retryAt clock.Instant
}

func newRateLimits(r *rand.Rand) *RateLimits {
	return &RateLimits{
		limits: make(map[machine.RunnerID]*RateLimit), vms: 1, share: 1, rand: r,
		cold: coldLimits{shares: make(map[machine.RunnerID]*coldShare), named: make(map[string]clock.Instant)},
	}
}

// State records the limit that a runner stated at the given instant; zero: it stated none. A statement that is older than
// the last one has no effect. If the runner had no limit before, State returns it, so that its running totals can be
// connected.
func (l *RateLimits) State(r *machine.Runner, perSecond float64, at, now clock.Instant) (created *RateLimit) {
	limit := l.limits[r.ID]
	if limit != nil && limit.boot == r.Boot {
		if !at.Before(limit.statedAt) {
			limit.perSecond, limit.statedAt = perSecond, at
			limit.Quota.SetLimit(l.bucket(perSecond), now)
			r.RateLimit = perSecond
		}
		return nil
	}
	if perSecond <= 0 {
		return nil
	}
	r.RateLimit = perSecond
	limit = &RateLimit{
		Quota: contract.NewQuota(l.bucket(perSecond), contract.QuotaSlack{}, 1, now), boot: r.Boot, perSecond: perSecond,
		statedAt: at, usedAt: now,
	}
	l.limits[r.ID] = limit
	return limit
}

// bucket returns the limit that the VMs which are heard keep. A limit of zero refills nothing, but is not applied either.
func (l *RateLimits) bucket(perSecond float64) contract.Limit {
	return contract.Limit{PerSecond: perSecond * l.share, Burst: limitBurst + perSecond*limitBurstTime.Seconds()}
}

// SetMembers states the number of entry VMs and the part of them that is heard, which uses the same part of the limits.
func (l *RateLimits) SetMembers(vms int, share float64, now clock.Instant) {
	l.vms, l.share = vms, share
	l.cold.noteMembers(vms, now)
	for _, limit := range l.limits {
		limit.Quota.SetLimit(l.bucket(limit.perSecond), now)
	}
}

// NameMembers states the names of this VM and of the others that are known, by which it is decided which VMs may send to a cold
// runner.
func (l *RateLimits) NameMembers(self string, others iter.Seq[string], now clock.Instant) {
	l.cold.nameMembers(self, others, now)
}

// Get returns a runner's limit, or nil if it has stated none.
func (l *RateLimits) Get(id machine.RunnerID) *RateLimit { return l.limits[id] }

// All returns the limits that runners have stated, also if they do no longer.
func (l *RateLimits) All() map[machine.RunnerID]*RateLimit { return l.limits }

// Usage returns what is to be reported to a peer of a runner's limit, but for the running total.
func (l *RateLimit) Usage(id machine.RunnerID, peer string, now clock.Instant) LimitUsage {
	return LimitUsage{
		Runner: id, Boot: l.boot, PerSecond: l.perSecond, Age: now.Sub(l.statedAt), Level: l.Quota.Level(now),
		Heard: l.Quota.PeerTotal(peer),
	}
}

// ApplyUsage applies a peer's report with the given function, and notes whether the peer has sent requests.
func (l *RateLimit) ApplyUsage(peer string, apply func(*contract.Quota), now clock.Instant) {
	before := l.Quota.PeerTotal(peer)
	if apply(l.Quota); l.Quota.PeerTotal(peer) != before {
		l.usedAt = now
	}
}

// Limited reports whether a runner states a limit.
func (l *RateLimits) Limited(r *machine.Runner) bool { return l.limited(r) != nil }

// limited returns the limit that applies to a runner, or nil if none does.
func (l *RateLimits) limited(r *machine.Runner) *RateLimit {
	limit := l.limits[r.ID]
	if limit == nil || limit.boot != r.Boot || limit.perSecond <= 0 {
		return nil
	}
	return limit
}

// Admits reports whether a runner takes one more request now, as its limits and the pause that it has asked for allow, and
// otherwise after which time it may. waited says that the request has waited for that: such requests of all VMs come back at
// random times.
func (l *RateLimits) Admits(r *machine.Runner, waited bool, now clock.Instant) (bool, time.Duration) {
	if wait := max(r.Paused(now), l.coldWait(r, now)); wait > 0 {
		return false, wait
	}
	limit := l.limited(r)
	if limit == nil {
		return true, 0
	}
	if wait := limit.Quota.Wait(1, now); wait > 0 {
		limit.retryAt = 0
		return false, wait
	}
	if !waited {
		return true, 0
	}
	if limit.retryAt == 0 {
		limit.retryAt = now.Add(time.Duration(l.rand.Int64N(int64(contentionTime) * int64(l.vms))))
	}
	return !now.Before(limit.retryAt), max(0, limit.retryAt.Sub(now))
}

// cost returns the delay accepted to spare a runner.
func (l *RateLimits) cost(r *machine.Runner, now clock.Instant) time.Duration {
	limit := l.limited(r)
	switch {
	case l.Cold(r, now):
		return limitedCost
	case limit == nil:
		return 0
	case now.Sub(limit.usedAt) > probeTime:
		return -probeGain
	}
	return limitedCost
}

// Sent counts a request that is sent to a runner.
func (l *RateLimits) Sent(r *machine.Runner, now clock.Instant) {
	r.Sent(now)
	l.coldSent(r, now)
	if limit := l.limited(r); limit != nil {
		limit.Quota.Take(1, now)
		limit.usedAt, limit.retryAt = now, 0
	}
}

// prune forgets the limits that runners which have left the fleet have stated.
func (l *RateLimits) prune(f *machine.Fleet) {
	for id := range l.limits {
		if f.Get(id) == nil {
			delete(l.limits, id)
		}
	}
}
