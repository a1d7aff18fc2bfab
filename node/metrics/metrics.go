// Package metrics holds the Prometheus registry and the collectors that the packages of a process share.
package metrics

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Namespace is the prefix of all metrics.
const Namespace = "mangopass"

// NewRegistry returns a registry with the collectors of the Go runtime and the process.
func NewRegistry() *prometheus.Registry {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return r
}

// maxInFlight limits the requests for metrics at a time: each holds a copy of them until its caller has read it.
const maxInFlight = 8

// Handler serves the registry's metrics.
func Handler(r *prometheus.Registry) http.Handler {
	return promhttp.HandlerFor(r, promhttp.HandlerOpts{MaxRequestsInFlight: maxInFlight})
}

// Ring is the part of a ring.Ring that the gauges read, whatever the type of its items.
type Ring interface {
	Name() string
	Len() int
	Cap() int
}

// RegisterRing registers gauges for the number of items in a ring and for its capacity.
func RegisterRing(r prometheus.Registerer, ring Ring) {
	labels := prometheus.Labels{"ring": ring.Name()}
	r.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: Namespace, Name: "ring_depth_items", Help: "Items waiting in a ring.", ConstLabels: labels,
		}, func() float64 { return float64(ring.Len()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: Namespace, Name: "ring_capacity_items", Help: "Items that a ring can hold.", ConstLabels: labels,
		}, func() float64 { return float64(ring.Cap()) }),
	)
}
