// Package cmd implements the commands of verbenactl.
package cmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	adapter "verbenaledge.example/platform"
	"verbenaledge.example/verbena/platform"
	"verbenaledge.example/verbenactl/internal/daemon"
)

// callTimeout bounds all calls of a command, apart from its wait until a change is in force.
const callTimeout = 5 * time.Second

// globals are the options that every command accepts.
type globals struct {
	Platform  string   `long:"platform" env:"VERBENACTL_PLATFORM" value-name:"IP:PORT" description:"the platform's object API"`
	Admin     []string `long:"admin" env:"VERBENACTL_ADMIN" env-delim:"," value-name:"IP:PORT" description:"a daemon's admin address; default: all listed"`
	TokenFile string   `long:"token-file" env:"VERBENACTL_TOKEN_FILE" value-name:"FILE" description:"file with the operators' token"`
	JSON      bool     `long:"json" description:"write JSON"`
}

var globalOptions globals

const longHelp = `verbenactl is the operators' tool for configurations, rules, keys, jobs and the
timeline.

Examples:
  verbenactl check next.json --against in-force.json
  verbenactl rules check production.rules
  verbenactl rules apply production.rules
  verbenactl key issue buying-desk
  verbenactl timeline --job batch_0f3a
  verbenactl explain 9c41d07be2a35f68 front-1.log storage-1.log

Exit codes:
  0 done, 1 failed, 2 wrong usage, 3 bad rules file, 4 conflict with another
  change, 5 platform unavailable and nothing recorded, 6 recorded but not yet in
  force everywhere, 7 not found. Of check: 0 no findings or changes only,
  1 warnings, 2 errors or wrong usage, 3 unreadable file`

// Execute runs the command line and returns the exit code.
func Execute(args []string) int {
	globalOptions = globals{}
	parser := flags.NewNamedParser("verbenactl", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = longHelp
	if _, err := parser.AddGroup("Global options", "", &globalOptions); err != nil {
		return reportError(err)
	}
	if err := addCommands(parser); err != nil {
		return reportError(err)
	}
	if _, err := parser.ParseArgs(args); err != nil {
		return reportError(err)
	}
	return ExitOK
}

// commandSpec describes a command and its subcommands.
type commandSpec struct {
	name, short string
	command     any
	subcommands []commandSpec
}

func addCommands(parser *flags.Parser) (err error) {
	for _, e := range []commandSpec{
		{"check", "Check a configuration, and compare it with the version in force", &checkCommand{}, nil},
		{"rules", "Check, apply and show the rules", &struct{}{}, []commandSpec{
			{"check", "Check a rules file and change nothing", &rulesCheck{}, nil},
			{"apply", "Put a rules file into force", &rulesApply{}, nil},
			{"show", "Show the rules in force", &rulesShow{}, nil},
		}},
		{"key", "Issue, withdraw and list keys", &struct{}{}, []commandSpec{
			{"issue", "Issue a key to a workspace; it is shown once", &keyIssue{}, nil},
			{"withdraw", "Withdraw a key", &keyWithdraw{}, nil},
			{"list", "List the valid keys", &keyList{}, nil},
		}},
		{"job", "List, show and cancel batch jobs", &struct{}{}, []commandSpec{
			{"list", "List a workspace's jobs, newest first", &jobList{}, nil},
			{"show", "Show a job", &jobShow{}, nil},
			{"cancel", "Cancel a job", &jobCancel{}, nil},
		}},
		{"status", "Show every daemon's state", &statusCommand{}, nil},
		{"timeline", "Show the events of all daemons in order of time", &timelineCommand{}, nil},
		{"explain", "Show from the hosts' logs how a request ended and why", &explainCommand{}, nil},
		{"completion", "Write a completion script for bash", &completionCommand{}, nil},
	} {
		if err := addCommand(parser.Command, e); err != nil {
			return err
		}
	}
	return nil
}

func addCommand(parent *flags.Command, e commandSpec) (err error) {
	c, err := parent.AddCommand(e.name, e.short, e.short+".", e.command)
	if err != nil {
		return err
	}
	for _, s := range e.subcommands {
		if err := addCommand(c, s); err != nil {
			return err
		}
	}
	return nil
}

func store() (s platform.Store, err error) {
	if globalOptions.Platform == "" {
		return nil, fmt.Errorf("%w: --platform IP:PORT is missing", errUsage)
	}
	return platform.NewStore(adapter.NewStore(globalOptions.Platform)), nil
}

// daemonFleet returns the daemons that --admin names, or else all in the platform's host list.
func daemonFleet(ctx context.Context) (f *daemon.Fleet, err error) {
	token := ""
	if globalOptions.TokenFile != "" {
		data, err := os.ReadFile(globalOptions.TokenFile)
		if err != nil {
			return nil, err
		}
		token = strings.TrimSpace(string(data))
	}
	if len(globalOptions.Admin) > 0 {
		return daemon.NewFleet(globalOptions.Admin, token), nil
	}
	s, err := store()
	if err != nil {
		return nil, err
	}
	l, err := s.Hosts(ctx, 0)
	if err != nil {
		return nil, err
	}
	return daemon.NewFleet(daemon.AdminAddresses(l), token), nil
}

// withTimeout returns a context that ends after d, or on SIGINT or SIGTERM.
func withTimeout(d time.Duration) (context.Context, context.CancelFunc) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	ctx, cancel := context.WithTimeout(ctx, d)
	return ctx, func() {
		cancel()
		stop()
	}
}

func printJSON(v any) error {
	out := json.NewEncoder(os.Stdout)
	out.SetIndent("", "  ")
	return out.Encode(v)
}

func reportError(err error) int {
	var flagsErr *flags.Error
	if !errors.As(err, &flagsErr) {
		fmt.Fprintln(os.Stderr, "verbenactl:", err)
		return exitCode(err)
	}
	if flagsErr.Type == flags.ErrHelp {
		fmt.Println(flagsErr.Message)
		return ExitOK
	}
	fmt.Fprintln(os.Stderr, "verbenactl:", flagsErr.Message)
	return ExitUsage
}
