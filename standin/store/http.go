package store

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/mangopass/mangopass/duty"
	"github.com/mangopass/mangopass/platform"
)

// maxWatch is the time after which a parked watch is answered with nothing.
const maxWatch = 20 * time.Second

// Faults tell the handler how to fail.
type Faults struct {
	Outage      bool  `json:"outage"`       // answer every call with 503 and no effect
	DelayMs     int64 `json:"delay_ms"`     // added to each call
	LostReplies int   `json:"lost_replies"` // the next writes take effect and their replies are lost
	MaxReads    int   `json:"max_reads"`    // reads a second; zero: no bound
	MaxWrites   int   `json:"max_writes"`   // writes a second; zero: no bound
}

// Handler serves a Store over HTTP.
type Handler struct {
	store *Store
	mux   *http.ServeMux

	mu     sync.Mutex
	faults Faults
	second int64
	reads  int
	writes int
}

// NewHandler returns the HTTP interface of a store. POST /faults sets Faults, POST /vms the list of VMs, GET /counts reads
// Counts.
func NewHandler(s *Store) *Handler {
	h := &Handler{store: s, mux: http.NewServeMux()}
	h.mux.HandleFunc("GET /v1/key", h.read(h.get))
	h.mux.HandleFunc("GET /v1/list", h.read(h.list))
	h.mux.HandleFunc("GET /v1/watch", h.read(h.watch))
	h.mux.HandleFunc("GET /v1/vms", h.read(func(w http.ResponseWriter, _ *http.Request) { answer(w, s.VMs()) }))
	h.mux.HandleFunc("POST /v1/swap", h.write(h.swap))
	h.mux.HandleFunc("POST /v1/lease/grant", h.write(h.grant))
	h.mux.HandleFunc("POST /v1/lease/keepalive", h.write(h.keepAlive))
	h.mux.HandleFunc("POST /v1/lease/revoke", h.write(h.revoke))
	h.mux.HandleFunc("POST /faults", h.setFaults)
	h.mux.HandleFunc("POST /vms", h.setVMs)
	h.mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { answer(w, s.Counts()) })
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// SetFaults replaces the faults in force.
func (h *Handler) SetFaults(f Faults) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults = f
}

func (h *Handler) read(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if h.admit(r.Context(), w, &h.reads, func(f Faults) int { return f.MaxReads }) {
			serve(w, r)
		}
	}
}

func (h *Handler) write(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !h.admit(r.Context(), w, &h.writes, func(f Faults) int { return f.MaxWrites }) {
			return
		}
		if h.loseReply() {
			serve(discard{}, r)
			panic(http.ErrAbortHandler) // the write took effect, the caller never learns of it
		}
		serve(w, r)
	}
}

func (h *Handler) admit(ctx context.Context, w http.ResponseWriter, used *int, bound func(Faults) int) bool {
	h.mu.Lock()
	f := h.faults
	if second := h.store.now().Unix(); second != h.second {
		h.second, h.reads, h.writes = second, 0, 0
	}
	*used++
	limited := bound(f) > 0 && *used > bound(f)
	h.mu.Unlock()
	if f.DelayMs > 0 {
		duty.Pause(ctx, time.Duration(f.DelayMs)*time.Millisecond)
	}
	if f.Outage || limited {
		h.store.refused()
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	return true
}

func (h *Handler) loseReply() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.faults.LostReplies == 0 {
		return false
	}
	h.faults.LostReplies--
	return true
}

func (h *Handler) get(w http.ResponseWriter, r *http.Request) {
	answer(w, platform.EntryDocument(h.store.Get(r.URL.Query().Get("key"))))
}

func (h *Handler) list(w http.ResponseWriter, r *http.Request) {
	answer(w, document(h.store.List(r.URL.Query().Get("prefix")), 0))
}

func (h *Handler) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	changed, remove := h.store.Notify()
	defer remove()
	ctx, cancel := context.WithTimeout(r.Context(), maxWatch)
	defer cancel()
	for {
		list, revision := h.store.Changed(prefix, after)
		if len(list) > 0 || ctx.Err() != nil {
			answer(w, document(list, revision))
			return
		}
		_, _ = changed.Pop(ctx) // an ended context is seen above
	}
}

func (h *Handler) swap(w http.ResponseWriter, r *http.Request) {
	var doc platform.SwapDocument
	if !decode(w, r, &doc) {
		return
	}
	if doc.Delete {
		doc.Value = nil
	} else if doc.Value == nil {
		doc.Value = []byte{}
	}
	version, o := h.store.Swap(doc.Key, doc.Old, doc.Value, doc.Lease)
	if o != platform.Applied {
		w.WriteHeader(http.StatusConflict)
		return
	}
	answer(w, platform.VersionDocument{Version: version})
}

func (h *Handler) grant(w http.ResponseWriter, r *http.Request) {
	var doc platform.LeaseDocument
	if decode(w, r, &doc) {
		answer(w, platform.LeaseDocument{ID: h.store.Grant(time.Duration(doc.TTLMs) * time.Millisecond)})
	}
}

func (h *Handler) keepAlive(w http.ResponseWriter, r *http.Request) {
	var doc platform.LeaseDocument
	if decode(w, r, &doc) && !h.store.KeepAlive(doc.ID) {
		w.WriteHeader(http.StatusConflict)
	}
}

func (h *Handler) revoke(w http.ResponseWriter, r *http.Request) {
	var doc platform.LeaseDocument
	if decode(w, r, &doc) {
		h.store.Revoke(doc.ID)
	}
}

func (h *Handler) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if decode(w, r, &f) {
		h.SetFaults(f)
	}
}

func (h *Handler) setVMs(w http.ResponseWriter, r *http.Request) {
	var list []platform.VM
	if decode(w, r, &list) {
		h.store.SetVMs(list)
	}
}

func document(list []platform.Entry, revision uint64) platform.EntriesDocument {
	doc := platform.EntriesDocument{Revision: revision}
	for _, e := range list {
		doc.Entries = append(doc.Entries, platform.EntryDocument(e))
	}
	return doc
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	if json.NewDecoder(r.Body).Decode(into) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	return true
}

func answer(w http.ResponseWriter, doc any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(doc)
}

// discard is a response writer whose answer reaches nobody.
type discard struct{}

// Header implements http.ResponseWriter.
func (discard) Header() http.Header { return http.Header{} }

// Write implements http.ResponseWriter.
func (discard) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader implements http.ResponseWriter.
func (discard) WriteHeader(int) {}
