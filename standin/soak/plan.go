// Package soak runs the shipped program as separate processes, injects faults from outside them, and checks what callers
// and runners see: each request runs as often as it may, each caller gets its own whole answer or a true refusal, and the
// system recovers. Faults and load are drawn from one seed.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is the kind of a fault.
type Kind string

// The kinds of faults.
const (
	EntryPaused   Kind = "entry_paused"  // SIGSTOP, then SIGCONT
	EntryKilled   Kind = "entry_killed"  // SIGKILL, then started again
	EntryStopped  Kind = "entry_stopped" // SIGTERM, then started again
	StoreRefuses  Kind = "store_refuses"
	StoreSilent   Kind = "store_silent"
	StoreSlow     Kind = "store_slow"
	StoreLoses    Kind = "store_loses_answers"
	StoreCompacts Kind = "store_compacts"
	StoreRestored Kind = "store_restored" // is away at the end, and returns as it was at the start
	LinkDelayed   Kind = "link_delayed"   // to a runner, or of an entry VM to the store, like the next three
	LinkReset     Kind = "link_reset"     // connections are reset as soon as they carry bytes
	LinkSilent    Kind = "link_silent"    // bytes are held back both ways
	LinkCut       Kind = "link_cut"       // what the entry VM is to get is held back
	LinkLost      Kind = "link_lost"      // connections that carry bytes meanwhile stay silent for good; not drawn in plans
	RunnerResets  Kind = "runner_resets"
	RunnerSheds   Kind = "runner_sheds"
	RunnerHangs   Kind = "runner_hangs"
	RunnerLimited Kind = "runner_limited"
	RunnerLeaves  Kind = "runner_leaves" // its entry is removed; it goes on to serve
	RunnerDrains  Kind = "runner_drains"
	RunnerSays    Kind = "runner_says_it_leaves" // in its answers; its entry stays as it is
	RunnerPauses  Kind = "runner_pauses"         // refuses all requests and states a time to come back
	RunnerSilent  Kind = "runner_silent"         // sends nothing for up to maxSilence, and goes on as if nothing had been

	// AllKilled ends all entry VMs at the same moment by SIGKILL; they are started again at once.
	AllKilled Kind = "all_entries_killed"
	// RunnerReleased starts a runner again with another software version and without models.
	RunnerReleased Kind = "runner_released"
	// RunnerGarbles spoils answers: an earlier refusal in their place, heads that are cut off, without end or not
	// valid HTTP, a second answer.
	RunnerGarbles Kind = "runner_garbles"
	// ZoneEvacuated is the evacuation of a zone, which is taken back at the end.
	ZoneEvacuated Kind = "zone_evacuated"
	// EntryMisses is a suspension in which a key is withdrawn and the store returns from an older copy. Until some seconds
	// after the VM has gone on, no other manifest follows that would tell it what it has missed.
	EntryMisses Kind = "entry_misses_change"
)

// planned reports whether the fault is planned work, which must break no request, or what a sound runner does.
func (k Kind) planned() bool {
	return k == EntryStopped || k == RunnerLeaves || k == RunnerDrains || k == RunnerLimited || k == StoreCompacts ||
		k == RunnerSays || k == RunnerPauses || k == RunnerSilent || k == ZoneEvacuated
}

// kindsByTarget lists the faults of each kind of target.
var kindsByTarget = map[string][]Kind{
	"entry": {EntryPaused, EntryKilled, EntryStopped},
	"store": {StoreRefuses, StoreSilent, StoreSlow, StoreLoses, StoreCompacts},
	"link":  {LinkDelayed, LinkReset, LinkSilent, LinkCut},
	"runner": {
		RunnerResets, RunnerSheds, RunnerHangs, RunnerLimited, RunnerLeaves, RunnerDrains,
	},
}

