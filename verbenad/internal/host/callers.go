package host

import (
	"context"
	"time"

	"github.com/apex/log"

	"verbenaledge.example/verbenad/internal/callerconn"
	"verbenaledge.example/verbenad/internal/entry"
	"verbenaledge.example/verbenad/internal/serverrelay"
	"verbenaledge.example/verbenad/internal/slots"
)

const (
	// readinessNotice is how long a stopping host still accepts connections: after two failed readiness checks, at one a
	// second, the load balancer takes it out of rotation.
	readinessNotice = 2500 * time.Millisecond
	// graceMargin is the part of the grace period that is left when the host stops waiting for requests: finalAnswerTime, and the
	// rest for the last lines of the log and the exit.
	graceMargin = 400 * time.Millisecond
)

// serveCallers serves callers until the context ends. Then it waits for the load balancer to notice, and for requests
// in progress to end.
func serveCallers(
	ctx context.Context, env Environment, h *entry.Handler, guard *callerconn.Guard, slotClient *slots.Client, relay *serverrelay.Relay,
) error {
	ln, err := listen(context.WithoutCancel(ctx), env.Settings.CallerAddress)
	if err != nil {
		return err
	}
	s := startCallerServer(ln, h, h.EndRequests, callerconn.WithGuard(guard))
	log.WithField("address", env.Settings.CallerAddress).Info("taking callers")
	select {
	case err := <-s.failed:
		return err
	case <-ctx.Done():
	}
	log.WithField("ends_in_ms", (env.Settings.GracePeriod - graceMargin).Milliseconds()).Info("stopping: readiness is withdrawn")
	end := time.Now().Add(env.Settings.GracePeriod - graceMargin)
	h.Stop(end)
	s.handler.AnnounceClose()
	slotClient.AnnounceLeaving()
	relaysEnded := make(chan struct{})
	go func() {
		defer close(relaysEnded)
		relay.Stop(end)
	}()
	time.Sleep(min(readinessNotice, env.Settings.GracePeriod/2))
	return s.stop(end, relaysEnded)
}
