// Command rig holds the stand-ins and the drivers of the review's scripts. It uses the standard library only.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

func fail(what string, err error) int {
	fmt.Fprintln(os.Stderr, "rig:", what+":", err)
	return 2
}

var shortClient = &http.Client{Timeout: 2 * time.Second}

// post sends a JSON body and decodes the answer into out, unless that is nil.
func post(address, path string, body, out any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	resp, err := shortClient.Post("http://"+address+path, "application/json", bytes.NewReader(data))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err = io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != 200 {
		return fmt.Errorf("%s: status %d", path, resp.StatusCode)
	}
	if out != nil {
		return json.Unmarshal(data, out)
	}
	return nil
}

func jsonText(v any) (string, error) {
	data, err := json.Marshal(v)
	return string(data), err
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// rig is a small deployment on loopback: the project's stand-in of the store, runners and entry VMs, each as a process.
type rig struct {
	dir     string // temporary
	root    string // of the repository
	begun   time.Time
	trouble bool
	store   string
	entries []*entryVM
	client  *http.Client

	mu       sync.Mutex
	procs    []*exec.Cmd
	stopping bool
	lines    []recordLine
	ports    []net.Listener
}

type entryVM struct {
	name, callers, ready, settings string
	cmd                            *exec.Cmd
}

type recordLine struct {
	at   time.Time
	text string
}

func newRig() (*rig, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "mangopass-review")
	if err != nil {
		return nil, err
	}
	g := &rig{
		dir: dir, root: root, begun: time.Now(), trouble: os.Getenv("TROUBLE") != "0",
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-signals
		g.stop()
		os.Exit(2)
	}()
	return g, nil
}

func (g *rig) note(format string, args ...any) { g.noteAt(time.Now(), format, args...) }

func (g *rig) noteAt(at time.Time, format string, args ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lines = append(g.lines, recordLine{at, fmt.Sprintf(format, args...)})
}

// writeRecord writes all notes in the order of time.
func (g *rig) writeRecord(path string) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	sort.SliceStable(g.lines, func(a, b int) bool { return g.lines[a].at.Before(g.lines[b].at) })
	var b strings.Builder
	for _, l := range g.lines {
		fmt.Fprintf(&b, "%9.3f  %s\n", l.at.Sub(g.begun).Seconds(), l.text)
	}
	return os.WriteFile(path, []byte(b.String()), 0o644)
}

// addresses returns n free loopback addresses.
func (g *rig) addresses(n int) ([]string, error) {
	var held []net.Listener
	defer func() {
		for _, l := range held {
			_ = l.Close()
		}
	}()
	var out []string
	for port := 21000 + os.Getpid()%50*220; len(out) < n && port < 32000; port++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil || g.used(l) {
			continue
		}
		held = append(held, l)
		out = append(out, l.Addr().String())
	}
	if len(out) < n {
		return nil, fmt.Errorf("no free ports")
	}
	return out, nil
}

var usedAddresses = map[string]bool{}

func (g *rig) used(l net.Listener) bool {
	a := l.Addr().String()
	if usedAddresses[a] {
		_ = l.Close()
		return true
	}
	usedAddresses[a] = true
	return false
}

