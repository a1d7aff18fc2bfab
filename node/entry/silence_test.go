package entry

import (
	"context"
	"testing"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/duty/ring"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/link"
	"github.com/mangopass/mangopass/fleet/machine"
)

const (
	silentEngine = "e1" // the engine that falls silent
	// allowedGap is the pause that the chat route allows; callers then abandon a stream after 3.2 s without an event.
	allowedGap = 400 * time.Millisecond
	// hungFor is a silence that no sound runner shows, after the first event or before the one of a short prompt.
	hungFor = 2500 * time.Millisecond
)

// sendToSilentEngine returns a harness with a chat call that the engine which falls silent has got, and then further engines.
func sendToSilentEngine(t *testing.T, others ...machine.RunnerID) (*harness, *call, attempt) {
	t.Helper()
	h := newHarness()
	h.setUp()
	h.manifest.Route("h", "/chat/").MaxGap = allowedGap
	h.announceEngine(silentEngine, machine.ReportedModel{Model: "m"})
	c, d := h.admitChat()
	if d == nil || d.refusal != nil {
		t.Fatalf("decision %+v, want an attempt", d)
	}
	for _, e := range others {
		h.announceEngine(e, machine.ReportedModel{Model: "m"})
	}
	return h, c, d.attempt
}

// beginStream applies the first event of a call's stream.
func (h *harness) beginStream(c *call, a attempt) { h.apply(attemptStarted{call: c, attempt: a}) }

// stayQuiet lets the time pass and applies what the silence timer reports. It reports whether the attempt is given up.
func (h *harness) stayQuiet(c *call, a attempt, d time.Duration, started bool) bool {
	since := h.now
	h.now = h.now.Add(d)
	h.apply(attemptSilent{call: c, attempt: a, since: since, at: h.now, started: started, progress: since})
	return a.endedForSilence()
}

// TestSilentAttemptIsKeptIfItCannotGoOn guards against streams that are cut off because their runner was silent for a while,
// although they can't go on at another runner. One that can go on does so, and takes one retry from the budget.
func TestSilentAttemptIsKeptIfItCannotGoOn(t *testing.T) {
	const other = "e2"
	for name, c := range map[string]struct {
		others  []machine.RunnerID
		prepare func(h *harness, c *call)
		goesOn  bool
	}{
		"another runner has the model": {others: []machine.RunnerID{other}, goesOn: true},
		"no other runner":              {},
		"the retry budget is spent": {others: []machine.RunnerID{other}, prepare: func(h *harness, c *call) {
			h.spendRetries(c)
		}},
		"the route's attempts are spent": {others: []machine.RunnerID{other}, prepare: func(_ *harness, c *call) { c.runs = 1 }},
		"the other runner is ejected": {others: []machine.RunnerID{other}, prepare: func(h *harness, _ *call) {
			h.table.Link(h.fleet.Get(other)).Unreachable(h.now.Add(hungFor))
		}},
		"the other runner's queue is too long for the caller": {others: []machine.RunnerID{other}, prepare: func(h *harness, _ *call) {
			h.queueAt(other, 700*time.Millisecond)
		}},
		"the other runner's queue is too long for the deadline": {others: []machine.RunnerID{other}, prepare: func(h *harness, c *call) {
			c.deadline = h.now.Add(hungFor + 100*time.Millisecond)
		}},
		"the stream goes on at its version only": {others: []machine.RunnerID{other}, prepare: func(_ *harness, c *call) {
			c.pin("v9")
		}},
		"callers abandon it earlier": {others: []machine.RunnerID{other}, prepare: func(h *harness, _ *call) {
			h.manifest.Route("h", "/chat/").MaxGap = 0
		}},
	} {
		t.Run(name, func(t *testing.T) {
			h, chat, a := sendToSilentEngine(t, c.others...)
			if c.prepare != nil {
				c.prepare(h, chat)
			}
			if given := h.stayQuiet(chat, a, hungFor, false); given != c.goesOn {
				t.Fatalf("the attempt is given up: %v, want %v", given, c.goesOn)
			}
			if !c.goesOn {
				return
			}
			h.spendRetries(chat) // its retry has been reserved already
			if next := h.endAttempt(chat, a, resultBroken); next == nil || next.refusal != nil {
				t.Errorf("decision %+v, want an attempt at the other engine", next)
			}
		})
	}
}

// TestSilenceOfSoundRunnerIsWaitedFor guards against streams that are given up because a sound runner is silent for up to 2 s,
// and that are cut off when the next runner does not take them.
func TestSilenceOfSoundRunnerIsWaitedFor(t *testing.T) {
	for _, started := range []bool{true, false} {
		for _, silence := range []time.Duration{1300 * time.Millisecond, 1600 * time.Millisecond, 2 * time.Second} {
			h, chat, a := sendToSilentEngine(t, "e2")
			if !started {
				a.expectedLatency = 600 * time.Millisecond
				silence += a.expectedLatency
			} else {
				h.beginStream(chat, a)
				silence += allowedGap - 10*time.Millisecond // the pause that the next event would have come after anyway
			}
			if h.stayQuiet(chat, a, silence, started) {
				t.Errorf("given up after a silence of %v, started: %v", silence, started)
			}
		}
	}
}

