// Package deploy starts a small deployment as separate processes on loopback: the stand-in store, stand-in runners and
// entry VMs. It ends only processes that it started.
package deploy

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopass/mangopass/duty"
	"github.com/mangopass/mangopass/duty/ring"
	"github.com/mangopass/mangopass/standin/runner"
)

// readyTimeout bounds the start of the whole deployment.
const readyTimeout = 15 * time.Second

// Spec describes a deployment.
type Spec struct {
	Binaries string // folder with mangopassd and standin
	Dir      string // for settings files
	Entries  int
	Runners  []runner.Spec
}

// Process is one started program.
type Process struct {
	Name string
	cmd  *exec.Cmd
	args []string
	out  *output
	done *ring.Ring[struct{}] // closed at the process's end
}

// output collects what a process prints.
type output struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.Write(p)
}

// Log returns what the process has printed so far.
func (p *Process) Log() string {
	p.out.mu.Lock()
	defer p.out.mu.Unlock()
	return p.out.buf.String()
}

// Entry is an entry VM of the deployment.
type Entry struct {
	*Process
	Callers, Ready, API, Metrics string // IP:port
	Settings                     string // path of its settings file
}

// Deployment is a set of running processes.
type Deployment struct {
	Store   string // IP:port
	Entries []*Entry
	Runners []runner.Spec

	spec      Spec
	mu        sync.Mutex
	processes []*Process
	client    *http.Client
	taken     map[string]bool // addresses that were given out
}

// Start starts the store, the runners and the entry VMs. The entry VMs are ready only after a manifest was put.
func Start(spec Spec) (*Deployment, error) {
	d := &Deployment{spec: spec, client: &http.Client{Timeout: 2 * time.Second}, taken: make(map[string]bool)}
	store, err := d.freeAddress()
	if err != nil {
		return nil, err
	}
	d.Store = store
	if _, err := d.run("store", "standin", "store", "--listen", store); err != nil {
		return d, err
	}
	if err := d.await(func(ctx context.Context) bool { return d.Fail(ctx, store, struct{}{}) == nil }); err != nil {
		return d, err
	}
	for _, r := range spec.Runners {
		if err := d.AddRunner(r); err != nil {
			return d, err
		}
	}
	for _, r := range spec.Runners {
		if err := d.await(func(ctx context.Context) bool { return d.listed(ctx, "servers/"+r.ID) }); err != nil {
			return d, err
		}
	}
	for i := range spec.Entries {
		if err := d.addEntry(fmt.Sprintf("entry-%d", i)); err != nil {
			return d, err
		}
	}
	return d, nil
}

// AddRunner starts one more runner; its address is chosen here.
func (d *Deployment) AddRunner(r runner.Spec) error {
	address, err := d.freeAddress()
	if err != nil {
		return err
	}
	r.Address = address
	spec, err := json.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "runner spec")
	}
	d.Runners = append(d.Runners, r)
	_, err = d.run(r.ID, "standin", "runner", "--store", d.Store, "--spec", string(spec))
	return err
}

func (d *Deployment) addEntry(name string) error {
	e := &Entry{Settings: filepath.Join(d.spec.Dir, name+".json")}
	var addresses [5]string
	for i := range addresses {
		a, err := d.freeAddress()
		if err != nil {
			return err
		}
		addresses[i] = a
	}
	e.Callers, e.Ready, e.API, e.Metrics = addresses[0], addresses[1], addresses[2], addresses[3]
	_, between, _ := net.SplitHostPort(addresses[4])
	port, _ := strconv.Atoi(between)
	settings := map[string]any{
		"id": name, "ip": "127.0.0.1", "zone": "dc-a", "ports": []int{port, port + 1}, "store": d.Store,
		"listen": map[string]string{"callers": e.Callers, "ready": e.Ready, "api": e.API, "metrics": e.Metrics},
		"rules": map[string]any{
			"revoke_ms": 5000, "grace_s": 8, "lease_ms": 3000, "min_lease_ms": 1000, "retry_ratio": 0.2, "retry_extra": 50,
			"retry_window_s": 10, "quota_over": 0.1, "quota_slack": 0,
		},
		"zones": map[string]string{"dc-a": "region-1"},
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return errors.Wrap(err, "settings")
	}
	if err := os.WriteFile(e.Settings, data, 0o600); err != nil {
		return errors.Wrap(err, "settings")
	}
	d.Entries = append(d.Entries, e)
	return d.startEntry(e, name)
}

func (d *Deployment) startEntry(e *Entry, name string) error {
	p, err := d.run(name, "mangopassd", "entry", "--settings", e.Settings)
	e.Process = p
	return err
}

