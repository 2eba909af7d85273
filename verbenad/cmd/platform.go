package cmd

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"reflect"
	"syscall"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/jessevdk/go-flags"

	"verbenaledge.example/platform"
	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/node"
	"verbenaledge.example/verbenad/internal/host"
	"verbenaledge.example/verbenad/internal/logs"
	"verbenaledge.example/verbenad/internal/metered"
)

// role is what a process does on the users' platform.
type role func(ctx context.Context, w host.World) error

// roles by the first word of the command line.
var roles = map[string]role{"front": host.Front, "storage": host.Storage}

// roleOptions is the command line of a role.
type roleOptions struct {
	Without string `long:"without" value-name:"MECHANISM,..." description:"switch parts of the decisions off, for measurements"`
}

// runRole runs a role with the platform's settings.
func runRole(name string, r role, args []string) int {
	var o roleOptions
	rest, err := flags.NewParser(&o, flags.Default).ParseArgs(args)
	if err != nil || len(rest) > 0 {
		return ExitUsage
	}
	var without []dispatch.Mechanism
	if o.Without != "" {
		if without, err = dispatch.ParseMechanisms(o.Without); err != nil {
			fmt.Fprintln(os.Stderr, "verbenad:", err)
			return ExitUsage
		}
	}
	s, err := platform.LoadSettings()
	if err != nil {
		fmt.Fprintln(os.Stderr, "verbenad:", err)
		return ExitSettings
	}
	lines := logs.NewWriter(os.Stdout)
	defer lines.Close()
	limited := logs.NewLimiter(json.New(lines), clock.System{})
	log.Log = (&log.Logger{Handler: limited, Level: log.InfoLevel}).WithField("host", s.Host)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go reloadOnHangup(ctx, s)
	w := host.World{
		Settings: s, Store: metered.New(platform.NewStore(s.StoreAddress), clock.System{}), Source: platform.Decoder{},
		Protocol: platform.Protocol{}, Without: without,
	}
	log.WithFields(log.Fields{"role": name, "zone": s.Zone, "memory_mb": s.MemoryMB, "version": version(), "without": o.Without}).Info("started")
	if err := r(ctx, w); err != nil {
		log.WithError(err).Error("stopped by a fault")
		return ExitFailed
	}
	log.Info("stopped")
	return ExitOK
}

// reloadOnHangup reads the settings again when they may have changed. Addresses and ports hold until a restart.
func reloadOnHangup(ctx context.Context, current node.Settings) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		}
		s, err := platform.LoadSettings()
		if err != nil {
			log.WithError(err).Error("settings can't be read; the present ones stay")
			continue
		}
		host.Apply(s)
		log.WithFields(log.Fields{"memory_mb": s.MemoryMB, "changed": !reflect.DeepEqual(s, current)}).Info("settings read again")
		current = s
	}
}