// TestSilenceCountsOnceAsFailure guards new requests against runners that hang and whose streams are kept, and sound runners
// against silences that count once more when their streams end.
func TestSilenceCountsOnceAsFailure(t *testing.T) {
	ejected := func(h *harness) bool { return h.table.Link(h.fleet.Get(silentEngine)).Ejected(h.now) }
	h, first, a := sendToSilentEngine(t)
	second, d := h.admitChat()
	h.stayQuiet(first, a, 1400*time.Millisecond, false)
	h.stayQuiet(first, a, 500*time.Millisecond, false)
	if h.endAttempt(first, a, resultBroken); ejected(h) {
		t.Error("ejected after one silence that was reported twice and ended with a broken stream")
	}
	if h.stayQuiet(second, d.attempt, 1400*time.Millisecond, false); !ejected(h) {
		t.Error("not ejected after the silence of two streams that are kept")
	}
}

// TestSilentStreamsMoveAsFarAsThereIsRoom guards against a runner that gets all streams of a silent one at once, so that most
// wait there until their callers have abandoned them.
func TestSilentStreamsMoveAsFarAsThereIsRoom(t *testing.T) {
	const prefill = 250 * time.Millisecond // two of them, and the first token, fit into the 0.7 s that are left
	h, first, a := sendToSilentEngine(t)
	calls, attempts := []*call{first}, []attempt{a}
	for range 3 {
		c, d := h.admitChat()
		calls, attempts = append(calls, c), append(attempts, d.attempt)
	}
	for i, c := range calls {
		h.beginStream(c, attempts[i])
		c.request.PromptTokens = int(prefill.Milliseconds()) * 192 / 10
	}
	h.announceEngine("e2", machine.ReportedModel{Model: "m"})
	since, moved := h.now, 0
	h.now = h.now.Add(hungFor)
	for i, c := range calls {
		h.apply(attemptSilent{call: c, attempt: attempts[i], since: since, at: h.now, started: true, progress: since})
		if attempts[i].endedForSilence() {
			moved++
		}
	}
	if moved != 2 {
		t.Fatalf("%d of 4 streams are given up, want the 2 that the other runner can read in time", moved)
	}
	for i, c := range calls[:2] {
		h.apply(attemptEnded{call: c, attempt: attempts[i], result: resultBroken, started: true, startReported: true, streaming: true})
		if d := h.decision(c); d == nil || d.refusal != nil {
			t.Errorf("decision %+v, want an attempt", d)
		}
	}
	if queued := h.table.Queued("e2"); queued != 2*prefill {
		t.Errorf("%v are queued at the other runner, want those of two streams", queued)
	}
}

// TestSilenceIsNoCrash guards a request whose runners have been silent twice against being refused as one that crashes runners.
func TestSilenceIsNoCrash(t *testing.T) {
	h, first, a := sendToSilentEngine(t, "e2", "e3")
	second, d := h.admitChat() // the caller sends the same content again
	for _, s := range []struct {
		call    *call
		attempt attempt
	}{{first, a}, {second, d.attempt}} {
		if !h.stayQuiet(s.call, s.attempt, hungFor, false) {
			t.Fatal("the attempt is kept")
		}
		if next := h.endAttempt(s.call, s.attempt, resultBroken); next == nil || next.refusal != nil {
			t.Errorf("decision %+v, want an attempt at another engine", next)
		}
	}
	h.apply(storeChanged{sent: h.now}) // the manifest is current
	if _, d := h.admitChat(); d == nil || d.refusal != nil {
		t.Errorf("decision %+v on the content that met two silences, want an attempt", d)
	}
}

// TestLateReportOfSilence guards streams against a routing duty that gets to a report of a short silence late, when the runner may
// have gone on: the time that the report has waited is none of the silence.
func TestLateReportOfSilence(t *testing.T) {
	h, chat, a := sendToSilentEngine(t, "e2")
	h.beginStream(chat, a)
	since := h.now
	h.now = h.now.Add(hungFor)
	h.apply(attemptSilent{call: chat, attempt: a, since: since, at: since.Add(streamSilenceTimeout), started: true, progress: since})
	if a.endedForSilence() {
		t.Errorf("given up after a silence of %v", streamSilenceTimeout)
	}
}

