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

// acceptPause is the pause after a failed accept, most likely for want of descriptors.
const acceptPause = 10 * time.Millisecond

// firstTimeout is how long a new connection may be silent.
const firstFrameTimeout = 3 * time.Second

var connectionsForwarded = metrics.NewCounter("verbenad_host_connections_passed_on_total")

// Guide knows the owners of shared state.
type OwnerMap interface {
	// IsOwner tells whether an owner is reached at an address.
	IsOwner(address string) bool
	// News is the map of owners; ok is false if it isn't known.
	AsUpdate() (n Update, ok bool)
}

// Listen accepts connections until the context ends. Each is handled with its first message, told the
// map of owners if it asks who they are, or passed on if it asks for an owner's address.
func Listen(ctx context.Context, address string, g OwnerMap, handle func(*Link, Frame)) error {
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
			log.WithError(err).Warn("connection of a host not accepted")
			time.Sleep(acceptPause)
			continue
		}
		go serveConn(ctx, c, g, handle)
	}
}

func serveConn(ctx context.Context, c net.Conn, g OwnerMap, handle func(*Link, Frame)) {
	r := bufio.NewReaderSize(c, readBuffer)
	_ = c.SetReadDeadline(time.Now().Add(firstFrameTimeout)) // fails only on a closed connection, as the read then does
	first, err := decode(r)
	if err != nil {
		_ = c.Close() // nothing was asked
		return
	}
	_ = c.SetReadDeadline(time.Time{}) // as above
	if first.ForwardTo == "" && !first.FetchOwners {
		handle(newLink(c, r), first)
		return
	}
	defer func() { _ = c.Close() }() // both ends are told by the close
	if first.FetchOwners {
		sendOwners(c, g)
		return
	}
	if !g.IsOwner(first.ForwardTo) {
		log.WithField("address", first.ForwardTo).Warn("connection not passed on: not an owner's address")
		return
	}
	forward(ctx, c, r, first.ForwardTo)
}

func sendOwners(c net.Conn, g OwnerMap) {
	var f Frame
	if n, ok := g.AsUpdate(); ok {
		f.Update = &n
	}
	raw, err := Encode(f)
	if err == nil {
		_ = c.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection, as the write then does
		_, err = c.Write(raw)
	}
	if err != nil {
		log.WithError(err).Info("map of owners not told")
	}
}

// AskOwners asks a host for the map of owners. ok is false if it doesn't know one.
func FetchOwners(ctx context.Context, address string) (n Update, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout+confirmTimeout)
	defer cancel()
	c, err := dial(ctx, address)
	if err != nil {
		return n, false
	}
	defer func() { _ = c.Close() }() // all was read
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	raw, err := Encode(Frame{FetchOwners: true})
	if err != nil {
		return n, false
	}
	if _, err := c.Write(raw); err != nil {
		return n, false
	}
	f, err := decode(c)
	if err != nil || f.Update == nil {
		return n, false
	}
	return *f.Update, true
}

// passOn copies bytes both ways until either end closes.
func forward(ctx context.Context, c net.Conn, r io.Reader, address string) {
	target, err := dial(ctx, address)
	if err != nil {
		log.WithError(err).Info("connection not passed on")
		return
	}
	connectionsForwarded.Inc()
	end := func() {
		_ = target.Close() // the other direction ends with it
		_ = c.Close()
	}
	stop := context.AfterFunc(ctx, end)
	defer stop()
	go func() {
		defer end()
		_, err := io.Copy(target, r)
		logCopyError(err)
	}()
	defer end()
	_, err = io.Copy(c, target)
	logCopyError(err)
}

func logCopyError(err error) {
	if err != nil && !errors.Is(err, net.ErrClosed) {
		log.WithError(err).Info("passed-on connection ended")
	}
}
