// Package manifesttest tests what entry VMs do with odd manifests. Its tests start the real binaries on loopback.
package manifesttest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/mangopass/mangopass/standin/deploy"
	"github.com/mangopass/mangopass/standin/runner"
)

const (
	// staying is a key that all manifests list, removed one that the odd ones take away.
	staying, removed = "key-that-stays", "key-that-goes"
	// revokeTime is the time in which a removed key must stop working, as the settings of the deployment have it.
	revokeTime = 5 * time.Second
	// tokensPerSecond is a rate that no test reaches.
	tokensPerSecond = 1_000_000
)

var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "mangopass-manifesttest")
	if err != nil {
		panic(err)
	}
	binaries = dir
	for _, program := range []string{"cmd/mangopassd", "standin/cmd/standin"} {
		build := exec.Command("go", "build", "-o", dir, "github.com/mangopass/mangopass/"+program)
		if out, err := build.CombinedOutput(); err != nil {
			panic(string(out))
		}
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// system is a deployment of two entry VMs and a plain service, with the version of the last manifest.
type system struct {
	*deploy.Deployment
	t       *testing.T
	version int
}

func start(t *testing.T) *system {
	t.Helper()
	d, err := deploy.Start(deploy.Spec{Binaries: binaries, Dir: t.TempDir(), Entries: 2, Runners: []runner.Spec{
		{ID: "desk-0", Service: "desk", Zone: "dc-a", Slots: 6, TokenTime: 10 * time.Millisecond},
	}})
	t.Cleanup(func() {
		d.Stop()
		if t.Failed() {
			for _, e := range d.Entries {
				lines := strings.Split(e.Log(), "\n")
				t.Logf("%s:\n%s", e.Name, strings.Join(lines[max(0, len(lines)-30):], "\n"))
			}
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	s := &system{Deployment: d, t: t}
	s.write(s.manifest(staying, removed))
	if err := d.AwaitReady(); err != nil {
		t.Fatal(err)
	}
	return s
}

// manifest returns the text of a sound manifest of the next version with the given keys.
func (s *system) manifest(keys ...string) string {
	s.t.Helper()
	s.version++
	text, err := json.Marshal(deploy.Manifest(s.version, tokensPerSecond, 2*tokensPerSecond, keys...))
	if err != nil {
		s.t.Fatal(err)
	}
	return string(text)
}

func (s *system) write(manifest string) {
	s.t.Helper()
	if err := s.Put(s.t.Context(), "op/config", []byte(manifest)); err != nil {
		s.t.Fatal(err)
	}
}

// get sends a request on a route to an entry VM and returns the status of the answer; 0: there was none.
func (s *system) get(e *deploy.Entry, route, key string) int {
	s.t.Helper()
	req, err := http.NewRequestWithContext(s.t.Context(), http.MethodGet, "http://"+e.Callers+"/"+route+"/x", nil)
	if err != nil {
		s.t.Fatal(err)
	}
	req.Host = "coop.example"
	req.Header.Set("X-Mangopass-Request-Id", fmt.Sprint("q", time.Now().UnixNano()))
	req.Header.Set("X-Mangopass-Deadline", "2000")
	if key != "" {
		req.Header.Set("Api-Key", key)
	}
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// await waits until requests get a status from an entry VM, and returns the last status.
func (s *system) await(e *deploy.Entry, route, key string, status int, timeout time.Duration) (got int) {
	s.t.Helper()
	for deadline := time.Now().Add(timeout); ; time.Sleep(50 * time.Millisecond) {
		if got = s.get(e, route, key); got == status || time.Now().After(deadline) {
			return got
		}
	}
}
