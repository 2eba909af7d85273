package cmd

import (
	"fmt"
	"os"
	"time"

	"verbenaledge.example/verbenactl/internal/loglines"
)

type explainCommand struct {
	Around time.Duration `long:"around" default:"5s" value-name:"TIME" description:"how long before and after to show lines on the hosts' state"`
	Args   struct {
		ID    string   `positional-arg-name:"ID" description:"id of a request, a batch job or an item"`
		Files []string `positional-arg-name:"FILE" description:"logs of the hosts; default: standard input"`
	} `positional-args:"yes" required:"yes"`
}

// Execute prints the log lines that concern a request, and its cause.
func (c *explainCommand) Execute([]string) error {
	lines, skipped, err := c.readLogs()
	if err != nil {
		return err
	}
	explanation, found := loglines.Explain(lines, c.Args.ID, c.Around)
	if !found {
		return fmt.Errorf("%w: no line concerns %s (%d lines read, %d skipped)", errNotFound, c.Args.ID, len(lines), skipped)
	}
	if globalOptions.JSON {
		return printJSON(explanation)
	}
	for _, l := range explanation.Lines {
		fmt.Println(l)
	}
	fmt.Println("cause:", explanation.Cause)
	return nil
}

func (c *explainCommand) readLogs() (lines []loglines.Line, skipped int, err error) {
	if len(c.Args.Files) == 0 {
		return loglines.Read(os.Stdin)
	}
	for _, n := range c.Args.Files {
		f, err := os.Open(n)
		if err != nil {
			return nil, skipped, err
		}
		more, moreSkipped, err := loglines.Read(f)
		_ = f.Close() // the file was only read
		if err != nil {
			return nil, skipped, fmt.Errorf("%s: %w", n, err)
		}
		lines, skipped = append(lines, more...), skipped+moreSkipped
	}
	return lines, skipped, nil
}
