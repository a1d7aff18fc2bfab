// Package deploy starts a small deployment on loopback: the stand-in store, stand-in runners and entry VMs, each as a
// separate process. It ends only processes that it started.
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
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopass/mangopass/duty"
	"github.com/mangopass/mangopass/duty/ring"
	"github.com/mangopass/mangopass/standin/runner"
)

// readyTimeout bounds each wait for a process to start or to become ready.
const readyTimeout = 15 * time.Second

// Spec describes a deployment.
type Spec struct {
	Binaries string // folder with mangopassd and standin
	Dir      string // for the settings files of the entry VMs
	Entries  int    // number of entry VMs
	Runners  []runner.Spec
	Zones    []string // of the entry VMs, in turns; empty: all are in dc-a

	// Proxy returns the address of a proxy in front of another one, for the link with the given name: runners are announced
	// at that of their links, and entry VMs get that of theirs to the store. nil: there are no proxies.
	Proxy func(link, address string) (string, error)
	// PeerProxy returns the address of a proxy in front of the one at which an entry VM takes reports; the others get that.
	// nil: there are none.
	PeerProxy func(entry, address string) (string, error)
	// Limits is the object limits of the settings of the entry VMs; nil: the settings have none.
	Limits map[string]any
}

// Process is a process that the deployment started.
type Process struct {
	Name string
	cmd  *exec.Cmd
	args []string
	out  *output
	done *ring.Ring[struct{}] // closed when the process has ended
}

// output collects the standard output and error of a process.
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

// Log returns what the process has written to standard output and error so far.
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

// Deployment is a set of processes that Start and AddRunner started.
type Deployment struct {
	Store   string // IP:port
	Entries []*Entry
	Runners []runner.Spec

	spec      Spec
	mu        sync.Mutex
	processes []*Process
	client    *http.Client
	claim     net.Listener    // on the claim port of the block of ports
	firstPort int             // of the block
	allocated map[string]bool // addresses that freeAddress has returned
}

// Start starts the store, the runners and the entry VMs. The entry VMs become ready only after PutManifest; AwaitReady
// waits for them. The returned deployment may be non-nil even with an error, and must then be stopped too.
func Start(spec Spec) (*Deployment, error) {
	d := &Deployment{spec: spec, client: &http.Client{Timeout: 2 * time.Second}, allocated: make(map[string]bool)}
	if err := d.claimPorts(); err != nil {
		return nil, err
	}
	store, err := d.freeAddress()
	if err != nil {
		return d, err
	}
	d.Store = store
	if _, err := d.startProcess("store", "standin", "store", "--listen", store); err != nil {
		return d, err
	}
	if err := d.await(func(ctx context.Context) bool {
		return d.SetFaults(ctx, store, struct{}{}) == nil
	}); err != nil {
		return d, err
	}
	for _, r := range spec.Runners {
		if err := d.AddRunner(r); err != nil {
			return d, err
		}
	}
	for _, r := range spec.Runners {
		if err := d.await(func(ctx context.Context) bool { return d.keyExists(ctx, "servers/"+r.ID) }); err != nil {
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

// AddRunner starts one more runner, at a free address that replaces the one in its spec.
func (d *Deployment) AddRunner(r runner.Spec) error {
	address, err := d.freeAddress()
	if err != nil {
		return err
	}
	r.Address = address
	if d.spec.Proxy != nil {
		if r.Announced, err = d.spec.Proxy(r.ID, r.Address); err != nil {
			return err
		}
	}
	spec, err := json.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "encode runner spec")
	}
	d.Runners = append(d.Runners, r)
	_, err = d.startProcess(r.ID, "standin", "runner", "--store", d.Store, "--spec", string(spec))
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
	storeAddress := d.Store
	if d.spec.Proxy != nil {
		var err error
		if storeAddress, err = d.spec.Proxy(name, d.Store); err != nil {
			return err
		}
	}
	_, peerPort, _ := net.SplitHostPort(addresses[4])
	port, _ := strconv.Atoi(peerPort)
	home, regions := "dc-a", map[string]string{"dc-a": "region-1"}
	for _, z := range d.spec.Zones {
		regions[z] = "region-1"
	}
	if len(d.spec.Zones) > 0 {
		home = d.spec.Zones[len(d.Entries)%len(d.spec.Zones)]
	}
	settings := map[string]any{
		"id": name, "ip": "127.0.0.1", "zone": home, "ports": []int{port, port + 1}, "store": storeAddress,
		"listen": map[string]string{"callers": e.Callers, "ready": e.Ready, "api": e.API, "metrics": e.Metrics},
		"rules": map[string]any{
			"revoke_ms": 5000, "grace_s": 8, "lease_ms": 3000, "min_lease_ms": 1000, "retry_ratio": 0.2,
			"retry_extra": 50, "retry_window_s": 10, "quota_over": 0.1, "quota_slack": 0,
		},
		"zones": regions,
	}
	if d.spec.Limits != nil {
		settings["limits"] = d.spec.Limits
	}
	if d.spec.PeerProxy != nil {
		var err error
		if settings["advertise"], err = d.spec.PeerProxy(name, addresses[4]); err != nil {
			return err
		}
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	if err := os.WriteFile(e.Settings, data, 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	d.Entries = append(d.Entries, e)
	return d.startEntry(e, name)
}

func (d *Deployment) startEntry(e *Entry, name string) error {
	p, err := d.startProcess(name, "mangopassd", "entry", "--settings", e.Settings)
	e.Process = p
	return err
}

// Restart starts an entry VM again, with the same settings, after its process has ended.
func (d *Deployment) Restart(e *Entry) error { return d.startEntry(e, e.Name) }

func (d *Deployment) startProcess(name, program string, args ...string) (*Process, error) {
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
		_ = p.cmd.Wait() // Process.Wait takes the exit code from cmd.ProcessState
		p.done.Close()
	})
	return p, nil
}

// Signal sends a signal to the process; it does nothing if the process has ended.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// PID returns the ID of the process.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// PeakMemoryMB returns the largest resident memory of the running process so far, in MB.
func (p *Process) PeakMemoryMB() (float64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, errors.Wrapf(err, "memory of %s", p.Name)
	}
	_, line, _ := strings.Cut(string(status), "VmHWM:")
	var kb float64
	if _, err := fmt.Sscan(line, &kb); err != nil {
		return 0, errors.Wrapf(err, "memory of %s", p.Name)
	}
	return kb / 1024, nil
}

