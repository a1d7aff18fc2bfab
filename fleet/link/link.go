// Package link holds what one entry VM knows of the runners that it sends requests to, and of the other entry VMs, its
// peers: load, failures, pace and cached prompt prefixes of the runners, the retries that are still allowed,
// requests that crash runners, and the reports that peers exchange. It does no I/O; the current time is always an
// argument.
package link

import (
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/machine"
)

// Load is the requests for one artifact that one entry VM has sent to one runner and that have not ended.
type Load struct {
	Runner   machine.RunnerID
	Artifact machine.Artifact
	Running  int           // number of these requests
	Queued   time.Duration // work, as by pace.Book.Work, of those without a first event yet
	Timely   time.Duration // the part of Queued of requests that are expected to meet their latency objective
	Tokens   int           // that these requests are expected to hold in the runner's memory
	Claimed  int           // tokens of requests that wait for room there
}

// Parameters by which the answers of a runner change its failure rate and ejection. The moving average is exponential.
const (
	// failureWeight is the weight of a new answer in the moving average of failures, from 0 to 1.
	failureWeight = 0.2
	// ejectionThreshold is the failure rate, from 0 to 1, above which a runner is ejected.
	ejectionThreshold = 0.35
	// ejectionTime is how long a failing runner is ejected before it gets requests again.
	ejectionTime = 1500 * time.Millisecond
	// unreachableEjectionTime is how long a runner is ejected after a connection to it failed.
	unreachableEjectionTime = time.Second
)

// negated returns the change that removes the load.
func (l *Load) negated() Load {
	return Load{Running: -l.Running, Queued: -l.Queued, Timely: -l.Timely, Tokens: -l.Tokens, Claimed: -l.Claimed}
}

// RunnerLink holds one entry VM's load and failures of one runner, and the prompt prefixes cached there.
type RunnerLink struct {
	id           machine.RunnerID
	boot         int64 // start of the runner that the link was made for
	ledger       *ledger
	ownLoads     map[machine.Artifact]*Load
	ownTokens    int     // of all ownLoads
	failureRate  float64 // moving average of failed answers, from 0 to 1
	ejectedUntil clock.Instant
	cache        *prefixCache
}

func newRunnerLink(r *machine.Runner, l *ledger) *RunnerLink {
	return &RunnerLink{
		id: r.ID, boot: r.Boot, ledger: l, ownLoads: make(map[machine.Artifact]*Load),
		cache: newPrefixCache(),
	}
}

// Sent counts a request that is sent to the runner; work is that of its prompt, timely says whether it is expected to meet
// its latency objective.
func (l *RunnerLink) Sent(a machine.Artifact, work time.Duration, timely bool) {
	load := l.ownLoads[a]
	if load == nil {
		load = &Load{Runner: l.id, Artifact: a}
		l.ownLoads[a] = load
	}
	l.adjustLoad(load, Load{Running: 1, Queued: work, Timely: timelyPart(work, timely)})
}

func timelyPart(work time.Duration, timely bool) time.Duration {
	if timely {
		return work
	}
	return 0
}

// adjustLoad changes an own load and the sums by the given amounts.
func (l *RunnerLink) adjustLoad(load *Load, change Load) {
	load.Running += change.Running
	load.Queued += change.Queued
	load.Timely += change.Timely
	load.Tokens += change.Tokens
	l.ownTokens += change.Tokens
	load.Claimed += change.Claimed
	l.ledger.add(machine.Place{Runner: l.id, Artifact: load.Artifact}, change, true)
}

// close subtracts this VM's loads from the total, because the runner is gone or has restarted.
func (l *RunnerLink) close() {
	for _, load := range l.ownLoads {
		l.adjustLoad(load, load.negated())
	}
}

// Started counts the first event of an answer: the request no longer waits for its prefill.
func (l *RunnerLink) Started(a machine.Artifact, work time.Duration, timely bool) {
	if load := l.ownLoads[a]; load != nil {
		l.adjustLoad(load, Load{
			Queued: -min(work, load.Queued), Timely: -min(timelyPart(work, timely), load.Timely),
		})
	}
}

// Finished counts the end of a request. The last one to end also clears what is left of the queued prefill time.
func (l *RunnerLink) Finished(a machine.Artifact) {
	load := l.ownLoads[a]
	if load == nil {
		return
	}
	if l.adjustLoad(load, Load{Running: -1}); load.Running <= 0 {
		rest := load.negated()
		rest.Claimed = 0
		if l.adjustLoad(load, rest); load.Claimed <= 0 {
			delete(l.ownLoads, a)
		}
	}
}

// Succeeded counts a complete answer, which lowers the failure rate.
func (l *RunnerLink) Succeeded() { l.failureRate -= failureWeight * l.failureRate }

// Failed counts a failed answer, and ejects the runner if the failure rate exceeds the threshold. The rate then drops
// to half of the threshold, so that the next failure alone does not eject the runner again.
func (l *RunnerLink) Failed(now clock.Instant) {
	l.failureRate += failureWeight * (1 - l.failureRate)
	if l.failureRate > ejectionThreshold {
		l.ejectedUntil = now.Add(ejectionTime)
		l.failureRate = ejectionThreshold / 2
	}
}

// Unreachable ejects the runner for a short time after a failed connection. It does not shorten an ejection.
func (l *RunnerLink) Unreachable(now clock.Instant) {
	l.ejectedUntil = max(l.ejectedUntil, now.Add(unreachableEjectionTime))
}

// Ejected reports whether the runner should get requests only if no other can take them.
func (l *RunnerLink) Ejected(now clock.Instant) bool { return now.Before(l.ejectedUntil) }
