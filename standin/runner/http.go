package runner

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/mangopass/mangopass/duty"
)

// Handler serves a runner's protocol. For tests, it also serves POST /standin/faults, which sets Faults, and
// GET /standin/record, which returns the Record.
func (r *Runner) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/report", r.serveReport)
	mux.HandleFunc("POST /-/order", r.serveOrder)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Mangopass-Instance-Id", r.ID)
	})
	mux.HandleFunc("POST /standin/faults", r.setFaults)
	mux.HandleFunc("GET /standin/record", r.serveRecord)
	mux.HandleFunc("/", r.serveRequest)
	return mux
}

// Register writes the runner's entry to the store at once and in every period until the context ends.
func (r *Runner) Register(ctx context.Context, storeAddress string, period time.Duration) {
	client := &http.Client{Timeout: period}
	duty.Every(ctx, period, func(ctx context.Context) {
		var value []byte
		if entry := r.entry(); entry != nil {
			var err error
			if value, err = json.Marshal(entry); err != nil {
				panic("runner: encode entry: " + err.Error())
			}
		}
		_ = Put(ctx, client, storeAddress, "servers/"+r.ID, value) // the next period writes it again
	})
}

func (r *Runner) serveReport(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.finishLoad(now)
	reply(w, http.StatusOK, map[string]any{
		"stage": "mixed", "models": r.modelStates(), "busy": now.Before(r.busyUntil), "sequence": r.sequence,
		"waiting": 0, "running": r.running, "kv_used": 0, "kv_total": 100000, "born": r.startedMs,
	})
}

