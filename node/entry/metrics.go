package entry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/admission"
	"github.com/mangopass/mangopass/node/metrics"
	"github.com/mangopass/mangopass/platform"
)

// entryMetrics holds the metrics of an entry VM.
type entryMetrics struct {
	sent            prometheus.Counter
	results         *prometheus.CounterVec
	refused         *prometheus.CounterVec
	cutAnswers      *prometheus.CounterVec
	orders          *prometheus.CounterVec
	firstEvent      prometheus.Histogram
	request         *prometheus.HistogramVec
	manifest        prometheus.Gauge
	manifestAge     prometheus.Gauge
	unreadable      prometheus.Gauge
	invalidFields   prometheus.Gauge
	runners         *prometheus.GaugeVec
	peers           *prometheus.GaugeVec
	shards          prometheus.Gauge
	waiting         prometheus.Gauge
	planner         prometheus.Gauge
	blockedParts    prometheus.Gauge
	blockedRequests prometheus.Gauge
	evacuated       prometheus.Gauge
	pauses          prometheus.Counter
	pace            paceMetrics
	shares          shareMetrics

	quotaRefusals   *prometheus.CounterVec
	replicaRefusals *prometheus.CounterVec
	bookings        *prometheus.CounterVec
	quotaWaiting    prometheus.Gauge
	booked          prometheus.Gauge

	takeUps       *prometheus.CounterVec
	streamRecords *prometheus.CounterVec

	overflow overflowMetrics
	memory   memoryMetrics
	replica  *replicaMetrics

	rejectedStatements prometheus.Counter
	gaugesUpdatedAt    clock.Instant
}

// gaugePeriod is the shortest time between two updates of the gauges.
const gaugePeriod = time.Second

func newMetrics(r prometheus.Registerer) *entryMetrics {
	m := &entryMetrics{
		overflow: newOverflowMetrics(r),
		sent: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Name: "attempts_total", Help: "Attempts sent to runners.",
		}),
		results: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Name: "results_total", Help: "Ended attempts by result.",
		}, []string{"result"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Name: "refused_total",
			Help: "Requests that ended without a runner's answer, by reason.",
		}, []string{"code"}),
		cutAnswers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Name: "cut_answers_total",
			Help: "Requests whose connection was ended without a complete answer, by cause and by whose it is.",
		}, []string{"cause", "by"}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Name: "orders_total", Help: "Orders to runners by kind and outcome.",
		}, []string{"kind", "outcome"}),
		firstEvent: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: metrics.Namespace, Name: "first_event_seconds",
			Help:    "Time from sending to the first event of a stream.",
			Buckets: prometheus.ExponentialBuckets(0.02, 1.8, 12),
		}),
		request: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: metrics.Namespace, Name: "request_seconds",
			Help:    "Time from a request's arrival to its end by outcome.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 12),
		}, []string{"outcome"}),
		pauses: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Name: "runner_pauses_total", Help: "Pauses that runners have asked of this VM.",
		}),
		rejectedStatements: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Name: "runner_statements_rejected_total",
			Help: "Statements of runners that can't be read, and pauses that were cut to the longest allowed one.",
		}),
		quotaRefusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Name: "quota_refusals_total",
			Help: "Requests refused because their organisation's quota had no room, by why they did not wait for it.",
		}, []string{"reason"}),
		replicaRefusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Name: "replica_refusals_total",
			Help: "Requests refused because no runner held their model, by what was known of its loads.",
		}, []string{"reason"}),
		bookings: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Name: "bookings_total",
			Help: "Parts of quotas booked for the return of refused callers, by what became of them.",
		}, []string{"outcome"}),
		quotaWaiting: newGauge("requests_waiting_for_quota", "Requests that wait for their organisation's quota."),
		booked:       newGauge("bookings", "Bookings that this VM knows."),
		takeUps: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Name: "streams_taken_up_total",
			Help: "Streams that callers take up, by where what began them was known from.",
		}, []string{"source"}),
		streamRecords: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Name: "stream_records_total",
			Help: "Records in the store of what began a stream, by the outcome of their write.",
		}, []string{"outcome"}),
		manifest: newGauge("manifest_version", "Version of the manifest in force."),
		manifestAge: newGauge("manifest_proof_age_seconds",
			"Time since the store last confirmed that the manifest is the newest."),
		unreadable:    newGauge("manifest_unreadable", "1 if the newest manifest in the store can't be read, so that the one in force is not proved."),
		invalidFields: newGauge("manifest_invalid_fields", "Fields of the manifest in force that are invalid or can't be read."),
		runners: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: metrics.Namespace, Name: "runners", Help: "Known runners by state.",
		}, []string{"state"}),
		peers: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: metrics.Namespace, Name: "peers", Help: "Other entry VMs by whether their reports arrive.",
		}, []string{"state"}),
		shards:          newGauge("shards_held", "Shards of runners that this VM leads."),
		waiting:         newGauge("requests_waiting", "Requests that wait for a replica, for room in a runner's memory or for a free slot."),
		planner:         newGauge("planner", "1 if this VM decides on placement."),
		blockedRequests: newGauge("requests_blocked", "Requests that are refused since they have crashed runners."),
		evacuated:       newGauge("zones_evacuated", "Zones whose runners get nothing new."),
		blockedParts: newGauge("prompt_parts_blocked",
			"Prompt parts whose requests are refused because they crash runners."),
	}
	for _, source := range []originSource{fromMemory, fromOneVersion, fromRecord, fromNoRecord} {
		m.takeUps.WithLabelValues(string(source))
	}
	m.streamRecords.WithLabelValues(platform.Applied.String())
	for _, cause := range cutCauses() {
		m.cutAnswers.WithLabelValues(string(cause), string(cause.by()))
	}
	for _, reason := range admission.QuotaReasons() {
		m.quotaRefusals.WithLabelValues(string(reason))
	}
	for _, reason := range admission.ReplicaReasons() {
		m.replicaRefusals.WithLabelValues(string(reason))
	}
	r.MustRegister(m.quotaRefusals, m.replicaRefusals, m.bookings, m.quotaWaiting, m.booked)
	r.MustRegister(m.sent, m.results, m.refused, m.orders, m.firstEvent, m.request, m.manifest, m.manifestAge, m.unreadable, m.invalidFields,
		m.runners, m.peers, m.shards, m.waiting, m.planner, m.blockedParts, m.blockedRequests, m.evacuated, m.pauses, m.rejectedStatements,
		m.takeUps, m.streamRecords, m.cutAnswers)
	m.replica = newReplicaMetrics(r)
	m.pace = newPaceMetrics(r)
	m.memory = newMemoryMetrics(r)
	m.shares = newShareMetrics(r)
	return m
}

func newGauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: metrics.Namespace, Name: name, Help: help})
}

// updateGauges updates the gauges that show what this VM knows, at most once per gaugePeriod.
func (r *routing) updateGauges(now clock.Instant) {
	m := r.metrics
	if now.Sub(m.gaugesUpdatedAt) < gaugePeriod {
		return
	}
	m.gaugesUpdatedAt = now
	m.manifestAge.Set(r.freshness.ManifestAge(now).Seconds())
	usable, limited, cold := 0, 0, 0
	for _, runner := range r.fleet.All() {
		if runner.Usable(now) {
			usable++
		}
		if runner.RateLimit > 0 {
			limited++
		}
		if r.table.Limits.Cold(runner, now) {
			cold++
		}
	}
	m.runners.WithLabelValues("usable").Set(float64(usable))
	m.runners.WithLabelValues("limited").Set(float64(limited))
	m.runners.WithLabelValues("cold").Set(float64(cold))
	m.evacuated.Set(float64(len(r.evacuations.All())))
	m.runners.WithLabelValues("paused").Set(float64(r.pausedRunners(now)))
	m.runners.WithLabelValues("leaving").Set(float64(len(r.fleet.All()) - usable))
	heard := r.members.countHeard(now)
	m.peers.WithLabelValues("heard").Set(float64(heard))
	m.peers.WithLabelValues("silent").Set(float64(len(r.members.peers) - heard))
	m.shards.Set(float64(r.leader.heldShards(now)))
	m.waiting.Set(float64(len(r.waiting)))
	r.updateBookingMetrics()
	m.blockedParts.Set(float64(len(r.promptParts.BlockedParts(now))))
	m.blockedRequests.Set(float64(len(r.crashes.BlockedRequests(now))))
	m.pace.update(r)
	m.memory.update(r)
	m.shares.update(r, now)
	m.planner.Set(0)
	if r.members.planner == r.node {
		m.planner.Set(1)
	}
	r.updateReplicaGauges()
}

// registerStoreMetrics registers the era of the store and a counter of the calls to it for each outcome.
func registerStoreMetrics(r prometheus.Registerer, store *platform.Store) {
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: metrics.Namespace, Name: "store_era",
		Help: "Era of the platform's store; it rises when the store returns from an older copy.",
	}, func() float64 { return float64(store.Era()) }))
	for _, o := range platform.Outcomes() {
		r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Name: "store_calls_total", Help: "Calls to the platform's store by outcome.",
			ConstLabels: prometheus.Labels{"outcome": o.String()},
		}, func() float64 { return float64(store.Calls(o)) }))
	}
}
