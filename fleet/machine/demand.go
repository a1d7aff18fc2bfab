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

// Need is an artifact that requests ask for: of any runner or, to go on with streams, of one with a software version.
type Need struct {
	Artifact
	Version SoftwareVersion // empty: any
}

// Base returns the need without the adapter.
func (n Need) Base() Need { return Need{n.Artifact.Base(), n.Version} }

// Serves reports whether the version of a runner's software meets the need.
func (n Need) Serves(r *Runner) bool { return n.Version == "" || n.Version == r.Version }

// Base returns the model of the artifact, without the adapter.
func (a Artifact) Base() Artifact { return Artifact{Service: a.Service, Model: a.Model} }

// demandTimeConstant is the time constant of the exponential decay of past arrivals. Demand moves between models
// within about five seconds.
const demandTimeConstant = 3 * time.Second

// recentTimeConstant is the time constant of the shorter average, which shows rising demand: a model that becomes
// busy within seconds needs its replicas before the longer average rises.
const recentTimeConstant = time.Second

// fallMargin is the factor by which the shorter average must be below the longer one to show a fall; less is usual variation.
const fallMargin = 1.5

// DemandReport is the demand for one artifact at one entry VM since its last report.
type DemandReport struct {
	Artifact Artifact
	Version  SoftwareVersion // that the requests need; empty: any
	Waiting  int             // requests that wait for a replica now
	Timely   int             // of those, requests that can still meet their latency objective
	Due      time.Duration   // time left until the first of these must be sent
	Held     int             // of the waiting requests, those whose runners want no request for longer than a load takes
	Arrivals int             // requests since the last report
	Urgent   int             // of the arrivals, requests that cannot wait for a load
	Work     time.Duration   // prefill time of the arrivals
	Late     int             // requests whose first event came late, or that were sent too late to be in time
}

// demand is the demand of all entry VMs for one artifact.
type demand struct {
	decayedAt    clock.Instant
	arrivals     float64 // decayed number of requests; divided by demandTimeConstant, a rate
	urgent       float64
	late         float64          // decayed number of late requests
	work         float64          // decayed seconds of prefill
	recentWork   float64          // the same, decayed with recentTimeConstant
	waiting      map[string]queue // by node
	waitingSince clock.Instant    // start of the current wait; zero: no request waits
}

// queue counts the requests that wait at one node.
type queue struct {
	requests int
	timely   int
	due      clock.Instant // latest instant to send the first timely request
	held     int           // see DemandReport
}

// decay brings the averages forward to now.
func (d *demand) decay(now clock.Instant) {
	if elapsed := now.Sub(d.decayedAt); elapsed > 0 {
		f := math.Exp(-elapsed.Seconds() / demandTimeConstant.Seconds())
		d.arrivals, d.urgent, d.late, d.work = d.arrivals*f, d.urgent*f, d.late*f, d.work*f
		d.recentWork *= math.Exp(-elapsed.Seconds() / recentTimeConstant.Seconds())
	}
	d.decayedAt = now
}

// observe adds a node's report to the averages, and replaces the requests that wait there.
func (d *demand) observe(node string, report DemandReport, now clock.Instant) {
	d.decay(now)
	d.arrivals += float64(report.Arrivals)
	d.urgent += float64(report.Urgent)
	d.late += float64(report.Late)
	d.work += report.Work.Seconds()
	d.recentWork += report.Work.Seconds()
	d.setWaiting(node, report.queue(now), now)
}

// Need returns what the requests of the report ask for.
func (d DemandReport) Need() Need { return Need{d.Artifact, d.Version} }

// queue returns the waiting requests of a report.
func (d DemandReport) queue(now clock.Instant) queue {
	return queue{requests: d.Waiting, timely: d.Timely, due: now.Add(d.Due), held: d.Held}
}

func (d *demand) setWaiting(node string, q queue, now clock.Instant) {
	if q.requests == 0 {
		delete(d.waiting, node)
	} else {
		d.waiting[node] = q
	}
	switch {
	case len(d.waiting) == 0:
		d.waitingSince = 0
	case d.waitingSince == 0:
		d.waitingSince = now
	}
}

// total sums up the queues of all nodes.
func (d *demand) total() queue {
	var sum queue
	for _, q := range d.waiting {
		sum = sum.plus(q)
	}
	return sum
}

// rate returns the requests per second, urgentRate those that cannot wait for a load, lateRate those that came late, utilization the prefill seconds
// per second: the longer average or, while demand rises, the shorter one.
func (d *demand) rate() float64       { return d.arrivals / demandTimeConstant.Seconds() }
func (d *demand) lateRate() float64   { return d.late / demandTimeConstant.Seconds() }
func (d *demand) urgentRate() float64 { return d.urgent / demandTimeConstant.Seconds() }
func (d *demand) utilization() float64 {
	return max(d.work/demandTimeConstant.Seconds(), d.recentWork/recentTimeConstant.Seconds())
}

// idle reports whether no request waits and the past arrivals have decayed, so that the demand can be dropped.
func (d *demand) idle() bool { return len(d.waiting) == 0 && d.arrivals < 0.001 }

// fallenUtilization returns the prefill seconds per second like utilization, but the shorter average also while the demand
// falls, which shows that it has moved before the longer one has decayed.
func (d *demand) fallenUtilization() float64 {
	recent := fallMargin * d.recentWork / recentTimeConstant.Seconds()
	if recent < d.work/demandTimeConstant.Seconds() {
		return recent
	}
	return d.utilization()
}
