package agent

import (
	"context"
	"log/slog"
	"time"

	"github.com/mangopass/mangopass/duty/ring"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/link"
	"github.com/mangopass/mangopass/fleet/machine"
)

// message is anything that reaches the scheduler duty: *job, configInForce, orderDone, runDone, leave.
type message any

// configInForce replaces the configuration by a higher generation.
type configInForce struct{ config *contract.Config }

// order asks the orders duty to load or unload an artifact.
type order struct {
	artifact contract.Artifact
	bytes    int64
	unload   bool
}

// orderDone reports the result of an order.
type orderDone struct {
	order   order
	outcome OrderOutcome
}

// runDone reports that the target has finished with a job.
type runDone struct{ job *job }

// leave starts a planned stop; done gets a value once no job is left.
type leave struct{ done *ring.Ring[struct{}] }

const (
	schedulerBatch  = 64
	heartbeatPeriod = time.Second
	retryAfterFull  = time.Second
)

// scheduler is the duty that decides what the target loads and runs. It owns the queue, the target's memory ledger and
// replicas, and never blocks on a push.
type scheduler struct {
	inbox  *ring.Ring[message]
	runs   *ring.Ring[*job]
	orders *ring.Ring[order]
	status *ring.Ring[link.Report]
	log    *slog.Logger
	base   link.Report // the fields of a heartbeat that do not change

	config  *contract.Config
	target  *machine.Target
	queue   machine.Queue
	jobs    map[string]*job // waiting jobs by attempt id
	leaving *leave
	beat    time.Time // when the next heartbeat is due
}

func (s *scheduler) run(ctx context.Context) {
	batch := make([]message, schedulerBatch)
	for {
		n, err := s.inbox.PopBatchUntil(ctx, s.wakeUp(), batch)
		if err != nil {
			return
		}
		now := time.Now()
		for _, m := range batch[:n] {
			s.handle(m, now)
		}
		s.advance(now)
	}
}

// wakeUp returns when the scheduler has to act even if no message arrives.
func (s *scheduler) wakeUp() time.Time {
	at := s.beat
	if deadline, ok := s.queue.NextDeadline(); ok && deadline.Before(at) {
		at = deadline
	}
	return at
}

func (s *scheduler) handle(m message, now time.Time) {
	switch m := m.(type) {
	case *job:
		s.accept(m, now)
	case configInForce:
		s.apply(m.config)
	case orderDone:
		s.settle(m)
	case runDone:
		s.target.Finish(m.job.run.Artifact, now)
	case leave:
		s.leaving = &m
		s.beat = now // tell the entry VMs at once
	default:
		panic("agent: unknown message to scheduler")
	}
}

func (s *scheduler) apply(c *contract.Config) {
	if s.config != nil && c.Generation <= s.config.Generation {
		return
	}
	s.config = c
	s.log.Info("configuration in force", "generation", c.Generation)
}

func (s *scheduler) accept(j *job, now time.Time) {
	if r := s.judge(j, now); r != nil {
		j.refuse(r)
		return
	}
	s.jobs[j.run.Attempt] = j
	s.queue.Add(j.waiting())
}

func (s *scheduler) judge(j *job, now time.Time) *contract.Refusal {
	switch {
	case s.leaving != nil:
		return contract.Refuse(contract.Leaving, 0, "the target is leaving")
	case !now.Before(j.run.Deadline):
		return contract.Refuse(contract.DeadlineExceeded, 0, "the deadline passed before the request ran")
	case j.run.Service != s.base.Service:
		return contract.Refuse(contract.NoReplica, 0, "the target is of another kind")
	case j.run.Service != "":
		return nil
	case s.config == nil:
		return contract.Refuse(contract.ConfigurationStale, retryAfterFull, "no configuration is in force yet")
	}
	if _, ok := s.config.BytesOf(j.run.Artifact); !ok {
		return contract.Refuse(contract.NoReplica, 0, "the configuration has no %s", j.run.Artifact)
	}
	return nil
}

// advance starts what can be started now.
func (s *scheduler) advance(now time.Time) {
	s.expire(now)
	s.startRuns(now)
	s.startLoads(now)
	s.report(now)
	if s.leaving != nil && s.queue.Len() == 0 && s.target.Running() == 0 {
		s.leaving.done.TryPush(struct{}{})
	}
}

func (s *scheduler) expire(now time.Time) {
	for _, w := range s.queue.Expire(now) {
		s.take(w).refuse(contract.Refuse(contract.DeadlineExceeded, 0, "the deadline passed while the request waited"))
	}
}

func (s *scheduler) startRuns(now time.Time) {
	for s.target.HasRoom() {
		w, ok := s.queue.Next(s.ready)
		if !ok {
			return
		}
		j := s.take(w)
		if j.ctx.Err() != nil {
			continue // the entry VM has given up
		}
		s.target.Start(w.Artifact, now)
		if !s.runs.TryPush(j) {
			panic("agent: run ring is smaller than the target's slots")
		}
	}
}

func (s *scheduler) ready(a contract.Artifact) bool {
	if s.base.Service != "" {
		return true
	}
	_, missing := s.target.MissingPart(a)
	return !missing
}

func (s *scheduler) take(w machine.Waiting) *job {
	j := s.jobs[w.ID]
	delete(s.jobs, w.ID)
	return j
}

// startLoads orders what waiting requests need, and makes room by unloading what nobody uses.
func (s *scheduler) startLoads(now time.Time) {
	if s.base.Service != "" {
		return
	}
	for _, a := range s.queue.Wanted() {
		part, missing := s.target.MissingPart(a)
		if !missing || s.target.State(part) != machine.Absent {
			continue
		}
		bytes, _ := s.config.BytesOf(part)
		if !s.target.BeginLoad(part, bytes, now) {
			s.makeRoom()
			continue
		}
		if !s.orders.TryPush(order{artifact: part, bytes: bytes}) {
			s.target.Gone(part) // no order was sent; the next round tries again
			return
		}
	}
}

func (s *scheduler) makeRoom() {
	victim, ok := s.target.Evictable()
	if ok && s.orders.TryPush(order{artifact: victim, unload: true}) {
		s.target.BeginUnload(victim)
	}
}

func (s *scheduler) settle(d orderDone) {
	done := d.outcome == OrderApplied
	if done && !d.order.unload {
		s.target.Loaded(d.order.artifact)
		s.beat = time.Time{} // entry VMs should learn of the replica at once
		return
	}
	s.target.Gone(d.order.artifact)
}

func (s *scheduler) report(now time.Time) {
	if now.Before(s.beat) {
		return
	}
	s.beat = now.Add(heartbeatPeriod)
	r := s.base
	r.Leaving = s.leaving != nil
	r.Running, r.Waiting = s.target.Running(), s.queue.Len()
	r.FreeBytes, r.Resident = s.target.FreeBytes(), s.target.Resident()
	if s.config != nil {
		r.Generation = s.config.Generation
	}
	s.status.TryPush(r) // a full ring holds a report that is about to be sent
}
