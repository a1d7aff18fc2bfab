package entry

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/duty/ring"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/platform"
)

var errBusy = errors.New("entry: the routing duty is busy")

// callHandler serves requests in the platform's form. Each request has a goroutine of net/http, which decodes it, waits for
// the routing duty's decisions on a ring of its own, and carries the attempts out.
type callHandler struct {
	routing      *ring.Ring[message]
	runners      *platform.RunnerClient
	bodyLimit    *atomic.Int64   // bytes; set by the routing duty from the manifest
	cutoff       context.Context // ends when a planned stop can wait no longer for answers
	draining     atomic.Bool
	openRequests atomic.Int64 // requests without a final answer
}

// ServeHTTP implements http.Handler.
func (h *callHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.openRequests.Add(1)
	defer h.openRequests.Add(-1)
	if h.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	call, refusal := platform.DecodeCall(r, h.bodyLimit.Load(), clock.Now())
	if refusal != nil {
		platform.WriteRefusal(w, "", refusal)
		return
	}
	x := &exchange{
		callHandler: h, w: w, payload: call, call: newCall(r.Context(), &call.Request), writeRefusal: platform.WriteRefusal,
	}
	x.serve()
}

func newCall(ctx context.Context, request *contract.Request) *call {
	return &call{ctx: ctx, request: request, decisions: ring.New[decision]("decision", 1)}
}

// exchange is one request with its answer.
type exchange struct {
	*callHandler
	w       http.ResponseWriter
	payload *platform.Call
	call    *call

	// writeRefusal answers in the form of the front end that took the request.
	writeRefusal func(w http.ResponseWriter, id string, refusal *contract.Refusal)

	headWritten bool
	lastEventID string // id of the last event passed on
	flusher     *http.ResponseController
}

func (x *exchange) serve() {
	if !x.routing.TryPush(callArrived{call: x.call}) {
		x.writeRefusal(x.w, x.payload.ID, contract.Refuse(contract.Overloaded, time.Second, "too many requests are waiting"))
		return
	}
	for {
		d, err := x.call.decisions.Pop(x.call.ctx)
		if err != nil {
			x.reportCancel()
			return
		}
		if d.refusal != nil {
			x.refuse(d.refusal)
			return
		}
		end := x.attempt(d.attempt)
		if x.routing.Push(context.WithoutCancel(x.call.ctx), end) != nil || end.final {
			x.abortIfIncomplete(end)
			return
		}
	}
}

// abortIfIncomplete breaks the caller's connection if the answer is not complete.
func (x *exchange) abortIfIncomplete(end attemptEnded) {
	if end.result != resultServed && x.headWritten {
		panic(http.ErrAbortHandler)
	}
}

// reportCancel tells the routing duty that the caller has gone away. A decision that crosses it is reported as an attempt
// that was not sent.
func (x *exchange) reportCancel() {
	ctx := context.WithoutCancel(x.call.ctx)
	_ = x.routing.Push(ctx, callCancelled{call: x.call})
	raceCtx, cancel := context.WithTimeout(ctx, cancelRaceTimeout)
	defer cancel()
	d, err := x.call.decisions.Pop(raceCtx)
	if err == nil && d.refusal == nil {
		_ = x.routing.Push(ctx, attemptEnded{call: x.call, attempt: d.attempt, result: resultCallerGone, final: true})
	}
	if x.headWritten {
		panic(http.ErrAbortHandler)
	}
}

// cancelRaceTimeout is the time for which a decision can cross a withdrawal.
const cancelRaceTimeout = 100 * time.Millisecond

func (x *exchange) refuse(refusal *contract.Refusal) {
	if x.headWritten {
		panic(http.ErrAbortHandler) // part of an answer has gone out; only a broken connection shows that it is not whole
	}
	x.writeRefusal(x.w, x.payload.ID, refusal)
}

