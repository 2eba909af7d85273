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
	ctx, stop := interrupted()
	defer stop()
	programs, err := ownFolder()
	if err != nil {
		return err
	}
	dir := c.Dir
	if dir == "" {
		if dir, err = os.MkdirTemp("", "verbenaledge-demo-"); err != nil {
			return err
		}
		defer func() { _ = os.RemoveAll(dir) }() // only logs are left behind
	}
	return demo.Run(ctx, programs, dir)
}

// ownFolder is where the other programs stand.
func ownFolder() (string, error) {
	self, err := os.Executable()
	return filepath.Dir(self), err
}
