package main

import (
	"encoding/json"
	"flag"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// kvStore is a small stand-in of the platform's store, as PROTOCOL.md describes it. While it is down it answers nothing, and its
// leases pause.
type kvStore struct {
	mu       sync.Mutex
	changed  chan struct{} // closed at each change
	revision int64
	items    map[string]kvItem
	history  []kvItem
	leases   map[int64]*kvLease
	last     int64
	downAt   time.Time // zero: it is up
}

type kvItem struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"create_rev,omitempty"`
	Lease   int64  `json:"lease"`
	Deleted bool   `json:"deleted,omitempty"`
}

type kvLease struct {
	ttl time.Duration
	end time.Time
}

func runStore(args []string) int {
	f := flag.NewFlagSet("store", flag.ExitOnError)
	listen := f.String("listen", "", "IP:port")
	_ = f.Parse(args)
	s := &kvStore{changed: make(chan struct{}), revision: 1, items: map[string]kvItem{}, leases: map[int64]*kvLease{}, last: 100}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expire()
		}
	}()
	mux := http.NewServeMux()
	mux.HandleFunc("/-/kv-key", s.serveKey)
	mux.HandleFunc("/-/kv-range", s.serveRange)
	mux.HandleFunc("/-/kv-watch", s.serveWatch)
	mux.HandleFunc("/-/kv-txn", s.serveTxn)
	mux.HandleFunc("/-/kv-lease", s.serveGrant)
	mux.HandleFunc("/-/kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("/standin/put", s.servePut)
	mux.HandleFunc("/standin/faults", s.serveFaults)
	return fail("serve", http.ListenAndServe(*listen, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, "/standin/") && s.isDown() {
			<-r.Context().Done()
			return
		}
		mux.ServeHTTP(w, r)
	})))
}

func (s *kvStore) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.downAt.IsZero()
}

// expire ends the leases that have run out, unless the store is down.
func (s *kvStore) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.downAt.IsZero() {
		return
	}
	now := time.Now()
	for id, l := range s.leases {
		if now.Before(l.end) {
			continue
		}
		delete(s.leases, id)
		for key, item := range s.items {
			if item.Lease == id {
				s.remove(key)
			}
		}
	}
}

// remove and set change a key in a revision of its own. The caller holds the lock.
func (s *kvStore) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.note(kvItem{Key: key, Rev: s.revision, Deleted: true})
}

func (s *kvStore) set(key string, value []byte, lease int64) {
	s.revision++
	item := kvItem{Key: key, Value: value, Rev: s.revision, Created: s.revision, Lease: lease}
	if before, ok := s.items[key]; ok {
		item.Created = before.Created
	}
	s.items[key] = item
	s.note(item)
}

func (s *kvStore) note(item kvItem) {
	s.history = append(s.history, item)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *kvStore) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(404)
		return
	}
	reply(w, 200, struct {
		kvItem
		Revision int64 `json:"store_revision"`
	}{item, s.revision})
}

func (s *kvStore) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	items := []kvItem{}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, item)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	reply(w, 200, map[string]any{"items": items, "truncated": false, "store_revision": s.revision})
}

func (s *kvStore) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		events, revision, changed := []kvItem{}, s.revision, s.changed
		for _, item := range s.history {
			if item.Rev > after && strings.HasPrefix(item.Key, q.Get("prefix")) {
				events = append(events, item)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 || over {
			reply(w, 200, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *kvStore) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []struct {
			Key string
			Rev int64
		}
		Writes []struct {
			Key   string
			Value []byte
			Lease int64
		}
		Remove []string
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(400)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	failed := []kvItem{}
	for _, e := range t.Expected {
		if s.items[e.Key].Rev != e.Rev {
			failed = append(failed, s.items[e.Key])
		}
	}
	if len(failed) > 0 {
		reply(w, 412, map[string]any{"items": failed})
		return
	}
	for _, write := range t.Writes {
		if write.Lease != 0 && s.leases[write.Lease] == nil {
			w.WriteHeader(404)
			return
		}
	}
	s.revision++ // one revision for all of a transaction
	rev := s.revision
	for _, write := range t.Writes {
		s.revision = rev - 1
		s.set(write.Key, write.Value, write.Lease)
	}
	for _, key := range t.Remove {
		s.revision = rev - 1
		s.remove(key)
	}
	s.revision = rev
	reply(w, 200, map[string]any{"rev": rev})
}

func (s *kvStore) serveGrant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(400)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	ttl := time.Duration(in.TTL) * time.Millisecond
	s.leases[s.last] = &kvLease{ttl: ttl, end: time.Now().Add(ttl)}
	reply(w, 200, map[string]any{"lease": s.last, "ttl_ms": in.TTL})
}

func (s *kvStore) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(404)
		return
	}
	l.end = time.Now().Add(l.ttl)
	reply(w, 200, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

// servePut writes a key, or removes it if the value is empty, in the place of the operator or a runner.
func (s *kvStore) servePut(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Key   string
		Value []byte
		Lease int64
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil || s.isDown() {
		w.WriteHeader(503)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(in.Value) == 0 {
		s.remove(in.Key)
	} else {
		s.set(in.Key, in.Value, in.Lease)
	}
	reply(w, 200, map[string]any{"rev": s.revision})
}

// serveFaults takes the store down, or brings it back with its leases as long as they were.
func (s *kvStore) serveFaults(w http.ResponseWriter, r *http.Request) {
	var in struct{ Down bool }
	_ = json.NewDecoder(r.Body).Decode(&in)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case in.Down && s.downAt.IsZero():
		s.downAt = time.Now()
	case !in.Down && !s.downAt.IsZero():
		for _, l := range s.leases {
			l.end = l.end.Add(time.Since(s.downAt))
		}
		s.downAt = time.Time{}
	}
	reply(w, 200, map[string]any{})
}