// Fault is a fault of one target, from Start after the start of the load until End.
type Fault struct {
	Kind   Kind          `json:"kind"`
	Target string        `json:"target"` // "entry", "store", "link", "peer" (link of the other VMs to an entry VM), "runner" or "zone"
	Index  int           `json:"index"`  // of the entry VM, the runner, or the link: those to runners come first
	Start  time.Duration `json:"start"`
	End    time.Duration `json:"end"`
}

// String returns the fault as one line of a timeline.
func (f Fault) String() string {
	return fmt.Sprintf("%6.2f s to %6.2f s  %s %d: %s", f.Start.Seconds(), f.End.Seconds(), f.Target, f.Index, f.Kind)
}

// Times of faults.
const (
	maxFaultGap  = 1500 * time.Millisecond // between the starts of two faults
	minFaultTime = 300 * time.Millisecond
	maxFaultTime = 3 * time.Second
	firstFaultAt = time.Second
	limitTime    = 6 * time.Second // of RunnerLimited, so that a window of its check fits in
	leavingTime  = 4 * time.Second // of RunnerLeaves and RunnerDrains
	addedGap     = 6 * time.Second // the largest time between the starts of two added faults
	laterGap     = 8 * time.Second // the same for faults that were added later
	versionGap   = 6 * time.Second // the same for releases and ends of all entry VMs
	silenceGap   = 3 * time.Second // the same for silences of runners
	maxSilence   = 2 * time.Second // of a sound runner
	restoreAge   = 6 * time.Second // the largest time by which the copy is older
	// restoreOutage is the time for which the store is away before it is restored.
	restoreOutage = 400 * time.Millisecond
	// maxUnread is the largest time between the copy of a restore and the suspension of an entry VM that lasts over it. Its
	// revisions are given out again in about the same time, after which the VM goes on for at most maxResume.
	maxUnread = 2 * time.Second
	maxResume = 3 * time.Second
)

// Sizes is the number of targets of each kind; there is one store.
type Sizes struct{ Entries, Engines, Runners, Links int }

// Plan draws the faults of a run. Faults of different targets overlap; a target has one at a time.
func Plan(r *rand.Rand, duration time.Duration, sizes Sizes) []Fault {
	var faults []Fault
	busy := make(map[string]time.Duration) // end of the last fault, by target
	targets := []string{"entry", "store", "link", "runner"}
	for at := firstFaultAt; at < duration; at += time.Duration(r.Int64N(int64(maxFaultGap))) {
		f := Fault{Target: targets[r.IntN(len(targets))], Start: at}
		switch f.Target {
		case "entry":
			f.Index = r.IntN(sizes.Entries)
		case "link":
			f.Index = r.IntN(sizes.Links)
		case "runner":
			f.Index = r.IntN(sizes.Runners)
		}
		kinds := kindsByTarget[f.Target]
		f.Kind = kinds[r.IntN(len(kinds))]
		f.End = at + minFaultTime + time.Duration(r.Int64N(int64(maxFaultTime-minFaultTime)))
		switch f.Kind {
		case RunnerLimited:
			f.End = at + limitTime
		case RunnerLeaves, RunnerDrains:
			f.End = at + leavingTime
		}
		key := fmt.Sprint(f.Target, f.Index)
		if busy[key] > at {
			continue
		}
		busy[key] = f.End
		faults = append(faults, f)
	}
	return faults
}

// PlanAdded draws the faults that were added to the soak after seeds had failed. They come from a source of their own, so
// that the other faults of a seed stay what they were, and don't overlap with those of the same target.
func PlanAdded(r *rand.Rand, duration time.Duration, sizes Sizes, others []Fault) []Fault {
	return drawFaults(r, addedGap, duration, others, func(at time.Duration) Fault {
		f := Fault{Kind: []Kind{StoreRestored, RunnerSays, RunnerPauses}[r.IntN(3)], Start: at}
		switch f.Kind {
		case StoreRestored:
			f.Target, f.End = "store", at+restoreOutage+time.Duration(r.Int64N(int64(restoreAge)))
		case RunnerSays, RunnerPauses:
			f.Target, f.Index, f.End = "runner", r.IntN(sizes.Runners), at+leavingTime
		}
		return f
	})
}

