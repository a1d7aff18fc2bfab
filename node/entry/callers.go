package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/duty/ring"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/link"
	"github.com/mangopass/mangopass/fleet/machine"
	"github.com/mangopass/mangopass/platform"
)

var errBusy = errors.New("entry: the routing duty's ring is full")

// callHandler serves requests in the platform's format. Each request runs in a net/http goroutine, which decodes it,
// receives the routing duty's decisions through a ring of its own, and makes the attempts.
type callHandler struct {
	node          string
	routing       *ring.Ring[message]
	streamRecords *ring.Ring[streamRecord]
	cuts          cutLog
	runners       *platform.RunnerClient
	bodyLimit     *atomic.Int64   // bytes; set by the routing duty from the manifest
	viewed        *atomic.Int64   // instant of which the routing duty knows the runners; set by it
	cutoff        context.Context // cancelled when a planned stop waits no longer for answers
	draining      atomic.Bool
	openRequests  atomic.Int64 // requests without a final answer
}

// ServeHTTP implements http.Handler.
func (h *callHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer h.begin(w)()
	call, refusal := platform.DecodeCall(r, h.bodyLimit.Load(), clock.Now())
	if refusal != nil {
		platform.WriteRefusal(w, "", refusal)
		return
	}
	x := &exchange{
		callHandler: h, w: w, payload: call, call: newCall(r.Context(), &call.Request),
		writeRefusal: platform.WriteRefusal,
	}
	x.serve()
}

// begin counts an open request of either front end until the returned function is called. In a planned stop, the
// caller's connection is closed after the answer.
func (h *callHandler) begin(w http.ResponseWriter) (end func()) {
	h.openRequests.Add(1)
	h.announceClose(w)
	return func() { h.openRequests.Add(-1) }
}

// announceClose states in an answer's head that its connection closes, once the planned stop has begun.
func (h *callHandler) announceClose(w http.ResponseWriter) {
	if h.draining.Load() {
		w.Header().Set("Connection", "close")
	}
}

func newCall(ctx context.Context, request *contract.Request) *call {
	return &call{
		ctx: ctx, request: request, parts: link.SharedParts(request.Prompt),
		decisions: ring.New[decision]("decision", 1),
	}
}

// exchange serves one caller's request: it makes the attempts and writes the answer.
type exchange struct {
	*callHandler
	w       http.ResponseWriter
	payload *platform.Call // the decoded request as sent to runners
	call    *call          // its state in the routing duty

	// writeRefusal writes a refusal in the format of the front end that received the request.
	writeRefusal func(w http.ResponseWriter, id string, refusal *contract.Refusal)

	progressAt  clock.Instant // when the caller got its last event; before the first one, when the request arrived
	askedAt     clock.Instant // when the runner of the attempt was asked last which process it is; zero: it was not
	headWritten bool
	mayHaveRun  bool     // a runner may have begun to run the request
	sent        passedOn // a resumed stream continues after its last event
	flusher     *http.ResponseController
}

// serve submits the call to the routing duty and carries out its decisions until the call has ended.
func (x *exchange) serve() {
	defer x.recordPanic()
	x.progressAt = x.call.request.Arrived
	if !x.routing.TryPush(callArrived{call: x.call}) {
		x.writeRefusal(x.w, x.payload.ID,
			contract.Refuse(contract.Overloaded, time.Second, "too many requests are waiting"))
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
		x.mayHaveRun = x.mayHaveRun || !end.result.notExecuted()
		if x.routing.Push(context.WithoutCancel(x.call.ctx), end) != nil {
			x.endUndecided(end)
			return
		}
		if end.final {
			x.abortIfUnanswered(end)
			return
		}
	}
}

// recordPanic records a panic of the exchange, which net/http would end the connection for without a trace, and lets the server
// end the connection.
func (x *exchange) recordPanic() {
	v := recover()
	if v == nil {
		return
	}
	if v != http.ErrAbortHandler {
		x.cuts.record(x.call, cutPanic, x.sent, clock.Now(), "error", fmt.Sprint(v), "stack", string(debug.Stack()))
	}
	panic(http.ErrAbortHandler)
}

// writeGrace is the time after the deadline of an attempt in which a slow caller can still take what has been sent to it.
const writeGrace = 2 * time.Second

// limitWrites ends the writing to a caller that does not read, some time after the deadline. The server lifts the limit after
// the request.
func (x *exchange) limitWrites(deadline clock.Instant) {
	end := time.Now().Add(deadline.Sub(clock.Now()) + writeGrace)
	_ = http.NewResponseController(x.w).SetWriteDeadline(end) // only writers that are no connections know no deadlines
}

