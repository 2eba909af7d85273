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
	// inForceTimeout is how long a command waits until a change is in force on all hosts.
	inForceTimeout = 15 * time.Second
)

type fileArg struct {
	File string `positional-arg-name:"FILE" required:"yes"`
}

type rulesCheck struct {
	Args fileArg `positional-args:"yes"`
}

// Execute checks the rules file.
func (c *rulesCheck) Execute([]string) error {
	_, r, err := readRules(c.Args.File)
	if err != nil {
		return err
	}
	if globalOptions.JSON {
		return printJSON(struct {
			Services int `json:"services"`
			Allows   int `json:"allows"`
		}{len(r.Services), len(r.Allows())})
	}
	fmt.Printf("%s is valid: %d services, %d allow rules\n", c.Args.File, len(r.Services), len(r.Allows()))
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

// Execute writes the rules if their version is still the expected one.
func (c *rulesApply) Execute([]string) error {
	text, _, err := readRules(c.Args.File)
	if err != nil {
		return err
	}
	s, err := store()
	if err != nil {
		return err
	}
	ctx, cancel := withTimeout(callTimeout + inForceTimeout)
	defer cancel()
	expected := ids.Version(c.Version)
	if expected == 0 {
		o, err := s.Get(ctx, rulesObject)
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			return explainWriteError(err)
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
		return explainWriteError(err)
	}
	if err := printRecorded("rules", v); err != nil || c.NoWait {
		return err
	}
	return waitUntilInForce(ctx, gossip.Rules, v)
}

func printRecorded(what string, v ids.Version) error {
	if globalOptions.JSON {
		return printJSON(struct {
			Version ids.Version `json:"version"`
		}{v})
	}
	fmt.Printf("%s recorded as version %d\n", what, v)
	return nil
}

// explainWriteError wraps the error of a failed write with what it means for the operator.
func explainWriteError(err error) error {
	if errors.Is(err, platform.ErrConflict) {
		return fmt.Errorf("another operator has changed it in the meantime; show it, merge and try again: %w", err)
	}
	return fmt.Errorf("NOT recorded, nothing has changed: %w", err)
}

type rulesShow struct{}

// Execute prints the rules and their version.
func (c *rulesShow) Execute([]string) error {
	s, err := store()
	if err != nil {
		return err
	}
	ctx, cancel := withTimeout(callTimeout)
	defer cancel()
	o, err := s.Get(ctx, rulesObject)
	if err != nil {
		return err
	}
	if globalOptions.JSON {
		return printJSON(struct {
			Version ids.Version `json:"version"`
			Text    string      `json:"text"`
		}{o.Version, string(o.Value)})
	}
	fmt.Printf("# version %d\n%s", o.Version, o.Value)
	return nil
}
