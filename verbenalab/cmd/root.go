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

// The exit codes.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// command is one of the program's commands.
type command interface {
	flags.Commander
}

// interrupted ends when the operator interrupts the program.
func interrupted() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// Execute runs the command line and returns the exit code.
func Execute(args []string) int {
	parser := flags.NewNamedParser("verbenalab", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "verbenalab holds stand-ins for the systems around verbenaledge, and tools to load and measure it."
	for _, c := range []struct {
		name, short string
		command     command
	}{
		{"platform", "Serve a stand-in for the platform's object API", &platformCommand{}},
		{"engine", "Serve a stand-in for a model engine", &engineCommand{}},
		{"service", "Serve a stand-in for a plain service", &serviceCommand{}},
		{"harm", "Measure online delay without and with a batch beside it", &harmCommand{}},
		{"soak", "Run the programs under faults and check what is promised", &soakCommand{}},
		{"recover", "Measure what each trouble costs callers", &recoverCommand{}},
		{"place", "Compare ways of placing requests on a recorded load", &placeCommand{}},
		{"loss", "Tell from log lines where requests and batch items were lost or late", &lossCommand{}},
		{"demo", "Run a small fleet through a day in a minute", &demoCommand{}},
	} {
		if _, err := parser.AddCommand(c.name, c.short, c.short+".", c.command); err != nil {
			fmt.Fprintln(os.Stderr, "verbenalab:", err)
			return ExitFailed
		}
	}
	if _, err := parser.ParseArgs(args); err != nil {
		return report(err)
	}
	return ExitOK
}

func report(err error) int {
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
