// Package deploy starts a small deployment on loopback: the stand-ins and mangopassd processes, each a process of its own.
// Tests, the demo and the load tool use it.
package deploy

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopass/mangopass/duty"
	"github.com/mangopass/mangopass/node/settings"
	"github.com/mangopass/mangopass/platform"
)

// OperatorToken is the bearer token of the operator that all entry VMs of a deployment know.
const OperatorToken = "operator-token-of-a-local-deployment"

const (
	operatorTokenSHA256 = "c56a3d282923b83a8e740ccf992511158513d0eb0cb1b704a0bdf76f7aef1489"
	readyTimeout        = 15 * time.Second
	readyPoll           = 20 * time.Millisecond
)

// Spec describes a deployment.
type Spec struct {
	Binaries    string // folder with mangopassd and standin
	Dir         string // folder for settings and logs
	DataCentres []string
	Entries     int
	Engines     []EngineSpec
	Services    []ServiceSpec
	Weights     []string // arguments of the weight store after --listen
	EntryEdit   func(i int, s *settings.Entry)
	AgentEdit   func(i int, s *settings.Agent)
}

// EngineSpec describes one model engine and its agent.
type EngineSpec struct {
	MemoryBytes  int64
	Slots        int
	IgnoreFences bool
	Args         []string // further arguments of the engine
}

// ServiceSpec describes one plain service and its agent.
type ServiceSpec struct {
	ID    string
	Slots int
}

// Deployment is a running set of processes.
type Deployment struct {
	Spec        Spec
	Store       string        // address of the platform service
	WeightStore string        // address of the weight store
	Entries     []string      // addresses for callers
	Engines     []string      // addresses of the engines
	Services    []string      // addresses of the plain services
	VMs         []platform.VM // as given to the platform's list
	procs       map[string]*process
	order       []string
	ports       map[string]bool
}

// process is one started program.
type process struct {
	cmd  *exec.Cmd
	log  *os.File
	done sync.Once
	err  error
}

