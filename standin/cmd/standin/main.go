// Command standin runs a stand-in of a part of the platform: the key-value store or a runner.
package main

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/mangopass/mangopass/duty"
	"github.com/mangopass/mangopass/standin/runner"
	"github.com/mangopass/mangopass/standin/store"
)

// heartbeat is the period in which a runner writes its entry to the store.
const heartbeat = 300 * time.Millisecond

type storeCommand struct {
	Listen string `long:"listen" required:"true" description:"IP:port to listen on"`
}

type runnerCommand struct {
	Store string `long:"store" required:"true" description:"IP:port of the store"`
	Spec  string `long:"spec" required:"true" description:"JSON of runner.Spec"`
}

// Execute implements flags.Commander.
func (c *storeCommand) Execute([]string) error {
	ctx, stop := untilSignal()
	defer stop()
	return store.Serve(ctx, c.Listen, store.NewHandler(store.New()))
}

// Execute implements flags.Commander.
func (c *runnerCommand) Execute([]string) error {
	var spec runner.Spec
	if err := json.Unmarshal([]byte(c.Spec), &spec); err != nil {
		return errors.Wrap(err, "--spec")
	}
	ctx, stop := untilSignal()
	defer stop()
	r := runner.New(spec)
	group := duty.NewGroup(ctx)
	group.Go("heartbeat", func(ctx context.Context) { r.Register(ctx, c.Store, heartbeat) })
	defer group.Stop()
	return store.Serve(ctx, spec.Address, r.Handler())
}

// untilSignal returns a context that ends at SIGTERM or SIGINT.
func untilSignal() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

func main() {
	parser := flags.NewParser(nil, flags.Default)
	for _, c := range []struct {
		name, description string
		command           any
	}{
		{"store", "run the stand-in store", &storeCommand{}},
		{"runner", "run a stand-in runner", &runnerCommand{}},
	} {
		if _, err := parser.AddCommand(c.name, c.description, c.description, c.command); err != nil {
			panic(err)
		}
	}
	if _, err := parser.Parse(); err != nil {
		os.Exit(1)
	}
}
