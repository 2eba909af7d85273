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

// role runs an entry host or a storage host until the context ends.
type role func(ctx context.Context, env host.Environment) error

// roles maps the first argument of the command line to a role.
var roles = map[string]role{"front": host.RunFront, "storage": host.RunStorage}

// roleOptions are the flags of a role.
type roleOptions struct {
	Without string `long:"without" value-name:"MECHANISM,..." description:"disables mechanisms of the dispatcher, for measurements"`
}

// runRole runs a role with the platform's settings.
func runRole(name string, run role, args []string) int {
	// By default SIGHUP ends a process, also one that has just started or that is stopping.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	var o roleOptions
	rest, err := flags.NewParser(&o, flags.Default).ParseArgs(args)
	if err != nil || len(rest) > 0 {
		return ExitUsage
	}
	var disabled []dispatch.Mechanism
	if o.Without != "" {
		if disabled, err = dispatch.ParseMechanisms(o.Without); err != nil {
			fmt.Fprintln(os.Stderr, "verbenad:", err)
			return ExitUsage
		}
	}
	s, err := platform.LoadSettings()
	if err != nil {
		fmt.Fprintln(os.Stderr, "verbenad:", err)
		return ExitSettings
	}
	writer := logs.NewWriter(os.Stdout)
	defer writer.Close()
	limiter := logs.NewLimiter(json.New(writer), clock.System{})
	log.Log = (&log.Logger{Handler: limiter, Level: log.InfoLevel}).WithField("host", s.Host)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go reloadOnHangup(hangups, s)
	env := host.Environment{
		Settings: s, Store: metered.New(platform.NewStore(s.StoreAddress), clock.System{}), Decoder: platform.Decoder{},
		Protocol: platform.Protocol{}, DisabledMechanisms: disabled,
	}
	log.WithFields(log.Fields{"role": name, "zone": s.Zone, "memory_mb": s.MemoryMB, "version": version(), "without": o.Without}).Info("started")
	if err := run(ctx, env); err != nil {
		log.WithError(err).Error("stopped by an error")
		return ExitFailed
	}
	log.Info("stopped")
	return ExitOK
}

// reloadOnHangup reads the settings again on each signal, as long as the process runs. Only a new memory limit takes effect at once;
// addresses, ports and all other settings are applied at the next restart.
func reloadOnHangup(hangups <-chan os.Signal, current node.Settings) {
	for range hangups {
		s, err := platform.LoadSettings()
		if err != nil {
			log.WithError(err).Error("cannot read the settings, keeping the current ones")
			continue
		}
		host.Apply(s)
		log.WithFields(log.Fields{"memory_mb": s.MemoryMB, "changed": !reflect.DeepEqual(s, current)}).Info("settings read again")
		current = s
	}
}
