package zone

import (
	"maps"
	"slices"

	"github.com/mangopass/mangopass/duty/clock"
)

// Evacuations keeps the zones whose runners get nothing new, as the operators have stated in the platform's store.
type Evacuations struct {
	heldUntil map[ID]clock.Instant // by evacuated zone; zero: the store shows it
	read      map[ID]storeVersion  // last statement read of each zone, also that it is no longer evacuated
	endedAt   map[ID]clock.Instant // when a zone was last taken back
}

// storeVersion is the era and the revision of the store at which a key was written or removed.
type storeVersion struct{ era, revision int64 }

// NewEvacuations returns a set without any zone.
func NewEvacuations() *Evacuations {
	return &Evacuations{
		heldUntil: make(map[ID]clock.Instant), read: make(map[ID]storeVersion), endedAt: make(map[ID]clock.Instant),
	}
}

// Read records that the store's statement of a zone was read, as written or removed at a revision of an era. It returns false if
// a later one has been read, so that this one no longer holds.
func (e *Evacuations) Read(z ID, era, revision int64) bool {
	last, known := e.read[z]
	if known && (era < last.era || era == last.era && revision < last.revision) {
		return false
	}
	e.read[z] = storeVersion{era: era, revision: revision}
	return true
}

// Relist forgets the statements read before a listing of the whole store, which all later ones follow.
func (e *Evacuations) Relist() { clear(e.read) }

// Begin records that the store shows a zone as evacuated. It returns false if that was known.
func (e *Evacuations) Begin(z ID) bool {
	_, known := e.heldUntil[z]
	e.heldUntil[z] = 0
	return !known
}

// End records that a zone was taken back. It returns false if the zone was not evacuated.
func (e *Evacuations) End(z ID) bool {
	_, known := e.heldUntil[z]
	delete(e.heldUntil, z)
	return known
}

// NoteEnd records when a zone was taken back.
func (e *Evacuations) NoteEnd(z ID, at clock.Instant) { e.endedAt[z] = at }

// EndedAt returns when a zone was last taken back; zero: not since this process started.
func (e *Evacuations) EndedAt(z ID) clock.Instant { return e.endedAt[z] }

// Missing returns the evacuated zones that a listing of the store does not show.
func (e *Evacuations) Missing(shown []ID) []ID {
	var out []ID
	for _, z := range e.All() {
		if !slices.Contains(shown, z) {
			out = append(out, z)
		}
	}
	return out
}

// Hold keeps an evacuated zone that an older copy of the store does not show until the given instant. A time that was set
// before stays.
func (e *Evacuations) Hold(z ID, until clock.Instant) {
	if at, known := e.heldUntil[z]; known && at == 0 {
		e.heldUntil[z] = until
	}
}

// HeldUntil returns until when a zone is kept as evacuated though the store does not show it; zero: it is not.
func (e *Evacuations) HeldUntil(z ID) clock.Instant { return e.heldUntil[z] }

// Expired returns the zones whose time of Hold is over.
func (e *Evacuations) Expired(now clock.Instant) []ID {
	var out []ID
	for z, until := range e.heldUntil {
		if until != 0 && !now.Before(until) {
			out = append(out, z)
		}
	}
	slices.Sort(out)
	return out
}

// All returns the evacuated zones in alphabetical order.
func (e *Evacuations) All() []ID { return slices.Sorted(maps.Keys(e.heldUntil)) }
