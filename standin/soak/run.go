package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopass/mangopass/duty"
	"github.com/mangopass/mangopass/standin/deploy"
	"github.com/mangopass/mangopass/standin/runner"
	"github.com/mangopass/mangopass/standin/store"
)

// Spec describes a run.
type Spec struct {
	Binaries string // folder with mangopassd and standin
	Dir      string // for settings files
	Seed     uint64
	Duration time.Duration // of the faults
	Entries  int
	Engines  int
	Callers  int
}

// Result is what a run has shown.
type Result struct {
	Seed     uint64
	Faults   []Fault
	Broken   []string       // promises that were broken
	Statuses map[string]int // requests by route and status
	Logs     map[string]string
}

// versions are the versions of the engines' software. All runs begin with the first two.
var versions = []string{"v1", "v2", "v3"}

const (
	// desks is the number of instances of the plain service.
	desks = 3
	// recoveryBound is the time after the last fault in which the system must serve again, recoveryProbes the number of
	// requests in a row that show it.
	recoveryBound  = 12 * time.Second
	recoveryProbes = 20
	// addedStream is the stream of random numbers for PlanAdded; the callers' streams count up from 1.
	addedStream = 1 << 32
	// laterStream is the stream for PlanLater.
	laterStream = 1<<32 + 30
	// suspensionStream is the stream for PlanSuspensions.
	suspensionStream = 1<<32 + 20
	// versionStream is the stream for PlanVersions, and for the versions that engines get.
	versionStream = 1<<32 + 40
	// silenceStream is the stream for PlanSilences.
	silenceStream = 1<<32 + 50
	// stopTimeout is how long an entry VM may take for a planned stop.
	stopTimeout = 12 * time.Second
)

// Run plays one seed. It ends its processes and returns an error if the context ends first.
func Run(ctx context.Context, s Spec) (Result, error) {
	random := rand.New(rand.NewPCG(s.Seed, 0))
	x := &execution{Spec: s, ctx: ctx, group: duty.NewGroup(context.Background())}
	defer x.group.Stop()
	if err := x.startDeployment(); err != nil {
		return Result{}, err
	}
	defer x.deployment.Stop()
	sizes := Sizes{Entries: s.Entries, Engines: s.Engines, Runners: len(x.deployment.Runners), Links: len(x.proxies)}
	faults := Plan(random, s.Duration, sizes)
	faults = append(faults, PlanAdded(rand.New(rand.NewPCG(s.Seed, addedStream)), s.Duration, sizes, faults)...)
	faults = append(faults, PlanLater(rand.New(rand.NewPCG(s.Seed, laterStream)), s.Duration, sizes, faults)...)
	faults = append(faults, PlanSuspensions(rand.New(rand.NewPCG(s.Seed, suspensionStream)), sizes, faults)...)
	faults = append(faults, PlanVersions(rand.New(rand.NewPCG(s.Seed, versionStream)), s.Duration, sizes, faults)...)
	faults = append(faults, PlanSilences(rand.New(rand.NewPCG(s.Seed, silenceStream)), s.Duration, sizes, faults)...)
	faults = append(faults, PlanEvacuations(rand.New(rand.NewPCG(s.Seed, evacuationStream)), s.Duration, faults)...)
	x.callers = &callers{start: time.Now()}
	for _, e := range x.deployment.Entries {
		x.callers.entries = append(x.callers.entries, e.Callers)
	}
	load := duty.NewGroup(ctx)
	for i := range s.Callers {
		r := rand.New(rand.NewPCG(s.Seed, uint64(i)+1))
		name := fmt.Sprintf("s%d-c%d", s.Seed, i)
		load.Go(name, func(ctx context.Context) { x.callers.run(ctx, name, r) })
	}
	x.operator.start, x.operator.entries = x.callers.start, x.callers.entries
	load.Go("operator", func(ctx context.Context) {
		x.operator.addRoutes(ctx, rand.New(rand.NewPCG(s.Seed, operatorStream)))
	})
	load.Go("probes", func(ctx context.Context) {
		x.operator.probeRoutes(ctx, rand.New(rand.NewPCG(s.Seed, operatorStream+1)))
	})
	load.Go("withdrawals", func(ctx context.Context) {
		x.operator.withdrawKeys(ctx, rand.New(rand.NewPCG(s.Seed, keyStream)))
	})
	load.Go("key probes", func(ctx context.Context) {
		x.operator.probeKeys(ctx, rand.New(rand.NewPCG(s.Seed, keyStream+1)))
	})
	revokedAt := x.playFaults(faults)
	recovered := x.awaitRecovery()
	load.Stop()
	if err := ctx.Err(); err != nil {
		return Result{}, errors.Wrap(err, "interrupted")
	}
	return x.result(faults, revokedAt, recovered)
}