// TestGivenUpWhileRecordedMayGoOn guards a stream whose first event comes just as its runner is given up, and is being recorded in
// the store then, against a refusal, and the other streams of this VM against the pause after a failure of the store.
func TestGivenUpWhileRecordedMayGoOn(t *testing.T) {
	x := &exchange{callHandler: &callHandler{streamRecords: ring.New[streamRecord]("stream records", 1)}}
	x.call = &call{ctx: t.Context()}
	ctx, cancel := context.WithCancelCause(t.Context())
	cancel(errSilent)
	if got := x.classify(ctx, x.recordStream(ctx, attempt{})); got != resultBroken {
		t.Errorf("result %v, want %v", got, resultBroken)
	}
}

// TestSilentMessageOfEndedAttempt guards the retry budget against an attempt that has ended before its silence is handled.
func TestSilentMessageOfEndedAttempt(t *testing.T) {
	h, chat, a := sendToSilentEngine(t, "e2")
	a.cancel(nil)
	h.stayQuiet(chat, a, hungFor, false)
	if chat.retry != link.NoRetry {
		t.Error("a retry was taken for an attempt that has ended")
	}
}

// TestSilenceIsReportedAgain guards against a silent attempt that is asked about only once, before it may be given up, and
// against one that counts as silent from an earlier event.
func TestSilenceIsReportedAgain(t *testing.T) {
	const timeout, sound = 30 * time.Millisecond, 250 * time.Millisecond
	intake := ring.New[message]("routing", 16)
	c := newCall(t.Context(), &contract.Request{Arrived: clock.Now().Add(-time.Second)})
	x := &exchange{callHandler: &callHandler{routing: intake}, call: c, progressAt: c.request.Arrived}
	timer := x.startSilenceTimer(attempt{ctx: t.Context(), silenceTimeout: timeout, soundSilence: sound})
	defer timer.stop()
	next := func() attemptSilent {
		m, err := intake.Pop(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		return m.(attemptSilent)
	}
	if m := next(); m.started || m.progress != c.request.Arrived || clock.Now().Sub(m.since) < timeout {
		t.Errorf("report %+v, want a silence of at least %v before the first event", m, timeout)
	}
	if m := next(); clock.Now().Sub(m.since) < sound {
		t.Errorf("report of a silence of %v, want the next one after %v", clock.Now().Sub(m.since), sound)
	}
	event := timer.reset()
	if m := next(); !m.started || m.since != event || m.progress != event || clock.Now().Sub(event) < timeout {
		t.Errorf("report %+v, want a silence since %v", m, event)
	}
}

// TestSuspendedProcessReadsFirst guards runners that have sent events while the process was suspended against being taken for
// silent by the timers that run out at its end.
func TestSuspendedProcessReadsFirst(t *testing.T) {
	intake := ring.New[message]("routing", 16)
	c := newCall(t.Context(), &contract.Request{Arrived: clock.Now()})
	x := &exchange{callHandler: &callHandler{routing: intake}, call: c, progressAt: c.request.Arrived}
	for _, reads := range []bool{true, false} {
		timer := x.startSilenceTimer(attempt{ctx: t.Context(), silenceTimeout: time.Minute, soundSilence: time.Hour})
		suspended := clock.Now().Add(-2 * time.Minute)
		timer.heardAt.Store(int64(suspended))
		timer.dueAt.Store(int64(suspended.Add(time.Minute)))
		if timer.report(); intake.Len() != 0 {
			t.Fatal("reported at the end of the suspension")
		}
		if reads {
			timer.reset()
		}
		time.Sleep(3 * readTime)
		if reported := intake.Len() != 0; reported == reads {
			t.Errorf("reported: %v, the process has read an event: %v", reported, reads)
		}
		timer.stop()
	}
}

// TestGivenUpStreamGoesBackToItsRunner guards a stream whose silent runner was given up, and whose next one can't be reached: its
// first runner is sound again, and the stream must not be cut off for want of another one.
func TestGivenUpStreamGoesBackToItsRunner(t *testing.T) {
	h, c, a := sendToSilentEngine(t, "e2")
	h.beginStream(c, a)
	if !h.stayQuiet(c, a, hungFor, true) {
		t.Fatal("the silent attempt is kept")
	}
	h.breakStream(c, a)
	next := h.decision(c)
	if next == nil || next.refusal != nil || next.attempt.runner != "e2" {
		t.Fatalf("decision %+v, want an attempt at the other engine", next)
	}
	h.apply(attemptEnded{call: c, attempt: next.attempt, result: resultUnreachable})
	for end := h.now.Add(continuationWait); h.now.Before(end); h.now = h.now.Add(maxTickPeriod) {
		h.onTick(h.now)
		if back := h.decision(c); back != nil {
			if back.refusal != nil || back.attempt.runner != silentEngine {
				t.Errorf("decision %+v, want an attempt at the first engine", back)
			}
			return
		}
	}
	t.Error("the stream still waits")
}
