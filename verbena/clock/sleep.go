package clock

import (
	"context"
	"time"
)

// Sleep waits for a duration or until the context ends, whichever comes first.
func Sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
