package entry

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/link"
	"github.com/mangopass/mangopass/fleet/machine"
)

// demandOf is what one organisation asks for in a replay.
type demandOf struct {
	name      contract.OrganisationName
	perSecond float64
	weight    float64       // its rate; zero: no limit
	vms       []int         // its callers reach these; nil: all
	tokens    int           // of its prompts; zero: 1000
	retry     time.Duration // after which a refused request is sent again; zero: never

	asked, inTime, served int
	owed                  float64
}

// replay plays a load on VMs that share two engines, each of which reads 1,000 tokens in 52 ms: 38 such requests a second in all.
type replay struct {
	*cluster
	demand    []*demandOf
	plain     bool
	queues    map[machine.RunnerID][]*replayed
	free      map[machine.RunnerID][]clock.Instant // when each slot of a runner takes its next request
	ending    []*replayed
	pending   []*replayed // without a decision
	again     []*replayed
	unshared  bool // the VMs forget all that their shares rest on
	loss      int  // every so many reports are lost; zero: none
	digest    uint64
	measuring bool
	reported  int
	served    int // of all requests, while it was measured last
	sends     []string
}

// replayed is one request of a replay.
type replayed struct {
	of     *demandOf
	vm     *harness
	call   *call
	a      attempt
	asked  bool // while it was measured
	endsAt clock.Instant
}

func newReplay(t *testing.T, perZone int, plain bool, demand ...*demandOf) *replay {
	p := &replay{
		cluster: newCluster(t, perZone), demand: demand, queues: map[machine.RunnerID][]*replayed{},
		free: map[machine.RunnerID][]clock.Instant{}, plain: plain,
	}
	for _, h := range p.vms {
		p.announce(h)
	}
	p.setWeights()
	p.run(time.Second)
	return p
}

// plainSlots is the number of slots of a runner of the plain service, and of requests that wait there. plainTime is its service time.
const (
	plainSlots = 6
	plainTime  = 200 * time.Millisecond
)

// announce announces the runners to a VM.
func (p *replay) announce(h *harness) {
	for _, id := range []machine.RunnerID{"e1", "e2"} {
		h.announceEngine(id, machine.ReportedModel{Model: "m"})
		p.free[id] = make([]clock.Instant, 1)
	}
	for _, id := range []machine.RunnerID{"s1", "s2"} {
		h.apply(storeChanged{sent: h.now, runners: []runnerChange{{id: id, announcement: machine.Announcement{
			ID: id, Service: "s", Address: "1.1.1.1:1", Zone: "z", Slots: plainSlots,
		}}}})
		p.free[id] = make([]clock.Instant, plainSlots)
	}
}

// setWeights puts a manifest in force at all VMs that states the weights.
func (p *replay) setWeights() {
	for _, h := range p.vms {
		services, organisations := []*contract.Service{}, []*contract.Organisation{}
		for _, s := range h.manifest.Services {
			services = append(services, s)
		}
		for _, d := range p.demand {
			o := &contract.Organisation{Name: d.name, Keys: []contract.KeyHash{contract.HashKey(string(d.name))}}
			if d.weight > 0 {
				o.Limit = contract.Limit{PerSecond: d.weight, Burst: 1e9, InTokens: true}
			}
			organisations = append(organisations, o)
		}
		h.manifest = (&contract.Draft{
			Version: h.manifest.Version + 1, Services: services, Routes: h.manifest.Routes(), NeedsKeys: true, Organisations: organisations,
		}).Manifest()
	}
}

// play lets the load go on for a time.
func (p *replay) play(d time.Duration) {
	for range d / clusterStep {
		for _, name := range p.order {
			h := p.vms[name]
			h.now = h.now.Add(clusterStep)
			if p.down[name] {
				continue
			}
			h.apply(storeChanged{sent: h.now})
			h.table.Pace.Alive(h.now)
			h.reviewPace(h.now)
			h.reviewShares(h.now)
			if p.unshared {
				h.shares = newShares()
			}
			h.dispatchWaiting(h.now)
			h.sendReports(h.now)
		}
		now := p.vms[p.order[0]].now
		p.arrive(now)
		p.decide()
		p.serve(now)
		for _, name := range p.order {
			if !p.down[name] {
				p.deliverSome(p.vms[name])
			}
		}
	}
}

// deliverSome delivers the reports of a VM that are not lost.
func (p *replay) deliverSome(h *harness) {
	if p.reported++; p.loss > 0 && p.reported%p.loss == 0 {
		for to, peer := range h.members.peers {
			if peer.outbox.Len() > 0 {
				h.takeReport(p.t, to, false)
			}
		}
	}
	p.deliver(h)
}

