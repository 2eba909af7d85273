package host

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"

	"verbenaledge.example/verbenad/internal/entry"
	"verbenaledge.example/verbenad/internal/slots"
)

const (
	// drainNotice is how long a stopping host still takes connections: two readiness checks of the
	// balancer, at one a second, take it out of rotation.
	drainNotice = 2500 * time.Millisecond
	// exitMargin is left of the grace period before the process is killed.
	exitMargin = 700 * time.Millisecond
	// settleEvery is the time between looks at what is still on its way.
	settleEvery = 20 * time.Millisecond
)

// serveCallers serves until the context ends; then the balancer is given time to notice, and requests on their
// way end. The server's own way to stop is not used: it drops requests that it has just read.
func serveCallers(ctx context.Context, w World, h *entry.Handler, place *slots.Client) error {
	ln, err := listen(context.WithoutCancel(ctx), w.Settings.CallerAddress)
	if err != nil {
		return err
	}
	callers := newCallerConnections()
	draining := &drainingListener{Listener: ln}
	s := &http.Server{
		Handler: h, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime, MaxHeaderBytes: headerBytes, ErrorLog: quietLog(),
		ConnState: callers.note,
	}
	failed := make(chan error, 1)
	go func() { failed <- s.Serve(draining) }()
	log.WithField("address", w.Settings.CallerAddress).Info("taking callers")
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	log.Info("stopping: readiness is withdrawn")
	h.Stop()
	place.AnnounceLeaving()
	end := time.Now().Add(w.Settings.GracePeriod - exitMargin)
	time.Sleep(min(drainNotice, w.Settings.GracePeriod/2))
	draining.drain()
	if err := <-failed; !errors.Is(err, net.ErrClosed) {
		log.WithError(err).Warn("callers' address was closed by a fault")
	}
	// Idle connections would bring further requests for as long as any other is busy. Closing them drops nothing
	// that was read.
	s.SetKeepAlivesEnabled(false)
	for callers.busy(time.Now()) && time.Now().Before(end) {
		time.Sleep(settleEvery)
	}
	if callers.busy(time.Now()) {
		log.Warn("stopped with requests on their way")
	}
	return s.Close()
}