// start starts a program of the repository's root with its output in a file of the temporary folder.
func (g *rig) start(name string, env []string, program string, args ...string) (*exec.Cmd, error) {
	out, err := os.OpenFile(filepath.Join(g.dir, name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(filepath.Join(g.root, program), args...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = g.root, out, out
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, env...)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopping {
		return nil, fmt.Errorf("the rig stops")
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	g.procs = append(g.procs, cmd)
	return cmd, nil
}

// stop kills all processes that the rig started, and removes the temporary folder.
func (g *rig) stop() {
	g.mu.Lock()
	g.stopping = true
	procs := g.procs
	g.mu.Unlock()
	for _, p := range procs {
		_ = p.Process.Kill() // an error if it has ended
	}
	for _, p := range procs {
		_, _ = p.Process.Wait() // an error if another goroutine has waited
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(g.dir)
	} else {
		fmt.Println("kept:", g.dir)
	}
}

func (g *rig) startStore() error {
	a, err := g.addresses(1)
	if err != nil {
		return err
	}
	g.store = a[0]
	if _, err := g.start("store", nil, "review/.bin/standin", "store", "--listen", g.store); err != nil {
		return err
	}
	return g.await("store", 10*time.Second, func() bool { return post(g.store, "/standin/faults", map[string]any{}, nil) == nil })
}

func (g *rig) await(what string, limit time.Duration, holds func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("%s: not so after %s", what, limit)
}

// startEntry starts an entry VM with settings like those of deploy/settings.json.tmpl.
func (g *rig) startEntry(name, zone string, zones map[string]string) error {
	a, err := g.addresses(6)
	if err != nil {
		return err
	}
	port := 0
	_, _ = fmt.Sscanf(a[4], "127.0.0.1:%d", &port)
	e := &entryVM{name: name, callers: a[0], ready: a[1], settings: filepath.Join(g.dir, name+".json")}
	settings := map[string]any{
		"id": name, "ip": "127.0.0.1", "zone": zone, "ports": []int{port, port + 1}, "store": g.store,
		"listen": map[string]string{"callers": e.callers, "ready": e.ready, "metrics": a[2]},
		"rules": map[string]any{
			"revoke_ms": 5000, "grace_s": 8, "lease_ms": 3000, "min_lease_ms": 1000, "retry_ratio": 0.2, "retry_extra": 56,
			"retry_window_s": 10, "quota_over": 0.1, "quota_slack": 72000, "quota_window_s": 8,
		},
		"zones": zones,
	}
	data, _ := json.Marshal(settings)
	if err := os.WriteFile(e.settings, data, 0o600); err != nil {
		return err
	}
	g.entries = append(g.entries, e)
	return g.boot(e)
}

func (g *rig) boot(e *entryVM) error {
	var err error
	e.cmd, err = g.start(e.name, []string{"MANGOPASS_BOOT=" + e.settings}, "target/mangopassd", "entry")
	return err
}

func (g *rig) isReady(e *entryVM) bool {
	resp, err := shortClient.Get("http://" + e.ready + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == 200
}

// supervise starts a runner and starts it again, under a new id, after each of its ends, until the rig stops.
func (g *rig) supervise(s runnerSpec, restartAfter time.Duration) error {
	name := s.ID
	launch := func(n int) (*exec.Cmd, error) {
		s.ID = fmt.Sprintf("%s-boot%d", name, n)
		spec, _ := json.Marshal(s)
		return g.start(name, nil, "review/.bin/rig", "runner", "--spec", string(spec))
	}
	cmd, err := launch(1)
	if err != nil {
		return err
	}
	go func() {
		for n := 2; ; n++ {
			_ = cmd.Wait()
			g.mu.Lock()
			stopping := g.stopping
			g.mu.Unlock()
			if stopping {
				return
			}
			time.Sleep(restartAfter)
			if cmd, err = launch(n); err != nil {
				return
			}
		}
	}()
	return nil
}

func (g *rig) putManifest(manifest any) error {
	value, err := json.Marshal(manifest)
	if err != nil {
		return err
	}
	return post(g.store, "/standin/put", map[string]any{"key": "op/config", "value": value}, nil)
}

type object = map[string]any

// answer is what a caller got.
type answer struct {
	id     string
	status int // zero: the connection ended without an answer
	body   string
	err    error // the answer is not whole
	sent   time.Time
	took   time.Duration
}

// send sends a request to an entry VM as a caller, and notes it.
func (g *rig) send(e *entryVM, method, target, id string, header map[string]string, body string, deadline time.Duration) answer {
	a := answer{id: id, sent: time.Now()}
	req, err := http.NewRequest(method, "http://"+e.callers+target, strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	if body == "" {
		req.Body = nil
	}
	req.Host = "coop.example"
	req.Header.Set("X-Mangopass-Request-Id", id)
	req.Header.Set("Api-Key", "key-of-the-cooperative")
	req.Header.Set("X-Mangopass-Deadline", fmt.Sprint(deadline.Milliseconds()))
	for k, v := range header {
		req.Header.Set(k, v)
	}
	client := &http.Client{Transport: g.client.Transport, Timeout: deadline + 500*time.Millisecond}
	resp, err := client.Do(req)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.status, a.body = resp.StatusCode, string(data)
	}
	a.err, a.took = err, time.Since(a.sent)
	return a
}

// runnerLog reads what the runners have recorded.
func (g *rig) runnerLog() ([]logLine, error) {
	data, err := os.ReadFile(filepath.Join(g.dir, "runs.jsonl"))
	if err != nil {
		return nil, err
	}
	var out []logLine
	for _, text := range strings.Split(strings.TrimSpace(string(data)), "\n") {
		var l logLine
		if json.Unmarshal([]byte(text), &l) == nil {
			out = append(out, l)
		}
	}
	return out, nil
}

func (g *rig) signal(e *entryVM, s syscall.Signal) { _ = e.cmd.Process.Signal(s) }

func main() {
	if len(os.Args) < 2 {
		os.Exit(2)
	}
	switch os.Args[1] {
	case "runner":
		os.Exit(runRunner(os.Args[2:]))
	case "store":
		os.Exit(runStore(os.Args[2:]))
	case "late-leaver":
		os.Exit(lateLeaver(os.Args[2:]))
	case "take-over":
		os.Exit(takeOver(os.Args[2:]))
	case "double-slash":
		os.Exit(doubleSlash(os.Args[2:]))
	case "crashing-request":
		os.Exit(crashingRequest(os.Args[2:]))
	}
	os.Exit(2)
}
