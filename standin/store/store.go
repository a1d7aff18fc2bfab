// Package store is a small stand-in for the platform's key-value service and its list of VMs. It keeps everything in
// memory, counts calls, and can be told to fail.
package store

import (
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/mangopass/mangopass/duty/ring"
	"github.com/mangopass/mangopass/platform"
)

// Counts are the calls that the store has served, by kind.
type Counts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	Refused int64 `json:"refused"`
}

// Store is a key-value store with compare-and-swap, leases and watches. Its methods are safe for concurrent use.
type Store struct {
	now func() time.Time

	mu       sync.Mutex
	revision uint64
	entries  map[string]item
	changes  []change // deletions and writes since the start, for watches
	leases   map[platform.LeaseID]*lease
	waiters  map[*ring.Ring[struct{}]]struct{}
	vms      []platform.VM
	counts   Counts
}

type item struct {
	value   []byte
	version uint64
	lease   platform.LeaseID
}

type change struct {
	key     string
	version uint64
}

type lease struct {
	ttl  time.Duration
	ends time.Time
	keys map[string]struct{}
}

// New returns an empty store that takes the time from now.
func New(now func() time.Time) *Store {
	return &Store{
		now: now, entries: make(map[string]item), leases: make(map[platform.LeaseID]*lease),
		waiters: make(map[*ring.Ring[struct{}]]struct{}),
	}
}

// Counts returns the calls served so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Get reads one key.
func (s *Store) Get(key string) platform.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	s.expire()
	it := s.entries[key]
	return platform.Entry{Key: key, Value: it.value, Version: it.version}
}

// List reads the keys with a prefix.
func (s *Store) List(prefix string) []platform.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	s.expire()
	var list []platform.Entry
	for key, it := range s.entries {
		if strings.HasPrefix(key, prefix) {
			list = append(list, platform.Entry{Key: key, Value: it.value, Version: it.version})
		}
	}
	slices.SortFunc(list, func(a, b platform.Entry) int { return strings.Compare(a.Key, b.Key) })
	return list
}

// Swap writes a key if its version is old.
func (s *Store) Swap(key string, old uint64, value []byte, id platform.LeaseID) (uint64, platform.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	s.expire()
	it := s.entries[key]
	l := s.leases[id]
	if it.version != old || len(value) > platform.MaxValueBytes || (id != platform.NoLease && l == nil) {
		return it.version, platform.Conflict
	}
	if bound := s.leases[it.lease]; bound != nil {
		delete(bound.keys, key)
	}
	if l != nil {
		l.keys[key] = struct{}{}
	}
	return s.write(key, value, id), platform.Applied
}

func (s *Store) write(key string, value []byte, id platform.LeaseID) uint64 {
	s.revision++
	if value == nil {
		delete(s.entries, key)
	} else {
		s.entries[key] = item{value: value, version: s.revision, lease: id}
	}
	s.changes = append(s.changes, change{key: key, version: s.revision})
	for w := range s.waiters {
		w.TryPush(struct{}{})
	}
	return s.revision
}

// Changed returns the keys with a prefix that changed after a revision, and the present revision.
func (s *Store) Changed(prefix string, after uint64) ([]platform.Entry, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	from := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].version > after })
	last := make(map[string]uint64)
	for _, c := range s.changes[from:] {
		if strings.HasPrefix(c.key, prefix) {
			last[c.key] = c.version
		}
	}
	list := make([]platform.Entry, 0, len(last))
	for key, version := range last {
		list = append(list, platform.Entry{Key: key, Value: s.entries[key].value, Version: version})
	}
	slices.SortFunc(list, func(a, b platform.Entry) int { return strings.Compare(a.Key, b.Key) })
	return list, s.revision
}

// Notify adds a ring that gets a value after each write; the returned function removes it.
func (s *Store) Notify() (changed *ring.Ring[struct{}], remove func()) {
	changed = ring.New[struct{}]("watch", 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Watches++
	s.waiters[changed] = struct{}{}
	return changed, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.waiters, changed)
	}
}

// Grant creates a lease.
func (s *Store) Grant(ttl time.Duration) platform.LeaseID {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	s.revision++
	id := platform.LeaseID(s.revision)
	s.leases[id] = &lease{ttl: ttl, ends: s.now().Add(ttl), keys: make(map[string]struct{})}
	return id
}

// KeepAlive restarts a lease and reports whether it still exists.
func (s *Store) KeepAlive(id platform.LeaseID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	s.expire()
	l := s.leases[id]
	if l == nil {
		return false
	}
	l.ends = s.now().Add(l.ttl)
	return true
}

// Revoke ends a lease.
func (s *Store) Revoke(id platform.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	s.end(id)
}

// expire ends the leases whose time has passed. Leases end when the store is next called.
func (s *Store) expire() {
	now := s.now()
	for id, l := range s.leases {
		if now.After(l.ends) {
			s.end(id)
		}
	}
}

func (s *Store) end(id platform.LeaseID) {
	l := s.leases[id]
	if l == nil {
		return
	}
	delete(s.leases, id)
	for key := range l.keys {
		s.write(key, nil, platform.NoLease)
	}
}

// SetVMs replaces the list of VMs.
func (s *Store) SetVMs(list []platform.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = list
}

// VMs returns the list of VMs.
func (s *Store) VMs() []platform.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	return s.vms
}

func (s *Store) refused() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Refused++
}
