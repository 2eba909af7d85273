package cmd

import (
	"strings"
	"time"

	"verbenaledge.example/verbenalab/internal/measure"
)

type scaleCommand struct {
	Daemons int           `long:"daemons" default:"9" description:"daemons to start"`
	Rest    time.Duration `long:"rest" default:"10s" description:"how long they are watched at rest"`
}

// Execute measures what control costs.
func (c *scaleCommand) Execute([]string) error {
	ctx, stop := interrupted()
	defer stop()
	programs, err := ownFolder()
	if err != nil {
		return err
	}
	return measure.Scale(ctx, programs, c.Daemons, c.Rest)
}

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
	return measure.Harm(ctx, programs, c.For, c.Seed, strings.Split(c.Policies, ","))
}
