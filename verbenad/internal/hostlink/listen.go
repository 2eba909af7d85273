package hostlink

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
)

// acceptPause is the pause after a failed accept, most likely for lack of file descriptors.
const acceptPause = 10 * time.Millisecond

// firstFrameTimeout is how long the first frame on a new connection may take.
const firstFrameTimeout = 3 * time.Second

// forwardEndTimeout is how long the rest of a relayed connection may take once one of its ends has gone.
const forwardEndTimeout = 2 * time.Second

var connectionsForwarded = metrics.NewCounter("verbenad_host_connections_passed_on_total")

// OwnerMap maps shared state to the hosts that own it.
type OwnerMap interface {
	// IsOwner reports whether an owner is reached at an address.
	IsOwner(address string) bool
	// AsUpdate returns the map of owners; ok is false if it isn't known.
	AsUpdate() (update Update, ok bool)
}

// Listen accepts connections until the context ends. The first frame on a connection decides what is done with it: it is
// sent the map of owners, relayed to an owner's address or to a backend server, or passed to handle.
func Listen(ctx context.Context, address string, owners OwnerMap, handle func(*Link, Frame), options ...ListenOption) error {
	l := &listener{owners: owners, handle: handle}
	for _, o := range options {
		o(l)
	}
	lc := net.ListenConfig{KeepAliveConfig: keepAlive}
	ln, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { _ = ln.Close() }) // the process is ending
	for {
		c, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			log.WithError(err).Warn("connection from host not accepted")
			time.Sleep(acceptPause)
			continue
		}
		go l.serveNewcomer(ctx, c, l.newcomers.add(c))
	}
}

// listener decides what is done with the connections of hosts.
type listener struct {
	owners  OwnerMap
	handle  func(*Link, Frame)
	servers ServerRelay
	// newcomers are the connections without a first frame.
	newcomers newcomers
}

func (l *listener) serve(ctx context.Context, c net.Conn) {
	l.serveNewcomer(ctx, c, l.newcomers.add(c))
}

func (l *listener) serveNewcomer(ctx context.Context, c net.Conn, n *newcomer) {
	r := bufio.NewReaderSize(c, readBufferSize)
	_ = c.SetReadDeadline(time.Now().Add(firstFrameTimeout)) // fails only on a closed connection, as the read then does
	first, err := decodeWithin(r, n.reserve)
	n.arrived()
	if err != nil {
		_ = c.Close() // no request was received
		return
	}
	_ = c.SetReadDeadline(time.Time{}) // as above
	if first.ServerConnect != nil && l.servers != nil {
		l.servers.RelayServer(ctx, c, r, *first.ServerConnect)
		return
	}
	if first.ForwardTo == "" && !first.FetchOwners {
		l.handle(newLink(c, r), first)
		return
	}
	defer func() { _ = c.Close() }() // nothing more is sent
	if first.FetchOwners {
		sendOwners(c, l.owners)
		return
	}
	if !l.owners.IsOwner(first.ForwardTo) {
		log.WithField("address", first.ForwardTo).Warn("connection not relayed: not an owner's address")
		return
	}
	forward(ctx, c, r, first.ForwardTo)
}

func sendOwners(c net.Conn, owners OwnerMap) {
	var f Frame
	if update, ok := owners.AsUpdate(); ok {
		f.Update = &update
	}
	raw, err := Encode(f)
	if err == nil {
		_ = c.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection, as the write then does
		_, err = c.Write(raw)
	}
	if err != nil {
		log.WithError(err).Info("map of owners not sent")
	}
}

// FetchOwners requests the map of owners from a host. ok is false if the host doesn't reply or doesn't know the map.
func FetchOwners(ctx context.Context, address string) (update Update, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout+confirmTimeout)
	defer cancel()
	c, err := dial(ctx, address)
	if err != nil {
		return update, false
	}
	defer func() { _ = c.Close() }() // the reply has been read
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	raw, err := Encode(Frame{FetchOwners: true})
	if err != nil {
		return update, false
	}
	if _, err := c.Write(raw); err != nil {
		return update, false
	}
	f, err := decode(c)
	if err != nil || f.Update == nil {
		return update, false
	}
	return *f.Update, true
}

// forward relays a connection to an address: it copies bytes both ways until either end closes.
func forward(ctx context.Context, c net.Conn, r io.Reader, address string) {
	target, err := dial(ctx, address)
	if err != nil {
		log.WithError(err).Info("connection not relayed")
		return
	}
	connectionsForwarded.Inc()
	closeBoth := func() {
		_ = target.Close() // both directions have ended, or the process is ending
		_ = c.Close()
	}
	defer closeBoth()
	stop := context.AfterFunc(ctx, closeBoth)
	defer stop()
	requestsEnded := make(chan struct{})
	go func() {
		defer close(requestsEnded)
		forwardRequests(target, r)
	}()
	_, err = io.Copy(c, target)
	logCopyError(err)
	// A close now would be a reset if frames of the other host are unread, and drop what it hasn't received yet.
	_ = c.SetReadDeadline(time.Now().Add(forwardEndTimeout)) // fails only on a closed connection, as the copy then has
	if half, ok := c.(interface{ CloseWrite() error }); !ok || half.CloseWrite() != nil {
		return
	}
	<-requestsEnded
}

// forwardRequests copies what a host sends until it closes its connection. What the target doesn't take any more is dropped.
func forwardRequests(target net.Conn, r io.Reader) {
	defer func() { _ = target.Close() }() // the host has gone
	_, err := io.Copy(target, r)
	if err == nil {
		return
	}
	logCopyError(err)
	_ = target.SetReadDeadline(time.Now().Add(forwardEndTimeout)) // fails only on a closed connection, as the copy then has
	_, _ = io.Copy(io.Discard, r)                                 // ends with the host's connection, or once nothing is left to send to it
}

func logCopyError(err error) {
	if err != nil && !errors.Is(err, net.ErrClosed) {
		log.WithError(err).Info("relayed connection ended")
	}
}
