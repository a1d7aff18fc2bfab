package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/mangopass/mangopass/duty"
)

const (
	crashExitCode    = 3
	defaultMaxTokens = 16
)

// Handler serves an engine over HTTP: POST /v1/chat/completions, POST /admin/orders, GET /admin/report, and GET /counts
// for tests.
type Handler struct {
	state  *state
	client *http.Client
}

// NewHandler returns an empty engine.
func NewHandler(s Settings) *Handler {
	return &Handler{state: newState(s), client: &http.Client{}}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/v1/chat/completions":
		h.chat(w, r)
	case "/admin/orders":
		h.order(w, r)
	case "/admin/report":
		writeJSON(w, h.state.report())
	case "/counts":
		writeJSON(w, h.state.countsNow())
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// orderDocument is the JSON body of an order.
type orderDocument struct {
	Kind       string `json:"kind"`
	Model      string `json:"model"`
	Adapter    string `json:"adapter"`
	Bytes      int64  `json:"bytes"`
	Fence      uint64 `json:"fence"`
	DeadlineMs int64  `json:"deadline_ms"`
}

func (h *Handler) order(w http.ResponseWriter, r *http.Request) {
	var doc orderDocument
	if json.NewDecoder(r.Body).Decode(&doc) != nil || time.Now().UnixMilli() > doc.DeadlineMs {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a := Artifact{Model: doc.Model, Adapter: doc.Adapter}
	switch doc.Kind {
	case "load":
		w.WriteHeader(h.load(a, doc))
	case "unload":
		w.WriteHeader(orderStatus(h.state.unload(a, doc.Fence)))
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

// load carries on when its sender goes away, as engines do.
func (h *Handler) load(a Artifact, doc orderDocument) int {
	result := h.state.beginLoad(a, doc.Bytes, doc.Fence)
	if result != orderAccepted {
		return orderStatus(result)
	}
	loaded := h.fetch(a, doc.Bytes)
	h.state.endLoad(a, loaded)
	if !loaded {
		return http.StatusBadRequest
	}
	return http.StatusOK
}

func (h *Handler) fetch(a Artifact, bytes int64) bool {
	if a.Adapter != "" {
		return duty.Pause(context.Background(), h.state.adapterTime())
	}
	if h.state.settings.WeightStore == "" {
		return true
	}
	resp, err := h.client.Get("http://" + h.state.settings.WeightStore + "/checkpoint?bytes=" + strconv.FormatInt(bytes, 10))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func orderStatus(r orderResult) int {
	switch r {
	case orderOldFence:
		return http.StatusConflict
	case orderNoMemory:
		return http.StatusInsufficientStorage
	}
	return http.StatusOK
}

// chatDocument is the part of a chat request that the stand-in reads.
type chatDocument struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
}

func (h *Handler) chat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var doc chatDocument
	if err != nil || json.Unmarshal(body, &doc) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if marker := h.state.settings.CrashOnMarker; marker != "" && strings.Contains(string(body), marker) {
		os.Exit(crashExitCode)
	}
	id := r.Header.Get("X-Request-Id")
	if !h.state.begin(doc.Model, id, r.Header.Get("Authorization") != "") {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	defer h.state.end()
	if doc.MaxTokens == 0 {
		doc.MaxTokens = defaultMaxTokens
	}
	if !duty.Pause(r.Context(), h.state.settings.PrefillTime) {
		return
	}
	if doc.Stream {
		h.stream(w, r, id, doc)
		return
	}
	var text strings.Builder
	for i := range doc.MaxTokens {
		if !duty.Pause(r.Context(), h.state.tokenTime()) {
			return
		}
		text.WriteString(token(i))
	}
	writeJSON(w, map[string]any{
		"id": id, "object": "chat.completion", "model": doc.Model, "created": time.Now().Unix(),
		"choices": []any{map[string]any{"index": 0, "finish_reason": "stop",
			"message": map[string]any{"role": "assistant", "content": text.String()}}},
		"usage": map[string]any{"completion_tokens": doc.MaxTokens, "prompt_tokens": 1, "total_tokens": doc.MaxTokens + 1},
	})
}

func (h *Handler) stream(w http.ResponseWriter, r *http.Request, id string, doc chatDocument) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	for i := range doc.MaxTokens {
		if !duty.Pause(r.Context(), h.state.tokenTime()) {
			return
		}
		event, _ := json.Marshal(map[string]any{
			"id": id, "object": "chat.completion.chunk", "model": doc.Model, "created": time.Now().Unix(),
			"choices": []any{map[string]any{"index": 0, "delta": map[string]any{"content": token(i)}}},
		})
		if _, err := fmt.Fprintf(w, "data: %s\n\n", event); err != nil || flusher.Flush() != nil {
			return
		}
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

func token(i int) string { return "word" + strconv.Itoa(i) + " " }

func writeJSON(w http.ResponseWriter, doc any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(doc)
}
