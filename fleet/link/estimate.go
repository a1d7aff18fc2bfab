package link

import (
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/machine"
	"github.com/mangopass/mangopass/fleet/pace"
)

// evaluate estimates the times of a request at a runner. Requests that can still be in time go before those that are late in
// any case, so only the former count in the wait of a request that is in time behind them. While more arrives than the
// runners can read, the newest requests are then answered in time and those that are late anyway wait, instead of all being
// late.
func (t *Table) evaluate(r *machine.Runner, req Requirements, hashes []uint64, now clock.Instant) Choice {
	if req.Artifact.Model == "" {
		return t.evaluatePlain(r, req, now)
	}
	tokens := req.PromptTokens - t.Link(r).cache.cachedTokens(hashes, req.Prompt)
	work, queued := t.Pace.Work(req.Artifact, max(0, tokens)), t.Queued(r.ID)
	begin := t.Pace.FirstEvent(r.ID, req.Artifact)
	c := Choice{Runner: r, Tokens: t.tokensAt(r, req, hashes), Work: work, Prefill: t.Pace.Reading(r.ID, r.Service, work)}
	ahead, slots := min(t.timely(r.ID), queued), t.slotWait(r, req)
	share := 1.0 // of the requests that wait, those that can be in time
	if queued > 0 {
		share = float64(ahead) / float64(queued)
	}
	timelySlots := time.Duration(share * float64(slots))
	bound := t.Pace.ReadingBound(r.ID, r.Service, ahead+work+t.Pace.FirstWork(req.Artifact))
	if c.Timely = req.First || !req.Above && max(bound, timelySlots+c.Prefill+begin) <= req.Left; c.Timely {
		c.Wait, queued = max(t.Pace.Reading(r.ID, r.Service, ahead), timelySlots), ahead
	} else {
		c.Wait = max(t.Pace.Reading(r.ID, r.Service, queued), slots)
	}
	c.First = c.Wait + c.Prefill + begin
	c.End = c.First + t.Pace.Writing(r.ID, req.Artifact, req.Events)
	c.idle, c.nominalPrefill = t.totalFor(r.ID).running == 0, pace.PrefillTime(max(0, tokens))
	if slots == 0 && (!req.Above || queued == 0) { // most others overtake one above its share
		c.Nominal = queued + work + t.Pace.FirstWork(req.Artifact)
	}
	c.probe = t.probes(c, now)
	return c
}

// evaluatePlain estimates the time of a request at a runner of a plain service, where only running requests count.
func (t *Table) evaluatePlain(r *machine.Runner, req Requirements, now clock.Instant) Choice {
	nominal := serviceTime * time.Duration(1+t.totalFor(r.ID).running) / time.Duration(max(1, r.Slots))
	c := Choice{
		Runner: r, Timely: true, Nominal: max(nominal, serviceTime),
		First: t.Pace.Reading(r.ID, r.Service, nominal),
	}
	c.probe = t.probes(c, now)
	return c
}

// TimeAtTarget returns the time that a request with the given numbers of prompt tokens and events takes at a runner of the nominal
// pace. It serves to compare requests of one service, whose measured pace would change it from one request to the next.
func (t *Table) TimeAtTarget(a machine.Artifact, tokens int, events float64) time.Duration {
	if a.Model == "" {
		return serviceTime
	}
	return t.Pace.Work(a, tokens) + t.Pace.FirstWork(a) + time.Duration(events*float64(pace.EventTime))
}

// FreeSlots returns the number of slots that a runner has free, as far as the reports of all VMs tell.
func (t *Table) FreeSlots(r *machine.Runner) int { return max(0, r.Slots-t.totalFor(r.ID).running) }

// probeShare is the share of the choices, from 0 to 1, in which an idle slow runner may get a probe, so that few of the VMs
// that see it idle at the same time do so.
const probeShare = 0.1

// probes reports whether a request may go to a slow runner in order to learn its pace: one that is in time there, as long as
// no VM has a request there.
func (t *Table) probes(c Choice, now clock.Instant) bool {
	return t.Pace.ProbeDue(c.Runner.ID, now) && c.Timely && t.totalFor(c.Runner.ID).running == 0 &&
		t.rand.Float64() < probeShare
}

// slotWait returns the time until a slot of a runner is free for a request behind all that wait there: each slot becomes free
// after the time in which an answer of the usual length is written.
func (t *Table) slotWait(r *machine.Runner, req Requirements) time.Duration {
	over := t.totalFor(r.ID).running + 1 - r.Slots
	if r.Slots <= 0 || over <= 0 {
		return 0
	}
	held := req.Usual * float64(t.Pace.TokenTime(r.ID, req.Artifact))
	return time.Duration(held * float64(over) / float64(r.Slots))
}

// endMargin is the factor by which the expected end of a request must pass its deadline before it is refused: one late request
// in ten began within a third of the time expected, and an answer that comes late is worth more than none.
const endMargin = 1.5

// EndsAfter reports whether a request can't be expected to end in the given time: it waits for longer, or its last event comes
// far too late. At a runner without requests only the nominal time to read the prompt counts: refusals by a measured pace alone
// would stop the answers that show the pace to be over.
func (c Choice) EndsAfter(left time.Duration) bool {
	if c.idle {
		return c.nominalPrefill > left
	}
	return c.Wait+c.Prefill > left || float64(c.End) > endMargin*float64(left) && c.End > c.First
}

// laterWeight is the weight of the time after the first event, from 0 to 1, as long as it costs the caller nothing: as the
// first event decides whether an answer is late, a shorter queue goes before faster events.
const laterWeight = 0.05

// cost returns the expected delay of a request's first event at a runner, what the caller loses by the events after it, the
// round-trip time, the costs of another zone and of a runner that is ejected, about to leave or limited, and a random jitter.
func (t *Table) cost(c Choice, req Requirements, now clock.Instant) time.Duration {
	l := t.Link(c.Runner)
	slowness := t.Pace.Slowness(c.Runner.ID)
	cost := t.Pace.Compared(c.Runner.ID, c.First) + t.Pace.QueueDoubt(c.Runner.Service, c.Wait)
	switch {
	case c.probe:
		cost = 0
	case req.Artifact.Model != "":
		cost += time.Duration(float64(t.totalFor(c.Runner.ID).running) * float64(runningCost) * max(1, slowness))
		cost += t.later(c, req)
	}
	cost += req.leaving.cost(t, c.Runner)
	cost += t.zones.Distance(req.From, c.Runner.Zone)
	if c.Runner.LeavesAt != 0 || l.Ejected(now) {
		cost += ejectedCost
	}
	return cost + t.Limits.cost(c.Runner, now) + time.Duration(t.rand.Int64N(int64(jitter)))
}

// later returns what the events after the first one cost: all of their time if the pauses between them are longer than the
// route allows, the time by which the answer would pass its deadline, and else a small part.
func (t *Table) later(c Choice, req Requirements) time.Duration {
	writing := c.End - c.First
	if req.MaxGap > 0 && t.Pace.TokenTime(c.Runner.ID, req.Artifact) > req.MaxGap {
		return writing
	}
	overrun := time.Duration(0)
	if req.End > 0 {
		overrun = max(0, c.End-req.End)
	}
	return time.Duration(laterWeight*float64(writing)) + overrun
}
