// Package processtest holds the tests that start the real binaries as separate processes on loopback.
package processtest

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/node/confstore"
	"github.com/mangopass/mangopass/platform"
	"github.com/mangopass/mangopass/standin/deploy"
)

const callerKey = "key-of-the-cooperative"

var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "mangopass-processtest")
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

func testConfig() *contract.Config {
	c := contract.NewConfig(1)
	c.Organisations["coop"] = contract.Organisation{ID: "coop", Limit: contract.Limit{TokensPerSecond: 10000, BurstTokens: 20000}}
	hash := contract.HashKey(callerKey)
	c.Keys[hash] = contract.Key{ID: "k1", Hash: hash, Organisation: "coop"}
	c.Models["tulip"] = contract.Model{ID: "tulip", Bytes: 100_000_000}
	artifact := contract.Artifact{Model: "tulip", Adapter: "catalogue"}
	c.Adapters[artifact] = contract.Adapter{ID: "catalogue", Model: "tulip", Bytes: 1_000_000}
	c.Plan = []contract.Placement{
		{Artifact: artifact.Base(), DataCentre: "dc-a", Replicas: 1}, {Artifact: artifact, DataCentre: "dc-a", Replicas: 1},
	}
	c.Routes["assistant"] = contract.Route{Name: "assistant", Class: contract.Question, Idempotent: true, Artifact: artifact,
		Organisations: []contract.OrganisationID{"coop"}, Deadline: 10 * time.Second}
	c.Routes["stock"] = contract.Route{Name: "stock", Class: contract.Check, Idempotent: true, Service: "stock",
		Organisations: []contract.OrganisationID{"coop"}, Deadline: 5 * time.Second}
	return c
}

func start(t *testing.T) *deploy.Deployment {
	t.Helper()
	d, err := deploy.Start(t.Context(), deploy.Spec{
		Binaries: binaries, Dir: t.TempDir(), DataCentres: []string{"dc-a", "dc-b"}, Entries: 2,
		Engines:  []deploy.EngineSpec{{MemoryBytes: 1_000_000_000, Slots: 8}, {MemoryBytes: 1_000_000_000, Slots: 8}},
		Services: []deploy.ServiceSpec{{ID: "stock", Slots: 8}},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		d.Stop()
		if t.Failed() {
			for _, id := range []string{"entry-0", "entry-1", "agent-0", "agent-1", "agent-2"} {
				t.Logf("%s:\n%s", id, d.Log(id))
			}
		}
	})
	if _, o := confstore.Commit(t.Context(), platform.NewClient(d.Store), confstore.Head{}, "test", testConfig()); o != platform.Applied {
		t.Fatalf("commit of the configuration: %v", o)
	}
	return d
}

// call posts to an entry VM until the answer has another status than 503 and 401, which new processes give until the
// configuration and the first heartbeats have arrived.
func call(t *testing.T, url, key, body string) (int, http.Header, string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
	defer cancel()
	for {
		status, header, answer := callOnce(t, ctx, url, key, body)
		if status != http.StatusServiceUnavailable && status != http.StatusUnauthorized {
			return status, header, answer
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func callOnce(t *testing.T, ctx context.Context, url, key, body string) (int, http.Header, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, resp.Header, string(answer)
}

// Guards against a break anywhere on the path from a caller through entry VM and agent to an engine or plain service.
func TestPathFromCallerToTargetAndBack(t *testing.T) {
	d := start(t)
	chat := "http://" + d.Entries[0] + "/v1/chat/completions"

	status, header, answer := call(t, chat, callerKey, `{"model":"assistant","stream":true,"max_tokens":5,"messages":[]}`)
	if status != http.StatusOK || !strings.HasSuffix(answer, "data: [DONE]\n\n") || strings.Count(answer, "data: ") != 6 {
		t.Errorf("streamed answer: status %d, %q", status, answer)
	}
	if header.Get("X-Request-Id") == "" || header.Get("X-Mangopass-Run") != "ran" {
		t.Errorf("streamed answer: headers %v", header)
	}

	status, _, answer = call(t, "http://"+d.Entries[1]+"/v1/chat/completions", callerKey, `{"model":"assistant","max_tokens":3,"messages":[]}`)
	if status != http.StatusOK || !json.Valid([]byte(answer)) || !strings.Contains(answer, "word2") {
		t.Errorf("plain answer: status %d, %q", status, answer)
	}

	status, _, answer = call(t, "http://"+d.Entries[0]+"/v1/services/stock/lots/17", callerKey, `{}`)
	if status != http.StatusOK || answer != `{"call":1}` {
		t.Errorf("plain service: status %d, %q", status, answer)
	}

	status, header, answer = callOnce(t, t.Context(), chat, "another-key", `{"model":"assistant","messages":[]}`)
	if status != http.StatusUnauthorized || header.Get("X-Mangopass-Run") != "not-run" || !strings.Contains(answer, "invalid_key") {
		t.Errorf("wrong key: status %d, headers %v, %q", status, header, answer)
	}
	for _, engine := range d.Engines {
		var counts struct {
			SawKey int `json:"saw_key"`
		}
		if err := deploy.GetJSON("http://"+engine+"/counts", &counts); err != nil || counts.SawKey != 0 {
			t.Errorf("engine %s saw %d keys (%v)", engine, counts.SawKey, err)
		}
	}
}
