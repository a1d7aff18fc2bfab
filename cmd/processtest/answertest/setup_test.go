// Package answertest tests that broken answers of runners don't reach callers as answers. Its tests start the real binaries on
// loopback, with runners that write their answers byte by byte.
package answertest

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/mangopass/mangopass/standin/deploy"
)

// ownHeaders are the lines by which a runner's answer says to which request it belongs. ID stands for that of the request.
const ownHeaders = "X-Mangopass-Request-Id: ID\r\nX-Mangopass-Response-Seal: s\r\n"

// okHead is the head of a sound answer without its last line.
const okHead = "HTTP/1.1 200 OK\r\n" + ownHeaders

// maxBodyBytes is the size of the largest request: more than the buffers of a connection hold that the other side does not read.
const maxBodyBytes = 16 << 20

// tokensPerSecond admits all chats of a test, each of which may have maxBodyBytes.
const tokensPerSecond = 100_000_000

var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "mangopass-answertest")
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

// entry is an entry VM.
type entry struct{ *deploy.Entry }

// start starts an entry VM without runners and waits until it is ready.
func start(t *testing.T) (*deploy.Deployment, entry) {
	t.Helper()
	d, err := deploy.Start(deploy.Spec{Binaries: binaries, Dir: t.TempDir(), Entries: 1})
	t.Cleanup(func() {
		d.Stop()
		if t.Failed() && len(d.Entries) > 0 {
			lines := strings.Split(d.Entries[0].Log(), "\n")
			t.Logf("%s", strings.Join(lines[max(0, len(lines)-20):], "\n"))
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	manifest := deploy.Manifest(1, tokensPerSecond, 2*tokensPerSecond, deploy.CallerKey).(map[string]any)
	manifest["limits"].(map[string]any)["body_bytes"] = maxBodyBytes
	if err := d.PutManifest(t.Context(), manifest); err != nil {
		t.Fatal(err)
	}
	if err := d.AwaitReady(); err != nil {
		t.Fatal(err)
	}
	return d, entry{d.Entries[0]}
}

// startRunner announces a runner of a service that gets the head of each request and writes what it wants. The connection is closed
// when answer returns.
func startRunner(t *testing.T, d *deploy.Deployment, name, service string, answer func(conn *net.TCPConn, r *http.Request)) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					answer(conn.(*net.TCPConn), r)
				}
			}()
		}
	}()
	value, err := json.Marshal(map[string]any{
		"service": service, "address": l.Addr().String(), "zone": "dc-a", "version": "v1", "slots": 64, "state": "ready",
		"cold_left_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(), "stage": "mixed",
		"models":  []any{map[string]any{"name": "lily", "version": 1, "adapters": []string{}}},
		"at_hand": map[string]any{"in_memory": []string{}, "on_disk": []string{}},
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := d.Put(t.Context(), "servers/"+name, value); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second) // until the VM knows the runner
}

// response is what a caller got; err says why it is not complete.
type response struct {
	status int
	header http.Header
	body   string
	err    error
}

// String returns the response for error messages.
func (r response) String() string {
	return fmt.Sprintf("status %d, %q, error %v", r.status, r.body[:min(len(r.body), 100)], r.err)
}

// post sends a request on a route, with further lines in its head, to the platform's front end of a VM or to its API.
func (e entry) post(t *testing.T, route string, api bool, body string, lines ...string) response {
	t.Helper()
	id := newID()
	if api {
		return send(t, e.API, "/v1/services/"+route+"/"+id, id, body, lines)
	}
	return send(t, e.Callers, "/"+route+"/"+id, id, body, lines)
}

// chat sends a chat for which an engine gets the text to the API of a VM.
func (e entry) chat(t *testing.T, text string) response {
	t.Helper()
	return send(t, e.API, "/v1/chat/completions", newID(), `{"model":"draft/lily","stream":true,"x":"`+text+`"}`, nil)
}

// newID returns the ID of a request.
func newID() string { return fmt.Sprint("q", time.Now().UnixNano()) }

// send sends a request with further lines in its head and reads the response.
func send(t *testing.T, address, path, id, body string, lines []string) response {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	head := append([]string{
		"POST " + path + " HTTP/1.1", "Host: coop.example", "Api-Key: " + deploy.CallerKey,
		"Authorization: Bearer " + deploy.CallerKey, "X-Mangopass-Request-Id: " + id, "X-Mangopass-Deadline: 8000",
		fmt.Sprint("Content-Length: ", len(body)),
	}, lines...)
	if _, err := io.WriteString(conn, strings.Join(head, "\r\n")+"\r\n\r\n"+body); err != nil {
		return response{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return response{err: err}
	}
	text, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(text), err: err}
}
