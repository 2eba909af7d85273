package cmd

import (
	"errors"

	"verbenaledge.example/verbena/platform"
)

// The exit codes of verbenactl.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitBadRules    = 3
	ExitConflict    = 4
	ExitUnavailable = 5
	ExitNotInForce  = 6
	ExitNotFound    = 7
)

// The exit codes of `verbenactl check`, apart from ExitOK.
const (
	ExitCheckWarnings = 1
	ExitCheckErrors   = 2
	ExitUnreadable    = 3
)

// ErrNotInForce is returned when a change is recorded but not yet in force on every host. The hosts apply it
// without another command.
var ErrNotInForce = errors.New("recorded, but not in force on every host yet; see `verbenactl status`")

var (
	errUsage    = errors.New("wrong usage")
	errNotFound = errors.New("not found")
	errBadRules = errors.New("the rules file has errors; nothing was changed")

	errCheckWarnings = errors.New("the configuration has warnings")
	errCheckErrors   = errors.New("the configuration has errors; don't send it")
	errUnreadable    = errors.New("can't read the configuration")
)

func exitCode(err error) int {
	for _, k := range []struct {
		err  error
		code int
	}{
		{errBadRules, ExitBadRules},
		{platform.ErrConflict, ExitConflict},
		{platform.ErrUnavailable, ExitUnavailable},
		{ErrNotInForce, ExitNotInForce},
		{platform.ErrNotFound, ExitNotFound},
		{errNotFound, ExitNotFound},
		{errUsage, ExitUsage},
		{errCheckWarnings, ExitCheckWarnings},
		{errCheckErrors, ExitCheckErrors},
		{errUnreadable, ExitUnreadable},
	} {
		if errors.Is(err, k.err) {
			return k.code
		}
	}
	return ExitFailed
}