// Restart starts an entry VM again after it has ended.
func (d *Deployment) Restart(e *Entry) error { return d.startEntry(e, e.Name) }

func (d *Deployment) run(name, program string, args ...string) (*Process, error) {
	p := &Process{Name: name, args: args, out: &output{}, done: ring.New[struct{}](name, 1)}
	p.cmd = exec.Command(filepath.Join(d.spec.Binaries, program), args...)
	p.cmd.Stdout, p.cmd.Stderr = p.out, p.out
	if err := p.cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	d.mu.Lock()
	d.processes = append(d.processes, p)
	d.mu.Unlock()
	waiter := duty.NewGroup(context.Background())
	waiter.Go("wait for "+name, func(context.Context) {
		_ = p.cmd.Wait() // the exit code stands in the process's state
		p.done.Close()
	})
	return p, nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Wait returns the exit code, or an error if the process still runs after the timeout.
func (p *Process) Wait(timeout time.Duration) (int, error) {
	_, err := p.done.PopBatchUntil(context.Background(), time.Now().Add(timeout), make([]struct{}, 1))
	if !errors.Is(err, ring.ErrClosed) {
		return 0, errors.Newf("%s still runs after %s", p.Name, timeout)
	}
	return p.cmd.ProcessState.ExitCode(), nil
}

// PutManifest writes the manifest as the platform's operator does.
func (d *Deployment) PutManifest(ctx context.Context, manifest any) error {
	data, err := json.Marshal(manifest)
	if err != nil {
		return errors.Wrap(err, "manifest")
	}
	return d.Put(ctx, "op/config", data)
}

// Put writes a key of the store; an empty value removes it.
func (d *Deployment) Put(ctx context.Context, key string, value []byte) error {
	return runner.Put(ctx, d.client, d.Store, key, value)
}

// Fail sets the faults of the store or a runner.
func (d *Deployment) Fail(ctx context.Context, address string, faults any) error {
	return runner.Post(ctx, d.client, address, "/standin/faults", faults)
}

// Record returns what a runner has seen.
func (d *Deployment) Record(ctx context.Context, address string) (runner.Record, error) {
	var out runner.Record
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/standin/record", nil)
	if err != nil {
		return out, errors.Wrap(err, "record")
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return out, errors.Wrap(err, "record")
	}
	defer func() { _ = resp.Body.Close() }()
	return out, errors.Wrap(json.NewDecoder(resp.Body).Decode(&out), "record")
}

// AwaitReady waits until all entry VMs say that they are ready.
func (d *Deployment) AwaitReady() error {
	for _, e := range d.Entries {
		if err := d.await(func(ctx context.Context) bool { return d.Ready(ctx, e) }); err != nil {
			return errors.Wrap(err, e.Name)
		}
	}
	return nil
}

// await polls until a condition holds.
func (d *Deployment) await(holds func(context.Context) bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	for !holds(ctx) {
		if !duty.Pause(ctx, 20*time.Millisecond) {
			return errors.Newf("not ready after %s", readyTimeout)
		}
	}
	return nil
}

// listed reports whether the store has a key.
func (d *Deployment) listed(ctx context.Context, key string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Store+"/-/kv-key?key="+key, nil)
	return err == nil && d.status(req) == http.StatusOK
}

// status sends a request and returns the status of the answer, or zero.
func (d *Deployment) status(req *http.Request) int {
	resp, err := d.client.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// Ready reports whether an entry VM says that it is ready.
func (d *Deployment) Ready(ctx context.Context, e *Entry) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Ready+"/-/ready", nil)
	return err == nil && d.status(req) == http.StatusOK
}

// Stop ends all processes.
func (d *Deployment) Stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.processes {
		p.Signal(syscall.SIGKILL) // has no effect on a process that has ended
		_, _ = p.done.Pop(context.Background())
	}
}

// Ports of the deployment lie below the range from which the system takes the ports of outgoing connections, so that no
// connection holds a port that a process is about to listen on.
const (
	firstPort = 12000
	lastPort  = 30000
)

// freeAddress returns a loopback address with a free port, and leaves the port after it free too.
func (d *Deployment) freeAddress() (string, error) {
	for range 100 {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+2*rand.IntN((lastPort-firstPort)/2))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue // in use
		}
		if d.taken[address] {
			_ = l.Close()
			continue
		}
		d.taken[address] = true
		return address, errors.Wrap(l.Close(), "find a free port")
	}
	return "", errors.New("no free port found")
}
