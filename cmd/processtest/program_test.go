package processtest

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestAPI guards mangopass's own HTTP API: it takes the same decisions as the platform's front end for chat, plain
// services and the list of models, and answers refusals with its own error codes.
func TestAPI(t *testing.T) {
	d := start(t)
	send := func(method, path, key, body string) (int, string) {
		req, err := http.NewRequestWithContext(
			t.Context(), method, "http://"+d.Entries[0].API+path, strings.NewReader(body),
		)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Content-Type", "application/json")
		req.Header.Set("Authorization", "Bearer "+key)
		resp, err := client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = resp.Body.Close() }()
		data, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatal(err)
		}
		return resp.StatusCode, string(data)
	}
	status, body := send(
		"POST", "/v1/chat/completions", callerKey, `{"model":"chat/tulip","stream":true,"max_tokens":20,"x":1}`,
	)
	if status != http.StatusOK {
		t.Fatalf("chat: %d %s", status, body)
	}
	wantEvents(t, body, 12)
	status, body = send("POST", "/v1/services/confirm/orders/1", callerKey, "{}")
	if status != http.StatusOK || !strings.Contains(body, "answers") {
		t.Errorf("invoke: %d %s", status, body)
	}
	status, body = send("GET", "/v1/models", callerKey, "")
	if status != http.StatusOK || !strings.Contains(body, `"chat"`) {
		t.Errorf("models: %d %s", status, body)
	}
	for _, c := range []struct {
		path, key, body, code string
		want                  int
	}{
		{"/v1/chat/completions", "other", `{"model":"chat/tulip"}`, "invalid_key", http.StatusUnauthorized},
		{"/v1/chat/completions", callerKey, `{"model":"tulip"}`, "invalid_request", http.StatusBadRequest},
		{"/v1/chat/completions", callerKey, `{"model":"none/tulip"}`, "route_not_found", http.StatusNotFound},
	} {
		if status, body := send("POST", c.path, c.key, c.body); status != c.want || !strings.Contains(body, c.code) {
			t.Errorf("%s: %d %s", c.body, status, body)
		}
	}
}

// TestCommands guards the output and exit codes of the operators' command: the status of a VM, and the explanation of a
// request from the logs.
func TestCommands(t *testing.T) {
	d := start(t)
	_ = call(t, t.Context(), d.Entries[0].Callers, request{
		method: "POST", path: "/draft/x", model: "rose", id: "story", deadlineMs: 8000,
	})
	time.Sleep(100 * time.Millisecond) // until the log lines are written
	logs := filepath.Join(t.TempDir(), "log")
	if err := os.WriteFile(logs, []byte(d.Entries[0].Log()+d.Entries[1].Log()), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"status", d.Entries[0].Metrics}, 0, "manifest 1"},
		{[]string{"status", "--json", d.Entries[0].Metrics}, 0, `"planner"`},
		{[]string{"explain", "story", logs}, 0, "Served by runner"},
		{[]string{"explain", "none", logs}, 1, "no log line"},
		{[]string{"explain"}, 2, "REQUEST_ID"},
		{[]string{"status", "127.0.0.1:1"}, 1, "status"},
	} {
		out, code := runMangopass(c.args...)
		if code != c.code || !strings.Contains(out, c.want) {
			t.Errorf("%v: exit code %d, output %s", c.args, code, out)
		}
	}
}

// TestReload guards against a SIGHUP that ends the process, and against an invalid settings file that replaces valid
// settings.
func TestReload(t *testing.T) {
	d := start(t)
	e := d.Entries[0]
	good, err := os.ReadFile(e.Settings)
	if err != nil {
		t.Fatal(err)
	}
	for i, text := range []string{
		strings.Replace(string(good), `"revoke_ms": 5000`, `"revoke_ms": 4000`, 1), `{"id":""}`, string(good),
	} {
		if err := os.WriteFile(e.Settings, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		e.Signal(syscall.SIGHUP)
		time.Sleep(300 * time.Millisecond)
		got := call(t, t.Context(), e.Callers, request{
			method: "GET", path: "/stock/1", id: fmt.Sprint("hup", i), deadlineMs: 1500,
		})
		if got.status != http.StatusOK {
			t.Errorf("settings %d: got %+v", i, got)
		}
	}
	log := e.Log()
	if strings.Count(log, "settings reloaded") != 2 || strings.Count(log, "settings rejected") != 1 {
		t.Errorf("log:\n%s", tail(log, 30))
	}
}

// TestMalformedSettings guards the check of the settings: every invalid field is named, and the exit code is 2.
func TestMalformedSettings(t *testing.T) {
	out, code := runCheck(t, `{"id":"x","ip":"127.0.0.1","zone":"nowhere","ports":[1],"store":"s","listen":{}}`)
	if code != 2 {
		t.Errorf("exit code %d", code)
	}
	for _, field := range []string{"zone", "ports", "store", "listen.callers"} {
		if !strings.Contains(out, "settings: "+field) {
			t.Errorf("%q does not name %s", out, field)
		}
	}
}

// TestMetricsDocumented guards against metrics that an entry VM serves and docs/OPERATIONS.md does not name, and
// against names there that no entry VM serves.
func TestMetricsDocumented(t *testing.T) {
	d := start(t)
	call(t, t.Context(), d.Entries[0].Callers, request{
		method: "POST", path: "/draft/x", model: "rose", id: "metrics", deadlineMs: 8000,
	})
	call(t, t.Context(), d.Entries[0].Callers, request{method: "GET", path: "/none", id: "refused", deadlineMs: 8000})
	time.Sleep(1200 * time.Millisecond) // until the gauges are set
	var text strings.Builder
	// The VMs share the shards, and only one of them got the requests, so one of them may lack metrics of leaders or
	// metrics of requests.
	for _, e := range d.Entries {
		resp, err := client.Get("http://" + e.Metrics + "/metrics")
		if err != nil {
			t.Fatal(err)
		}
		_, err = io.Copy(&text, resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
	}
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	served := firstGroups(text.String(), `(?m)^# TYPE (mangopass_\w+)`)
	named := firstGroups(string(page), "(?m)`(mangopass_\\w+)")
	for name := range served {
		if !named[name] {
			t.Errorf("%s is served but not in docs/OPERATIONS.md", name)
		}
	}
	for name := range named {
		if !served[name] {
			t.Errorf("%s is in docs/OPERATIONS.md but not served", name)
		}
	}
}

// firstGroups returns the set of the first groups of all matches of a pattern.
func firstGroups(text, pattern string) map[string]bool {
	out := map[string]bool{}
	for _, m := range regexp.MustCompile(pattern).FindAllStringSubmatch(text, -1) {
		out[m[1]] = true
	}
	return out
}

// TestPortInUseEndsProcess guards against an entry VM that can't listen for callers and stays there all the same: ready for
// the platform, with a lease and reports, but without serving anybody.
func TestPortInUseEndsProcess(t *testing.T) {
	d := start(t)
	e := d.Entries[0]
	e.Signal(syscall.SIGKILL)
	if _, err := e.Wait(5 * time.Second); err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", e.Callers)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	if err := d.Restart(e); err != nil {
		t.Fatal(err)
	}
	code, err := e.Wait(5 * time.Second)
	if err != nil || code == 0 {
		t.Errorf("exit code %d, error %v; want a failure within 5 s", code, err)
	}
	if !strings.Contains(e.Log(), "listen for callers") {
		t.Errorf("the log does not name the listener:\n%s", tail(e.Log(), 5))
	}
}
