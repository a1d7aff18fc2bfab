package machine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
)

const start = clock.Instant(time.Hour)

// simulation runs a scheduler against simulated engines. Their answers can get lost, they can carry out orders late,
// and they can restart.
type simulation struct {
	now        clock.Instant
	fleet      *Fleet
	scheduler  *Scheduler
	engines    map[RunnerID]*fakeEngine
	late       []lateOrder
	heartbeats int64
}

// lateOrder is an order that its engine carries out at a later time.
type lateOrder struct {
	order Order
	at    clock.Instant
}

// newSimulation returns a simulation of engines that each hold two large models, which leave no room for a third.
func newSimulation(runners, models int) *simulation {
	sim := &simulation{now: start, fleet: NewFleet(), engines: make(map[RunnerID]*fakeEngine)}
	service := testService(models)
	sim.scheduler = NewScheduler(sim.fleet, noUsage{}, leadsAll{})
	sim.scheduler.Configure((&contract.Draft{Version: 1, Services: []*contract.Service{service}}).Manifest())
	for i := range runners {
		id := RunnerID(fmt.Sprint("r", i))
		sim.engines[id] = &fakeEngine{
			id: id, boot: 1, spec: service.Engine,
			held: map[contract.ModelName][]contract.AdapterName{
				modelName(4 * i % models): nil, modelName((4*i + 2) % models): nil, // both large (34 GB)
			},
		}
		sim.announce(sim.engines[id])
	}
	return sim
}

// announce applies the store entry of an engine as it is now.
func (sim *simulation) announce(e *fakeEngine) {
	sim.heartbeats++
	c := e.contents(sim.now)
	c.Sequence = 0 // entries do not contain it
	sim.fleet.Announce(Announcement{
		ID: e.id, Service: "s", Address: "1.1.1.1:1", Zone: "z", Slots: 8, Boot: e.boot, Heartbeat: sim.heartbeats,
		Contents: c, HasEngine: true,
	}, sim.now)
}

// advance moves the time forward and carries out the late orders that are due.
func (sim *simulation) advance(d time.Duration) {
	sim.now = sim.now.Add(d)
	remaining := sim.late[:0]
	for _, l := range sim.late {
		if l.at.After(sim.now) {
			remaining = append(remaining, l)
			continue
		}
		sim.engines[l.order.Runner].handleOrder(l.order, time.Second, sim.now)
	}
	sim.late = remaining
}

// execute carries out a plan. For each order pickOutcome returns 0 (carried out, the answer is lost), 1 (no answer,
// carried out two seconds late) or another number (carried out and answered).
func (sim *simulation) execute(plan Plan, pickOutcome func() int) {
	for _, q := range plan.StateQueries {
		sim.scheduler.HandleReport(q.ID, q.Boot, sim.engines[q.ID].contents(sim.now), true, sim.now)
	}
	for _, o := range plan.Orders {
		switch pickOutcome() {
		case 0: // carried out, and the answer is lost
			sim.engines[o.Runner].handleOrder(o, time.Second, sim.now)
			sim.scheduler.HandleOutcome(o, OrderUnknown, sim.now)
		case 1: // no answer, and carried out later
			sim.late = append(sim.late, lateOrder{o, sim.now.Add(2 * time.Second)})
			sim.scheduler.HandleOutcome(o, OrderUnknown, sim.now)
		default:
			sim.scheduler.HandleOutcome(o, sim.engines[o.Runner].handleOrder(o, time.Second, sim.now), sim.now)
		}
	}
}

// TestNoRunnerIsOverloaded guards against orders that load more than a runner's memory or adapter slots hold. A local
// state that misses what the runner really holds causes them: after a lost answer, an order carried out late, or a
// restart. A runner must also have no more than one unanswered order at a time.
func TestNoRunnerIsOverloaded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.IntRange(1, 4).Draw(t, "runners"), 8)
		for range rapid.IntRange(50, 250).Draw(t, "steps") {
			sim.advance(time.Duration(rapid.IntRange(5, 400).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				e := sim.engines[RunnerID(fmt.Sprint("r", rapid.IntRange(0, len(sim.engines)-1).Draw(t, "restart")))]
				e.restart()
				sim.announce(e)
			case 1, 2:
				for _, r := range sim.fleet.All() {
					sim.announce(sim.engines[r.ID])
				}
			default:
				a := artifact(rapid.IntRange(0, 7).Draw(t, "model"), rapid.IntRange(0, 5).Draw(t, "adapter"))
				sim.scheduler.Observe("n", []DemandReport{{Artifact: a, Waiting: 1, Arrivals: 1}}, sim.now)
			}
			plan := sim.scheduler.Plan(true, sim.now)
			seen := map[RunnerID]bool{}
			for _, o := range plan.Orders {
				if seen[o.Runner] {
					t.Fatalf("plan has two orders for %s, want at most one", o.Runner)
				}
				seen[o.Runner] = true
			}
			sim.execute(plan, func() int { return rapid.IntRange(0, 9).Draw(t, "outcome") })
			for _, e := range sim.engines {
				if e.overloaded != "" {
					t.Fatal(e.overloaded)
				}
			}
		}
	})
}

