package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/reachability"
	"verbenaledge.example/verbenad/internal/serverrelay"
)

// errNoPath means that no connection was attempted: this host is cut off from servers, and no other host reached the server.
var errNoPath = errors.New("no path to the server")

var (
	directConnections  = metrics.NewCounter(`verbenad_server_connections_total{path="direct"}`)
	relayedConnections = metrics.NewCounter(`verbenad_server_connections_total{path="relay"}`)
)

// RelayDialer connects to servers over other hosts.
type RelayDialer interface {
	DialServer(ctx context.Context, s directory.Server) (*serverrelay.Conn, error)
}

// WithRelays connects over other hosts to servers that this host doesn't reach directly.
func WithRelays(d RelayDialer) Option { return func(c *Client) { c.relays = d } }

// attempt is the end of an attempt to connect.
type attempt struct {
	conn *conn
	err  error
}

// connecting is an attempt to connect to a server on one path or on both.
type connecting struct {
	client   *Client
	server   directory.Server
	directAt time.Time
	// direct and relayed get the end of each attempt; nil if there is none, or if it was received.
	direct, relayed chan attempt
	directErr       error
	relayErr        error
	cancelRelay     context.CancelFunc
}

// connect connects to a server directly or over another host; the first connection is used.
func (c *Client) connect(ctx context.Context, s directory.Server, plan reachability.Plan) (*conn, error) {
	a := &connecting{client: c, server: s, cancelRelay: func() {}}
	plan.Relay = plan.Relay && c.relays != nil
	if plan.Direct {
		a.startDirect()
	}
	var delayed <-chan time.Time
	switch {
	case plan.Relay && plan.RelayDelay == 0:
		a.startRelay(ctx)
	case plan.Relay:
		timer := time.NewTimer(plan.RelayDelay)
		defer timer.Stop()
		delayed = timer.C
	}
	for a.direct != nil || a.relayed != nil {
		select {
		case r := <-a.direct:
			a.direct = nil
			if r.err == nil {
				go a.closeLateRelay()
				return r.conn, nil
			}
			a.directErr = r.err
			if delayed != nil {
				delayed = nil
				a.startRelay(ctx)
			}
		case r := <-a.relayed:
			a.relayed = nil
			if r.err == nil {
				relayedConnections.Inc()
				go a.settle()
				return r.conn, nil
			}
			a.relayErr = r.err
		case <-delayed:
			delayed = nil
			a.startRelay(ctx)
		case <-ctx.Done():
			go a.abandon()
			return nil, ctx.Err()
		}
	}
	a.cancelRelay()
	return nil, a.failed()
}

// startDirect connects directly. The attempt goes on if another one succeeds or the request ends, as its end tells whether
// the path is sound.
func (a *connecting) startDirect() {
	a.directAt = a.client.clock.Now()
	direct := make(chan attempt, 1)
	a.direct = direct
	go func() {
		c, err := a.client.DialDirect(context.Background(), a.server)
		if err != nil {
			direct <- attempt{err: err}
			return
		}
		direct <- attempt{conn: a.client.newConn(c, a.server, false)}
	}()
}

// startRelay connects over another host.
func (a *connecting) startRelay(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	a.cancelRelay = cancel
	relayed := make(chan attempt, 1)
	a.relayed = relayed
	go func() {
		c, err := a.client.relays.DialServer(ctx, a.server)
		if err != nil {
			relayed <- attempt{err: err}
			return
		}
		relayed <- attempt{conn: a.client.newConn(c, a.server, true)}
	}()
}

// closeLateRelay ends the attempt over another host.
func (a *connecting) closeLateRelay() {
	a.cancelRelay()
	if a.relayed == nil {
		return
	}
	if r := <-a.relayed; r.conn != nil {
		_ = r.conn.Close() // it carried nothing
	}
}

// settle records, after a connection over another host, whether the direct path is broken.
func (a *connecting) settle() {
	a.cancelRelay() // ends its timer
	switch {
	case a.directErr != nil:
		a.client.recordBroken(a.server, a.directErr)
		return
	case a.direct == nil:
		return // not attempted
	}
	timer := time.NewTimer(reachability.DirectHeadStart() - a.client.clock.Now().Sub(a.directAt))
	defer timer.Stop()
	select {
	case r := <-a.direct:
		a.keepLate(r)
		return
	case <-timer.C:
	}
	select {
	case r := <-a.direct: // both were ready
		a.keepLate(r)
		return
	default:
	}
	a.client.recordBroken(a.server, errSilent)
	a.keepLate(<-a.direct)
}

// errSilent means that a direct connection was not established in time, although another host reached the server.
var errSilent error = silentError{}

type silentError struct{}

func (silentError) Error() string { return "no reply in time" }
func (silentError) Timeout() bool { return true }

// keepLate keeps a direct connection that was established after another one. If it failed, the path is broken.
func (a *connecting) keepLate(r attempt) {
	if r.err != nil {
		a.client.recordBroken(a.server, r.err)
		return
	}
	a.client.putIdle(a.server.ID, r.conn, 0)
}

// abandon ends the attempts of a request that has ended.
func (a *connecting) abandon() {
	a.closeLateRelay()
	if a.direct == nil {
		return
	}
	if r := <-a.direct; r.conn != nil {
		a.client.putIdle(a.server.ID, r.conn, 0)
	}
}

// failed returns why no connection was established, and records a server that neither path reached.
func (a *connecting) failed() error {
	if errors.Is(a.relayErr, serverrelay.ErrServerUnreachable) {
		a.client.recordUnreachable(a.server)
	}
	switch {
	case a.directErr != nil && a.relayErr != nil:
		return fmt.Errorf("%w; %w", a.directErr, a.relayErr)
	case a.directErr != nil:
		return a.directErr
	case a.relayErr != nil:
		return a.relayErr
	}
	return errNoPath
}

// DialDirect connects to a server directly.
func (c *Client) DialDirect(ctx context.Context, s directory.Server) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	n, err := c.dialer.DialContext(ctx, "tcp", s.Address)
	if err != nil {
		return nil, err
	}
	directConnections.Inc()
	c.recordConnected(s)
	return n, nil
}
