// Command standin runs one stand-in of the platform or of what stands behind the agents: store, engine, service or
// weights.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/mangopass/mangopass/standin/engine"
	"github.com/mangopass/mangopass/standin/service"
	"github.com/mangopass/mangopass/standin/store"
	"github.com/mangopass/mangopass/standin/weights"
)

type listen struct {
	Listen string `long:"listen" required:"true" description:"IP:port"`
}

type storeCommand struct{ listen }

type serviceCommand struct{ listen }

type weightsCommand struct {
	listen
	LoadsPerSecond float64 `long:"loads-per-second" default:"7"`
	FullSpeed      int     `long:"full-speed" default:"4" description:"loads at once at full speed"`
	BytesPerMs     float64 `long:"bytes-per-ms" default:"1000000"`
}

type engineCommand struct {
	listen
	MemoryBytes   int64         `long:"memory-bytes" default:"1000000000"`
	Slots         int           `long:"slots" default:"8"`
	TokenTime     time.Duration `long:"token-time" default:"5ms"`
	PrefillTime   time.Duration `long:"prefill-time" default:"20ms"`
	AdapterTime   time.Duration `long:"adapter-time" default:"10ms"`
	ReportLag     time.Duration `long:"report-lag" default:"500ms"`
	IgnoreFences  bool          `long:"ignore-fences"`
	WeightStore   string        `long:"weight-store" description:"IP:port"`
	CrashOnMarker string        `long:"crash-on-marker" description:"text in a request that ends the process"`
}

// Execute implements flags.Commander.
func (c *storeCommand) Execute([]string) error {
	return serve(c.Listen, store.NewHandler(store.New(time.Now)))
}

// Execute implements flags.Commander.
func (c *serviceCommand) Execute([]string) error { return serve(c.Listen, service.NewHandler()) }

// Execute implements flags.Commander.
func (c *weightsCommand) Execute([]string) error {
	return serve(c.Listen, weights.New(weights.Limits{
		LoadsPerSecond: c.LoadsPerSecond, FullSpeed: c.FullSpeed, BytesPerMs: c.BytesPerMs,
	}))
}

// Execute implements flags.Commander.
func (c *engineCommand) Execute([]string) error {
	return serve(c.Listen, engine.NewHandler(engine.Settings{
		MemoryBytes: c.MemoryBytes, Slots: c.Slots, TokenTime: c.TokenTime, PrefillTime: c.PrefillTime,
		ObeysFences: !c.IgnoreFences, WeightStore: c.WeightStore, AdapterTime: c.AdapterTime, ReportLag: c.ReportLag,
		CrashOnMarker: c.CrashOnMarker,
	}))
}

// serve answers on loopback until SIGTERM or SIGINT.
func serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	server := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.Serve(l); err != http.ErrServerClosed {
		return err
	}
	return nil
}

func main() {
	parser := flags.NewParser(nil, flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range []struct {
		name, what string
		command    any
	}{
		{"store", "the platform's key-value service and VM list", &storeCommand{}},
		{"engine", "a model engine", &engineCommand{}},
		{"service", "a plain service", &serviceCommand{}},
		{"weights", "the weight store", &weightsCommand{}},
	} {
		if _, err := parser.AddCommand(c.name, c.what, c.what, c.command); err != nil {
			panic(err)
		}
	}
	if _, err := parser.Parse(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}
