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

// ErrNotInForce is returned when a change is recorded but not yet in force on every host. The hosts apply it
// without another command.
var ErrNotInForce = errors.New("recorded, but not in force on every host yet; see `verbenactl status`")

var (
	errUsage    = errors.New("wrong usage")
	errNotFound = errors.New("not found")
	errBadRules = errors.New("the rules file has errors; nothing was changed")
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
	} {
		if errors.Is(err, k.err) {
			return k.code
		}
	}
	return ExitFailed
}
