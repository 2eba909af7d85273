package serverrelay

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbenad/internal/hostlink"
)

const (
	// maxAttempts bounds the relays that are tried for one connection.
	maxAttempts = 4
	// nextRelayDelay is how long a relay may take to reply before the next one is tried as well: some round trips.
	nextRelayDelay = 60 * time.Millisecond
	// avoidTime is how long a relay that didn't help is tried after the others.
	avoidTime = time.Second
)

// ErrNoRelay means that no other host could connect to the server or deny that it can be reached.
var ErrNoRelay = errors.New("no host relays the connection")

// ErrServerUnreachable means that a relay, which reaches servers, does not reach this one.
var ErrServerUnreachable = errors.New("the relay does not reach the server either")

// Dialer connects to servers over other hosts.
type Dialer struct {
	clock  clock.Clock
	relays func() []string

	mu sync.Mutex
	// next is the relay that is tried first; it changes with each connection, to spread the load.
	next    int
	avoided map[string]time.Time
}

// NewDialer returns a dialer. relays returns the addresses of the hosts that may relay.
func NewDialer(c clock.Clock, relays func() []string) *Dialer {
	return &Dialer{clock: c, relays: relays, avoided: make(map[string]time.Time)}
}

// attempt is the end of an attempt to connect over one relay.
type attempt struct {
	conn *Conn
	err  error
}

// DialServer connects to a server over the first relay that reaches it.
func (d *Dialer) DialServer(ctx context.Context, s directory.Server) (c *Conn, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // ends the attempts that are left
	relays := d.order()
	ended := make(chan attempt, len(relays))
	next := time.NewTimer(0)
	defer next.Stop()
	err = ErrNoRelay
	for started, running := 0, 0; started < len(relays) || running > 0; {
		select {
		case <-ctx.Done():
			go closeLate(ended, running)
			if errors.Is(err, ErrServerUnreachable) {
				return nil, err
			}
			return nil, ctx.Err()
		case <-next.C:
			if started < len(relays) {
				go d.try(ctx, relays[started], s, ended)
				started, running = started+1, running+1
				next.Reset(nextRelayDelay)
			}
		case a := <-ended:
			running--
			if a.err == nil {
				go closeLate(ended, running)
				return a.conn, nil
			}
			if errors.Is(a.err, ErrServerUnreachable) {
				err = a.err
			}
			next.Reset(0)
		}
	}
	return nil, err
}

// closeLate closes the connections of attempts that ended after another one.
func closeLate(ended <-chan attempt, running int) {
	for range running {
		if a := <-ended; a.conn != nil {
			_ = a.conn.Close() // it carried nothing
		}
	}
}

// order returns the relays in the order in which they are tried.
func (d *Dialer) order() (relays []string) {
	all := d.relays()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.next++
	now := d.clock.Now()
	var avoided []string
	for n := range all {
		r := all[(n+d.next)%len(all)]
		switch until, ok := d.avoided[r]; {
		case ok && now.Before(until):
			avoided = append(avoided, r)
		case ok:
			delete(d.avoided, r)
			fallthrough
		default:
			relays = append(relays, r)
		}
	}
	relays = append(relays, avoided...)
	return relays[:min(len(relays), maxAttempts)]
}

// try connects to a server over one relay.
func (d *Dialer) try(ctx context.Context, relay string, s directory.Server, ended chan<- attempt) {
	conn, err := connect(ctx, relay, s)
	if err != nil && ctx.Err() == nil && !errors.Is(err, ErrServerUnreachable) {
		d.mu.Lock()
		d.avoided[relay] = d.clock.Now().Add(avoidTime)
		d.mu.Unlock()
	}
	ended <- attempt{conn: conn, err: err}
}

func connect(ctx context.Context, relay string, s directory.Server) (c *Conn, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("connect over %s: %w", relay, err)
		}
	}()
	raw, reader, reply, err := hostlink.ConnectServer(ctx, relay, hostlink.ServerConnect{Server: s.ID, Address: s.Address})
	if err != nil {
		return nil, err
	}
	switch reply.Outcome {
	case hostlink.ServerConnected:
		return newConn(raw, reader), nil
	case hostlink.ServerUnreachable:
		err = ErrServerUnreachable
	case hostlink.ServerNotListed, hostlink.RelayCutOff, hostlink.RelayFull, hostlink.RelayStopping:
		err = fmt.Errorf("the relay refused: %s", reply.Outcome)
	default:
		err = fmt.Errorf("unknown reply %d of the relay", reply.Outcome)
	}
	_ = raw.Close() // the relay sends nothing more
	return nil, err
}

func newConn(raw net.Conn, reader *bufio.Reader) *Conn { return &Conn{Conn: raw, reader: reader} }