// Wait returns the exit code, or an error if the process still runs after the timeout.
func (p *Process) Wait(timeout time.Duration) (int, error) {
	_, err := p.done.PopBatchUntil(context.Background(), time.Now().Add(timeout), make([]struct{}, 1))
	if !errors.Is(err, ring.ErrClosed) {
		return 0, errors.Newf("process %s still runs after %s", p.Name, timeout)
	}
	return p.cmd.ProcessState.ExitCode(), nil
}

// PutManifest writes the manifest to the store, in the place of the platform's operator.
func (d *Deployment) PutManifest(ctx context.Context, manifest any) error {
	data, err := json.Marshal(manifest)
	if err != nil {
		return errors.Wrap(err, "encode manifest")
	}
	return d.Put(ctx, "op/config", data)
}

// Put writes a key of the store, including keys that only the platform may write; an empty value removes the key.
func (d *Deployment) Put(ctx context.Context, key string, value []byte) error {
	return runner.Put(ctx, d.client, d.Store, key, value)
}

// SetFaults replaces the faults of the store, by a store.Faults, or of a runner, by a runner.Faults.
func (d *Deployment) SetFaults(ctx context.Context, address string, faults any) error {
	return runner.Post(ctx, d.client, address, "/standin/faults", faults)
}

// Record returns the requests and orders that a runner has recorded.
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
	return out, errors.Wrap(json.NewDecoder(resp.Body).Decode(&out), "decode record")
}

// AwaitReady waits until all entry VMs report that they are ready.
func (d *Deployment) AwaitReady() error {
	for _, e := range d.Entries {
		if err := d.await(func(ctx context.Context) bool { return d.Ready(ctx, e) }); err != nil {
			return errors.Wrap(err, e.Name)
		}
	}
	return nil
}

// await polls a condition until it holds, for at most readyTimeout.
func (d *Deployment) await(condition func(context.Context) bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	for !condition(ctx) {
		if !duty.Pause(ctx, 20*time.Millisecond) {
			return errors.Newf("not ready after %s", readyTimeout)
		}
	}
	return nil
}

// keyExists reports whether the store has a key.
func (d *Deployment) keyExists(ctx context.Context, key string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Store+"/-/kv-key?key="+key, nil)
	return err == nil && d.status(req) == http.StatusOK
}

// status sends a request and returns the status code of the answer, or zero if there is none.
func (d *Deployment) status(req *http.Request) int {
	resp, err := d.client.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// Ready reports whether an entry VM reports that it is ready.
func (d *Deployment) Ready(ctx context.Context, e *Entry) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Ready+"/-/ready", nil)
	return err == nil && d.status(req) == http.StatusOK
}

// Stop kills all processes, waits until they have ended, and gives up the ports.
func (d *Deployment) Stop() {
	defer func() { _ = d.claim.Close() }()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.processes {
		p.Signal(syscall.SIGKILL) // has no effect on a process that has ended
		_, _ = p.done.Pop(context.Background())
	}
}

// Ports of the deployments on this machine. They lie below the range of the system's ephemeral ports, so that no outgoing
// connection can take a port that a process is about to listen on. Each deployment has a block of ports for itself, which
// it claims by listening on the block's claim port: the ports of a process that is to start again are free meanwhile.
const (
	firstPort  = 12000
	blockPorts = 512
	blocks     = 35
	claimPort  = 30000 // of the first block
)

// claimPorts claims a block of ports until the deployment is stopped.
func (d *Deployment) claimPorts() error {
	for _, block := range rand.Perm(blocks) {
		if l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", claimPort+block)); err == nil {
			d.claim, d.firstPort = l, firstPort+block*blockPorts
			return nil
		}
	}
	return errors.New("no free block of ports")
}

// freeAddress returns a loopback address with a free port that it has not returned before. It returns only even ports,
// so that an entry VM can use the port after it too.
func (d *Deployment) freeAddress() (string, error) {
	for range 100 {
		address := fmt.Sprintf("127.0.0.1:%d", d.firstPort+2*rand.IntN(blockPorts/2))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue // in use
		}
		if d.allocated[address] {
			_ = l.Close()
			continue
		}
		d.allocated[address] = true
		return address, errors.Wrap(l.Close(), "find a free port")
	}
	return "", errors.Newf("no free port found from %d on", d.firstPort)
}