// abortIfUnanswered aborts the caller's connection if the last attempt gave no whole answer: the caller is gone. net/http also
// says so if the caller has closed only its side of the connection, and would write an empty answer with status 200.
func (x *exchange) abortIfUnanswered(end attemptEnded) {
	if end.result != resultServed {
		panic(http.ErrAbortHandler)
	}
}

// endUndecided ends a call after an attempt that the routing duty, which has ended, can neither decide on nor record.
func (x *exchange) endUndecided(end attemptEnded) {
	if end.result == resultServed {
		return
	}
	if x.headWritten {
		x.cuts.record(x.call, cutProcessEnds, x.sent, clock.Now(), "runner", end.attempt.runner)
	}
	refusal := contract.Refuse(contract.Stopping, stoppingRetryAfter, "the VM is being stopped")
	refusal.MayHaveRun = x.mayHaveRun
	x.refuse(refusal)
}

// reportCancel tells the routing duty that the caller has disconnected, and aborts the connection, since nothing or only a part
// of an answer has been written. If the duty has decided on an attempt by then, it takes the decision back.
func (x *exchange) reportCancel() {
	_ = x.routing.Push(context.WithoutCancel(x.call.ctx), callCancelled{call: x.call, stopped: x.cutoff.Err() != nil})
	panic(http.ErrAbortHandler)
}

// refuse writes a refusal, or aborts the connection if part of an answer has been sent.
func (x *exchange) refuse(refusal *contract.Refusal) {
	if x.headWritten {
		panic(http.ErrAbortHandler) // only an aborted connection shows the caller that the answer is incomplete
	}
	x.announceClose(x.w)
	x.writeRefusal(x.w, x.payload.ID, refusal)
}

// attempt sends the request to a runner and forwards the answer to the caller.
func (x *exchange) attempt(a attempt) attemptEnded {
	begin := clock.Now()
	x.askedAt = 0
	end := attemptEnded{call: x.call, attempt: a}
	ctx, cancel := a.ctx, a.cancel
	defer cancel(nil)
	deadline := time.AfterFunc(a.deadline.Sub(begin), func() { cancel(errDeadline) })
	defer deadline.Stop()
	defer context.AfterFunc(x.cutoff, func() { cancel(errStopping) })()
	silence := x.startSilenceTimer(a)
	defer silence.stop()
	x.limitWrites(a.deadline)

	answer, err := x.send(ctx, a)
	end.paused = x.reportStated(a, answer, err)
	if err == nil {
		defer answer.Close()
		end.answered, end.status, end.delimited = true, answer.Status, answer.Delimited()
		answeredAt := clock.Now()
		if answer.IsStream() {
			err = x.forwardStream(ctx, answer, a, &end, begin, silence)
		} else {
			err = x.forwardBody(answer, &end)
		}
		end.answering = clock.Now().Sub(answeredAt)
	}
	end.sent = x.sent
	end.took, end.cause, end.lost = clock.Now().Sub(begin), err, platform.ConnectionLost(err)
	if end.result == resultServed && err != nil {
		end.result = x.classify(ctx, err)
		end.final = end.result == resultCallerGone
	}
	return end
}

// send sends the request to the runner of an attempt, after it has been asked for its process if need be.
func (x *exchange) send(ctx context.Context, a attempt) (*platform.Answer, error) {
	if a.verifyBoot {
		if err := x.askProcess(ctx, a); err != nil {
			return nil, err
		}
	}
	return x.runners.Send(ctx, x.payload, platform.Attempt{
		Runner: a.runner, Address: a.address, Organisation: a.organisation, Remaining: a.deadline.Sub(clock.Now()),
		Priority: a.priority, LastEvent: x.sent.lastEvent,
	})
}

// reportStated tells the routing duty what a runner states of itself, or that it states no rate limit any more. A rejection
// without a limit does not say that there is none. It reports whether the runner asks for a pause.
func (x *exchange) reportStated(a attempt, answer *platform.Answer, err error) (paused bool) {
	stated, lifted := platform.StatedIn(err), false
	if err == nil {
		stated = answer.Stated
		lifted = a.limited && stated.RateLimit == 0 && answer.Status/100 == http.StatusOK/100
	}
	if stated.RateLimit > 0 || lifted {
		// The next answer states it again if the ring is full.
		_ = x.routing.TryPush(limitStated{runner: a.runner, boot: a.boot, perSecond: stated.RateLimit})
	}
	if stated.Leaving || stated.Pause > 0 || stated.ColdLeft > 0 || stated.Malformed != "" {
		x.pushStated(a, stated)
	}
	return stated.Pause > 0
}

func (x *exchange) pushStated(a attempt, stated platform.Stated) {
	_ = x.routing.Push(context.WithoutCancel(x.call.ctx), runnerStated{ // fails only when the process stops
		process: machine.Process{Runner: a.runner, Boot: a.boot}, stated: stated, at: clock.Now(),
	})
}

