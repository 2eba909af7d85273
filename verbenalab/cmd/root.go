// Package cmd holds the command line of verbenalab.
package cmd

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// command is implemented by the options of each subcommand.
type command interface {
	flags.Commander
}

// signalContext returns a context that ends at SIGTERM or SIGINT.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// Execute runs the command line and returns the exit code.
func Execute(args []string) int {
	parser := flags.NewNamedParser("verbenalab", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "verbenalab provides stand-ins for the systems that verbenaledge works with, and tools to load and measure it."
	for _, c := range []struct {
		name, short string
		command     command
	}{
		{"platform", "Serve a stand-in for the platform's object API", &platformCommand{}},
		{"engine", "Serve a stand-in for a model engine", &engineCommand{}},
		{"service", "Serve a stand-in for a plain service", &serviceCommand{}},
		{"harm", "Measure the delay of online requests without and with a batch job", &harmCommand{}},
		{"soak", "Run the programs under injected faults and check their guarantees", &soakCommand{}},
		{"recover", "Measure the effect of each fault on callers", &recoverCommand{}},
		{"place", "Compare policies for placing requests on servers, on a recorded load", &placeCommand{}},
		{"loss", "Summarize from log lines which requests and batch items were lost or late", &lossCommand{}},
		{"demo", "Run online load and a batch job on a small fleet, and kill a daemon meanwhile", &demoCommand{}},
	} {
		if _, err := parser.AddCommand(c.name, c.short, c.short+".", c.command); err != nil {
			fmt.Fprintln(os.Stderr, "verbenalab:", err)
			return ExitFailed
		}
	}
	if _, err := parser.ParseArgs(args); err != nil {
		return printError(err)
	}
	return ExitOK
}

// printError prints an error, or the help text, and returns the exit code.
func printError(err error) int {
	var fe *flags.Error
	if errors.As(err, &fe) {
		if fe.Type == flags.ErrHelp {
			fmt.Println(fe.Message)
			return ExitOK
		}
		fmt.Fprintln(os.Stderr, "verbenalab:", fe.Message)
		return ExitUsage
	}
	fmt.Fprintln(os.Stderr, "verbenalab:", err)
	return ExitFailed
}
