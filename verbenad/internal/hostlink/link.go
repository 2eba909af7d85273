package hostlink

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// outboxSize bounds the frames queued for a peer that doesn't read.
	outboxSize = 1024
	// writeTimeout is how long a write may take before the connection is closed, because the peer doesn't read.
	writeTimeout = 2 * time.Second
	dialTimeout  = 500 * time.Millisecond
	// readBufferSize is in bytes and fits usual frames.
	readBufferSize = 4096
)

// ErrClosed means that the connection is closed.
var ErrClosed = errors.New("connection to the host is closed")

// ErrNoReply means that a call was sent and no reply came: it may have taken effect.
var ErrNoReply = errors.New("no reply from the host")

var (
	framesSent     = metrics.NewCounter("verbenad_host_frames_sent_total")
	framesReceived = metrics.NewCounter("verbenad_host_frames_received_total")
	bytesSent      = metrics.NewCounter("verbenad_host_bytes_sent_total")
)

// keepAlive detects a peer that is gone without closing the connection.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// Link is a connection to a host.
type Link struct {
	conn      net.Conn
	reader    *bufio.Reader
	outbox    chan []byte
	closed    chan struct{}
	closeOnce sync.Once
}

func dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive}
	return d.DialContext(ctx, "tcp", address)
}

func newLink(c net.Conn, r *bufio.Reader) *Link {
	l := &Link{conn: c, reader: r, outbox: make(chan []byte, outboxSize), closed: make(chan struct{})}
	go l.write()
	return l
}

// Send queues a frame. It never blocks: if the queue is full, the connection is closed.
func (l *Link) Send(f Frame) error {
	raw, err := Encode(f)
	if err != nil {
		return err
	}
	return l.SendEncoded(raw)
}

// SendEncoded queues an encoded frame.
func (l *Link) SendEncoded(raw []byte) error {
	select {
	case <-l.closed:
		return ErrClosed
	default:
	}
	select {
	case l.outbox <- raw:
		return nil
	default:
		l.Close()
		return ErrClosed
	}
}

func (l *Link) write() {
	w := bufio.NewWriterSize(l.conn, 4096)
	for {
		select {
		case <-l.closed:
			return
		case raw := <-l.outbox:
			_ = l.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection, as the write then does
			if !l.writeAll(w, raw) {
				l.Close()
				return
			}
		}
	}
}

// writeAll writes a frame and all that are queued behind it.
func (l *Link) writeAll(w *bufio.Writer, raw []byte) bool {
	for {
		if _, err := w.Write(raw); err != nil {
			return false
		}
		framesSent.Inc()
		bytesSent.Add(len(raw))
		select {
		case raw = <-l.outbox:
		default:
			return w.Flush() == nil
		}
	}
}

// Read calls handle for each frame until the connection ends.
func (l *Link) Read(handle func(Frame)) error {
	defer l.Close()
	for {
		f, err := decode(l.reader)
		if err != nil {
			return err
		}
		framesReceived.Inc()
		handle(f)
	}
}

// Close ends the connection.
func (l *Link) Close() {
	l.closeOnce.Do(func() {
		close(l.closed)
		_ = l.conn.Close() // the connection isn't used any more
	})
}

// Closed returns a channel that is closed when the connection has ended.
func (l *Link) Closed() <-chan struct{} { return l.closed }
