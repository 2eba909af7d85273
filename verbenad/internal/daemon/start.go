package daemon

import (
	"context"
	"fmt"

	"github.com/apex/log"
)

// startStep is one step of starting the daemon.
type startStep interface {
	// String names the step in logs and errors.
	String() string
	// Run does the step and registers in the daemon's cleanup what must be undone at exit.
	Run(ctx context.Context, d *Daemon) error
}

// runSteps runs the steps in order and stops at the first error.
func (d *Daemon) runSteps(ctx context.Context, steps []startStep) (err error) {
	for _, s := range steps {
		log.WithField("host", d.settings.Host.ID).Debug(s.String())
		if err := s.Run(ctx, d); err != nil {
			return fmt.Errorf("%s: %w", s, err)
		}
	}
	return nil
}
