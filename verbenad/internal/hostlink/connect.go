package hostlink

import (
	"bufio"
	"context"
	"errors"
	"time"
)

const (
	// confirmTimeout is how long the first reply of a host may take, also over a relay.
	confirmTimeout = 400 * time.Millisecond
	// relayDelay is the time after which the next relay is tried as well; a direct connection takes two round trips.
	relayDelay = 40 * time.Millisecond
	// maxRelays bounds the relays that are tried at once.
	maxRelays = 3
)

// ErrUnreachable means that a host replied neither directly nor over a relay.
var ErrUnreachable = errors.New("host replies neither directly nor over a relay")

// Connect connects to a host directly or, where the network between the two is cut, over a relay. It returns the first
// connection on which the host itself replies.
func Connect(ctx context.Context, address string, relays []string) (l *Link, err error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout+confirmTimeout)
	defer cancel()
	relays = relays[:min(len(relays), maxRelays)]
	links := make(chan *Link, 1+len(relays))
	try := func(to, forwardTo string, after time.Duration) {
		select {
		case <-time.After(after):
		case <-ctx.Done():
		}
		links <- dialAndConfirm(ctx, to, forwardTo)
	}
	go try(address, "", 0)
	for n, h := range relays {
		go try(h, address, time.Duration(n+1)*relayDelay)
	}
	for n := range 1 + len(relays) {
		if l := <-links; l != nil {
			go closeRemaining(links, len(relays)-n)
			return l, nil
		}
	}
	return nil, ErrUnreachable
}

func closeRemaining(links <-chan *Link, count int) {
	for range count {
		if l := <-links; l != nil {
			l.Close()
		}
	}
}

// dialAndConfirm makes one connection and waits for the host's own reply. It returns nil if none comes.
func dialAndConfirm(ctx context.Context, to, forwardTo string) *Link {
	if ctx.Err() != nil {
		return nil
	}
	c, err := dial(ctx, to)
	if err != nil {
		return nil
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() }) // ends the read below
	l := newLink(c, bufio.NewReaderSize(c, readBufferSize))
	if forwardTo != "" {
		err = l.Send(Frame{ForwardTo: forwardTo})
	}
	if err == nil {
		err = l.Send(Frame{Ping: true})
	}
	if err == nil {
		_, err = decode(l.reader)
	}
	if !stop() || err != nil {
		l.Close()
		return nil
	}
	return l
}
