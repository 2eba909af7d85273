// Package cmd holds the command line of verbenactl.
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

const callLimit = 5 * time.Second

// globals are the options of every command.
type globals struct {
	Platform  string   `long:"platform" env:"VERBENACTL_PLATFORM" value-name:"IP:PORT" description:"the platform's object API"`
	Admin     []string `long:"admin" env:"VERBENACTL_ADMIN" env-delim:"," value-name:"IP:PORT" description:"a daemon's admin address; default: all listed"`
	TokenFile string   `long:"token-file" env:"VERBENACTL_TOKEN_FILE" value-name:"FILE" description:"file with the operators' token"`
	JSON      bool     `long:"json" description:"write JSON"`
}

var global globals

const longHelp = `verbenactl is the operators' tool: rules, keys, jobs and the time line.

Examples:
  verbenactl rules check town.rules
  verbenactl rules apply town.rules
  verbenactl key issue buying-desk
  verbenactl timeline --job batch_0f3a
  verbenactl explain 9c41d07be2a35f68 front-1.log storage-1.log

Exit codes:
  0 done, 1 failed, 2 wrong usage, 3 bad rules file, 4 conflict with another
  change, 5 platform unavailable and nothing recorded, 6 recorded but not yet in
  force everywhere, 7 not found`

// Execute runs the command line and returns the exit code.
func Execute(args []string) int {
	global = globals{}
	parser := flags.NewNamedParser("verbenactl", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = longHelp
	if _, err := parser.AddGroup("Global options", "", &global); err != nil {
		return report(err)
	}
	if err := addCommands(parser); err != nil {
		return report(err)
	}
	if _, err := parser.ParseArgs(args); err != nil {
		return report(err)
	}
	return ExitOK
}

type entry struct {
	name, short string
	command     any
	sub         []entry
}

func addCommands(parser *flags.Parser) (err error) {
	for _, e := range []entry{
		{"rules", "Check, apply and show the rules", &struct{}{}, []entry{
			{"check", "Check a rules file and change nothing", &rulesCheck{}, nil},
			{"apply", "Put a rules file into force", &rulesApply{}, nil},
			{"show", "Show the rules in force", &rulesShow{}, nil},
		}},
		{"key", "Issue, withdraw and list keys", &struct{}{}, []entry{
			{"issue", "Issue a key to a workspace; it is shown once", &keyIssue{}, nil},
			{"withdraw", "Withdraw a key", &keyWithdraw{}, nil},
			{"list", "List the keys that are good", &keyList{}, nil},
		}},
		{"job", "List, show and cancel batch jobs", &struct{}{}, []entry{
			{"list", "List a workspace's jobs, newest first", &jobList{}, nil},
			{"show", "Show a job", &jobShow{}, nil},
			{"cancel", "Cancel a job", &jobCancel{}, nil},
		}},
		{"status", "Show every daemon's state", &statusCommand{}, nil},
		{"timeline", "Show the events of all daemons in one line of time", &timelineCommand{}, nil},
		{"explain", "Tell from the logs of all hosts what became of a request", &explainCommand{}, nil},
		{"completion", "Write a completion script for bash", &completionCommand{}, nil},
	} {
		if err := add(parser.Command, e); err != nil {
			return err
		}
	}
	return nil
}

func add(parent *flags.Command, e entry) (err error) {
	c, err := parent.AddCommand(e.name, e.short, e.short+".", e.command)
	if err != nil {
		return err
	}
	for _, s := range e.sub {
		if err := add(c, s); err != nil {
			return err
		}
	}
	return nil
}

func store() (s platform.Store, err error) {
	if global.Platform == "" {
		return nil, fmt.Errorf("%w: --platform IP:PORT is missing", errUsage)
	}
	return platform.NewStore(adapter.NewStore(global.Platform)), nil
}

// daemons returns clients of the daemons that were named, or of all in the host list.
func daemons(ctx context.Context) (c *daemon.Fleet, err error) {
	token := ""
	if global.TokenFile != "" {
		data, err := os.ReadFile(global.TokenFile)
		if err != nil {
			return nil, err
		}
		token = strings.TrimSpace(string(data))
	}
	if len(global.Admin) > 0 {
		return daemon.NewFleet(global.Admin, token), nil
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

// withLimit returns a context that also ends when the operator interrupts.
func withLimit(d time.Duration) (context.Context, context.CancelFunc) {
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

func report(err error) int {
	var fe *flags.Error
	if !errors.As(err, &fe) {
		fmt.Fprintln(os.Stderr, "verbenactl:", err)
		return exitCode(err)
	}
	if fe.Type == flags.ErrHelp {
		fmt.Println(fe.Message)
		return ExitOK
	}
	fmt.Fprintln(os.Stderr, "verbenactl:", fe.Message)
	return ExitUsage
}
