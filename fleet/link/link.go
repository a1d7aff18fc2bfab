// Package link holds what one entry VM knows about the runners and peers that it talks to: their load, their failures,
// and the retries that it may still spend on them. It does no I/O; the time is always an argument.
package link

import (
	"math"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/machine"
)

// Load is what one entry VM has at a runner for one artifact.
type Load struct {
	Runner   machine.RunnerID
	Artifact machine.Artifact
	Running  int           // requests sent and not finished
	Queued   time.Duration // prefill time of those that have no first event yet
}

// Figures of the judgement of runners by their answers.
const (
	// failureMemory is the weight of one more answer in the share of failures.
	failureMemory = 0.2
	// failureLimit is the share of failures from which a runner is ejected.
	failureLimit = 0.35
	// ejection is how long a failing runner is ejected before it gets a request again.
	ejection = 1500 * time.Millisecond
	// unreachableEjection is how long a runner is ejected that could not be reached at all.
	unreachableEjection = time.Second
	// slownessMemory is the weight of one more answer in a runner's slowness.
	slownessMemory = 0.15
)

// total is what all entry VMs have at one runner.
type total struct {
	running  int
	queued   time.Duration
	artifact map[machine.Artifact]int // running requests
}

// add counts a load, or a change of one.
func (t *total) add(a machine.Artifact, running int, queued time.Duration) {
	t.running += running
	t.queued += queued
	if t.artifact[a] += running; t.artifact[a] == 0 {
		delete(t.artifact, a)
	}
}

// RunnerLink is the link to one runner.
type RunnerLink struct {
	id           machine.RunnerID
	boot         int64
	total        *total
	own          map[machine.Artifact]*Load
	changed      map[machine.Place]bool // of the table: own loads that the peers have not been told
	failures     float64                // decayed share of failed answers
	ejectedUntil clock.Instant
	slowness     float64 // decayed ratio of the time to the first event to the expected time
	cached       *prefixCache
}

func newRunner(r *machine.Runner, t *total, changed map[machine.Place]bool) *RunnerLink {
	return &RunnerLink{
		id: r.ID, boot: r.Boot, total: t, own: make(map[machine.Artifact]*Load), changed: changed, slowness: 1, cached: newPrefixCache(),
	}
}

// Sent counts a request that goes out.
func (l *RunnerLink) Sent(a machine.Artifact, prefill time.Duration) {
	load := l.own[a]
	if load == nil {
		load = &Load{Runner: l.id, Artifact: a}
		l.own[a] = load
	}
	l.change(load, 1, prefill)
}

// change applies a change to an own load and to the runner's total.
func (l *RunnerLink) change(load *Load, running int, queued time.Duration) {
	load.Running += running
	load.Queued += queued
	l.total.add(load.Artifact, running, queued)
	l.changed[machine.Place{Runner: l.id, Artifact: load.Artifact}] = true
}

// close takes this VM's loads out of the total: the runner is gone or has started anew.
func (l *RunnerLink) close() {
	for _, load := range l.own {
		l.change(load, -load.Running, -load.Queued)
	}
}

// Started counts the first event of an answer and the time that it took against the expected one.
func (l *RunnerLink) Started(a machine.Artifact, prefill, took, expected time.Duration) {
	if load := l.own[a]; load != nil {
		l.change(load, 0, -min(prefill, load.Queued))
	}
	if expected > 0 {
		ratio := math.Min(took.Seconds()/expected.Seconds(), maxSlowness)
		l.slowness += slownessMemory * (ratio - l.slowness)
	}
}

// maxSlowness bounds the effect of a single answer on the judgement.
const maxSlowness = 20

// Finished counts the end of a request.
func (l *RunnerLink) Finished(a machine.Artifact) {
	load := l.own[a]
	if load == nil {
		return
	}
	if l.change(load, -1, 0); load.Running <= 0 {
		l.change(load, 0, -load.Queued)
		delete(l.own, a)
	}
}

// Succeeded and Failed judge an answer.
func (l *RunnerLink) Succeeded() { l.failures -= failureMemory * l.failures }

// Failed counts a failed answer.
func (l *RunnerLink) Failed(now clock.Instant) {
	l.failures += failureMemory * (1 - l.failures)
	if l.failures > failureLimit {
		l.ejectedUntil = now.Add(ejection)
		l.failures = failureLimit / 2
	}
}

// Unreachable counts a failed connection.
func (l *RunnerLink) Unreachable(now clock.Instant) { l.ejectedUntil = now.Add(unreachableEjection) }

// Ejected reports whether the runner should get no requests while others can take them.
func (l *RunnerLink) Ejected(now clock.Instant) bool { return now.Before(l.ejectedUntil) }
