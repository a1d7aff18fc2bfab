package link

import (
	"maps"
	"slices"
	"time"

	"github.com/mangopass/mangopass/fleet/machine"
)

// ledger sums up the loads of all entry VMs, and remembers which sums have changed.
type ledger struct {
	totals         map[machine.RunnerID]*runnerTotal // over all VMs
	below          map[machine.Place]Load            // over this VM and those that it relays for
	changedBelow   map[machine.Place]bool            // since the last TakeChanges
	changedRunners map[machine.RunnerID]bool
}

// runnerTotal is the sum of the loads of all entry VMs on one runner. A relay reports to its own VMs only sums of
// runners, under the empty artifact.
type runnerTotal struct {
	running           int
	queued            time.Duration
	timely            time.Duration
	tokens, claimed   int
	runningByArtifact map[machine.Artifact]int // number of running requests; zeros are deleted
}

func newLedger() *ledger {
	return &ledger{
		totals: make(map[machine.RunnerID]*runnerTotal), below: make(map[machine.Place]Load),
		changedBelow: make(map[machine.Place]bool), changedRunners: make(map[machine.RunnerID]bool),
	}
}

// add adds the change of a load to the sums. below says whether the load is this VM's or that of a VM for which it
// relays.
func (l *ledger) add(p machine.Place, change Load, below bool) {
	if change.Running == 0 && change.Queued == 0 && change.Timely == 0 && change.Tokens == 0 && change.Claimed == 0 {
		return
	}
	sum := l.totalFor(p.Runner)
	sum.running += change.Running
	sum.queued += change.Queued
	sum.timely += change.Timely
	sum.tokens += change.Tokens
	sum.claimed += change.Claimed
	if sum.runningByArtifact[p.Artifact] += change.Running; sum.runningByArtifact[p.Artifact] == 0 {
		delete(sum.runningByArtifact, p.Artifact)
	}
	l.changedRunners[p.Runner] = true
	if !below {
		return
	}
	load := l.below[p]
	load.Runner, load.Artifact = p.Runner, p.Artifact
	load.Running += change.Running
	load.Queued += change.Queued
	load.Timely += change.Timely
	load.Tokens += change.Tokens
	load.Claimed += change.Claimed
	l.changedBelow[p] = true
	if load.Running == 0 && load.Queued == 0 && load.Claimed == 0 {
		delete(l.below, p)
	} else {
		l.below[p] = load
	}
}

// totalFor returns the total of a runner, and creates it if there is none.
func (l *ledger) totalFor(r machine.RunnerID) *runnerTotal {
	sum := l.totals[r]
	if sum == nil {
		sum = &runnerTotal{runningByArtifact: make(map[machine.Artifact]int)}
		l.totals[r] = sum
	}
	return sum
}

// Changes lists what has changed since the last TakeChanges: places with loads of this VM or those that it relays for,
// and runners with loads of any VM.
type Changes struct {
	Below   []machine.Place
	Runners []machine.RunnerID
}

// TakeChanges returns the changes since the last call.
func (l *ledger) TakeChanges() Changes {
	c := Changes{
		Below: slices.Collect(maps.Keys(l.changedBelow)), Runners: slices.Collect(maps.Keys(l.changedRunners)),
	}
	clear(l.changedBelow)
	clear(l.changedRunners)
	return c
}