// Start starts everything and waits until the entry VMs answer.
func Start(ctx context.Context, spec Spec) (*Deployment, error) {
	d := &Deployment{Spec: spec, procs: make(map[string]*process), ports: make(map[string]bool)}
	if err := d.start(ctx); err != nil {
		d.Stop()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start(ctx context.Context) error {
	d.Store, d.WeightStore = d.address(), d.address()
	if err := d.run("store", "standin", "store", "--listen", d.Store); err != nil {
		return err
	}
	args := append([]string{"weights", "--listen", d.WeightStore}, d.Spec.Weights...)
	if err := d.run("weights", "standin", args...); err != nil {
		return err
	}
	if err := waitFor(ctx, "http://"+d.Store+"/counts"); err != nil {
		return err
	}
	for i, e := range d.Spec.Engines {
		if err := d.startEngine(i, e); err != nil {
			return err
		}
	}
	for i, s := range d.Spec.Services {
		if err := d.startService(i, s); err != nil {
			return err
		}
	}
	for i := range d.Spec.Entries {
		if err := d.startEntry(i); err != nil {
			return err
		}
	}
	if err := d.PublishVMs(d.VMs); err != nil {
		return err
	}
	for _, e := range d.Entries {
		if err := waitFor(ctx, "http://"+e+"/healthz"); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) startEngine(i int, spec EngineSpec) error {
	address := d.address()
	d.Engines = append(d.Engines, address)
	args := []string{"engine", "--listen", address, "--weight-store", d.WeightStore,
		"--memory-bytes", fmt.Sprint(spec.MemoryBytes), "--slots", fmt.Sprint(spec.Slots)}
	if spec.IgnoreFences {
		args = append(args, "--ignore-fences")
	}
	if err := d.run(fmt.Sprintf("engine-%d", i), "standin", append(args, spec.Args...)...); err != nil {
		return err
	}
	return d.startAgent(i, &settings.Agent{Engine: &settings.Engine{
		Address: address, MemoryBytes: spec.MemoryBytes, Slots: spec.Slots, ObeysFences: !spec.IgnoreFences,
	}})
}

func (d *Deployment) startService(i int, spec ServiceSpec) error {
	address := d.address()
	d.Services = append(d.Services, address)
	if err := d.run(fmt.Sprintf("service-%d", i), "standin", "service", "--listen", address); err != nil {
		return err
	}
	return d.startAgent(len(d.Spec.Engines)+i, &settings.Agent{Service: &settings.Service{
		ID: spec.ID, Address: address, Slots: spec.Slots,
	}})
}

func (d *Deployment) startAgent(i int, s *settings.Agent) error {
	s.Node = d.node(fmt.Sprintf("agent-%d", i), i)
	s.Stream = d.address()
	if d.Spec.AgentEdit != nil {
		d.Spec.AgentEdit(i, s)
	}
	d.VMs = append(d.VMs, platform.VM{ID: s.ID, Role: platform.TargetVM, DataCentre: s.DataCentre,
		Control: s.Control, Stream: s.Stream, State: platform.Live})
	return d.startNode("agent", s.ID, s)
}

func (d *Deployment) startEntry(i int) error {
	s := &settings.Entry{Node: d.node(fmt.Sprintf("entry-%d", i), i), Listen: d.address()}
	s.Operators = []settings.Operator{{Name: "local", TokenSHA256: operatorTokenSHA256}}
	if d.Spec.EntryEdit != nil {
		d.Spec.EntryEdit(i, s)
	}
	d.Entries = append(d.Entries, s.Listen)
	d.VMs = append(d.VMs, platform.VM{ID: s.ID, Role: platform.EntryVM, DataCentre: s.DataCentre,
		Control: s.Control, State: platform.Live})
	return d.startNode("entry", s.ID, s)
}

func (d *Deployment) node(id string, i int) settings.Node {
	n := settings.Node{ID: id, DataCentre: d.Spec.DataCentres[i%len(d.Spec.DataCentres)],
		Control: d.address(), Platform: d.Store, DrainTimeout: settings.Duration(10 * time.Second)}
	for _, dc := range d.Spec.DataCentres {
		n.DataCentres = append(n.DataCentres, settings.DataCentre{ID: dc, Region: "local"})
	}
	return n
}

func (d *Deployment) startNode(role, id string, s any) error {
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return errors.Wrap(err, "settings of "+id)
	}
	file := filepath.Join(d.Spec.Dir, id+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return errors.Wrap(err, "settings of "+id)
	}
	return d.run(id, "mangopassd", role, "--settings", file)
}

// Restart starts a process of the deployment again with the arguments it had. The process must have ended.
func (d *Deployment) Restart(id string) error {
	old := d.procs[id]
	_ = d.Wait(id)
	return d.run(id, filepath.Base(old.cmd.Path), old.cmd.Args[1:]...)
}

func (d *Deployment) run(id, binary string, args ...string) error {
	log, err := os.OpenFile(filepath.Join(d.Spec.Dir, id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "log of "+id)
	}
	cmd := exec.Command(filepath.Join(d.Spec.Binaries, binary), args...)
	cmd.Stdout, cmd.Stderr = log, log
	// A process of a deployment must not outlive the program that started it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return errors.Wrap(err, "start "+id)
	}
	if d.procs[id] == nil {
		d.order = append(d.order, id)
	}
	d.procs[id] = &process{cmd: cmd, log: log}
	return nil
}

// Signal sends a signal to one process.
func (d *Deployment) Signal(id string, s syscall.Signal) error {
	return errors.Wrap(d.procs[id].cmd.Process.Signal(s), "signal "+id)
}

// PID returns the process id of one process.
func (d *Deployment) PID(id string) int { return d.procs[id].cmd.Process.Pid }

// Wait waits for the end of one process and returns the error of exec.Cmd.Wait.
func (d *Deployment) Wait(id string) error {
	p := d.procs[id]
	p.done.Do(func() {
		p.err = p.cmd.Wait()
		_ = p.log.Close()
	})
	return p.err
}

// Log returns what one process has written to its standard error and output.
func (d *Deployment) Log(id string) string {
	data, err := os.ReadFile(filepath.Join(d.Spec.Dir, id+".log"))
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// Stop kills all processes, last started first, and waits for them.
func (d *Deployment) Stop() {
	for i := len(d.order) - 1; i >= 0; i-- {
		p := d.procs[d.order[i]]
		_ = p.cmd.Process.Kill()
		_ = d.Wait(d.order[i])
	}
}

// PublishVMs replaces the platform's list of VMs.
func (d *Deployment) PublishVMs(list []platform.VM) error {
	return PostJSON("http://"+d.Store+"/vms", list)
}

// PostJSON posts a document to a stand-in's control endpoint.
func PostJSON(url string, doc any) error {
	data, err := json.Marshal(doc)
	if err != nil {
		return errors.Wrap(err, url)
	}
	resp, err := http.Post(url, "application/json", bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, url)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("%s: status %d", url, resp.StatusCode)
	}
	return nil
}

// GetJSON reads a document from a stand-in's endpoint.
func GetJSON(url string, into any) error {
	resp, err := http.Get(url)
	if err != nil {
		return errors.Wrap(err, url)
	}
	defer resp.Body.Close()
	return errors.Wrap(json.NewDecoder(resp.Body).Decode(into), url)
}

// address returns a free loopback address that the deployment has not used before.
func (d *Deployment) address() string {
	for {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic("deploy: no free loopback port: " + err.Error())
		}
		address := l.Addr().String()
		_ = l.Close()
		if !d.ports[address] {
			d.ports[address] = true
			return address
		}
	}
}

// waitFor waits until a URL answers.
func waitFor(ctx context.Context, url string) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		resp, err := http.Get(url)
		if err == nil {
			_ = resp.Body.Close()
			return nil
		}
		if !duty.Pause(ctx, readyPoll) {
			return errors.Wrapf(err, "%s did not answer", url)
		}
	}
}
