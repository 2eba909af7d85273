package backend

import (
	"context"
	"time"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/core"
)

const (
	// reportFor is how long a crash is reported again while no owner takes the report: a shard that
	// changes hands is owned again within it. A lost owner's lease lasts longer; then the request fails.
	reportFor = time.Second
	// reportPause is the time between two reports.
	reportPause = 50 * time.Millisecond
)

// settled asks for a verdict until the owner of the workspace has given one, or for as long as a shard
// takes to change hands. Reporting the same crash twice counts once.
func settled(ctx context.Context, ask func(context.Context) (core.CrashVerdict, error)) (judged core.CrashVerdict, err error) {
	ctx, cancel := context.WithTimeout(ctx, reportFor)
	defer cancel()
	for {
		judged, err = ask(context.WithoutCancel(ctx))
		if err != nil || judged.Confirmed {
			return judged, err
		}
		clock.Sleep(ctx, reportPause)
		if ctx.Err() != nil {
			return judged, nil
		}
	}
}
