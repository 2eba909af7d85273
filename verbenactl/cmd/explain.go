package cmd

import (
	"fmt"
	"os"
	"time"

	"verbenaledge.example/verbenactl/internal/loglines"
)

type explainCommand struct {
	Around time.Duration `long:"around" default:"5s" value-name:"TIME" description:"how long before and after to show what the hosts took to be true"`
	Args   struct {
		ID    string   `positional-arg-name:"ID" description:"id of a request, a batch job or an item"`
		Files []string `positional-arg-name:"FILE" description:"logs of the hosts; none reads standard input"`
	} `positional-args:"yes" required:"yes"`
}

// Execute tells what became of a request, from the logs alone.
func (c *explainCommand) Execute([]string) error {
	lines, skipped, err := c.read()
	if err != nil {
		return err
	}
	story, found := loglines.Explain(lines, c.Args.ID, c.Around)
	if !found {
		return fmt.Errorf("%w: no line tells of %s (%d lines read, %d left out)", errNotFound, c.Args.ID, len(lines), skipped)
	}
	if global.JSON {
		return printJSON(story)
	}
	for _, l := range story.Lines {
		fmt.Println(l)
	}
	fmt.Println("cause:", story.Cause)
	return nil
}

func (c *explainCommand) read() (lines []loglines.Line, skipped int, err error) {
	if len(c.Args.Files) == 0 {
		return loglines.Read(os.Stdin)
	}
	for _, name := range c.Args.Files {
		f, err := os.Open(name)
		if err != nil {
			return nil, skipped, err
		}
		more, left, err := loglines.Read(f)
		_ = f.Close() // nothing was written
		if err != nil {
			return nil, skipped, fmt.Errorf("%s: %w", name, err)
		}
		lines, skipped = append(lines, more...), skipped+left
	}
	return lines, skipped, nil
}
