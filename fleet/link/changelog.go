package link

import (
	"cmp"
	"slices"
	"time"
)

// StoreEntry is a changed key of the platform's store.
type StoreEntry struct {
	Key      string
	Value    []byte
	Revision int64 // of the change
	Deleted  bool
}

// StoreFeed carries the store's changes from a relay to a VM below it, so that the VM need not watch the store itself.
type StoreFeed struct {
	Era      int64 // of the revisions
	From, To int64 // the entries are all that changed after From, up to To
	Entries  []StoreEntry

	// SinceOutage is the time from the end of the store's last outage until the arrival of the receiver's last report, like
	// Age; zero: there was none. Entries that lapsed in an outage come back after it.
	SinceOutage time.Duration

	// Boot and Answers name the process and the sequence number of the receiver's last report. Age is the time from the
	// sending of the store call that showed the state at To until the arrival of that report; it is negative if the
	// call was sent later. The receiver counts from when it sent the report, so a feed that is delayed on its way never
	// proves more than was known.
	Boot    int64
	Answers uint64
	Age     time.Duration
}

// maxLogEntries limits the keys in a ChangeLog.
const maxLogEntries = 4096

// ChangeLog keeps the last change of each key of the platform's store in its present era, as far back as it is complete.
type ChangeLog struct {
	era      int64 // of the revisions below
	base     int64 // all changes after it are known
	revision int64 // up to which the changes are known
	newest   int64 // revision of the newest entry
	entries  map[string]StoreEntry
}

// NewChangeLog returns a log without any change.
func NewChangeLog() *ChangeLog { return &ChangeLog{entries: make(map[string]StoreEntry)} }

// Restart empties the log after a listing of the whole store at a position, which does not show what was removed before.
func (l *ChangeLog) Restart(at Position) {
	*l = ChangeLog{
		era: at.Era, base: at.Revision, revision: at.Revision, newest: at.Revision, entries: make(map[string]StoreEntry),
	}
}

// Record adds a change.
func (l *ChangeLog) Record(e StoreEntry) {
	if e.Revision < l.entries[e.Key].Revision || e.Revision <= l.base {
		return
	}
	l.entries[e.Key] = e
	l.newest = max(l.newest, e.Revision)
	if len(l.entries) > maxLogEntries {
		l.dropOlderHalf()
	}
}

// Advance states that all changes up to a revision have been recorded, except for those that nobody needs.
func (l *ChangeLog) Advance(revision int64) { l.revision = max(l.revision, revision) }

// Position returns the position up to which the changes are known.
func (l *ChangeLog) Position() Position { return Position{Era: l.era, Revision: l.revision} }

// Since returns the changes after a position in their order. It returns false if the log does not reach back that far.
func (l *ChangeLog) Since(p Position) ([]StoreEntry, bool) {
	if p.Era != l.era || p.Revision < l.base || l.revision == 0 {
		return nil, false
	}
	if p.Revision >= l.newest {
		return nil, true
	}
	var changes []StoreEntry
	for _, e := range l.entries {
		if e.Revision > p.Revision {
			changes = append(changes, e)
		}
	}
	slices.SortFunc(changes, func(a, b StoreEntry) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Key, b.Key))
	})
	return changes, true
}

// dropOlderHalf removes the older half of the entries and moves the base up to them.
func (l *ChangeLog) dropOlderHalf() {
	var revisions []int64
	for _, e := range l.entries {
		revisions = append(revisions, e.Revision)
	}
	slices.Sort(revisions)
	l.base = revisions[len(revisions)/2]
	for key, e := range l.entries {
		if e.Revision <= l.base {
			delete(l.entries, key)
		}
	}
}
