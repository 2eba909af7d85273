package host

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"

	"verbenaledge.example/verbenad/internal/entry"
	"verbenaledge.example/verbenad/internal/logs"
	"verbenaledge.example/verbenad/internal/serverrelay"
	"verbenaledge.example/verbenad/internal/slots"
)

const (
	// readinessNotice is how long a stopping host still accepts connections: after two failed readiness checks, at one a
	// second, the load balancer takes it out of rotation.
	readinessNotice = 2500 * time.Millisecond
	// graceMargin is the part of the grace period that is left when the host stops waiting for requests.
	graceMargin = 700 * time.Millisecond
	// busyPollInterval is the time between checks for requests in progress.
	busyPollInterval = 20 * time.Millisecond
)

// serveCallers serves callers until the context ends. Then it waits for the load balancer to notice, and for requests
// in progress to end. It doesn't use http.Server.Shutdown, which drops requests that have just been read.
func serveCallers(ctx context.Context, env Environment, h *entry.Handler, slotClient *slots.Client, relay *serverrelay.Relay) error {
	ln, err := listen(context.WithoutCancel(ctx), env.Settings.CallerAddress)
	if err != nil {
		return err
	}
	connections := newCallerConnections()
	listener := &drainingListener{Listener: ln}
	s := &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: logs.NewServerErrorLog(callerConnectionErrors.Inc), ConnState: connections.stateChanged, ConnContext: entry.ConnContext,
	}
	failed := make(chan error, 1)
	go func() { failed <- s.Serve(listener) }()
	log.WithField("address", env.Settings.CallerAddress).Info("taking callers")
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	log.Info("stopping: readiness is withdrawn")
	h.Stop()
	slotClient.AnnounceLeaving()
	end := time.Now().Add(env.Settings.GracePeriod - graceMargin)
	relaysEnded := make(chan struct{})
	go func() {
		defer close(relaysEnded)
		relay.Stop(end)
	}()
	time.Sleep(min(readinessNotice, env.Settings.GracePeriod/2))
	listener.drain()
	if err := <-failed; !errors.Is(err, net.ErrClosed) {
		log.WithError(err).Warn("the callers' listener failed")
	}
	// Idle connections would deliver further requests for as long as any other is busy. Closing them drops no request
	// that was read.
	s.SetKeepAlivesEnabled(false)
	for connections.busy(time.Now()) && time.Now().Before(end) {
		time.Sleep(busyPollInterval)
	}
	if connections.busy(time.Now()) {
		log.Warn("stopped with requests in progress")
	}
	<-relaysEnded
	return s.Close()
}
