package cmd

import (
	"errors"
	"fmt"
	"os"
	"time"

	"verbenaledge.example/verbena/gossip"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/platform"
	"verbenaledge.example/verbena/rules"
)

const (
	rulesObject = "config/rules"
	forceLimit  = 15 * time.Second
)

type fileArg struct {
	File string `positional-arg-name:"FILE" required:"yes"`
}

type rulesCheck struct {
	Args fileArg `positional-args:"yes"`
}

// Execute checks the file.
func (c *rulesCheck) Execute([]string) error {
	_, r, err := readRules(c.Args.File)
	if err != nil {
		return err
	}
	if global.JSON {
		return printJSON(struct {
			Services int `json:"services"`
			Allows   int `json:"allows"`
		}{len(r.Services), len(r.Allows())})
	}
	fmt.Printf("%s is good: %d services, %d allow rules\n", c.Args.File, len(r.Services), len(r.Allows()))
	return nil
}

func readRules(file string) (text string, r *rules.Rules, err error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return "", nil, err
	}
	r, err = rules.Parse(string(data))
	if err != nil {
		return "", nil, fmt.Errorf("%w:\n%w", errBadRules, err)
	}
	return string(data), r, nil
}

type rulesApply struct {
	Version uint64  `long:"if-version" description:"the version that the file was made from; default: the one in force"`
	NoWait  bool    `long:"no-wait" description:"don't wait until the rules are in force everywhere"`
	Args    fileArg `positional-args:"yes"`
}

// Execute writes the rules if nobody has changed them since they were read.
func (c *rulesApply) Execute([]string) error {
	text, _, err := readRules(c.Args.File)
	if err != nil {
		return err
	}
	s, err := store()
	if err != nil {
		return err
	}
	ctx, cancel := withLimit(callLimit + forceLimit)
	defer cancel()
	expected := ids.Version(c.Version)
	if expected == 0 {
		o, err := s.Get(ctx, rulesObject)
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			return notRecorded(err)
		}
		expected = o.Version
	}
	var v ids.Version
	if expected == 0 {
		v, err = s.Create(ctx, rulesObject, []byte(text))
	} else {
		v, err = s.Update(ctx, rulesObject, expected, []byte(text))
	}
	if err != nil {
		return notRecorded(err)
	}
	if err := printRecorded("rules", v); err != nil || c.NoWait {
		return err
	}
	return waitInForce(ctx, gossip.Rules, v)
}

func printRecorded(what string, v ids.Version) error {
	if global.JSON {
		return printJSON(struct {
			Version ids.Version `json:"version"`
		}{v})
	}
	fmt.Printf("%s recorded as version %d\n", what, v)
	return nil
}

// notRecorded says plainly what a failed write means.
func notRecorded(err error) error {
	if errors.Is(err, platform.ErrConflict) {
		return fmt.Errorf("another operator has changed it meanwhile; show it, merge and try again: %w", err)
	}
	return fmt.Errorf("NOT recorded, nothing has changed: %w", err)
}

type rulesShow struct{}

// Execute shows the rules and their version.
func (c *rulesShow) Execute([]string) error {
	s, err := store()
	if err != nil {
		return err
	}
	ctx, cancel := withLimit(callLimit)
	defer cancel()
	o, err := s.Get(ctx, rulesObject)
	if err != nil {
		return err
	}
	if global.JSON {
		return printJSON(struct {
			Version ids.Version `json:"version"`
			Text    string      `json:"text"`
		}{o.Version, string(o.Value)})
	}
	fmt.Printf("# version %d\n%s", o.Version, o.Value)
	return nil
}
