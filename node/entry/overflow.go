package entry

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/link"
	"github.com/mangopass/mangopass/fleet/overflow"
	"github.com/mangopass/mangopass/fleet/zone"
	"github.com/mangopass/mangopass/node/metrics"
)

// overflowPeriod is the time between two observations of the zones' loads.
const overflowPeriod = 250 * time.Millisecond

// overflowMetrics counts what leaves the zone of this VM.
type overflowMetrics struct {
	requests   *prometheus.CounterVec
	bytes      *prometheus.CounterVec
	share      *prometheus.GaugeVec
	observedAt clock.Instant
}

func newOverflowMetrics(r prometheus.Registerer) overflowMetrics {
	m := overflowMetrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Name: "requests_to_other_zones_total",
			Help: "Attempts sent to runners of other zones, by reason.",
		}, []string{"reason"}),
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Name: "bytes_to_other_zones_total",
			Help: "Expected bytes of the attempts sent to runners of other zones and of their answers, by reason.",
		}, []string{"reason"}),
		share: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: metrics.Namespace, Name: "overflow_share",
			Help: "Share of the requests of this VM that leaves its zone at the lower price, by service and zone.",
		}, []string{"service", "zone"}),
	}
	for _, reason := range overflow.Reasons() {
		m.requests.WithLabelValues(string(reason))
		m.bytes.WithLabelValues(string(reason))
	}
	r.MustRegister(m.requests, m.bytes, m.share)
	return m
}

// OverflowStatus is the share of a service's requests that leaves the zone of an entry VM.
type OverflowStatus struct {
	Service string             `json:"service"`
	Share   float64            `json:"share"`
	To      map[string]float64 `json:"to"`       // parts of the share, by zone
	WaitMs  map[string]int64   `json:"waits_ms"` // mean expected wait at the runners, by zone
	Silent  []string           `json:"silent"`   // zones with runners whose VMs are not heard
}

// observeZones shows the loads of the zones to the overflow policy, at most once per overflowPeriod.
func (r *routing) observeZones(now clock.Instant) {
	m := &r.metrics.overflow
	if now.Sub(m.observedAt) < overflowPeriod {
		return
	}
	m.observedAt = now
	policy := r.table.Overflow
	loads := r.zoneLoads(now)
	for service, byZone := range loads {
		change, changed := policy.Observe(service, r.zone, slices.Collect(maps.Values(byZone)), now)
		if !changed {
			continue
		}
		message := "overflow ends"
		if change.Begins {
			message = "overflow begins"
		}
		r.log.Info(message, "service", service, "zone", r.zone, "wait_ms", change.Wait.Milliseconds(), "mean_wait_ms", change.Mean.Milliseconds(), "to", partsByZone(change.Parts))
	}
	for _, service := range policy.Forget(func(s contract.ServiceName) bool { return loads[s] != nil }) {
		r.log.Info("overflow ends", "service", service, "zone", r.zone, "reason", "the service has no usable runner")
	}
	m.share.Reset()
	for service := range loads {
		m.share.WithLabelValues(string(service), string(r.zone)).Set(0) // nothing leaves for its own zone
	}
	for _, s := range policy.States() {
		for _, part := range s.Parts {
			m.share.WithLabelValues(string(s.Service), string(part.Zone)).Set(part.Share)
		}
	}
}

// zoneLoads sums up the loads of the usable runners by service and zone, as far as the reports of all VMs tell them.
func (r *routing) zoneLoads(now clock.Instant) map[contract.ServiceName]map[zone.ID]overflow.ZoneLoad {
	silent := r.members.silentZones(now)
	out := make(map[contract.ServiceName]map[zone.ID]overflow.ZoneLoad)
	for _, runner := range r.fleet.All() {
		if !runner.Usable(now) {
			continue
		}
		byZone := out[runner.Service]
		if byZone == nil {
			byZone = make(map[zone.ID]overflow.ZoneLoad)
			out[runner.Service] = byZone
		}
		load := byZone[runner.Zone]
		load.Zone, load.Heard = runner.Zone, runner.Zone == r.zone || !silent[runner.Zone]
		load.Targets++
		load.Wait += r.table.WaitAt(runner)
		byZone[runner.Zone] = load
	}
	return out
}

// silentZones returns the zones of which more than half of the VMs are not heard: most of the load there is unknown.
func (m *members) silentZones(now clock.Instant) map[zone.ID]bool {
	balance := make(map[zone.ID]int) // silent VMs less those that are heard
	for _, p := range m.peers {
		if m.heard(p, now) {
			balance[p.Zone]--
		} else {
			balance[p.Zone]++
		}
	}
	out := make(map[zone.ID]bool)
	for id, n := range balance {
		out[id] = n > 0
	}
	return out
}

// countLeaving counts an attempt that is sent to another zone.
func (r *routing) countLeaving(choice link.Choice) {
	if choice.Leaves == overflow.Stays {
		return
	}
	m := &r.metrics.overflow
	m.requests.WithLabelValues(string(choice.Leaves)).Inc()
	m.bytes.WithLabelValues(string(choice.Leaves)).Add(float64(choice.LeavesSize))
}

// overflowStatus returns the shares that leave this VM's zone, by service.
func (r *routing) overflowStatus() []OverflowStatus {
	out := []OverflowStatus{}
	for _, s := range r.table.Overflow.States() {
		status := OverflowStatus{
			Service: string(s.Service), Share: percents(s.Share), To: partsByZone(s.Parts), WaitMs: make(map[string]int64), Silent: []string{},
		}
		for id, wait := range s.Waits {
			status.WaitMs[string(id)] = wait.Milliseconds()
		}
		for _, id := range s.Silent {
			status.Silent = append(status.Silent, string(id))
		}
		out = append(out, status)
	}
	return out
}

// partsByZone returns the parts of a share by zone.
func partsByZone(parts []overflow.Part) map[string]float64 {
	out := make(map[string]float64, len(parts))
	for _, p := range parts {
		out[string(p.Zone)] = percents(p.Share)
	}
	return out
}

// percents rounds a share to hundredths.
func percents(v float64) float64 { return math.Round(v*100) / 100 }
