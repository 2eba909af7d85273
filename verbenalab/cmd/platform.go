package cmd

import (
	"net/http"

	"verbenaledge.example/platform/standin"
	"verbenaledge.example/verbena/objects/memory"
	"verbenaledge.example/verbenalab/internal/platform"
)

type platformCommand struct {
	Listen string  `long:"listen" default:"127.0.0.1:7000" description:"address to serve on"`
	Writes float64 `long:"writes" default:"400" description:"writes that are served per second"`
	Reads  float64 `long:"reads" default:"2000" description:"reads that are served per second, including watches"`
}

// Execute serves until it is interrupted.
func (c *platformCommand) Execute([]string) error {
	store := memory.New()
	return serve(c.Listen, platform.NewServer(store, &standin.Store{Store: store}, platform.WithLimits(c.Writes, c.Reads)).Handler())
}

// serve serves until the process is interrupted.
func serve(address string, h http.Handler) error {
	ctx, stop := signalContext()
	defer stop()
	s := &http.Server{Addr: address, Handler: h, ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 1)
	go func() { failed <- s.ListenAndServe() }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		return s.Close()
	}
}