// PlanLater draws, in the same way, the faults that were added after those: of the links between entry VMs, and of answers.
func PlanLater(r *rand.Rand, duration time.Duration, sizes Sizes, others []Fault) []Fault {
	kinds := append(slices.Clone(kindsByTarget["link"]), RunnerGarbles)
	return drawFaults(r, laterGap, duration, others, func(at time.Duration) Fault {
		f := Fault{Kind: kinds[r.IntN(len(kinds))], Target: "peer", Index: r.IntN(sizes.Entries), Start: at}
		if f.Kind == RunnerGarbles {
			f.Target, f.Index = "runner", r.IntN(sizes.Runners)
		}
		f.End = at + minFaultTime + time.Duration(r.Int64N(int64(maxFaultTime-minFaultTime)))
		return f
	})
}

// PlanVersions draws, in the same way, releases of engines and ends of all entry VMs at once.
func PlanVersions(r *rand.Rand, duration time.Duration, sizes Sizes, others []Fault) []Fault {
	return drawFaults(r, versionGap, duration, others, func(at time.Duration) Fault {
		if r.IntN(2) == 0 {
			return Fault{Kind: AllKilled, Target: "entries", Start: at, End: at + minFaultTime}
		}
		return Fault{Kind: RunnerReleased, Target: "runner", Index: r.IntN(sizes.Engines), Start: at, End: at + minFaultTime}
	})
}

// PlanSilences draws, in the same way, silences of sound runners.
func PlanSilences(r *rand.Rand, duration time.Duration, sizes Sizes, others []Fault) []Fault {
	return drawFaults(r, silenceGap, duration, others, func(at time.Duration) Fault {
		silence := minFaultTime + time.Duration(r.Int64N(int64(maxSilence-minFaultTime)))
		return Fault{Kind: RunnerSilent, Target: "runner", Index: r.IntN(sizes.Runners), Start: at, End: at + silence}
	})
}

// drawFaults draws faults, the starts of two of them at most gap apart, and drops those that last too long or overlap with one
// of the same target.
func drawFaults(
	r *rand.Rand, gap, duration time.Duration, others []Fault, draw func(at time.Duration) Fault,
) (faults []Fault) {
	for at := firstFaultAt; at < duration; {
		at += time.Duration(r.Int64N(int64(gap)))
		if f := draw(at); f.End < duration && !slices.ContainsFunc(append(others, faults...), f.overlaps) {
			faults = append(faults, f)
		}
	}
	return faults
}

// PlanSuspensions draws entry VMs that are suspended over the returns of the store from an older copy and miss the last change
// before. They go on once the store has given out again the revisions that they know. An entry VM has one fault at a time.
func PlanSuspensions(r *rand.Rand, sizes Sizes, others []Fault) []Fault {
	var suspensions []Fault
	for _, restore := range others {
		if restore.Kind != StoreRestored {
			continue
		}
		f := Fault{Kind: EntryMisses, Target: "entry", Index: r.IntN(sizes.Entries)}
		unread := min(maxUnread, time.Duration(r.Int64N(int64(restore.End-restoreOutage-restore.Start)+1)))
		f.Start = restore.Start + unread
		f.End = restore.End + unread + minFaultTime + time.Duration(r.Int64N(int64(maxResume-minFaultTime)))
		if !slices.ContainsFunc(append(others, suspensions...), f.overlaps) {
			suspensions = append(suspensions, f)
		}
	}
	return suspensions
}

// overlaps reports whether another fault has the same target at the same time.
func (f Fault) overlaps(o Fault) bool {
	same := o.Target == f.Target && (o.Index == f.Index || f.Target == "zone")
	allEntries := f.Kind == AllKilled && o.Target == "entry" || o.Kind == AllKilled && f.Target == "entry"
	return (same || allEntries) && o.Start < f.End && f.Start < o.End
}
