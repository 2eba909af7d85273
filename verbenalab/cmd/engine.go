package cmd

import (
	"time"

	"verbenaledge.example/verbenalab/internal/engine"
)

type engineCommand struct {
	Listen    string        `long:"listen" default:"127.0.0.1:7100" description:"address to serve on"`
	ID        string        `long:"id" default:"engine-0" description:"name of this backend server"`
	Fenced    bool          `long:"fenced" description:"refuse orders with an old fencing number"`
	Sequences int           `long:"sequences" default:"48" description:"sequences that run at once"`
	StepBase  time.Duration `long:"step-base" default:"8ms" description:"time of an empty step"`
	StepPer   time.Duration `long:"step-per-sequence" default:"250us" description:"time that each sequence adds to a step"`
	Lag       time.Duration `long:"report-lag" default:"500ms" description:"age of the reported load"`
	Restart   time.Duration `long:"restart" default:"3s" description:"time from a crash to the restart"`
}

// Execute serves until it is interrupted.
func (c *engineCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	cfg := engine.DefaultConfig()
	cfg.Fenced, cfg.MaxSequences, cfg.StepBase, cfg.StepPerSequence = c.Fenced, c.Sequences, c.StepBase, c.StepPer
	cfg.ReportLag, cfg.Restart = c.Lag, c.Restart
	e := engine.New(cfg)
	go e.Run(ctx)
	return engine.NewServer(c.ID, e).ListenAndServe(ctx, c.Listen)
}
