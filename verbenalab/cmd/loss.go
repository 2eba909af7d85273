package cmd

import (
	"fmt"
	"io"
	"os"

	"verbenaledge.example/verbenalab/internal/loss"
)

type lossCommand struct {
	Args struct {
		Files []string `positional-arg-name:"FILE" description:"log lines of the fleet's processes; default: standard input"`
	} `positional-args:"yes"`
}

// Execute prints the numbers of requests and batch items by outcome and cause.
func (c *lossCommand) Execute([]string) (err error) {
	sources := []io.Reader{os.Stdin}
	if len(c.Args.Files) > 0 {
		sources = nil
	}
	for _, n := range c.Args.Files {
		f, err := os.Open(n)
		if err != nil {
			return fmt.Errorf("open log lines: %w", err)
		}
		defer func() { _ = f.Close() }() // the file is only read
		sources = append(sources, f)
	}
	s, err := loss.Read(io.MultiReader(sources...))
	if err != nil {
		return err
	}
	fmt.Print(s)
	return nil
}
