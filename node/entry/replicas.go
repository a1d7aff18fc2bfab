package entry

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/mangopass/mangopass/fleet/machine"
	"github.com/mangopass/mangopass/node/metrics"
)

// ReplicaStatus is what the planner knows of a model's demand and replicas.
type ReplicaStatus struct {
	Service       string  `json:"service"`
	Model         string  `json:"model"`
	Load          float64 `json:"load"` // in units of what one replica should have at most
	LatePerSecond float64 `json:"late_per_s"`
	Waiting       int     `json:"waiting"`
	Needed        int     `json:"needed"`
	Present       int     `json:"present"`
	Loading       int     `json:"loading"` // of the present ones
}

// replicaStatus returns the state of the models with demand. It is empty unless this VM is the planner.
func (r *routing) replicaStatus() []ReplicaStatus {
	out := []ReplicaStatus{}
	if r.members.planner != r.node {
		return out
	}
	for _, s := range r.leader.scheduler.ReplicaStates() {
		out = append(out, ReplicaStatus{
			Service: string(s.Artifact.Service), Model: string(s.Artifact.Model), Load: s.Load, LatePerSecond: s.LateRate,
			Waiting: s.Waiting, Needed: s.Needed, Present: s.Present, Loading: s.Loading,
		})
	}
	return out
}

// replicaMetrics holds the metrics of the placement, which the planner moves.
type replicaMetrics struct {
	loads    *prometheus.CounterVec
	replicas *prometheus.GaugeVec
	short    prometheus.Gauge
	late     prometheus.Gauge
}

func newReplicaMetrics(r prometheus.Registerer) *replicaMetrics {
	m := &replicaMetrics{
		loads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Name: "loads_total",
			Help: "Loads of models that this VM has decided on as the planner, by reason and where the weights come from.",
		}, []string{"reason", "from"}),
		replicas: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: metrics.Namespace, Name: "replicas",
			Help: "Replicas of the models with demand, as the planner sees them, by state.",
		}, []string{"state"}),
		short: newGauge("models_short", "Models with fewer replicas than their demand needs, as the planner sees them."),
		late:  newGauge("late_requests_per_second", "Requests to models that come late, as the planner sees them."),
	}
	for _, reason := range machine.LoadReasons() {
		m.loads.WithLabelValues(reason.String(), weightsFrom(false))
		m.loads.WithLabelValues(reason.String(), weightsFrom(true))
	}
	r.MustRegister(m.loads, m.replicas, m.short, m.late)
	return m
}

func weightsFrom(store bool) string {
	if store {
		return "weight_store"
	}
	return "copy"
}

// recordLoads logs and counts the loads that this VM has decided on.
func (r *routing) recordLoads(loads []machine.StartedLoad) {
	for _, l := range loads {
		from := weightsFrom(l.FromStore)
		r.metrics.replica.loads.WithLabelValues(l.Reason.String(), from).Inc()
		r.log.Info("load decided", "model", l.Model, "for_version", l.Version, "runner", l.Runner, "reason", l.Reason.String(),
			"from", from, "gain", l.Gain, "lost", l.Lost)
	}
}

// updateReplicaGauges updates the gauges of the placement. They are zero at VMs that don't plan.
func (r *routing) updateReplicaGauges() {
	m := r.metrics.replica
	needed, present, loading, short, late := 0, 0, 0, 0, 0.0
	for _, s := range r.replicaStatus() {
		needed, present, loading = needed+s.Needed, present+s.Present, loading+s.Loading
		late += s.LatePerSecond
		if s.Present < s.Needed {
			short++
		}
	}
	m.replicas.WithLabelValues("needed").Set(float64(needed))
	m.replicas.WithLabelValues("present").Set(float64(present))
	m.replicas.WithLabelValues("loading").Set(float64(loading))
	m.short.Set(float64(short))
	m.late.Set(late)
}
