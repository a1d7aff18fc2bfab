package link

import (
	"fmt"
	"testing"
)

// TestChangeLogIsComplete guards against a VM that misses a change because its relay passes on less than all that has
// changed since a revision, without saying so.
func TestChangeLogIsComplete(t *testing.T) {
	l := NewChangeLog()
	if _, ok := l.Since(Position{Revision: 0}); ok {
		t.Error("a log that has read nothing counts as complete")
	}
	l.Restart(Position{Revision: 10})
	if _, ok := l.Since(Position{Revision: 9}); ok {
		t.Error("the log counts as complete before the listing")
	}
	for i := range int64(maxLogEntries + 1) {
		l.Record(StoreEntry{Key: fmt.Sprint("key-", i), Revision: 11 + i})
		l.Advance(11 + i)
	}
	if _, ok := l.Since(Position{Revision: 10}); ok {
		t.Error("the log counts as complete although it has dropped entries")
	}
	half := int64(11 + maxLogEntries/2)
	if changes, ok := l.Since(Position{Revision: half}); !ok || len(changes) != maxLogEntries/2 || changes[0].Revision != half+1 {
		t.Errorf("%d changes since %d, complete: %v", len(changes), half, ok)
	}
	last := l.Position().Revision
	l.Record(StoreEntry{Key: "key-1", Revision: last + 2, Deleted: true})
	l.Record(StoreEntry{Key: "key-1", Revision: last + 1})
	l.Advance(last + 2)
	if changes, ok := l.Since(Position{Revision: last}); !ok || len(changes) != 1 || !changes[0].Deleted {
		t.Errorf("changes %+v, want only the removal", changes)
	}
}

// TestFencesRiseOverEras guards against orders whose fence is lower than, or the same as, that of an earlier term: in a new
// era of the store, revisions are given out again.
func TestFencesRiseOverEras(t *testing.T) {
	last := int64(0)
	for _, p := range []Position{
		{0, 5}, {FirstEra, 7}, {FirstEra, 1 << 30}, {FirstEra + 1, 3}, {FirstEra + 1, 4}, {FirstEra + 2, 4}, {8000, 1},
	} {
		fence := p.Fence()
		if fence <= last || int64(float64(fence)) != fence {
			t.Errorf("fence %d at %+v after %d, want a higher one that a float64 holds", fence, p, last)
		}
		last = fence
	}
}
