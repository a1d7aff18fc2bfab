package machine

import (
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
)

// wishTime is how long the planner waits for a wish to show in the order giver's view.
const wishTime = 200 * time.Millisecond

// remote is what this process knows of a runner to which another node gives the orders.
type remote struct {
	boot      int64
	fence     int64
	known     bool
	seen      clock.Instant // the last view came
	busyUntil clock.Instant
	swap      contract.ModelName // about to be loaded; empty: none
	wish      Wish
	wishUntil clock.Instant
}

func (p *Placer) remote(r *Runner) *remote {
	m := p.remotes[r.ID]
	if m == nil || m.boot != r.Boot {
		m = &remote{boot: r.Boot}
		p.remotes[r.ID] = m
	}
	return m
}

func (m *remote) wished(model contract.ModelName, adapter contract.AdapterName, now clock.Instant) {
	m.wish = Wish{Model: model, Adapter: adapter}
	m.wishUntil = now.Add(wishTime)
}

// answers reports whether the runner's order giver has shown its account lately. Views are repeated, so one that stays
// away means that the order giver is gone, cut off or suspended.
func (m *remote) answers(now clock.Instant) bool {
	return m.known && now.Sub(m.seen) < viewsMissed*viewPeriod
}

func (m *remote) idle(now clock.Instant) bool {
	return m.answers(now) && m.swap == "" && !m.busyUntil.After(now) && !m.wishUntil.After(now)
}

// freeIn returns the expected time until the runner can take an order.
func (m *remote) freeIn(now clock.Instant) time.Duration {
	wait := max(0, m.busyUntil.Sub(now), m.wishUntil.Sub(now))
	switch {
	case m.swap != "":
		wait += swapTime
	case !m.answers(now):
		wait = max(wait, reportLag)
	}
	return wait
}

// Apply replaces what is believed of a runner's contents by its order giver's account. Views of earlier terms are
// ignored.
func (p *Placer) Apply(v View, now clock.Instant) {
	r := p.fleet.Get(v.Runner)
	if r == nil || r.Boot != v.Boot || r.accounted {
		return
	}
	m := p.remote(r)
	if v.Fence < m.fence {
		return
	}
	m.fence, m.known, m.busyUntil, m.swap, m.seen = v.Fence, v.Known, now.Add(v.BusyFor), v.Coming, now
	if v.Coming != "" || v.BusyFor > 0 {
		m.wishUntil = 0 // the wish, if there was one, has been taken up or is out of date
	}
	if !v.Known {
		return
	}
	r.settled = now
	resident := make(map[contract.ModelName]*Residence, len(v.Models))
	for _, mv := range v.Models {
		residence := &Residence{
			Model: mv.Model, ReadyAt: now.Add(mv.ReadyIn), Adapters: make(map[contract.AdapterName]clock.Instant, len(mv.Adapters)),
		}
		for _, a := range mv.Adapters {
			residence.Adapters[a.Adapter] = now.Add(a.ReadyIn)
			if m.wish.Model == mv.Model && m.wish.Adapter == a.Adapter {
				m.wishUntil = 0
			}
		}
		resident[mv.Model] = residence
	}
	r.Resident = resident
}

// Lose notes that a runner's order giver is gone: nothing is wished for until another one has its account.
func (p *Placer) Lose(s Shard) {
	for id, m := range p.remotes {
		if ShardOf(id) == s {
			m.known = false
		}
	}
}
