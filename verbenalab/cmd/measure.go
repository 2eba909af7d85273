package cmd

import (
	"strings"
	"time"

	"verbenaledge.example/verbenalab/internal/measure"
)

type harmCommand struct {
	For      time.Duration `long:"for" default:"24s" description:"length of the online trace"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of the trace"`
	Policies string        `long:"policies" default:"fixed,yield" description:"ways of giving way to compare"`
}

// Execute compares online delay without and with a batch.
func (c *harmCommand) Execute([]string) error {
	ctx, stop := interrupted()
	defer stop()
	programs, err := ownFolder()
	if err != nil {
		return err
	}
	return measure.CompareBatchPolicies(ctx, programs, c.For, c.Seed, strings.Split(c.Policies, ","))
}
