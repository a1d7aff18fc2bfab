package machine

import (
	"math"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
)

// Artifact is a model, or an adapter on its model, of a service's engines.
type Artifact struct {
	Service contract.ServiceName
	Model   contract.ModelName
	Adapter contract.AdapterName // empty: the model itself
}

// Base returns the artifact's model without the adapter.
func (a Artifact) Base() Artifact { return Artifact{Service: a.Service, Model: a.Model} }

// demandMemory is the time constant with which past arrivals are forgotten. Demand moves between models within about
// five seconds.
const demandMemory = 3 * time.Second

// riseMemory is the time constant with which rising demand is noticed: a model that becomes busy within seconds needs its
// replicas before the longer memory shows them.
const riseMemory = time.Second

// DemandReport is the demand for one artifact at one entry VM since its last report.
type DemandReport struct {
	Artifact Artifact
	Waiting  int           // requests that wait for a replica, now
	Timely   int           // those of them that can still be answered within their objective
	Due      time.Duration // time until the first of these must be sent
	Arrivals int           // requests since the last report
	Urgent   int           // those of them that cannot wait for a load
	Work     time.Duration // prefill time that they take
}

// demand is what all entry VMs ask of one artifact.
type demand struct {
	at       clock.Instant
	arrivals float64 // decayed counts; divided by demandMemory they are rates
	urgent   float64
	work     float64          // decayed seconds of prefill
	rise     float64          // the same over riseMemory
	waiting  map[string]queue // by node
	since    clock.Instant    // requests have waited since; zero: none waits
}

// queue is what waits at one node.
type queue struct {
	requests int
	timely   int
	due      clock.Instant // the first timely request must be sent by then
}

func (d *demand) decay(now clock.Instant) {
	if elapsed := now.Sub(d.at); elapsed > 0 {
		f := math.Exp(-elapsed.Seconds() / demandMemory.Seconds())
		d.arrivals, d.urgent, d.work = d.arrivals*f, d.urgent*f, d.work*f
		d.rise *= math.Exp(-elapsed.Seconds() / riseMemory.Seconds())
	}
	d.at = now
}

func (d *demand) observe(node string, a DemandReport, now clock.Instant) {
	d.decay(now)
	d.arrivals += float64(a.Arrivals)
	d.urgent += float64(a.Urgent)
	d.work += a.Work.Seconds()
	d.rise += a.Work.Seconds()
	d.setWaiting(node, queue{requests: a.Waiting, timely: a.Timely, due: now.Add(a.Due)}, now)
}

func (d *demand) setWaiting(node string, q queue, now clock.Instant) {
	if q.requests == 0 {
		delete(d.waiting, node)
	} else {
		d.waiting[node] = q
	}
	switch {
	case len(d.waiting) == 0:
		d.since = 0
	case d.since == 0:
		d.since = now
	}
}

// total sums the queues of all nodes up.
func (d *demand) total() queue {
	var sum queue
	for _, q := range d.waiting {
		sum.requests += q.requests
		sum.timely += q.timely
		if q.timely > 0 && (sum.due == 0 || q.due < sum.due) {
			sum.due = q.due
		}
	}
	return sum
}

// rate returns requests per second, urgentRate those that cannot wait, utilization the prefill seconds per second.
func (d *demand) rate() float64       { return d.arrivals / demandMemory.Seconds() }
func (d *demand) urgentRate() float64 { return d.urgent / demandMemory.Seconds() }
func (d *demand) utilization() float64 {
	return max(d.work/demandMemory.Seconds(), d.rise/riseMemory.Seconds())
}

// idle reports whether the demand can be forgotten.
func (d *demand) idle() bool { return len(d.waiting) == 0 && d.arrivals < 0.001 }