// attempt sends the request to a runner and passes the answer on.
func (x *exchange) attempt(a attempt) attemptEnded {
	begin := clock.Now()
	end := attemptEnded{call: x.call, attempt: a}
	ctx, cancel := context.WithCancelCause(x.call.ctx)
	defer cancel(nil)
	deadline := time.AfterFunc(a.deadline.Sub(begin), func() { cancel(errDeadline) })
	defer deadline.Stop()
	defer context.AfterFunc(x.cutoff, func() { cancel(errStopping) })()
	silence := x.startSilenceTimer(a, cancel)
	defer silence.stop()

	answer, err := x.runners.Send(ctx, x.payload, platform.Attempt{
		Runner: a.runner, Address: a.address, Organisation: a.organisation, Remaining: a.deadline.Sub(begin), Priority: a.priority,
		LastEvent: x.lastEventID,
	})
	if err == nil {
		defer answer.Close()
		if answer.IsStream() {
			err = x.forwardStream(answer, a, &end, begin, silence)
		} else {
			err = x.forwardBody(answer, &end)
		}
	}
	end.took, end.cause = clock.Now().Sub(begin), err
	if end.result == resultServed && err != nil {
		end.result = x.classify(ctx, err)
		end.final = end.result == resultCallerGone
	}
	return end
}

var (
	errDeadline = errors.New("the deadline has passed")
	errSilent   = errors.New("the runner is silent")
	errStopping = errors.New("the process stops")
)

// classify turns the failure of an attempt into a result.
func (x *exchange) classify(ctx context.Context, err error) result {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errDeadline), errors.Is(cause, errStopping):
		return resultTimeout
	case x.call.ctx.Err() != nil:
		return resultCallerGone
	}
	switch {
	case errors.Is(err, platform.ErrNoReplica):
		return resultNoReplica
	case errors.Is(err, platform.ErrUnreachable):
		return resultUnreachable
	case errors.Is(err, platform.ErrNotExecuted):
		return resultShed
	}
	return resultBroken
}

// forwardBody passes on an answer that is not a stream, once all of it has arrived.
func (x *exchange) forwardBody(answer *platform.Answer, end *attemptEnded) error {
	body, err := answer.ReadBody()
	if err != nil {
		return err
	}
	if x.headWritten {
		return errors.Newf("a resumed stream was answered with status %d", answer.Status)
	}
	if retriable(x.call, answer.Status) {
		end.result = resultFailed
		return errors.Newf("the runner failed with status %d", answer.Status)
	}
	end.final = true
	answer.WriteHead(x.w, len(body))
	_, _ = x.w.Write(body) // a caller that has gone away needs no answer
	return nil
}

// retriable reports whether another runner may answer better. The call's admission is fixed before its first attempt.
func retriable(c *call, status int) bool {
	return status >= http.StatusInternalServerError && c.admitted.Route.Kind == contract.Safe &&
		c.sends < c.admitted.Route.MaxAttempts
}

// forwardStream passes events on as they come. The head goes out with the first event, so that until then another runner can
// answer from the start.
func (x *exchange) forwardStream(answer *platform.Answer, a attempt, end *attemptEnded, begin clock.Instant, silence *silenceTimer) error {
	for {
		event, err := answer.Next()
		if errors.Is(err, io.EOF) {
			end.final = true
			if !x.headWritten {
				x.writeHead(answer)
			}
			return nil
		}
		if err != nil {
			return err
		}
		silence.reset()
		if !end.started {
			end.started = true
			_ = x.routing.TryPush(attemptStarted{attempt: a, took: clock.Now().Sub(begin)})
		}
		if !x.headWritten {
			x.writeHead(answer)
		}
		end.streaming = true
		if err := x.forwardEvent(event); err != nil {
			return err
		}
	}
}

func (x *exchange) writeHead(answer *platform.Answer) {
	x.headWritten = true
	x.flusher = http.NewResponseController(x.w)
	answer.WriteHead(x.w, -1)
}

func (x *exchange) forwardEvent(event platform.Event) error {
	if _, err := x.w.Write(event.Data); err != nil {
		return errors.Wrap(err, "write to caller")
	}
	if event.ID != "" {
		x.lastEventID = event.ID
	}
	return errors.Wrap(x.flusher.Flush(), "flush to caller")
}

// silenceTimer gives an attempt up when the runner is silent for too long. Without a bound it does nothing.
type silenceTimer struct {
	timer   *time.Timer
	timeout time.Duration
}

func (x *exchange) startSilenceTimer(a attempt, cancel context.CancelCauseFunc) *silenceTimer {
	if a.silenceTimeout <= 0 {
		return &silenceTimer{}
	}
	return &silenceTimer{timer: time.AfterFunc(a.silenceTimeout, func() { cancel(errSilent) }), timeout: a.silenceTimeout}
}

func (s *silenceTimer) reset() {
	if s.timer != nil {
		s.timer.Reset(s.timeout)
	}
}

func (s *silenceTimer) stop() {
	if s.timer != nil {
		s.timer.Stop()
	}
}