func (p *replay) arrive(now clock.Instant) {
	var due []*replayed
	p.again = slices.DeleteFunc(p.again, func(r *replayed) bool {
		if !now.Before(r.endsAt) && !p.down[r.vm.node] {
			due = append(due, r)
			return true
		}
		return false
	})
	for _, r := range due {
		p.admit(r.of, r.vm, r.call.request.Digest, false)
	}
	for _, d := range p.demand {
		for d.owed += d.perSecond * clusterStep.Seconds(); d.owed >= 1; d.owed-- {
			p.digest++
			n := int(p.digest) % len(p.order)
			if len(d.vms) > 0 {
				n = d.vms[int(p.digest)%len(d.vms)]
			}
			if h := p.vms[p.order[n]]; !p.down[h.node] {
				p.admit(d, h, p.digest, p.measuring)
			}
		}
	}
}

func (p *replay) admit(d *demandOf, h *harness, digest uint64, asked bool) {
	request := &contract.Request{
		ID: fmt.Sprint(digest), Host: "h", Path: "/chat/", Key: contract.HashKey(string(d.name)), HasKey: true, Arrived: h.now,
		Model: "m", PromptTokens: cmp.Or(d.tokens, 1000), Counted: true, Digest: digest,
	}
	if p.plain {
		request.Path, request.Model, request.PromptTokens = "/stock/", "", 0
	}
	r := &replayed{of: d, vm: h, call: newCall(context.Background(), request), asked: asked}
	if asked {
		d.asked++
	}
	h.apply(callArrived{call: r.call})
	p.pending = append(p.pending, r)
}

// decide takes the decisions on requests: runners queue them by their ranks.
func (p *replay) decide() {
	p.pending = slices.DeleteFunc(p.pending, func(r *replayed) bool {
		d := r.vm.decision(r.call)
		switch {
		case d == nil:
			return p.down[r.vm.node]
		case d.refusal != nil && r.of.retry > 0 && !d.refusal.MayHaveRun:
			r.endsAt = r.vm.now.Add(r.of.retry)
			p.again = append(p.again, r)
		case d.refusal == nil:
			r.a = d.attempt
			p.sends = append(p.sends, fmt.Sprint(r.call.request.ID, r.a.runner, r.a.priority, r.a.timely))
			if p.plain && len(p.queues[r.a.runner]) >= plainSlots {
				r.vm.apply(attemptEnded{call: r.call, attempt: r.a, result: resultShed, cause: errBusy})
				return false
			}
			p.queues[r.a.runner] = append(p.queues[r.a.runner], r)
		}
		return true
	})
}

// serve lets the runners read the prompts, and ends the answers 100 ms after their prompt.
func (p *replay) serve(now clock.Instant) {
	for _, id := range []machine.RunnerID{"e1", "e2", "s1", "s2"} {
		queue := slices.DeleteFunc(p.queues[id], func(r *replayed) bool {
			late := !now.Before(r.call.deadline)
			if late && !p.down[r.vm.node] {
				r.vm.apply(attemptEnded{call: r.call, attempt: r.a, result: resultTimeout, took: now.Sub(r.a.sentAt)})
			}
			return late
		})
		slots := p.free[id]
		for len(queue) > 0 && slices.Min(slots).Before(now) {
			best := 0
			for i, r := range queue {
				if r.a.priority < queue[best].a.priority {
					best = i
				}
			}
			r := queue[best]
			queue = slices.Delete(queue, best, best+1)
			taken, after := link.PrefillTime(r.call.request.PromptTokens), link.FirstTokenTime
			if p.plain {
				taken, after = plainTime, 0
			}
			slot := slices.Index(slots, slices.Min(slots))
			slots[slot] = max(slots[slot], now.Add(-clusterStep)).Add(taken)
			r.endsAt = slots[slot].Add(after)
			p.ending = append(p.ending, r)
		}
		p.queues[id] = queue
	}
	p.ending = slices.DeleteFunc(p.ending, func(r *replayed) bool {
		if now.Before(r.endsAt) {
			return false
		}
		if p.down[r.vm.node] {
			return true
		}
		took := r.endsAt.Sub(r.a.sentAt)
		if !p.plain {
			r.vm.apply(attemptStarted{call: r.call, attempt: r.a, took: took})
		}
		r.vm.apply(attemptEnded{
			call: r.call, attempt: r.a, result: resultServed, took: took, started: !p.plain, startReported: !p.plain, final: true, status: 200,
		})
		p.served++
		if r.asked {
			r.of.served++
			if r.endsAt.Sub(r.call.request.Arrived) <= r.call.admitted.Route.Objective {
				r.of.inTime++
			}
		}
		return true
	})
}

// measure counts what is asked for from now on.
func (p *replay) measure(d time.Duration) {
	for _, of := range p.demand {
		of.asked, of.inTime, of.served = 0, 0, 0
	}
	p.measuring, p.served = true, 0
	p.play(d)
	p.measuring = false
}

func (d *demandOf) part() float64 { return float64(d.inTime) / float64(max(1, d.asked)) }

// quietAndLoud returns a loud organisation that asks for eight times its share of 38 requests a second, and three quiet ones.
func quietAndLoud() []*demandOf {
	return []*demandOf{
		{name: "loud", perSecond: 76}, {name: "q1", perSecond: 4}, {name: "q2", perSecond: 4}, {name: "q3", perSecond: 4},
	}
}
