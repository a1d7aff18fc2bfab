// Command mangopassd is the server program. entry serves callers on an entry VM, check validates a settings file or a
// manifest, and settings lists the fields of a settings file.
//
// Exit codes: 0 after a planned stop that cut off no request, 1 if it could not serve or had to cut off requests, 2 on
// invalid settings or arguments. check: 0 if nothing is wrong, 1 if a manifest has warnings only, 2 on errors.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/mangopass/mangopass/duty"
	"github.com/mangopass/mangopass/node/entry"
	"github.com/mangopass/mangopass/node/logs"
	"github.com/mangopass/mangopass/node/manifestcheck"
	"github.com/mangopass/mangopass/node/settings"
)

// Exit codes other than 0.
const (
	exitFailed   = 1
	exitSettings = 2
	// exitWarnings is that of check for a manifest with warnings and without errors.
	exitWarnings = 1
)

// exitError is an error with the exit code that the process ends with.
type exitError struct {
	error
	code int
}

type settingsOption struct {
	Settings string `long:"settings" env:"MANGOPASS_BOOT" required:"true" description:"JSON settings file"`
}

type entryCommand struct{ settingsOption }

type checkCommand struct {
	Settings string `long:"settings" env:"MANGOPASS_BOOT" description:"JSON settings file"`
	Manifest string `long:"manifest" description:"JSON file of a manifest"`
	InForce  string `long:"in-force" description:"JSON file of the manifest in force, or IP:port of the metrics listener of a running VM, to compare with"`
	JSON     bool   `long:"json" description:"print JSON; for a manifest only"`
}

type settingsCommand struct{}

// Execute implements flags.Commander.
func (settingsCommand) Execute([]string) error {
	fmt.Print(settings.Table())
	return nil
}

// Execute implements flags.Commander.
func (c *entryCommand) Execute([]string) error {
	s, text, err := settings.Load(c.Settings)
	if err != nil {
		return exitError{err, exitSettings}
	}
	sink := logs.NewSink()
	// The log duty has a group of its own: it stops last, once the "stopped" line is written.
	logWriter := duty.NewGroup(context.Background())
	logWriter.Go("log", func(context.Context) { sink.Run(os.Stdout) })
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	cutRequests, err := entry.New(s, c.Settings, text, sink).Run(stop)
	sink.Logger().Info("stopped", "node", s.ID, "cut_requests", cutRequests, "dropped_log_lines", sink.Dropped())
	sink.Close()
	logWriter.Stop()
	if err != nil {
		return exitError{err, exitFailed}
	}
	if cutRequests > 0 {
		return exitError{errors.Newf("%d requests were cut off by the planned stop", cutRequests), exitFailed}
	}
	return nil
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	switch {
	case c.Manifest == "" && c.InForce != "":
		return exitError{errors.New("check: --in-force needs --manifest"), exitSettings}
	case c.Settings == "" && c.Manifest == "":
		return exitError{errors.New("check: --settings or --manifest is required"), exitSettings}
	}
	if c.Settings != "" {
		if err := checkSettings(c.Settings); err != nil {
			return exitError{err, exitSettings}
		}
	}
	if c.Manifest == "" {
		return nil
	}
	return c.checkManifest()
}

// checkSettings validates a settings file. It names fields that nobody reads, which are no error: the platform adds new ones.
func checkSettings(path string) error {
	_, text, err := settings.Load(path)
	if err != nil {
		return err
	}
	unknown, err := settings.Unknown([]byte(text))
	for _, field := range unknown {
		fmt.Fprintf(os.Stderr, "settings: warning: %s: is unknown and has no effect\n", field)
	}
	return err
}

func (c *checkCommand) checkManifest() error {
	report, err := manifestcheck.Check(c.Manifest, c.InForce)
	if err != nil {
		return exitError{err, exitSettings}
	}
	write := report.Write
	if c.JSON {
		write = report.WriteJSON
	}
	switch err := write(os.Stdout); {
	case err != nil:
		return exitError{err, exitSettings}
	case report.Errors > 0:
		return exitError{errors.Newf("%s: the manifest has errors", c.Manifest), exitSettings}
	case report.Warnings > 0:
		return exitError{errors.Newf("%s: the manifest has warnings", c.Manifest), exitWarnings}
	}
	return nil
}

func main() {
	duty.Survive(syscall.SIGHUP) // it may arrive while the process starts or stops
	parser := flags.NewParser(nil, flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range []struct {
		name, description string
		command           any
	}{
		{"entry", "serve callers on an entry VM", &entryCommand{}},
		{"check", "validate a settings file or a manifest", &checkCommand{}},
		{"settings", "list the fields of a settings file", &settingsCommand{}},
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
	if err == nil {
		return 0
	}
	if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
		fmt.Println(err)
		return 0
	}
	fmt.Fprintln(os.Stderr, err)
	var exitErr exitError
	if errors.As(err, &exitErr) {
		return exitErr.code
	}
	return exitSettings
}
