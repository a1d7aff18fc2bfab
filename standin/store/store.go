// Package store is a small stand-in for the platform's key-value store. It keeps everything in memory and can be told to
// fail in the ways that the platform names.
package store

import (
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/mangopass/mangopass/duty/ring"
)

// Item is a key with its value, as it goes over the wire.
type Item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"create_rev,omitempty"`
	Lease   int64  `json:"lease"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Expected is a condition of a transaction; a revision of zero means that the key does not exist.
type Expected struct {
	Key string `json:"key"`
	Rev int64  `json:"rev"`
}

// Write is one key that a transaction sets.
type Write struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease"`
}

// Txn is an all-or-nothing change.
type Txn struct {
	Expected []Expected `json:"expected"`
	Writes   []Write    `json:"writes"`
	Remove   []string   `json:"remove"`
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// Store is safe for concurrent use.
type Store struct {
	mu        sync.Mutex
	revision  int64
	items     map[string]Item
	history   []Item
	compacted int64 // history up to this revision is gone
	leases    map[int64]*lease
	nextLease int64
	waiters   map[*ring.Ring[struct{}]]struct{}
	calls     int64
}

// New returns an empty store.
func New() *Store {
	return &Store{revision: 1, items: make(map[string]Item), leases: make(map[int64]*lease), nextLease: 100,
		waiters: make(map[*ring.Ring[struct{}]]struct{})}
}

// Get returns an item and the store's revision.
func (s *Store) Get(key string) (Item, bool, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	it, ok := s.items[key]
	return it, ok, s.revision
}

// Range returns the items with a prefix after a key, in order.
func (s *Store) Range(prefix, after string) ([]Item, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	out := []Item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			out = append(out, it)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out, s.revision
}

// Changes returns the changes under a prefix after a revision; ok is false if that history is gone. The ring gets an
// item at the next change of any key.
func (s *Store) Changes(prefix string, after int64, notify *ring.Ring[struct{}]) (events []Item, revision int64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if after < s.compacted {
		return nil, 0, false
	}
	for _, it := range s.history {
		if it.Rev > after && strings.HasPrefix(it.Key, prefix) {
			events = append(events, it)
		}
	}
	if len(events) == 0 {
		s.waiters[notify] = struct{}{}
	}
	return events, s.revision, true
}

// Leave ends the wait for a change.
func (s *Store) Leave(notify *ring.Ring[struct{}]) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiters, notify)
}

// Commit applies a transaction. It returns the revision, the state of the conditions if one does not hold, and whether
// all leases exist.
func (s *Store) Commit(t Txn) (revision int64, failed []Item, leases bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	held := true
	for _, e := range t.Expected {
		it, ok := s.items[e.Key]
		if !ok {
			it = Item{Key: e.Key}
		}
		failed = append(failed, it)
		held = held && it.Rev == e.Rev
	}
	if !held {
		return 0, failed, true
	}
	for _, w := range t.Writes {
		if w.Lease != 0 && s.leases[w.Lease] == nil {
			return 0, nil, false
		}
	}
	s.revision++
	for _, w := range t.Writes {
		created := s.revision
		if old, ok := s.items[w.Key]; ok {
			created = old.Created
		}
		s.put(Item{Key: w.Key, Value: w.Value, Rev: s.revision, Created: created, Lease: w.Lease})
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	s.wake()
	return s.revision, nil, true
}

// Grant creates a lease.
func (s *Store) Grant(ttl time.Duration) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	s.leases[s.nextLease] = &lease{ttl: ttl, ends: time.Now().Add(ttl)}
	return s.nextLease
}

// Renew extends a lease; ok is false if it has ended.
func (s *Store) Renew(id int64) (ttl time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l := s.leases[id]
	if l == nil {
		return 0, false
	}
	l.ends = time.Now().Add(l.ttl)
	return l.ttl, true
}

// End ends a lease and removes its keys.
func (s *Store) End(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end(id)
}

// Compact drops the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.revision
}

// Count counts a call and returns the number so far.
func (s *Store) Count() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return s.calls
}

func (s *Store) put(it Item) {
	s.items[it.Key] = it
	s.history = append(s.history, it)
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, Item{Key: key, Rev: s.revision, Deleted: true})
	}
}

func (s *Store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if l.ends.Before(now) {
			s.end(id)
		}
	}
}

func (s *Store) end(id int64) {
	delete(s.leases, id)
	s.revision++
	for key, it := range s.items {
		if it.Lease == id {
			s.remove(key)
		}
	}
	s.wake()
}

func (s *Store) wake() {
	for w := range s.waiters {
		w.TryPush(struct{}{})
	}
}