var (
	errDeadline = errors.New("the deadline has passed")
	errSilent   = errors.New("the runner sent nothing within the silence timeout, and another one can go on")
	errStopping = errors.New("the process is stopping")
	errBlocked  = errors.New("a part of the prompt crashes runners")
	errNotTaken = errors.New("the caller does not take the answer")

	errUnrecorded = errors.New("what began the stream could not be recorded")
)

// classify maps the error of an attempt to a result.
func (x *exchange) classify(ctx context.Context, err error) result {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errDeadline):
		return resultTimeout
	case errors.Is(cause, errStopping):
		return resultStopped
	case errors.Is(cause, errBlocked):
		return resultWithdrawn
	case errors.Is(cause, errOtherProcess), errors.Is(err, errOtherProcess), errors.Is(err, errNotProven):
		return resultFailed
	case x.call.ctx.Err() != nil, errors.Is(err, errNotTaken):
		return resultCallerGone
	}
	switch {
	case errors.Is(err, errUnrecorded) && !errors.Is(context.Cause(ctx), errSilent):
		return resultUnrecorded
	case errors.Is(err, platform.ErrNoReplica):
		return resultNoReplica
	case errors.Is(err, platform.ErrUnreachable):
		return resultUnreachable
	case errors.Is(err, platform.ErrNotExecuted):
		return resultShed
	}
	return resultBroken
}

// forwardBody forwards an answer that is not a stream, after all of it has arrived.
func (x *exchange) forwardBody(answer *platform.Answer, end *attemptEnded) error {
	body, err := answer.ReadBody()
	if err != nil {
		return err
	}
	if x.headWritten {
		return errors.Newf("resumed stream: got status %d instead of events", answer.Status)
	}
	if retriable(x.call, answer.Status) {
		end.result = resultFailed
		return errors.Newf("the runner failed with status %d", answer.Status)
	}
	end.final = true
	x.announceClose(x.w)
	answer.WriteHead(x.w, body.Len())
	if _, err = body.WriteTo(x.w); err == nil {
		err = http.NewResponseController(x.w).Flush()
	}
	end.untaken = err != nil
	return nil
}

// retriable reports whether a failure status leads to a retry on another runner. It may read the call's admission,
// which the routing duty does not change after the first attempt.
func retriable(c *call, status int) bool {
	return status >= http.StatusInternalServerError && c.admitted.Route.Kind == contract.Safe &&
		c.sends < c.admitted.Route.MaxAttempts
}

// forwardStream forwards events as they arrive. The response head is written with the first event, so that until then
// the whole request can be retried on another runner.
func (x *exchange) forwardStream(
	ctx context.Context, answer *platform.Answer, a attempt, end *attemptEnded, begin clock.Instant, silence *silenceTimer,
) error {
	measured := writePace{exchange: x, attempt: a}
	defer measured.report(true)
	for {
		event, err := answer.Next()
		if errors.Is(err, io.EOF) {
			end.final = true
			if !x.headWritten {
				x.writeHead(answer)
			}
			return x.forwardEvent(event) // comments after the last event
		}
		if err != nil {
			return err
		}
		measured.arrived()
		silence.pause() // the runner is not silent while its event is recorded or a slow caller takes it
		if !end.started {
			if err := x.checkProcess(ctx, a); err != nil {
				return err
			}
			end.started, end.first = true, clock.Now().Sub(begin)
			end.startReported = x.routing.TryPush(attemptStarted{call: x.call, attempt: a, took: end.first})
		}
		if !x.headWritten {
			if a.recorded {
				if err := x.recordStream(ctx, a); err != nil {
					return err
				}
			}
			x.writeHead(answer)
		}
		end.streaming = true
		if err := x.forwardEvent(event); err != nil {
			return err
		}
		x.progressAt = silence.reset()
		measured.event(x.progressAt)
	}
}

func (x *exchange) writeHead(answer *platform.Answer) {
	x.headWritten = true
	x.flusher = http.NewResponseController(x.w)
	x.announceClose(x.w)
	answer.WriteHead(x.w, -1)
}

func (x *exchange) forwardEvent(event platform.Event) error {
	if event.Data.Len() == 0 {
		return nil
	}
	if _, err := event.Data.WriteTo(x.w); err != nil {
		return errors.Mark(errors.Wrap(err, "write to caller"), errNotTaken)
	}
	if event.ID != "" {
		x.sent.lastEvent = event.ID
	}
	if err := x.flusher.Flush(); err != nil {
		return errors.Mark(errors.Wrap(err, "flush to caller"), errNotTaken)
	}
	x.sent.events++
	return nil
}
