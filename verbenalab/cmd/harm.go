package cmd

import (
	"strings"
	"time"

	"verbenaledge.example/verbenalab/internal/measure"
)

type harmCommand struct {
	For      time.Duration `long:"for" default:"24s" description:"length of the online trace"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of the trace"`
	Policies string        `long:"policies" default:"fixed,yield" description:"batch policies to compare"`
}

// Execute compares the delay of online requests without and with a batch job.
func (c *harmCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	programsDir, err := executableDir()
	if err != nil {
		return err
	}
	return measure.CompareBatchPolicies(ctx, programsDir, c.For, c.Seed, strings.Split(c.Policies, ","))
}
