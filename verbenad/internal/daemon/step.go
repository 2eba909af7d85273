package daemon

import (
	"context"
	"fmt"

	"github.com/apex/log"
)

// step is one part of a daemon's start.
type step interface {
	// String says what the step does.
	String() string
	// Run does it; what must be undone at the end goes to the daemon's cleanup.
	Run(ctx context.Context, d *Daemon) error
}

// start runs the steps in order.
func (d *Daemon) start(ctx context.Context, steps []step) (err error) {
	for _, s := range steps {
		log.WithField("host", d.settings.Host.ID).Debug(s.String())
		if err := s.Run(ctx, d); err != nil {
			return fmt.Errorf("%s: %w", s, err)
		}
	}
	return nil
}