// TestWaitingModelIsLoaded guards against a model that is never loaded although a request waits for it. That happens
// if the scheduler waits for ever for an answer that was lost.
func TestWaitingModelIsLoaded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(2, 8)
		a := artifact(rapid.IntRange(0, 7).Draw(t, "model"), rapid.IntRange(0, 2).Draw(t, "adapter"))
		lost := rapid.IntRange(0, 3).Draw(t, "lost")
		for sim.now.Sub(start) < 40*time.Second {
			sim.advance(20 * time.Millisecond)
			sim.scheduler.Observe("n", []DemandReport{{Artifact: a, Waiting: 1, Arrivals: 1}}, sim.now)
			sim.execute(sim.scheduler.Plan(true, sim.now), func() int {
				if lost--; lost >= 0 {
					return lost % 2
				}
				return 9
			})
			for _, r := range sim.fleet.All() {
				if r.Replica(a.Model).Ready(a.Adapter, sim.now) {
					return
				}
			}
		}
		t.Fatalf("%v is not ready after %v, although a request waits for it", a, sim.now.Sub(start))
	})
}

// TestHeartbeatsDoNotCountAsOrders guards against a mix-up of two counters. The field "sequence" counts accepted orders
// in a runner's report, but heartbeats in its store entry; an order that expects the number of heartbeats is refused as
// a conflict.
func TestHeartbeatsDoNotCountAsOrders(t *testing.T) {
	sim := newSimulation(1, 4)
	clear(sim.engines["r0"].held)
	sim.execute(sim.scheduler.Plan(true, sim.now), func() int { return 9 })
	for range 9 {
		sim.advance(1200 * time.Millisecond)
		sim.announce(sim.engines["r0"])
	}
	sim.scheduler.Observe("n", []DemandReport{{Artifact: artifact(1, 0), Waiting: 1}}, sim.now)
	plan := sim.scheduler.Plan(true, sim.now)
	if len(plan.Orders) != 1 || plan.Orders[0].Expected != 0 {
		t.Fatalf("orders = %+v, want one that expects sequence 0", plan.Orders)
	}
}

// TestWaitsForTheRunnerWithACopy guards against a load from the weight store, which takes six seconds, while a runner
// with a copy of the model is only busy for a moment. The model must wait for that runner.
func TestWaitsForTheRunnerWithACopy(t *testing.T) {
	sim := newSimulation(2, 8)
	for _, e := range sim.engines {
		clear(e.held)
	}
	sim.execute(sim.scheduler.Plan(true, sim.now), func() int { return 9 })
	sim.advance(planPeriod)
	sim.fleet.Get("r0").OnDisk = []contract.ModelName{modelName(2), modelName(3)}
	sim.scheduler.Observe("n", []DemandReport{{Artifact: artifact(3, 0), Waiting: 1}}, sim.now)
	sim.execute(sim.scheduler.Plan(true, sim.now), func() int { return 9 })
	if sim.engines["r0"].loading != modelName(3) {
		t.Fatalf("r0 loads %q, want m3", sim.engines["r0"].loading)
	}
	sim.advance(100 * time.Millisecond)
	sim.scheduler.Observe("n", []DemandReport{{Artifact: artifact(2, 0), Waiting: 1}}, sim.now)
	if plan := sim.scheduler.Plan(true, sim.now); len(plan.Orders) != 0 {
		t.Errorf("orders = %+v, want none while the runner with a copy is busy", plan.Orders)
	}
}

