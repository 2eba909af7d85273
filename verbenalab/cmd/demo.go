package cmd

import (
	"os"
	"path/filepath"

	"verbenaledge.example/verbenalab/internal/demo"
)

type demoCommand struct {
	Dir string `long:"dir" description:"folder for settings and logs; default: a new one that is removed at the end"`
}

// Execute runs the demonstration.
func (c *demoCommand) Execute([]string) (err error) {
	ctx, stop := signalContext()
	defer stop()
	programsDir, err := executableDir()
	if err != nil {
		return err
	}
	dir := c.Dir
	if dir == "" {
		if dir, err = os.MkdirTemp("", "verbenaledge-demo-"); err != nil {
			return err
		}
		defer func() { _ = os.RemoveAll(dir) }() // a failure leaves only logs behind
	}
	return demo.Run(ctx, programsDir, dir)
}

// executableDir returns the folder of this program, which also holds the other programs.
func executableDir() (string, error) {
	self, err := os.Executable()
	return filepath.Dir(self), err
}