// execution is a run in progress.
type execution struct {
	Spec
	ctx        context.Context
	deployment *deploy.Deployment
	group      *duty.Group // the proxies
	proxies    []*Proxy    // of the runners' links, then of the entry VMs' links to the store
	peerLinks  []*Proxy    // of the other entry VMs' links to an entry VM
	callers    *callers
	operator   *operator
	managers   []*manager // of the entry VMs
}

func (x *execution) startDeployment() error {
	spec := deploy.Spec{Binaries: x.Binaries, Dir: x.Dir, Entries: x.Entries, Zones: zones, Proxy: x.addProxy, PeerProxy: x.addPeerProxy}
	for i := range x.Engines {
		spec.Runners = append(spec.Runners, runner.Spec{
			ID: fmt.Sprint("engine-", i), Service: "engines", Version: versions[i%2], StatesVersion: true, Zone: zones[i/2%len(zones)], Slots: 8, Models: []string{"tulip", "lily"},
			Engine: true, WeightsMB: 70000, ModelMB: 30000, AdapterSlots: 2, LoadTime: 250 * time.Millisecond,
			TokenTime: 10 * time.Millisecond, Events: streamEvents,
		})
	}
	for i := range desks {
		spec.Runners = append(spec.Runners, runner.Spec{
			ID: fmt.Sprint("desk-", i), Service: "desk", Zone: zones[i%len(zones)], Slots: 6, TokenTime: 10 * time.Millisecond,
		})
	}
	var err error
	if x.deployment, err = deploy.Start(spec); err != nil {
		if x.deployment != nil {
			x.deployment.Stop()
		}
		return err
	}
	x.operator = &operator{deployment: x.deployment}
	keys := []string{deploy.CallerKey, oldKey}
	for i := range spareKeys {
		keys = append(keys, spareKey(i))
	}
	x.operator.setKeys(x.ctx, keys...)
	for _, r := range x.deployment.Runners {
		x.setRunnerFaults(r, runner.Faults{})
	}
	for _, e := range x.deployment.Entries {
		x.managers = append(x.managers, &manager{deployment: x.deployment, entry: e})
	}
	return x.deployment.AwaitReady()
}

// setRunnerFaults sets the faults of a runner. Engines are always crashed by crashPart.
func (x *execution) setRunnerFaults(r runner.Spec, faults runner.Faults) {
	if r.Engine {
		faults.CrashPart = crashPart
	}
	x.setFaults(r.Address, faults)
}

// addProxy starts the proxy of a link: that to a runner, or that of an entry VM to the store.
func (x *execution) addProxy(_, address string) (string, error) {
	p, err := NewProxy(x.group, address)
	if err != nil {
		return "", err
	}
	x.proxies = append(x.proxies, p)
	return p.Address(), nil
}

// addPeerProxy starts the proxy of the other entry VMs' links to an entry VM.
func (x *execution) addPeerProxy(_, address string) (string, error) {
	p, err := NewProxy(x.group, address)
	if err != nil {
		return "", err
	}
	x.peerLinks = append(x.peerLinks, p)
	return p.Address(), nil
}