// TestColdLoadsOfOtherLeadersCount guards against too many concurrent loads from the weight store, which slow each
// other down. It happens if only the loads at runners that this process leads are counted.
func TestColdLoadsOfOtherLeadersCount(t *testing.T) {
	sim := newSimulation(6, 12)
	sim.scheduler.authority = leadsNone{}
	for _, r := range sim.fleet.All() {
		sim.scheduler.ApplyView(RunnerView{
			Runner: r.ID, Boot: 1, Fence: 1, Version: 1, Known: true, BusyFor: 5 * time.Second,
			Models: []ModelView{{Model: modelName(7), ReadyIn: 15 * time.Second}},
		}, "leader", false, sim.now)
	}
	if sim.scheduler.observeColdLoads(sim.now); sim.scheduler.weights.count != 6 {
		t.Errorf("%d loads from the weight store counted, want 6", sim.scheduler.weights.count)
	}
}

// leadsNone is an Authority over no runner. It hears all leaders but that of the runner silent.
type leadsNone struct{ silent RunnerID }

func (leadsNone) MayOrder(RunnerID, clock.Instant) bool { return false }
func (l leadsNone) HearsLeader(r RunnerID) bool         { return r != l.silent }

// TestLoadRequestIsCheckedAgainstLocalState guards against load requests that no longer fit the state of the runner.
// The planner makes them from a view that is older than the leader's local state: the runner may have restarted
// since, or have an unanswered order.
func TestLoadRequestIsCheckedAgainstLocalState(t *testing.T) {
	sim := newSimulation(1, 4)
	sim.execute(sim.scheduler.Plan(false, sim.now), func() int { return 9 })
	sim.advance(minLoadedTime)
	request := LoadRequest{
		Runner: "r0", Boot: 1, Model: modelName(1), Victims: []contract.ModelName{modelName(0)},
	}
	restarted, gone, overfull := request, request, request
	restarted.Boot = 7
	gone.Victims = []contract.ModelName{modelName(3)}
	overfull.Model, overfull.Victims = modelName(4), nil
	for name, wrong := range map[string]LoadRequest{
		"for another start of the runner": restarted, "with a victim that the runner lacks": gone,
		"without room for the model": overfull,
	} {
		if plan := sim.scheduler.HandleLoadRequest(wrong, sim.now); len(plan.Orders) != 0 {
			t.Errorf("a load request %s was carried out", name)
		}
	}
	if plan := sim.scheduler.HandleLoadRequest(request, sim.now); len(plan.Orders) != 1 {
		t.Fatalf("orders = %+v, want one", plan.Orders)
	}
	if plan := sim.scheduler.HandleLoadRequest(
		LoadRequest{
			Runner: "r0", Boot: 1, Model: modelName(3), Victims: request.Victims,
		}, sim.now); len(plan.Orders) != 0 {
		t.Error("a load request was carried out while an order is unanswered")
	}
}

// TestTimelyRequestsFirst guards against loads for requests that are late anyway while one that can still meet its
// latency objective waits. It happens when runners are scarce and the longest wait alone decides.
func TestTimelyRequestsFirst(t *testing.T) {
	sim := newSimulation(1, 8)
	sim.execute(sim.scheduler.Plan(true, sim.now), func() int { return 9 })
	late, timely := DemandReport{Artifact: artifact(1, 0), Waiting: 1},
		DemandReport{Artifact: artifact(3, 0), Waiting: 1, Timely: 1, Due: 2 * time.Second}
	sim.scheduler.Observe("n", []DemandReport{late}, sim.now)
	sim.advance(4 * time.Second)
	sim.scheduler.Observe("n", []DemandReport{late, timely}, sim.now)
	sim.scheduler.Plan(true, sim.now)
	if state := sim.scheduler.localStates["r0"]; state.swap == nil || state.swap.model != modelName(3) {
		t.Errorf("swap = %+v, want one that loads m3", state.swap)
	}
}

// TestRisingDemandIsNoticed guards against replicas that come too late for a rare model that becomes busy. After a
// second in which the prefill of its requests takes all the time of one replica, at least three must be needed, so
// that each is used by about a third. The long average alone shows this too late. Long after the last request one
// must be enough.
func TestRisingDemandIsNoticed(t *testing.T) {
	sim := newSimulation(4, 8)
	a := artifact(0, 0)
	for range 50 {
		sim.advance(20 * time.Millisecond)
		sim.scheduler.Observe("n",
			[]DemandReport{{Artifact: a, Arrivals: 1, Urgent: 1, Work: 24 * time.Millisecond}}, sim.now)
	}
	sim.scheduler.summarizeDemand(sim.now)
	if n := sim.scheduler.modelDemand(a).needed(); n < 3 {
		t.Errorf("%d replicas needed after a second of full use, want at least 3", n)
	}
	sim.advance(30 * time.Second)
	sim.scheduler.pruneStale(sim.now)
	sim.scheduler.summarizeDemand(sim.now)
	if n := sim.scheduler.modelDemand(a).needed(); n > 1 {
		t.Errorf("%d replicas needed long after the last request, want at most 1", n)
	}
}

