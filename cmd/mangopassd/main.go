// Command mangopassd runs one process of mangopass: entry on an entry VM, agent beside a target. check validates a
// settings file.
//
// Exit codes: 0 after a planned stop that cut no request, 1 if it could not serve or had to cut requests, 2 on faulty
// settings or arguments.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/mangopass/mangopass/node/agent"
	"github.com/mangopass/mangopass/node/entry"
	"github.com/mangopass/mangopass/node/settings"
	"github.com/mangopass/mangopass/platform"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

// exitError is an error with the exit code that it causes.
type exitError struct {
	error
	code int
}

type settingsOption struct {
	Settings string `long:"settings" required:"true" description:"JSON settings file"`
}

type entryCommand struct{ settingsOption }

type agentCommand struct{ settingsOption }

type checkCommand struct {
	settingsOption
	Role string `long:"role" required:"true" choice:"entry" choice:"agent"`
}

// Execute implements flags.Commander.
func (c *entryCommand) Execute([]string) error {
	s, err := settings.LoadEntry(c.Settings)
	if err != nil {
		return exitError{err, exitSettings}
	}
	log := logger("entry", s.ID)
	stop, abort := signals()
	cut, err := entry.New(s, platform.NewClient(s.Platform), log).Run(stop, abort)
	if err != nil {
		return exitError{err, exitFailed}
	}
	if len(cut) > 0 {
		log.Error("stopped with open requests", "cut_requests", cut)
		return exitError{errors.Newf("%d requests were cut", len(cut)), exitFailed}
	}
	log.Info("stopped")
	return nil
}

// Execute implements flags.Commander.
func (c *agentCommand) Execute([]string) error {
	s, err := settings.LoadAgent(c.Settings)
	if err != nil {
		return exitError{err, exitSettings}
	}
	log := logger("agent", s.ID)
	stop, abort := signals()
	drained, err := agent.New(s, platform.NewClient(s.Platform), log).Run(stop, abort)
	if err != nil {
		return exitError{err, exitFailed}
	}
	if !drained {
		log.Error("stopped with open requests")
		return exitError{errors.New("requests were cut"), exitFailed}
	}
	log.Info("stopped")
	return nil
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	var err error
	if c.Role == "entry" {
		_, err = settings.LoadEntry(c.Settings)
	} else {
		_, err = settings.LoadAgent(c.Settings)
	}
	if err != nil {
		return exitError{err, exitSettings}
	}
	return nil
}

// signals returns contexts that end on the first and the second SIGTERM or SIGINT.
func signals() (stop, abort context.Context) {
	stop, first := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	abort, cancel := context.WithCancel(context.Background())
	context.AfterFunc(stop, func() {
		first()
		again, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
		context.AfterFunc(again, cancel)
	})
	return stop, abort
}

func logger(role, id string) *slog.Logger {
	log := slog.New(slog.NewJSONHandler(os.Stderr, nil)).With("role", role, "id", id)
	slog.SetDefault(log)
	return log
}

func main() {
	parser := flags.NewParser(nil, flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range []struct {
		name, what string
		command    any
	}{
		{"entry", "serve callers on an entry VM", &entryCommand{}},
		{"agent", "serve one target", &agentCommand{}},
		{"check", "validate a settings file", &checkCommand{}},
	} {
		if _, err := parser.AddCommand(c.name, c.what, c.what, c.command); err != nil {
			panic(err)
		}
	}
	_, err := parser.Parse()
	os.Exit(exitCode(err))
}

func exitCode(err error) int {
	var help *flags.Error
	if err == nil {
		return 0
	}
	if errors.As(err, &help) && help.Type == flags.ErrHelp {
		fmt.Println(err)
		return 0
	}
	fmt.Fprintln(os.Stderr, err)
	var exit exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return exitSettings
}
