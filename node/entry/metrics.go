package entry

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/mangopass/mangopass/node/metrics"
)

// entryMetrics are the collectors of an entry VM.
type entryMetrics struct {
	sent       prometheus.Counter
	results    *prometheus.CounterVec
	refused    *prometheus.CounterVec
	orders     *prometheus.CounterVec
	firstEvent prometheus.Histogram
	manifest   prometheus.Gauge
}

func newMetrics(r prometheus.Registerer) *entryMetrics {
	m := &entryMetrics{
		sent: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Name: "attempts_total", Help: "Attempts sent to runners.",
		}),
		results: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Name: "results_total", Help: "Ends of attempts by result.",
		}, []string{"result"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Name: "refused_total", Help: "Requests without a runner's answer by reason.",
		}, []string{"code"}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Name: "orders_total", Help: "Orders to runners by kind and outcome.",
		}, []string{"kind", "outcome"}),
		firstEvent: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: metrics.Namespace, Name: "first_event_seconds", Help: "Time from sending to the first event of a stream.",
			Buckets: prometheus.ExponentialBuckets(0.02, 1.8, 12),
		}),
		manifest: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: metrics.Namespace, Name: "manifest_version", Help: "Version of the manifest in force.",
		}),
	}
	r.MustRegister(m.sent, m.results, m.refused, m.orders, m.firstEvent, m.manifest)
	return m
}
