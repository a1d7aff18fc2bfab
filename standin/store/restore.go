package store

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// backup is a copy of the store's state.
type backup struct {
	revision, compacted, lastLease int64
	items                          map[string]Item
	history                        []Item
	leases                         map[int64]lease // each expires in the time that it had left, counted from Restore
	at                             time.Time
}

// Save remembers the present state for Restore, in place of the one saved before.
func (s *Store) Save() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	b := backup{
		revision: s.revision, compacted: s.compacted, lastLease: s.lastLease, items: maps.Clone(s.items),
		history: slices.Clone(s.history), leases: make(map[int64]lease), at: time.Now(),
	}
	for id, l := range s.leases {
		b.leases[id] = *l
	}
	s.saved = &b
}

// Restore returns to the saved state and begins a new era: what was written since is lost, and revisions and lease IDs
// are given out again. Without a saved state it does nothing.
func (s *Store) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.saved
	if b == nil {
		return
	}
	s.revision, s.compacted, s.lastLease = b.revision, b.compacted, b.lastLease
	s.items, s.history = maps.Clone(b.items), slices.Clone(b.history)
	s.leases = make(map[int64]*lease)
	age := time.Since(b.at)
	for id, l := range b.leases {
		s.leases[id] = &lease{ttl: l.ttl, expires: l.expires.Add(age)}
	}
	s.era++
	s.notifySubscribers()
}

// Era returns the number of the present era. It is 1 at first and rises by one with each Restore.
func (s *Store) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// eraWriter states the era in the head of an answer. If the store has been restored since the call came, it ends the
// connection instead: the answer may show either state.
type eraWriter struct {
	http.ResponseWriter
	store *Store
	era   int64 // when the call came
}

// WriteHeader implements http.ResponseWriter.
func (w eraWriter) WriteHeader(status int) {
	if w.store.Era() != w.era {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Store-Era", strconv.FormatInt(w.era, 10))
	w.ResponseWriter.WriteHeader(status)
}
