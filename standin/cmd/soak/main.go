// Command soak runs mangopass as separate processes on loopback, injects faults from outside them, and checks what callers
// and runners see. It prints the faults of each seed, and the promises that were broken.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/mangopass/mangopass/standin/soak"
)

type options struct {
	Binaries string        `long:"binaries" default:"bin" description:"folder with mangopassd and standin"`
	Seed     uint64        `long:"seed" default:"1" description:"first seed"`
	Seeds    uint64        `long:"seeds" default:"1" description:"number of seeds, counted up from the first"`
	Duration time.Duration `long:"duration" default:"20s" description:"time of the faults of each seed"`
	Entries  int           `long:"entries" default:"3" description:"number of entry VMs"`
	Engines  int           `long:"engines" default:"4" description:"number of model engines"`
	Callers  int           `long:"callers" default:"12" description:"number of callers"`
	Keep     string        `long:"keep" description:"folder for the timeline and the logs of each seed that broke a promise"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	broken, err := run(ctx, o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
	fmt.Printf("%d passed, %d failed\n", int(o.Seeds)-broken, broken)
	if broken > 0 {
		os.Exit(1)
	}
}

// run plays the seeds and returns how many of them broke a promise.
func run(ctx context.Context, o options) (broken int, err error) {
	for seed := o.Seed; seed < o.Seed+o.Seeds; seed++ {
		result, err := play(ctx, o, seed)
		if ctx.Err() != nil {
			return broken, errors.Wrapf(err, "seed %d", seed)
		}
		if err != nil { // a seed without a verdict has not passed; the others are played all the same
			fmt.Printf("seed %d: error of the soak: %v\n", seed, err)
			broken++
			continue
		}
		fmt.Printf("seed %d: %d faults, %s\n", seed, len(result.Faults), statuses(result))
		if len(result.Broken) == 0 {
			continue
		}
		broken++
		for _, f := range result.Faults {
			fmt.Println("   ", f)
		}
		for _, line := range result.Broken {
			fmt.Println("  BROKEN:", line)
		}
		fmt.Printf("  again: soak --seed %d --duration %v --entries %d --engines %d --callers %d\n", seed, o.Duration,
			o.Entries, o.Engines, o.Callers)
		if err := keep(o, result); err != nil {
			return broken, err
		}
	}
	return broken, nil
}

// play plays one seed with a temporary folder for the settings.
func play(ctx context.Context, o options, seed uint64) (soak.Result, error) {
	dir, err := os.MkdirTemp("", "mangopass-soak")
	if err != nil {
		return soak.Result{}, errors.Wrap(err, "create temporary folder")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	return soak.Run(ctx, soak.Spec{
		Binaries: o.Binaries, Dir: dir, Seed: seed, Duration: o.Duration, Entries: o.Entries, Engines: o.Engines,
		Callers: o.Callers,
	})
}

// statuses returns the number of requests by route and status; status 0 means that no answer came.
func statuses(r soak.Result) string {
	var parts []string
	for _, key := range slices.Sorted(maps.Keys(r.Statuses)) {
		parts = append(parts, fmt.Sprintf("%s: %d", key, r.Statuses[key]))
	}
	return strings.Join(parts, ", ")
}

// keep writes the timeline, the broken promises and the logs of a seed.
func keep(o options, r soak.Result) error {
	if o.Keep == "" {
		return nil
	}
	dir := filepath.Join(o.Keep, fmt.Sprint("seed-", r.Seed))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "keep logs")
	}
	timeline, err := json.MarshalIndent(map[string]any{"faults": r.Faults, "broken": r.Broken}, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode timeline")
	}
	files := map[string]string{"timeline.json": string(timeline)}
	for name, log := range r.Logs {
		files[name+".log"] = log
	}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			return errors.Wrap(err, "keep logs")
		}
	}
	return nil
}
