// Package store is an in-memory stand-in for the platform's key-value store. Tests can make it fail in the ways that
// the platform documents.
package store

import (
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/mangopass/mangopass/duty/ring"
)

// Item is a key with its value, or the removal of a key, in the form that is sent over the wire.
type Item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"create_rev,omitempty"`
	Lease   int64  `json:"lease"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Expected is a condition of a transaction: the key's last revision, or zero if the key must not exist.
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

// Txn is a transaction: if all its conditions hold, all its writes and removals are applied, otherwise none.
type Txn struct {
	Expected []Expected `json:"expected"`
	Writes   []Write    `json:"writes"`
	Remove   []string   `json:"remove"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Store holds the keys, their leases and the history of changes. It is safe for concurrent use.
type Store struct {
	mu          sync.Mutex
	revision    int64
	items       map[string]Item
	history     []Item
	compacted   int64 // changes up to this revision were dropped from the history
	leases      map[int64]*lease
	lastLease   int64 // id of the newest lease
	subscribers map[*ring.Ring[struct{}]]struct{}
	calls       int64
	era         int64
	saved       *backup // nil: none
}

// New returns an empty store.
func New() *Store {
	return &Store{revision: 1, era: 1, items: make(map[string]Item), leases: make(map[int64]*lease), lastLease: 100,
		subscribers: make(map[*ring.Ring[struct{}]]struct{})}
}

// Get returns an item and the store's revision.
func (s *Store) Get(key string) (Item, bool, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	it, ok := s.items[key]
	return it, ok, s.revision
}

// Range returns the items whose keys have the prefix and sort after the key after, in order of keys.
func (s *Store) Range(prefix, after string) ([]Item, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	out := []Item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			out = append(out, it)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out, s.revision
}

// Changes returns the changes under a prefix that are newer than the revision after; ok is false if that part of the
// history has been compacted, or if the store does not have the revision. If there are no changes, it subscribes notify,
// which then gets an item at each change of any key until Unsubscribe is called.
func (s *Store) Changes(prefix string, after int64, notify *ring.Ring[struct{}]) (
	events []Item, revision int64, ok bool,
) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if after < s.compacted || after > s.revision {
		return nil, 0, false
	}
	for _, it := range s.history {
		if it.Rev > after && strings.HasPrefix(it.Key, prefix) {
			events = append(events, it)
		}
	}
	if len(events) == 0 {
		s.subscribers[notify] = struct{}{}
	}
	return events, s.revision, true
}

// Unsubscribe ends the notifications that Changes subscribed to.
func (s *Store) Unsubscribe(notify *ring.Ring[struct{}]) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.subscribers, notify)
}

// Commit applies a transaction and returns its revision. If a condition does not hold, it returns the current items of
// all conditions in failed; leasesExist is false if a write names a lease that does not exist.
func (s *Store) Commit(t Txn) (revision int64, failed []Item, leasesExist bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	conditionsHold := true
	for _, e := range t.Expected {
		it, ok := s.items[e.Key]
		if !ok {
			it = Item{Key: e.Key}
		}
		failed = append(failed, it)
		conditionsHold = conditionsHold && it.Rev == e.Rev
	}
	if !conditionsHold {
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
	s.notifySubscribers()
	return s.revision, nil, true
}

// Grant creates a lease and returns its id.
func (s *Store) Grant(ttl time.Duration) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	s.leases[s.lastLease] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return s.lastLease
}

// Renew extends a lease by its full time; ok is false if the lease has ended.
func (s *Store) Renew(id int64) (ttl time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	l := s.leases[id]
	if l == nil {
		return 0, false
	}
	l.expires = time.Now().Add(l.ttl)
	return l.ttl, true
}

// End ends a lease and removes the keys that were written under it.
func (s *Store) End(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
}

// Compact drops the history, so that a watch from an older revision fails.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.revision
}

// CountCall counts a call and returns the number of calls so far.
func (s *Store) CountCall() int64 {
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

// expireLeases ends the leases whose time is over. The store has no timer, so reads, transactions and renewals call it
// first.
func (s *Store) expireLeases() {
	now := time.Now()
	for id, l := range s.leases {
		if l.expires.Before(now) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	s.revision++
	for key, it := range s.items {
		if it.Lease == id {
			s.remove(key)
		}
	}
	s.notifySubscribers()
}

func (s *Store) notifySubscribers() {
	for notify := range s.subscribers {
		notify.TryPush(struct{}{})
	}
}
