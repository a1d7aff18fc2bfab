package machine

import (
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
)

// loadRequestTimeout is how long the planner waits for a load request to show in the leader's view.
const loadRequestTimeout = 200 * time.Millisecond

// remoteState is what this process knows of a runner that another node leads.
type remoteState struct {
	boot         int64
	fence        int64
	known        bool
	seen         clock.Instant // the last view came
	busyUntil    clock.Instant
	swap         contract.ModelName // about to be loaded; empty: none
	request      LoadRequest
	requestUntil clock.Instant
}

func (p *Scheduler) remoteState(r *Runner) *remoteState {
	m := p.remoteStates[r.ID]
	if m == nil || m.boot != r.Boot {
		m = &remoteState{boot: r.Boot}
		p.remoteStates[r.ID] = m
	}
	return m
}

func (m *remoteState) setRequest(model contract.ModelName, adapter contract.AdapterName, now clock.Instant) {
	m.request = LoadRequest{Model: model, Adapter: adapter}
	m.requestUntil = now.Add(loadRequestTimeout)
}

// responsive reports whether the runner's leader has shown its state lately. Views are repeated, so one that stays
// away means that the leader is gone, cut off or suspended.
func (m *remoteState) responsive(now clock.Instant) bool {
	return m.known && now.Sub(m.seen) < viewsMissed*viewPeriod
}

func (m *remoteState) idle(now clock.Instant) bool {
	return m.responsive(now) && m.swap == "" && !m.busyUntil.After(now) && !m.requestUntil.After(now)
}

// freeIn returns the expected time until the runner can take an order.
func (m *remoteState) freeIn(now clock.Instant) time.Duration {
	wait := max(0, m.busyUntil.Sub(now), m.requestUntil.Sub(now))
	switch {
	case m.swap != "":
		wait += swapTime
	case !m.responsive(now):
		wait = max(wait, reportLag)
	}
	return wait
}

// ApplyView replaces what is believed of a runner's contents by its leader's state. Views of earlier terms are
// ignored.
func (p *Scheduler) ApplyView(v RunnerView, now clock.Instant) {
	r := p.fleet.Get(v.Runner)
	if r == nil || r.Boot != v.Boot || r.authoritative {
		return
	}
	m := p.remoteState(r)
	if v.Fence < m.fence {
		return
	}
	m.fence, m.known, m.busyUntil, m.swap, m.seen = v.Fence, v.Known, now.Add(v.BusyFor), v.Coming, now
	if v.Coming != "" || v.BusyFor > 0 {
		m.requestUntil = 0 // the load request, if there was one, has been taken up or is out of date
	}
	if !v.Known {
		return
	}
	r.confirmedAt = now
	replicas := make(map[contract.ModelName]*Replica, len(v.Models))
	for _, mv := range v.Models {
		replica := &Replica{
			Model: mv.Model, ReadyAt: now.Add(mv.ReadyIn), Adapters: make(map[contract.AdapterName]clock.Instant, len(mv.Adapters)),
		}
		for _, a := range mv.Adapters {
			replica.Adapters[a.Adapter] = now.Add(a.ReadyIn)
			if m.request.Model == mv.Model && m.request.Adapter == a.Adapter {
				m.requestUntil = 0
			}
		}
		replicas[mv.Model] = replica
	}
	r.Replicas = replicas
}

// LeaderLost notes that a runner's leader is gone: no load is requested until another one has its state.
func (p *Scheduler) LeaderLost(s Shard) {
	for id, m := range p.remoteStates {
		if ShardOf(id) == s {
			m.known = false
		}
	}
}
