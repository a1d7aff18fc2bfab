package machine

import "github.com/mangopass/mangopass/duty/clock"

// DemandBook collects the demand that a VM reports towards the planner: its own, and that of the VMs for which it
// relays.
type DemandBook struct {
	arrivals map[Need]*DemandReport    // since the last Take; nothing waits in them
	below    map[string]map[Need]queue // requests that wait at the VMs below, by their names
}

// WaitingRequest is a request that waits for a replica at this VM.
type WaitingRequest struct {
	Artifact Artifact
	Version  SoftwareVersion // of the runner's software, which a stream goes on at; empty: any
	Due      clock.Instant   // latest instant to send it, so that it meets its latency objective
	// HeldUntil is when the first runner with the artifact takes requests again; zero: no runner has it.
	HeldUntil clock.Instant
}

// NewDemandBook returns an empty book.
func NewDemandBook() *DemandBook {
	return &DemandBook{arrivals: make(map[Need]*DemandReport), below: make(map[string]map[Need]queue)}
}

// Arrived counts a request at this VM, or one that came late.
func (b *DemandBook) Arrived(d DemandReport) { b.add(d) }

func (b *DemandBook) add(d DemandReport) {
	sum := b.arrivals[d.Need()]
	if sum == nil {
		sum = &DemandReport{Artifact: d.Artifact, Version: d.Version}
		b.arrivals[d.Need()] = sum
	}
	sum.Arrivals += d.Arrivals
	sum.Urgent += d.Urgent
	sum.Work += d.Work
	sum.Late += d.Late
}

// Merge applies the report of a VM below. No request waits there for an artifact that it leaves out.
func (b *DemandBook) Merge(node string, reports []DemandReport, now clock.Instant) {
	queues := make(map[Need]queue)
	for _, d := range reports {
		if d.Arrivals > 0 || d.Late > 0 {
			b.add(d)
		}
		if d.Waiting > 0 {
			queues[d.Need()] = d.queue(now)
		}
	}
	b.below[node] = queues
}

// Remove drops the waiting requests of a VM that is no longer below this one.
func (b *DemandBook) Remove(node string) { delete(b.below, node) }

// Take returns the demand since the last call and the requests that wait now, those of this VM among them.
func (b *DemandBook) Take(own []WaitingRequest, now clock.Instant) []DemandReport {
	waiting := make(map[Need]queue)
	for _, w := range own {
		need := Need{w.Artifact, w.Version}
		waiting[need] = waiting[need].plus(w.queue(now))
	}
	for _, queues := range b.below {
		for need, q := range queues {
			waiting[need] = waiting[need].plus(q)
		}
	}
	for need := range waiting {
		b.add(DemandReport{Artifact: need.Artifact, Version: need.Version})
	}
	out := make([]DemandReport, 0, len(b.arrivals))
	for need, d := range b.arrivals {
		q := waiting[need]
		d.Waiting, d.Timely, d.Held = q.requests, q.timely, q.held
		if q.timely > 0 {
			d.Due = max(0, q.due.Sub(now))
		}
		out = append(out, *d)
	}
	clear(b.arrivals)
	return out
}

// queue returns the queue of one request.
func (w WaitingRequest) queue(now clock.Instant) queue {
	q := queue{requests: 1}
	if w.Due.After(now) {
		q.timely, q.due = 1, w.Due
	}
	if w.HeldUntil.Sub(now) > minLoadTime {
		q.held = 1
	}
	return q
}

// plus returns the queue of the requests of both.
func (q queue) plus(other queue) queue {
	q.requests += other.requests
	q.held += other.held
	if other.timely > 0 && (q.timely == 0 || other.due < q.due) {
		q.due = other.due
	}
	q.timely += other.timely
	return q
}
