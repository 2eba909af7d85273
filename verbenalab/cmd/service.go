package cmd

import (
	"time"

	"verbenaledge.example/verbenalab/internal/service"
)

const headerTimeout = time.Minute

type serviceCommand struct {
	Listen string `long:"listen" default:"127.0.0.1:7200" description:"address to serve on"`
	ID     string `long:"id" default:"service-0" description:"name of this backend server"`
}

// Execute serves until it is interrupted.
func (c *serviceCommand) Execute([]string) error {
	return serve(c.Listen, service.NewServer().Handler())
}
