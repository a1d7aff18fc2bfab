// Package rig starts a small deployment of mangopass on loopback for the cases of the second review: the project's own
// stand-ins of the store and of runners, and entry VMs with the command of the deploy file. It uses the standard library only.
package rig

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the installation, as in the settings on page DEPLOY.md.
const (
	RevokeTime = 5 * time.Second
	ConfigTime = 2 * time.Second
	StableTime = 3 * time.Second
	DrainTime  = 2 * time.Second
	Host       = "ficu95.example"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	Failed = 2 // the case could not run
)

// Case is one run of a case.
type Case struct {
	Trouble bool // with the disruption
	Begin   time.Time

	mu        sync.Mutex
	record    *os.File
	dir       string
	root      string
	store     string
	processes []*exec.Cmd
	last      int // number of the last request
	client    *http.Client
}

// Entry is an entry VM.
type Entry struct {
	Name, Callers, Ready, Settings string
	cmd                            *exec.Cmd
	log                            *bytes.Buffer
}

// New begins a run. The working folder is that of the case; the repository's root is two folders above.
func New() *Case {
	record, err := os.Create("record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(Failed)
	}
	c := &Case{
		Trouble: os.Getenv("TROUBLE") != "0", Begin: time.Now(), record: record,
		client: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	c.root, err = filepath.Abs("../..")
	c.Must(err)
	c.dir, err = os.MkdirTemp("", "mangopass-review")
	c.Must(err)
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-ended
		c.End(Failed, "ended by a signal")
	}()
	time.AfterFunc(115*time.Second, func() { c.End(Failed, "out of time") })
	c.Note("begin, trouble %v", c.Trouble)
	return c
}

// Note writes a line to the record.
func (c *Case) Note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(c.Begin).Seconds(), fmt.Sprintf(format, args...))
	_, _ = c.record.WriteString(line)
}

// Must ends the run if there is an error: the case could not run.
func (c *Case) Must(err error) {
	if err != nil {
		c.End(Failed, err.Error())
	}
}

// End ends all processes and the run.
func (c *Case) End(code int, detail string) {
	c.Note("end, exit code %d: %s", code, detail)
	fmt.Printf("exit code %d: %s\n", code, detail)
	c.mu.Lock()
	for _, p := range c.processes {
		_ = p.Process.Kill()
		_ = p.Wait()
	}
	_ = os.RemoveAll(c.dir)
	os.Exit(code)
}

// FreePort returns a loopback port that is free, and so is the one after it.
func (c *Case) FreePort() int {
	for range 200 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		c.Must(err)
		port := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		next, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port+1))
		if err == nil {
			_ = next.Close()
			return port
		}
	}
	c.End(Failed, "no free ports")
	return 0
}

func (c *Case) address() string { return fmt.Sprintf("127.0.0.1:%d", c.FreePort()) }

func (c *Case) start(cmd *exec.Cmd) {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	c.Must(cmd.Start())
	c.mu.Lock()
	c.processes = append(c.processes, cmd)
	c.mu.Unlock()
}

func (c *Case) standin(args ...string) {
	c.start(exec.Command(filepath.Join(c.root, "target/review-2/standin"), args...))
}

// StartStore starts the stand-in of the platform's store.
func (c *Case) StartStore() {
	c.store = c.address()
	c.standin("store", "--listen", c.store)
	c.Await("the store", func() bool { return c.Status("GET", "http://"+c.store+"/-/kv-range?prefix=servers/") == 200 })
}

// StartRunner starts a stand-in of a plain service's runner and returns its address.
func (c *Case) StartRunner(id, service string, answer time.Duration) string {
	address := c.address()
	spec, err := json.Marshal(map[string]any{
		"ID": id, "Service": service, "Address": address, "Zone": "dl-a", "Slots": 6, "TokenTime": answer,
	})
	c.Must(err)
	c.standin("runner", "--store", c.store, "--spec", string(spec))
	return address
}

// StartEntry starts an entry VM with settings as deploy/settings.json.tmpl makes them.
func (c *Case) StartEntry(name string) *Entry { return c.StartEntryIn(name, "dl-a") }

// StartEntryIn does the same in a zone of the region.
func (c *Case) StartEntryIn(name, zone string) *Entry {
	e := &Entry{Name: name, Callers: c.address(), Ready: c.address(), Settings: filepath.Join(c.dir, name+".json")}
	port := c.FreePort()
	settings, err := json.MarshalIndent(map[string]any{
		"id": name, "ip": "127.0.0.1", "zone": zone, "ports": []int{port, port + 1}, "store": c.store,
		"listen": map[string]string{"callers": e.Callers, "ready": e.Ready, "metrics": c.address()},
		"rules": map[string]any{
			"revoke_ms": 5000, "grace_s": 8, "lease_ms": 3000, "min_lease_ms": 1000, "retry_ratio": 0.2, "retry_extra": 54,
			"retry_window_s": 10, "quota_over": 0.1, "quota_slack": 72000, "quota_window_s": 8,
		},
		"limits": map[string]int{"memory_mb": 284, "max_fds": 4100},
		"zones":  map[string]string{"dl-a": "lam-dong", "dl-b": "lam-dong", "dl-c": "lam-dong", "dl-d": "lam-dong"},
	}, "", " ")
	c.Must(err)
	c.Must(os.WriteFile(e.Settings, settings, 0o600))
	c.run(e)
	return e
}

