// Package cmd implements the command line of verbenad.
package cmd

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/text"
	"github.com/jessevdk/go-flags"

	"verbenaledge.example/platform"
	"verbenaledge.example/verbenad/internal/daemon"
	"verbenaledge.example/verbenad/internal/settings"
)

// Exit codes of verbenad.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitSettings = 3
)

// options are the flags of the command line without a role.
type options struct {
	Settings string `short:"s" long:"settings" value-name:"FILE" description:"settings file, in JSON"`
	Check    bool   `long:"check" description:"check the settings file and exit"`
	Version  bool   `long:"version" description:"show the version and exit"`
}

// Execute runs the command line and returns the exit code.
func Execute(args []string) int {
	if len(args) > 0 {
		if r, ok := roles[args[0]]; ok {
			return runRole(args[0], r, args[1:])
		}
	}
	var o options
	parser := flags.NewParser(&o, flags.Default)
	parser.LongDescription = "verbenad runs on every entry host: it takes callers' requests, enforces the rates of " +
		"workspaces and runs batch jobs.\n\nExample: verbenad --settings /etc/verbenad.json"
	if _, err := parser.ParseArgs(args); err != nil {
		var fe *flags.Error
		if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
			return ExitOK
		}
		return ExitUsage
	}
	if o.Version {
		fmt.Println(version())
		return ExitOK
	}
	if o.Settings == "" {
		fmt.Fprintln(os.Stderr, "verbenad: --settings FILE is missing")
		return ExitUsage
	}
	s, err := settings.Load(o.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, "verbenad:", err)
		return ExitSettings
	}
	if o.Check {
		fmt.Println("the settings are valid")
		return ExitOK
	}
	return run(s)
}

func run(s settings.Settings) int {
	setUpLog(s.Log)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := daemon.New(s, platform.NewStore(s.Platform.Address)).Run(ctx); err != nil {
		log.WithError(err).Error("stopped by an error")
		return ExitFailed
	}
	return ExitOK
}

func setUpLog(l settings.Log) {
	log.SetLevelFromString(l.Level)
	log.SetHandler(json.New(os.Stderr))
	if l.Format == "text" {
		log.SetHandler(text.New(os.Stderr))
	}
}

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return info.Main.Version
}
