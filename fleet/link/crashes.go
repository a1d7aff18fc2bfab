package link

import (
	"cmp"
	"slices"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
)

// Limits for requests that crash runners.
const (
	// crashLimit is the number of crashes from which a request is refused. Two would not tell a request that crashes runners
	// from a sound one that went to the same two.
	crashLimit = 3
	// soundCrashSpan is the shortest time between the first and the last crash from which a request is refused that was
	// complete before: so many runners may have gone down for another reason before one could complete it again.
	soundCrashSpan = 2 * time.Second
	// crashMemory is how long a crash is remembered, unless maxCrashRecords is reached.
	crashMemory = time.Hour
	// maxCrashRecords limits the requests with crashes. Those go first that crashed longest ago and aren't blocked.
	maxCrashRecords = 4096
	// maxCompleted limits the complete requests that are remembered, in each of two generations.
	maxCompleted = 2048
)

// CrashTracker finds requests that crash each runner that runs them. A request is known by the digest of its content, which
// stays the same when the caller sends it again. A crash takes all runs of its runner along, so it counts for all of their
// requests; a complete run proves its request sound. Entry VMs tell each other of broken runs, since a caller may send the
// request again to any of them.
type CrashTracker struct {
	records   map[uint64]*crashRecord // by request digest
	completed [2]map[uint64]bool      // digests of complete requests: the present generation and the one before
	version   uint64                  // changes with the blocked requests
}

// crashRecord holds the crashes of one request in the order of time, and for how long it is blocked.
type crashRecord struct {
	crashes []requestCrash
	block
}

// requestCrash is the crash of one start of a runner with a run of the request that had been sent at the given instant.
type requestCrash struct {
	start    runnerStart
	at, sent clock.Instant
}

// sameCrash reports whether two runs broke off in the same crash. A run that was sent to the same start much later went to one
// that has started again since, and whose new entry was not known yet.
func (c requestCrash) sameCrash(other requestCrash) bool {
	return c.start == other.start && c.sent.Sub(other.at) <= sameCrashTime
}

// NewCrashTracker returns a tracker without crashes.
func NewCrashTracker() *CrashTracker {
	return &CrashTracker{
		records: make(map[uint64]*crashRecord), completed: [2]map[uint64]bool{make(map[uint64]bool), make(map[uint64]bool)},
	}
}

// Add counts a broken run, once for each crash. It reports whether the request is blocked from now on.
func (t *CrashTracker) Add(run BrokenRun, now clock.Instant) bool {
	record := t.records[run.Digest]
	if record == nil {
		t.makeRoom(now)
		record = &crashRecord{}
		t.records[run.Digest] = record
	}
	at := now.Add(-max(0, run.Age))
	c := requestCrash{start: runnerStart{run.Runner, run.Boot}, at: at, sent: at.Add(-max(0, run.Took))}
	if slices.ContainsFunc(record.crashes, c.sameCrash) {
		return false
	}
	record.crashes = append(record.crashes, c)
	slices.SortStableFunc(record.crashes, func(a, b requestCrash) int { return cmp.Compare(a.at, b.at) })
	if record.active(now) || !record.overLimit(t.wasComplete(run.Digest)) {
		return false
	}
	record.begin(now, record.crashes[0].at)
	t.version++
	return true
}

// overLimit reports whether the request is to be blocked. Runners that go down together count as one crash: a run counts if
// it was sent after the crash that counted before. Once the request has been blocked, one crash is enough.
func (r *crashRecord) overLimit(wasComplete bool) bool {
	var first, last clock.Instant
	n := 0
	for _, c := range r.crashes {
		switch {
		case r.times > 0 && !c.sent.Before(r.until):
			return true
		case n == 0:
			first, last, n = c.at, c.at, 1
		case !c.sent.Before(last):
			last, n = c.at, n+1
		}
	}
	return r.times == 0 && n >= crashLimit && (!wasComplete || last.Sub(first) >= soundCrashSpan)
}

// makeRoom forgets a quarter of the requests if there are too many.
func (t *CrashTracker) makeRoom(now clock.Instant) {
	if len(t.records) < maxCrashRecords {
		return
	}
	digests := make([]uint64, 0, len(t.records))
	for digest := range t.records {
		digests = append(digests, digest)
	}
	slices.SortFunc(digests, func(a, b uint64) int {
		return cmp.Compare(t.records[a].keepUntil(now), t.records[b].keepUntil(now))
	})
	for _, digest := range digests[:maxCrashRecords/4] {
		delete(t.records, digest)
	}
}

// keepUntil orders the requests by how long they are to be remembered.
func (r *crashRecord) keepUntil(now clock.Instant) clock.Instant {
	last := clock.Instant(0)
	if len(r.crashes) > 0 {
		last = r.crashes[len(r.crashes)-1].at
	}
	if r.active(now) {
		last = max(last, r.until)
	}
	return last
}

// Completed counts a complete run of a request, and reports whether it had crashes.
func (t *CrashTracker) Completed(digest uint64) bool {
	if t.completed[0][digest] = true; len(t.completed[0]) >= maxCompleted {
		t.completed = [2]map[uint64]bool{make(map[uint64]bool), t.completed[0]}
	}
	return t.Forget(digest)
}

func (t *CrashTracker) wasComplete(digest uint64) bool {
	return t.completed[0][digest] || t.completed[1][digest]
}

// Blocked reports whether a request must not be sent to a runner, because it may be what crashes them.
func (t *CrashTracker) Blocked(digest uint64, now clock.Instant) bool {
	r := t.records[digest]
	return r != nil && r.active(now)
}

// Adopt takes over a request that a peer blocks, and reports whether it was not blocked here.
func (t *CrashTracker) Adopt(b BlockedSuspect, now clock.Instant) bool {
	if !b.valid() {
		return false
	}
	r := t.records[b.Part]
	if r == nil {
		t.makeRoom(now)
		r = &crashRecord{}
		t.records[b.Part] = r
	}
	adopted, began := r.adopt(b, now)
	if adopted {
		t.version++
	}
	return began
}

// BlockedRequests returns the requests that are blocked.
func (t *CrashTracker) BlockedRequests(now clock.Instant) []BlockedSuspect {
	var out []BlockedSuspect
	for digest, r := range t.records {
		if r.active(now) {
			out = append(out, r.state(digest, now))
		}
	}
	return out
}

// Version returns a number that changes whenever a request is blocked or cleared.
func (t *CrashTracker) Version() uint64 { return t.version }

// Forget drops the crashes of a request that has been proved sound or whose broken runs have another cause, and reports
// whether there were any.
func (t *CrashTracker) Forget(digest uint64) bool {
	r := t.records[digest]
	if r == nil {
		return false
	}
	if r.times > 0 {
		t.version++
	}
	delete(t.records, digest)
	return true
}

// Len returns the number of requests with crashes.
func (t *CrashTracker) Len() int { return len(t.records) }

// Expire forgets the crashes that are older than crashMemory. A request that was blocked is remembered for as long again, so
// that the next crash blocks it at once.
func (t *CrashTracker) Expire(now clock.Instant) {
	for digest, r := range t.records {
		r.crashes = slices.DeleteFunc(r.crashes, func(c requestCrash) bool { return now.Sub(c.at) > crashMemory })
		if len(r.crashes) == 0 && r.over(now) {
			delete(t.records, digest)
		}
	}
}
