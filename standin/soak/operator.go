package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/mangopass/mangopass/duty"
	"github.com/mangopass/mangopass/standin/deploy"
)

const (
	// maxChangeGap and minChangeGap bound the time between two manifests, several of which may come within a second.
	maxChangeGap = 3 * time.Second
	minChangeGap = 100 * time.Millisecond
	// probePeriod is the time between two probes.
	probePeriod = 40 * time.Millisecond
	// operatorStream is the stream of random numbers for the manifests and probes.
	operatorStream = 1<<32 + 1
)

// Added is a route that a manifest has added, with the time of the store's acknowledgement since the start of the load.
type Added struct {
	Name string
	At   time.Duration
}

// Probe is a request that shows whether an entry VM has a manifest in force.
type Probe struct {
	Target      int // index of the route in History.Added, or of the key in History.Withdrawn
	Entry       int
	Sent, Ended time.Duration
	Status      int // zero: no answer
}

// operator writes the manifests of a run, and probes which of them are in force. It is safe for concurrent use.
type operator struct {
	deployment *deploy.Deployment
	start      time.Time
	entries    []string // addresses

	changing sync.Mutex // held while a manifest is written, and while none may be
	mu       sync.Mutex
	version  int
	keys     []string
	routes   []string // of the newest manifest
	added    []Added  // as far as acknowledged
	probes   []Probe

	evacuated   string // zone; empty: none
	evacuations []Evacuated

	withdrawn []Withdrawn // as far as acknowledged
	keyProbes []Probe
}

// change writes a new manifest, again and again until the store acknowledges it or the context ends.
func (o *operator) change(ctx context.Context, set func()) {
	o.changing.Lock()
	defer o.changing.Unlock()
	o.changeNow(ctx, set)
}

// changeNow writes a new manifest like change. The caller holds o.changing.
func (o *operator) changeNow(ctx context.Context, set func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	set()
	o.version++
	o.write(ctx)
}

// writeAgain writes the newest manifest and the evacuations again, after the store has lost them.
func (o *operator) writeAgain(ctx context.Context) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.write(ctx)
	for _, zone := range zones {
		o.writeEvacuation(ctx, zone)
	}
}

// write writes the newest manifest. Its limit is one that the load does not reach.
func (o *operator) write(ctx context.Context) {
	manifest := deploy.ManifestWith(o.routes, o.version, 400_000, 600_000, o.keys...)
	for o.deployment.PutManifest(ctx, manifest) != nil && ctx.Err() == nil {
		duty.Pause(ctx, holdPeriod)
	}
}

// setKeys replaces the keys of the organisation.
func (o *operator) setKeys(ctx context.Context, keys ...string) {
	o.change(ctx, func() { o.keys = keys })
}

// addRoute adds a route.
func (o *operator) addRoute(ctx context.Context) {
	name := ""
	o.change(ctx, func() {
		name = fmt.Sprint("added-", o.version+1)
		o.routes = append(o.routes, name)
	})
	if ctx.Err() == nil {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.added = append(o.added, Added{Name: name, At: time.Since(o.start)})
	}
}

// addRoutes adds routes until the context ends.
func (o *operator) addRoutes(ctx context.Context, r *rand.Rand) {
	for duty.Pause(ctx, minChangeGap+time.Duration(r.Int64N(int64(maxChangeGap-minChangeGap)))) {
		o.addRoute(ctx)
	}
}

// probeTarget is what a probe asks for, and the key that it carries; empty: none.
type probeTarget struct{ path, key string }

// probeRoutes probes the routes that were added, mostly the newest one, until the context ends.
func (o *operator) probeRoutes(ctx context.Context, r *rand.Rand) {
	o.probe(ctx, r, "probe", 4, &o.probes, func() (targets []probeTarget) {
		for _, a := range o.added {
			targets = append(targets, probeTarget{path: a.Name})
		}
		return targets
	})
}

// probe sends the entry VMs in turn a request for the newest target or, one time in earlier, for any of them, until the context
// ends. o.mu is held while it calls targets.
func (o *operator) probe(
	ctx context.Context, r *rand.Rand, name string, earlier int, probes *[]Probe, targets func() []probeTarget,
) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	for n := 0; duty.Pause(ctx, probePeriod); n++ {
		o.mu.Lock()
		all := targets()
		o.mu.Unlock()
		if len(all) == 0 {
			continue
		}
		p := Probe{Target: len(all) - 1, Entry: n % len(o.entries)}
		if r.IntN(earlier) == 0 {
			p.Target = r.IntN(len(all))
		}
		p.Sent = time.Since(o.start)
		p.Status = get(ctx, client, o.entries[p.Entry], fmt.Sprint(name, "-", n), all[p.Target])
		p.Ended = time.Since(o.start)
		o.mu.Lock()
		*probes = append(*probes, p)
		o.mu.Unlock()
	}
}

// get sends a request to an entry VM and returns the status of its answer; zero: none.
func get(ctx context.Context, client *http.Client, entry, id string, target probeTarget) int {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+"/"+target.path+"/x", nil)
	if err != nil {
		return 0
	}
	req.Host = "coop.example"
	req.Header.Set("X-Mangopass-Request-Id", id)
	req.Header.Set("X-Mangopass-Deadline", "1000")
	if target.key != "" {
		req.Header.Set("Api-Key", target.key)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}
