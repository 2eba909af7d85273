package backend

import (
	"context"
	"time"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/core"
)

const (
	// reportTimeout is how long a crash is reported again while the workspace's shard has no owner. A shard that moves
	// has an owner again within it. The lease of a lost owner ends later than that, so the request fails.
	reportTimeout = time.Second
	// reportInterval is the time between two reports of a crash.
	reportInterval = 50 * time.Millisecond
)

// reportUntilConfirmed reports a crash until the workspace's owner has confirmed the verdict, for at most
// reportTimeout. A repeated report of the same crash isn't counted again.
func reportUntilConfirmed(ctx context.Context, report func(context.Context) (core.CrashVerdict, error)) (verdict core.CrashVerdict, err error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	for {
		verdict, err = report(context.WithoutCancel(ctx))
		if err != nil || verdict.Confirmed {
			return verdict, err
		}
		clock.Sleep(ctx, reportInterval)
		if ctx.Err() != nil {
			return verdict, nil
		}
	}
}
