package link

import (
	"hash/fnv"
	"iter"
	"maps"
	"math"
	"strconv"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/machine"
)

// Parameters of the limits of cold runners. All VMs together may exceed the stated limit by half and five requests in any
// second. Their shares use up half of that excess; the rest is for VMs that do not know yet that a runner is cold.
const (
	coldExcess = 0.25
	coldSlack  = 2.5
	// belowWhole keeps a bucket from giving one request more in a second, which it would at a rate of a whole number.
	belowWhole = 0.95
	// memberMemory is the time for which a VM that is no longer listed keeps its share: it may send without being heard. The
	// share of a runner is also forgotten after so long without use.
	memberMemory = time.Minute
	// limitPeriod is the period for which the limits of cold runners are stated.
	limitPeriod = time.Second
)

// coldLimits are this VM's shares of the limits of cold runners. They do not depend on reports, since the limits hold in each
// second and also for VMs that are cut off: each VM has a fixed part, in a bucket of one request.
type coldLimits struct {
	services map[contract.ServiceName]*contract.Service
	shares   map[machine.RunnerID]*coldShare
	vms      int           // largest number of entry VMs in memberMemory
	vmsAt    clock.Instant // when there were last so many
	// startedAt is when the number of VMs was first stated, at the start of the process.
	startedAt clock.Instant
	self      string                   // name of this VM
	named     map[string]clock.Instant // when another VM was last listed, in memberMemory
	namings   uint64                   // changes of the names so far
}

// coldShare is a bucket of one request.
type coldShare struct {
	boot   int64
	level  float64
	at     clock.Instant // of the level
	rank   int           // of this VM, as of the names after rankOf changes
	rankOf uint64
	picked bool // the VM may send
}

// SetServices states the services, which say how many requests a cold runner takes.
func (l *RateLimits) SetServices(services map[contract.ServiceName]*contract.Service) {
	l.cold.services = services
}

// Cold reports whether a runner is cold and its service limits what it then gets.
func (l *RateLimits) Cold(r *machine.Runner, now clock.Instant) bool {
	return l.coldPerSecond(r, now) > 0
}

// coldPerSecond returns the limit on what all VMs send to a runner; zero: the runner is not cold, or its service has none.
func (l *RateLimits) coldPerSecond(r *machine.Runner, now clock.Instant) float64 {
	if s := l.cold.services[r.Service]; s != nil && s.Cold.PerSecond > 0 && r.ColdLeft(now) > 0 {
		return s.Cold.PerSecond
	}
	return 0
}

// noteMembers takes note of the number of entry VMs.
func (c *coldLimits) noteMembers(vms int, now clock.Instant) {
	if c.startedAt == 0 {
		c.startedAt = now
	}
	if vms >= c.vms || now.Sub(c.vmsAt) > memberMemory {
		c.vms, c.vmsAt = vms, now
	}
	// A runner whose entry is gone may come back as the same process, so that its share does not end with the entry.
	maps.DeleteFunc(c.shares, func(_ machine.RunnerID, s *coldShare) bool { return now.Sub(s.at) > memberMemory })
}

// coldWait returns the time until this VM may send a request to a runner, as far as the runner is cold.
func (l *RateLimits) coldWait(r *machine.Runner, now clock.Instant) time.Duration {
	perSecond := l.coldPerSecond(r, now)
	if perSecond == 0 {
		return 0
	}
	share, rate := l.coldShare(r, perSecond, now)
	left := r.ColdLeft(now)
	if !share.picked {
		return left
	}
	if share.level >= 1 {
		return 0
	}
	wait := math.Min((1-share.level)/rate, left.Seconds()) // a rate close to zero would overflow a Duration
	return min(left, time.Duration(wait*float64(time.Second))+1)
}

// coldSent counts a request that is sent to a runner.
func (l *RateLimits) coldSent(r *machine.Runner, now clock.Instant) {
	if perSecond := l.coldPerSecond(r, now); perSecond > 0 {
		share, _ := l.coldShare(r, perSecond, now)
		share.level--
	}
}

// coldShare returns this VM's share of the limit of a cold runner as it is now, and its rate.
func (l *RateLimits) coldShare(r *machine.Runner, perSecond float64, now clock.Instant) (*coldShare, float64) {
	rate, sharing := coldRate(l.cold.vms, perSecond)
	share := l.cold.shares[r.ID]
	if share == nil || share.boot != r.Boot {
		share = &coldShare{boot: r.Boot, at: now}
		if now.Sub(l.cold.startedAt) >= limitPeriod { // otherwise the process before may have used the share just now
			share.level = 1
		}
		l.cold.shares[r.ID] = share
	}
	share.level = math.Min(1, share.level+rate*max(0, now.Sub(share.at).Seconds()))
	share.at, share.picked = now, sharing >= l.cold.vms
	if !share.picked {
		if share.rankOf != l.cold.namings {
			share.rank, share.rankOf = l.cold.rank(r), l.cold.namings
		}
		share.picked = share.rank < sharing
	}
	return share, rate
}

// coldRate returns the rate of the share of each of a number of VMs in a limit, and how many of the VMs have a share. A bucket of
// one request with a rate below k gives at most k requests in any second.
func coldRate(vms int, perSecond float64) (rate float64, sharing int) {
	n := max(1, vms)
	allowed := math.Floor(perSecond*(1+coldExcess) + coldSlack)
	most := math.Floor(allowed / float64(n)) // requests of each VM in a second
	if most < 1 {
		return min(perSecond/allowed, belowWhole), int(allowed)
	}
	return min(perSecond/float64(n), belowWhole*most), n
}

// nameMembers takes note of the names of the entry VMs.
func (c *coldLimits) nameMembers(self string, others iter.Seq[string], now clock.Instant) {
	c.self = self
	for name := range others {
		if _, known := c.named[name]; !known {
			c.namings++
		}
		c.named[name] = now
	}
	for name, at := range c.named {
		if now.Sub(at) > memberMemory {
			delete(c.named, name)
			c.namings++
		}
	}
}

// rank returns the number of other VMs that come before this one when VMs are ordered for a process of a runner. VMs that know
// the same names agree on the order, and it differs from process to process.
func (c *coldLimits) rank(r *machine.Runner) int {
	own, before := orderOf(c.self, r), 0
	for name := range c.named {
		if o := orderOf(name, r); name != c.self && (o < own || o == own && name < c.self) {
			before++
		}
	}
	return before
}

// orderOf returns a number that places a VM among the others for a process of a runner.
func orderOf(vm string, r *machine.Runner) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(string(r.ID) + " " + strconv.FormatInt(r.Boot, 16) + " " + vm))
	x := h.Sum64() // FNV leaves the high bits of names that differ in the last characters alike
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	return x ^ x>>33
}
