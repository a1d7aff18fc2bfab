// Command demo starts two entry VMs, three stand-in model engines and a stand-in plain service on loopback, sends them
// a few requests and prints how they were handled. It ends all processes that it started.
package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/mangopass/mangopass/duty"
	"github.com/mangopass/mangopass/standin/deploy"
	"github.com/mangopass/mangopass/standin/runner"
)

const (
	manifestWait = 2 * time.Second // for the entry VMs to apply a new manifest
)

func main() {
	var options struct {
		Binaries string `long:"binaries" default:"bin" description:"folder with mangopassd, mangopass and standin"`
	}
	if _, err := flags.Parse(&options); err != nil {
		os.Exit(2)
	}
	if err := run(options.Binaries); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func run(binaries string) error {
	dir, err := os.MkdirTemp("", "mangopass-demo")
	if err != nil {
		return errors.Wrap(err, "create temporary folder")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	engine := func(id string, models ...string) runner.Spec {
		return runner.Spec{
			ID: id, Service: "engines", Zone: "dc-a", Slots: 8, Models: models, Engine: true, WeightsMB: 70000,
			ModelMB: 30000, AdapterSlots: 2, LoadTime: 400 * time.Millisecond, TokenTime: 20 * time.Millisecond,
			Events: 5,
		}
	}
	d, err := deploy.Start(deploy.Spec{Binaries: binaries, Dir: dir, Entries: 2, Runners: []runner.Spec{
		engine("engine-0", "tulip"), engine("engine-1", "lily"), engine("engine-2", "tulip"),
		{ID: "desk-0", Service: "desk", Zone: "dc-a", Slots: 4, TokenTime: 5 * time.Millisecond},
	}})
	if d != nil {
		defer d.Stop()
	}
	if err != nil {
		return err
	}
	ctx := context.Background()
	if err := d.PutManifest(ctx, deploy.Manifest(1, 500, 1500, deploy.CallerKey)); err != nil {
		return err
	}
	if err := d.AwaitReady(); err != nil {
		return err
	}
	return runSteps(ctx, d, binaries, dir)
}

// runSteps runs the steps of the demo and prints their results.
func runSteps(ctx context.Context, d *deploy.Deployment, binaries, dir string) error {
	fmt.Println("1. A streamed answer from a model that no engine holds:")
	status, body, err := call(ctx, d.Entries[0].Callers, "/chat/x", "rose", "demo-1")
	if err != nil {
		return err
	}
	fmt.Printf("   status %d, %d events\n", status, strings.Count(body, "id: "))

	fmt.Println("2. An unsafe request whose runner breaks off without an answer runs once and is not repeated:")
	if err := d.SetFaults(ctx, d.Runners[3].Address, runner.Faults{Reset: 1}); err != nil {
		return err
	}
	if status, _, err = call(ctx, d.Entries[1].Callers, "/confirm/1", "", "demo-2"); err != nil {
		return err
	}
	record, err := d.Record(ctx, d.Runners[3].Address)
	if err != nil {
		return err
	}
	fmt.Printf("   status %d, %d run\n", status, len(record.Runs))

	fmt.Println("3. The organisation's limit counts over both entry VMs:")
	statuses := map[int]int{}
	for i := range 12 {
		if status, _, err = call(ctx, d.Entries[i%2].Callers, "/confirm/1", "", fmt.Sprint("demo-3-", i)); err != nil {
			return err
		}
		statuses[status]++
	}
	fmt.Printf("   statuses %v\n", statuses)

	fmt.Println("4. A withdrawn key is refused at both:")
	if err := d.PutManifest(ctx, deploy.Manifest(2, 500, 1500, "another-key")); err != nil {
		return err
	}
	duty.Pause(ctx, manifestWait)
	for _, e := range d.Entries {
		if status, _, err = call(ctx, e.Callers, "/confirm/1", "", "demo-4"); err != nil {
			return err
		}
		fmt.Printf("   %s: status %d\n", e.Name, status)
	}

	fmt.Println("5. The life of the first request, from the logs of both:")
	logs := filepath.Join(dir, "entries.log")
	if err := os.WriteFile(logs, []byte(d.Entries[0].Log()+d.Entries[1].Log()), 0o600); err != nil {
		return errors.Wrap(err, "write logs")
	}
	out, err := exec.Command(filepath.Join(binaries, "mangopass"), "explain", "demo-1", logs).CombinedOutput()
	fmt.Print(string(out))
	return errors.Wrap(err, "explain")
}

// call sends a request as a caller and returns the status and body of the answer.
func call(ctx context.Context, address, path, model, id string) (int, string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader("demo"))
	if err != nil {
		return 0, "", errors.Wrap(err, path)
	}
	req.Host = "coop.example"
	req.Header.Set("X-Mangopass-Request-Id", id)
	req.Header.Set("Api-Key", deploy.CallerKey)
	if model != "" {
		req.Header.Set("X-Mangopass-Model", model)
		req.Header.Set("X-Mangopass-Token-Count", "100,20")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", errors.Wrap(err, path)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), errors.Wrap(err, path)
}
