// Command mangopass is the operators' command. status shows the state of an entry VM, explain shows what happened to a
// request from the logs of the entry VMs.
//
// Exit codes: 0 on success, 1 if the VM does not answer or the request is not in the logs, 2 on invalid arguments.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/mangopass/mangopass/node/entry"
	"github.com/mangopass/mangopass/node/explain"
)

// Exit codes other than 0.
const (
	exitFailed    = 1
	exitArguments = 2
)

const statusTimeout = 5 * time.Second

// minShownAnswers is the decayed number of answers from which on the pace of a runner is shown.
const minShownAnswers = 1

type statusCommand struct {
	JSON       bool `long:"json" description:"print JSON"`
	Positional struct {
		Address string `positional-arg-name:"ADDRESS" description:"IP:port of the VM's metrics listener"`
	} `positional-args:"yes" required:"yes"`
}

type explainCommand struct {
	JSON       bool `long:"json" description:"print JSON"`
	Positional struct {
		Request string   `positional-arg-name:"REQUEST_ID"`
		Files   []string `positional-arg-name:"FILE" description:"log files of the entry VMs; default: standard input"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	client := &http.Client{Timeout: statusTimeout}
	resp, err := client.Get("http://" + c.Positional.Address + "/status")
	if err != nil {
		return errors.Wrap(err, "status")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("status: %s answered with status %d", c.Positional.Address, resp.StatusCode)
	}
	var s entry.Status
	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		return errors.Wrap(err, "status")
	}
	if c.JSON {
		return printJSON(s)
	}
	fmt.Printf(
		"%s: ready %v, stopping %v, manifest %d (proved %d ms ago), planner %s, %d requests waiting, shards %v\n",
		s.Node, s.Ready, s.Stopping, s.Manifest, s.ManifestAgeMs, s.Planner, s.Waiting, s.Shards)
	for _, q := range s.Quotas {
		fmt.Printf("quota of %s: %d requests waiting, %d bookings of %.0f in all, %.0f kept for them\n",
			q.Organisation, q.Waiting, q.Bookings, q.Booked, q.Kept)
	}
	for _, z := range s.Evacuated {
		fmt.Printf("zone %s: evacuated\n", z)
	}
	for _, p := range s.Peers {
		fmt.Printf("peer %s: heard %d ms ago, stopping %v\n", p.Node, p.HeardMs, p.Stopping)
	}
	for _, o := range s.Overflow {
		fmt.Printf("overflow of %s: share %.2f, to %v, waits in ms %v, silent zones %v\n",
			o.Service, o.Share, o.To, o.WaitMs, o.Silent)
	}
	for _, o := range s.Shares {
		fmt.Printf("service %s: saturated for %d ms\n", o.Service, o.SinceMs)
		for _, organisation := range o.Organisations {
			fmt.Printf("share of %q in %s: asks for %.2f s of target time a second, gets %.2f, share %.2f\n",
				organisation.Organisation, o.Service, organisation.Asked, organisation.Given, organisation.Share)
		}
	}
	for _, r := range s.Runners {
		fmt.Printf("runner %s (%s, %s): usable %v, avoided %v, cold for %d ms, %d ms queued, models %v\n",
			r.ID, r.Service, r.Zone, r.Usable, r.Ejected, r.ColdMs, r.QueuedMs, r.Models)
	}
	for _, m := range s.Replicas {
		fmt.Printf("model %s (%s): %d replicas needed, %d present (%d loading), load %.1f, %.1f/s late, %d waiting\n",
			m.Model, m.Service, m.Needed, m.Present, m.Loading, m.Load, m.LatePerSecond, m.Waiting)
	}
	for _, r := range s.Runners {
		if r.Answers >= minShownAnswers {
			fmt.Printf("pace of runner %s: %.2f times the usual time, by %.0f answers\n", r.ID, r.Slowness, r.Answers)
		}
	}
	return nil
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	lines, err := readLogs(c.Positional.Files)
	if err != nil {
		return err
	}
	timeline, err := explain.BuildTimeline(lines, c.Positional.Request)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(timeline)
	}
	return timeline.Write(os.Stdout)
}

func readLogs(files []string) ([]explain.Line, error) {
	if len(files) == 0 {
		return explain.Read(os.Stdin)
	}
	var lines []explain.Line
	for _, name := range files {
		fileLines, err := readLog(name)
		if err != nil {
			return nil, err
		}
		lines = append(lines, fileLines...)
	}
	return lines, nil
}

func readLog(name string) ([]explain.Line, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	defer func() { _ = f.Close() }()
	lines, err := explain.Read(io.Reader(f))
	return lines, errors.Wrap(err, name)
}

func printJSON(v any) error {
	out := json.NewEncoder(os.Stdout)
	out.SetIndent("", "  ")
	return errors.Wrap(out.Encode(v), "write")
}

func main() {
	parser := flags.NewParser(nil, flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range []struct {
		name, description string
		command           any
	}{
		{"status", "show the state of an entry VM", &statusCommand{}},
		{"explain", "show what happened to a request, from logs", &explainCommand{}},
	} {
		if _, err := parser.AddCommand(c.name, c.description, c.description, c.command); err != nil {
			panic(err)
		}
	}
	_, err := parser.Parse()
	os.Exit(exitCode(err))
}

func exitCode(err error) int {
	var flagsErr *flags.Error
	switch {
	case err == nil:
		return 0
	case !errors.As(err, &flagsErr):
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	case flagsErr.Type == flags.ErrHelp:
		fmt.Println(err)
		return 0
	}
	fmt.Fprintln(os.Stderr, err)
	return exitArguments
}