// playFaults starts each fault at its time and ends it. In the middle of the run, it withdraws a key; it returns when the
// store acknowledged that.
func (x *execution) playFaults(faults []Fault) (revokedAt time.Duration) {
	ctx := x.ctx
	playing := duty.NewGroup(ctx)
	for _, f := range faults {
		playing.Go(f.String(), func(ctx context.Context) {
			if duty.Pause(ctx, f.Start-time.Since(x.callers.start)) {
				x.play(f)
			}
		})
	}
	duty.Pause(ctx, x.Duration/2-time.Since(x.callers.start))
	x.operator.withdraw(ctx, oldKey)
	revokedAt = time.Since(x.callers.start)
	for _, f := range faults {
		duty.Pause(ctx, f.End-time.Since(x.callers.start))
	}
	for len(playing.Names()) > 0 {
		duty.Pause(context.Background(), holdPeriod)
	}
	return revokedAt
}

// play starts a fault, and ends it when its time is over.
func (x *execution) play(f Fault) {
	lasts := func() { duty.Pause(x.ctx, f.End-time.Since(x.callers.start)) }
	switch f.Target {
	case "entry":
		x.playEntry(f, lasts)
	case "entries":
		x.killAll(lasts)
	case "zone":
		x.operator.evacuate(x.ctx, zones[f.Index], lasts)
	case "store":
		if f.Kind == StoreRestored {
			x.playRestore(f)
			return
		}
		faults := map[Kind]store.Faults{
			StoreRefuses: {Refuse: true}, StoreSilent: {Silent: true}, StoreSlow: {SlowMs: 400},
			StoreLoses: {LoseWrites: true}, StoreCompacts: {Compact: true},
		}
		x.setFaults(x.deployment.Store, faults[f.Kind])
		lasts()
		x.setFaults(x.deployment.Store, store.Faults{})
	case "link", "peer":
		p := map[string][]*Proxy{"link": x.proxies, "peer": x.peerLinks}[f.Target][f.Index]
		p.SetFault(f.Kind)
		lasts()
		p.SetFault("")
	case "runner":
		if f.Kind == RunnerReleased {
			version := versions[(int(f.Start/time.Millisecond)+f.Index)%len(versions)]
			x.setRunnerFaults(x.deployment.Runners[f.Index], runner.Faults{Release: version, EmptyRelease: true})
			return
		}
		faults := map[Kind]runner.Faults{
			RunnerResets: {Reset: 5, BreakAfter: 3}, RunnerGarbles: {Garble: 8}, RunnerSheds: {Shed: 20}, RunnerHangs: {Hang: 3},
			RunnerLimited: {RateLimit: statedLimit}, RunnerLeaves: {Unlisted: true}, RunnerDrains: {Draining: true},
			RunnerSays: {Leaving: true}, RunnerPauses: {PauseS: statedPause.Seconds()},
			RunnerSilent: {SilenceMs: int((f.End - f.Start).Milliseconds())},
		}
		x.setRunnerFaults(x.deployment.Runners[f.Index], faults[f.Kind])
		lasts()
		x.setRunnerFaults(x.deployment.Runners[f.Index], runner.Faults{})
	}
}

// playRestore lets the store be away for a moment and return as it was at the start of the fault. The operators write the
// manifest again, as the runners write their entries.
func (x *execution) playRestore(f Fault) {
	x.setFaults(x.deployment.Store, store.Faults{Save: true})
	duty.Pause(x.ctx, f.End-restoreOutage-time.Since(x.callers.start))
	x.setFaults(x.deployment.Store, store.Faults{Silent: true})
	duty.Pause(x.ctx, f.End-time.Since(x.callers.start))
	x.setFaults(x.deployment.Store, store.Faults{Restore: true})
	x.operator.writeAgain(x.ctx)
}