// TestColdLoadRateIsLimited guards against more loads from the weight store than its rate allows. If each load is
// short, a limit of four at a time still lets too many start.
func TestColdLoadRateIsLimited(t *testing.T) {
	sim := newSimulation(6, 24)
	sim.scheduler.services["s"].Engine.LoadsPerSecond = 0.6
	started := 0
	for i := 0; sim.now.Sub(start) < coldLoadWindow-100*time.Millisecond; i++ {
		sim.advance(50 * time.Millisecond)
		sim.scheduler.Observe("n", []DemandReport{{Artifact: artifact(i%24, 0), Waiting: 1, Arrivals: 1}}, sim.now)
		plan := sim.scheduler.Plan(true, sim.now)
		for _, o := range plan.Orders {
			if o.Kind == Load {
				started++
			}
		}
		sim.execute(plan, func() int { return 9 })
		for _, e := range sim.engines { // each load ends at once
			e.busyUntil = sim.now
			e.finishLoad(sim.now)
			if r := sim.fleet.Get(e.id); sim.scheduler.localStates[e.id] != nil &&
				sim.scheduler.localStates[e.id].pending == nil && sim.scheduler.localStates[e.id].swap == nil {
				sim.scheduler.localState(r).busyUntil, sim.scheduler.localState(r).nextQuery = 0, 0
			}
		}
	}
	if started > 3 {
		t.Errorf("%d loads started in %v at a limit of 0.6 per second, want at most 3", started, coldLoadWindow)
	}
}

// TestStarvedModelIsLoadedElsewhere guards requests for a model whose only replica is at a runner that is at its rate
// limit, or has asked the VM of the requests for a pause: another runner must load the model too, but not while no request
// waits.
func TestStarvedModelIsLoadedElsewhere(t *testing.T) {
	for _, c := range []struct {
		waiting, held int
		limit         float64
		want          int
	}{{limit: 1}, {waiting: 5, limit: 1, want: 1}, {waiting: 5}, {waiting: 5, held: 5, want: 1}} {
		sim := newSimulation(2, 8)
		sim.fleet.Get("r0").RateLimit = c.limit
		loads := 0
		for range 100 {
			sim.advance(20 * time.Millisecond)
			sim.scheduler.Observe("n", []DemandReport{{
				Artifact: artifact(0, 0), Waiting: c.waiting, Held: c.held, Arrivals: 1,
			}}, sim.now)
			plan := sim.scheduler.Plan(true, sim.now)
			for _, o := range plan.Orders {
				if o.Kind == Load && o.Model == modelName(0) && o.Runner == "r1" {
					loads++
				}
			}
			sim.execute(plan, func() int { return 9 })
		}
		if loads != c.want {
			t.Errorf("%+v: %d loads of the model at the other runner", c, loads)
		}
	}
}

// TestModelIsLoadedAtTheVersionThatStreamsNeed guards streams that broke off at the only replica of their software version:
// the model must be loaded at another runner of that version, although runners of the other one have it.
func TestModelIsLoadedAtTheVersionThatStreamsNeed(t *testing.T) {
	sim := newSimulation(4, 16)
	for id, version := range map[RunnerID]SoftwareVersion{"r0": "v1", "r1": "v2", "r2": "v1", "r3": "v2"} {
		sim.fleet.Get(id).Version = version
	}
	loads := make(map[RunnerID]int)
	for range 100 {
		sim.advance(20 * time.Millisecond)
		sim.scheduler.Observe("n", []DemandReport{
			{Artifact: artifact(0, 0), Arrivals: 1}, {Artifact: artifact(0, 0), Version: "v2", Waiting: 5},
		}, sim.now)
		plan := sim.scheduler.Plan(true, sim.now)
		for _, o := range plan.Orders {
			if o.Kind == Load && o.Model == modelName(0) {
				loads[o.Runner]++
			}
		}
		sim.execute(plan, func() int { return 9 })
	}
	if loads["r1"]+loads["r3"] != 1 || loads["r2"] != 0 {
		t.Errorf("loads of the model: %v, want one at r1 or r3, which have the version", loads)
	}
}