// run starts the process of an entry VM.
func (c *Case) run(e *Entry) {
	e.cmd = exec.Command(filepath.Join(c.root, "target/mangopassd"), "entry")
	e.cmd.Dir = c.root
	e.cmd.Env = append(os.Environ(), "MANGOPASS_BOOT="+e.Settings)
	e.log = &bytes.Buffer{}
	e.cmd.Stdout, e.cmd.Stderr = e.log, e.log
	c.start(e.cmd)
}

// Restart stops an entry VM with SIGTERM and starts it again, as the platform does.
func (c *Case) Restart(e *Entry) {
	c.Must(e.cmd.Process.Signal(syscall.SIGTERM))
	_ = e.cmd.Wait()
	c.run(e)
}

// AwaitReady waits until an entry VM says that it is ready.
func (c *Case) AwaitReady(e *Entry) {
	c.Await(e.Name, func() bool { return c.Status("GET", "http://"+e.Ready+"/-/ready") == 200 })
}

// Await waits for a condition.
func (c *Case) Await(what string, holds func() bool) {
	for range 600 {
		if holds() {
			return
		}
		time.Sleep(25 * time.Millisecond)
	}
	c.End(Failed, "waited in vain for "+what)
}

// Status returns the status of a request without a body; 0: there is no answer.
func (c *Case) Status(method, url string) int {
	req, err := http.NewRequest(method, url, nil)
	c.Must(err)
	resp, err := c.client.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// Put writes a key of the store as the platform does, and returns when the store has acknowledged it.
func (c *Case) Put(key, value string) time.Time {
	body, err := json.Marshal(map[string]string{"key": key, "value": base64.StdEncoding.EncodeToString([]byte(value))})
	c.Must(err)
	resp, err := c.client.Post("http://"+c.store+"/standin/put", "application/json", bytes.NewReader(body))
	c.Must(err)
	_ = resp.Body.Close()
	if resp.StatusCode != 200 {
		c.End(Failed, fmt.Sprintf("the store answers %d to the operator", resp.StatusCode))
	}
	return time.Now()
}

// PutManifest writes a manifest, and records it with its acknowledgement.
func (c *Case) PutManifest(manifest string) time.Time {
	acked := c.Put("op/config", manifest)
	c.Note("manifest acknowledged: %s", manifest)
	return acked
}

// Answer is what a requester has got.
type Answer struct {
	ID     string
	Sent   time.Time
	Status int // 0: no answer
	Body   string
	Err    error
}

// Send sends a request of a requester to an entry VM, on a new connection. An empty key: none is sent.
func (c *Case) Send(e *Entry, method, path, key, body string) Answer {
	return c.SendWithin(e, method, path, key, body, 1500)
}

// SendWithin does the same for a requester that states how long it waits.
func (c *Case) SendWithin(e *Entry, method, path, key, body string, deadlineMs int) Answer {
	c.mu.Lock()
	c.last++
	a := Answer{ID: fmt.Sprintf("%016x", c.last), Sent: time.Now()}
	c.mu.Unlock()
	req, err := http.NewRequest(method, "http://"+e.Callers+path, strings.NewReader(body))
	c.Must(err)
	req.Host = Host
	req.Header.Set("X-Mangopass-Request-Id", a.ID)
	req.Header.Set("X-Mangopass-Deadline", fmt.Sprint(deadlineMs))
	if key != "" {
		req.Header.Set("Api-Key", key)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		a.Err = err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	a.Status, a.Body, a.Err = resp.StatusCode, strings.TrimSpace(string(text)), err
	return a
}

// Run is one run of a request at a runner.
type Run struct {
	Request string    `json:"request"`
	Path    string    `json:"path"`
	Tenant  string    `json:"tenant"`
	At      time.Time `json:"at"`
}

// Runs returns the runs that the runners at the given addresses have recorded, by request.
func (c *Case) Runs(addresses ...string) map[string][]Run {
	out := make(map[string][]Run)
	for _, address := range addresses {
		resp, err := c.client.Get("http://" + address + "/standin/record")
		c.Must(err)
		var record struct {
			Runs []Run `json:"runs"`
		}
		err = json.NewDecoder(resp.Body).Decode(&record)
		_ = resp.Body.Close()
		c.Must(err)
		for _, run := range record.Runs {
			out[run.Request] = append(out[run.Request], run)
		}
	}
	return out
}

// Logs returns the lines with a text that an entry VM has written, at most n of them.
func (e *Entry) Logs(text string, n int) []string {
	var out []string
	for _, line := range strings.Split(e.log.String(), "\n") {
		if strings.Contains(line, text) && len(out) < n {
			out = append(out, line)
		}
	}
	return out
}