// serveOrder carries out an order. With the fault LateOrders it does so a second later, even if the client has gone,
// and then breaks the connection without an answer.
func (r *Runner) serveOrder(w http.ResponseWriter, req *http.Request) {
	var order Order
	if err := json.NewDecoder(req.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	late := r.faults.LateOrders > 0
	if late {
		r.faults.LateOrders--
	}
	r.mu.Unlock()
	if late {
		duty.Pause(context.WithoutCancel(req.Context()), time.Second)
	}
	r.mu.Lock()
	status := r.applyOrder(order, time.Now())
	r.mu.Unlock()
	if late {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
}

// serveRequest runs a caller's request that an entry VM has forwarded.
func (r *Runner) serveRequest(w http.ResponseWriter, req *http.Request) {
	if id := req.Header.Get("X-Mangopass-Target-Instance"); id != "" && id != r.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	faults, index, status := r.admit(req, string(body))
	if faults.RateLimit > 0 {
		w.Header().Set("Server-Limit", strconv.FormatFloat(faults.RateLimit, 'f', -1, 64))
	}
	if faults.Leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if status != 0 {
		if faults.PauseS > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(faults.PauseS, 'f', -1, 64))
		}
		if status == http.StatusServiceUnavailable {
			w.Header().Set("X-Mangopass-Not-Executed", "1")
		}
		w.WriteHeader(status)
		return
	}
	defer r.finishRun(req.Context(), index)
	ctx, cancel := context.WithCancel(req.Context())
	defer cancel()
	defer context.AfterFunc(faults.life, cancel)()
	req = req.WithContext(ctx)
	switch {
	case faults.Reset > 0:
		panic(http.ErrAbortHandler)
	case faults.Hang > 0:
		<-req.Context().Done()
		return
	}
	id := req.Header.Get("X-Mangopass-Request-Id")
	if faults.Garble > 0 && req.Header.Get("Last-Event-Id") == "" {
		r.garble(w, id, faults.version, faults.Garble)
		return
	}
	w.Header().Set("X-Mangopass-Request-Id", id)
	w.Header().Set("X-Mangopass-Response-Seal", "seal."+r.ID+"."+id)
	if faults.FailResume && req.Header.Get("Last-Event-Id") != "" {
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	if r.Engine {
		if faults.CrashPart != "" && strings.Contains(req.Header.Get(headerPrompt), faults.CrashPart+":") {
			w.Header().Set("Content-Type", "text/event-stream")
			_ = http.NewResponseController(w).Flush()
			r.crash()
		}
		r.stream(w, req, faults)
		if faults.life.Err() != nil {
			panic(http.ErrAbortHandler)
		}
		return
	}
	duty.Pause(req.Context(), r.TokenTime)
	if faults.crashes {
		r.crash()
		panic(http.ErrAbortHandler)
	}
	r.stayQuiet(req.Context())
	_, _ = fmt.Fprintf(w, "%s answers %s\n", r.ID, id)
}

// headerPrompt lists the parts of a request's prompt, each as ID:TOKENS.
const headerPrompt = "X-Mangopass-Prompt-Prefix"

// runFaults are the faults that apply to one run.
type runFaults struct {
	Faults
	life    context.Context // ends when the runner crashes
	version string          // of the process that runs it
	crashes bool            // the request crashes the runner
}

// admit decides whether a request runs. It returns the faults to apply to the request and the index of its Run in the
// record, or the status of the refusal; the status of an admitted request is zero.
func (r *Runner) admit(req *http.Request, body string) (runFaults, int, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finishLoad(time.Now())
	h := req.Header
	model := h.Get("X-Mangopass-Model")
	if r.Engine && !r.canServe(model) {
		return runFaults{Faults: r.faults}, 0, http.StatusMisdirectedRequest
	}
	if r.faults.PauseS > 0 {
		r.record.Refused = append(r.record.Refused, Refusal{Request: h.Get("X-Mangopass-Request-Id"), At: time.Now()})
		return runFaults{Faults: r.faults}, 0, http.StatusServiceUnavailable
	}
	if r.running >= r.Slots || r.faults.Shed > 0 {
		r.faults.Shed = max(0, r.faults.Shed-1)
		return runFaults{Faults: r.faults}, 0, http.StatusServiceUnavailable
	}
	r.running++
	r.record.Runs = append(r.record.Runs, Run{
		Request: h.Get("X-Mangopass-Request-Id"), Path: req.URL.Path, Tenant: h.Get("X-Mangopass-Tenant"), Model: model,
		Version: r.Version, Prompt: h.Get(headerPrompt), LastEvent: h.Get("Last-Event-Id"), Key: h.Get("Api-Key"), Body: body, At: time.Now(),
	})
	crashes := r.faults.CrashBody != "" && strings.Contains(req.URL.Path+" "+body, r.faults.CrashBody)
	faults := runFaults{r.faults, r.life, r.Version, crashes}
	r.faults.Reset = max(0, r.faults.Reset-1)
	r.faults.Hang = max(0, r.faults.Hang-1)
	r.faults.Garble = max(0, r.faults.Garble-1)
	r.faults.BreakAfter = 0
	r.faults.SilentStreams = max(0, r.faults.SilentStreams-1)
	return faults, len(r.record.Runs) - 1, 0
}

// finishRun records that the run with this index has ended, and whether its client had gone by then.
func (r *Runner) finishRun(ctx context.Context, index int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	r.record.Runs[index].Cancelled = ctx.Err() != nil
}

// stream sends the events after the id in Last-Event-Id, with consecutive ids. If BreakAfter is positive, it sends so
// many events and then breaks the connection in the middle of the next one.
func (r *Runner) stream(w http.ResponseWriter, req *http.Request, faults runFaults) {
	w.Header().Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	out := http.NewResponseController(w)
	for i := first + 1; i <= r.Events; i++ {
		if !duty.Pause(req.Context(), r.TokenTime) {
			return
		}
		if faults.SilentStreams > 0 && i == first+1+faults.SilentAfter {
			duty.Pause(req.Context(), time.Duration(faults.SilenceMs)*time.Millisecond)
		}
		if faults.crashes && i > first+faults.CrashAfter {
			r.crash()
			return
		}
		r.stayQuiet(req.Context())
		if faults.BreakAfter > 0 && i > first+faults.BreakAfter {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: tok", i)
			_ = out.Flush()
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, r.event(faults.version, i)); err != nil || out.Flush() != nil {
			return
		}
	}
}

func (r *Runner) setFaults(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var f Faults
	if err := json.NewDecoder(req.Body).Decode(&f); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.faults = f
	r.beginSilence(time.Now())
	if f.Release != "" && f.Release != r.Version {
		r.Version = f.Release
		r.restart()
		if f.EmptyRelease {
			clear(r.loaded)
		}
	}
}

func (r *Runner) serveRecord(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	reply(w, http.StatusOK, r.record)
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // a client that has gone needs no answer
}