// setFaults sets the faults of a stand-in. Only a stand-in that has ended does not answer, and that is seen elsewhere.
func (x *execution) setFaults(address string, faults any) {
	_ = x.deployment.SetFaults(context.Background(), address, faults)
}

// playEntry pauses, kills or stops an entry VM.
func (x *execution) playEntry(f Fault, lasts func()) {
	m := x.managers[f.Index]
	switch f.Kind {
	case EntryMisses:
		m.signal(syscall.SIGSTOP)
		x.operator.withdrawNext(x.ctx, func() {
			lasts()
			m.signal(syscall.SIGCONT)
			duty.Pause(x.ctx, revokeBound)
		})
	case EntryPaused:
		m.signal(syscall.SIGSTOP)
		lasts()
		m.signal(syscall.SIGCONT)
	case EntryKilled:
		m.end(syscall.SIGKILL, lasts)
	case EntryStopped:
		m.end(syscall.SIGTERM, lasts)
	}
}

// killAll kills all entry VMs at the same moment.
func (x *execution) killAll(lasts func()) {
	ending := duty.NewGroup(x.ctx)
	for _, m := range x.managers {
		ending.Go("kill", func(context.Context) { m.end(syscall.SIGKILL, lasts) })
	}
	for len(ending.Names()) > 0 {
		duty.Pause(context.Background(), holdPeriod)
	}
}

// awaitRecovery reports whether the system serves recoveryProbes requests in a row within recoveryBound.
func (x *execution) awaitRecovery() bool {
	probes := &callers{start: x.callers.start, entries: x.callers.entries}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: requestTimeout}
	deadline := time.Now().Add(recoveryBound)
	served := 0
	for n := 0; served < recoveryProbes && time.Now().Before(deadline) && x.ctx.Err() == nil; n++ {
		q := Request{
			ID: fmt.Sprintf("s%d-probe-%d", x.Seed, n), Route: routes[n%len(routes)], Entry: n % len(probes.entries),
			Key: deploy.CallerKey,
		}
		probes.send(client, &q)
		served++
		if q.Status != http.StatusOK || !q.Whole {
			served = 0
			duty.Pause(context.Background(), holdPeriod)
		}
	}
	return served >= recoveryProbes
}

// result collects the records of the runners and checks the history.
func (x *execution) result(faults []Fault, revokedAt time.Duration, recovered bool) (Result, error) {
	h := History{
		Start: x.callers.start, Faults: faults, Requests: x.callers.all(), RevokedAt: revokedAt,
		Added: x.operator.added, Probes: x.operator.probes, Withdrawn: x.operator.withdrawn, KeyProbes: x.operator.keyProbes,
		Evacuations: x.operator.evacuations,
	}
	for _, r := range x.deployment.Runners {
		record, err := x.deployment.Record(context.Background(), r.Address)
		if err != nil {
			return Result{}, errors.Wrap(err, r.ID)
		}
		h.Records = append(h.Records, record)
		h.Zones = append(h.Zones, r.Zone)
	}
	for _, e := range x.deployment.Entries {
		mb, err := e.PeakMemoryMB()
		if err != nil {
			h.Ended = append(h.Ended, e.Name)
		}
		h.PeakMB = append(h.PeakMB, mb)
	}
	out := Result{
		Seed: x.Seed, Faults: faults, Broken: Check(h), Statuses: make(map[string]int), Logs: make(map[string]string),
	}
	if !recovered {
		out.Broken = append(out.Broken, fmt.Sprintf("not %d requests in a row served within %v after the last fault",
			recoveryProbes, recoveryBound))
	}
	for _, q := range h.Requests {
		out.Statuses[fmt.Sprint(q.Route, " ", q.Status)]++
	}
	for _, e := range x.deployment.Entries {
		out.Logs[e.Name] = e.Log()
	}
	return out, nil
}
