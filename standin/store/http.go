package store

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/mangopass/mangopass/duty"
	"github.com/mangopass/mangopass/duty/ring"
)

// Faults are the ways in which the store fails, until the next call of /standin/faults replaces them.
type Faults struct {
	Refuse     bool `json:"refuse"`      // answers every call with status 503
	Silent     bool `json:"silent"`      // answers no call
	LoseWrites bool `json:"lose_writes"` // applies transactions and does not answer them
	SlowMs     int  `json:"slow_ms"`     // delays every answer by this time
	Compact    bool `json:"compact"`     // drops the history once, when the faults are set
	Save       bool `json:"save"`        // saves the state once, when the faults are set
	Restore    bool `json:"restore"`     // returns to the saved state once, when the faults are set
}

// leaseCheckInterval is how often a waiting watch looks for ended leases, and so the longest delay until it reports the
// removal of their keys.
const leaseCheckInterval = 100 * time.Millisecond

// Handler serves a store over HTTP.
type Handler struct {
	store *Store
	mux   *http.ServeMux

	mu     sync.Mutex
	faults Faults
}

// NewHandler returns a handler for the store's protocol. For tests, it also serves POST /standin/faults, which sets
// Faults, and POST /standin/put, which writes the keys that only the platform may write.
func NewHandler(s *Store) *Handler {
	h := &Handler{store: s, mux: http.NewServeMux()}
	h.mux.HandleFunc("GET /-/kv-key", h.get)
	h.mux.HandleFunc("GET /-/kv-range", h.getRange)
	h.mux.HandleFunc("GET /-/kv-watch", h.watch)
	h.mux.HandleFunc("POST /-/kv-txn", h.commit)
	h.mux.HandleFunc("POST /-/kv-lease", h.grant)
	h.mux.HandleFunc("POST /-/kv-keep/{id}", h.renew)
	h.mux.HandleFunc("DELETE /-/kv-lease-end/{id}", h.end)
	h.mux.HandleFunc("POST /standin/faults", h.setFaults)
	h.mux.HandleFunc("POST /standin/put", h.put)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, "/standin/") {
		h.store.CountCall()
		w = eraWriter{ResponseWriter: w, store: h.store, era: h.store.Era()}
		h.mu.Lock()
		f := h.faults
		h.mu.Unlock()
		switch {
		case f.Silent:
			<-r.Context().Done()
			return
		case f.Refuse:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case f.SlowMs > 0:
			duty.Pause(r.Context(), time.Duration(f.SlowMs)*time.Millisecond)
		}
		if f.LoseWrites && r.URL.Path == "/-/kv-txn" {
			h.commit(discardResponse{}, r)
			<-r.Context().Done()
			return
		}
	}
	h.mux.ServeHTTP(w, r)
}

// discardResponse is a response writer that drops the answer.
type discardResponse struct{}

func (discardResponse) Header() http.Header         { return http.Header{} }
func (discardResponse) Write(b []byte) (int, error) { return len(b), nil }
func (discardResponse) WriteHeader(int)             {}

func (h *Handler) get(w http.ResponseWriter, r *http.Request) {
	it, ok, revision := h.store.Get(r.URL.Query().Get("key"))
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, struct {
		Item
		Revision int64 `json:"store_revision"`
	}{it, revision})
}

func (h *Handler) getRange(w http.ResponseWriter, r *http.Request) {
	items, revision := h.store.Range(r.URL.Query().Get("prefix"), r.URL.Query().Get("after"))
	const page = 50
	truncated := len(items) > page
	if truncated {
		items = items[:page]
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "truncated": truncated, "store_revision": revision})
}

func (h *Handler) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	until := time.Now().Add(time.Duration(wait) * time.Millisecond)
	notify := ring.New[struct{}]("watch", 1)
	defer h.store.Unsubscribe(notify)
	for {
		events, revision, ok := h.store.Changes(q.Get("prefix"), after, notify)
		if !ok {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 || !time.Now().Before(until) {
			if events == nil {
				events = []Item{}
			}
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		next := time.Now().Add(leaseCheckInterval)
		if next.After(until) {
			next = until
		}
		if _, err := notify.PopBatchUntil(r.Context(), next, make([]struct{}, 1)); err != nil {
			return
		}
	}
}

// commit applies a transaction. It refuses writes to the keys of operators (op/) and runners (servers/), which entry
// VMs only read.
func (h *Handler) commit(w http.ResponseWriter, r *http.Request) {
	var t Txn
	if !decode(w, r, &t) {
		return
	}
	for _, write := range t.Writes {
		if strings.HasPrefix(write.Key, "op/") || strings.HasPrefix(write.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	revision, failed, leasesExist := h.store.Commit(t)
	switch {
	case !leasesExist:
		w.WriteHeader(http.StatusNotFound)
	case failed != nil:
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": failed})
	default:
		reply(w, http.StatusOK, map[string]any{"rev": revision})
	}
}

func (h *Handler) grant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL int64 `json:"ttl_ms"`
	}
	if !decode(w, r, &in) {
		return
	}
	id := h.store.Grant(time.Duration(in.TTL) * time.Millisecond)
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": in.TTL})
}

func (h *Handler) renew(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	ttl, ok := h.store.Renew(id)
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, map[string]any{"ttl_ms": ttl.Milliseconds()})
}

func (h *Handler) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	h.store.End(id)
	reply(w, http.StatusOK, map[string]any{})
}

func (h *Handler) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !decode(w, r, &f) {
		return
	}
	if f.Compact {
		h.store.Compact()
	}
	if f.Save {
		h.store.Save()
	}
	if f.Restore {
		h.store.Restore()
	}
	h.mu.Lock()
	h.faults = f
	h.mu.Unlock()
	reply(w, http.StatusOK, f)
}

// put writes a key on behalf of the platform's operators or runners, or removes it if the value is empty.
func (h *Handler) put(w http.ResponseWriter, r *http.Request) {
	var in Write
	if !decode(w, r, &in) {
		return
	}
	t := Txn{Writes: []Write{in}}
	if len(in.Value) == 0 {
		t = Txn{Remove: []string{in.Key}}
	}
	revision, _, _ := h.store.Commit(t)
	reply(w, http.StatusOK, map[string]any{"rev": revision})
}

func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	return true
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // a client that has gone needs no answer
}

// Serve serves a handler on an address until the context ends. It returns nil after the context has ended.
func Serve(ctx context.Context, address string, handler http.Handler) error {
	server := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.ListenAndServe(); err != http.ErrServerClosed {
		return err
	}
	return nil
}
