// Package upstream is an HTTP/1.1 client for backend servers. It pools connections, reports for each failed send
// whether the server may have executed the request, and returns a response only if it carries the request's id.
package upstream

import (
	"bufio"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbenad/internal/serverrelay"
)

// conn is a connection to one server, used by one request at a time.
type conn struct {
	net.Conn
	reader    *bufio.Reader
	headLimit *headLimitReader
	idleSince time.Time
	// maxIdleTime is how long after idleSince the connection may be reused.
	maxIdleTime time.Duration
	// carried is set once the connection has carried a response, reused if it carries a further request.
	carried, reused bool
	server          directory.Server
	// number is unique among the connections of this process.
	number uint64
	// requests are those that were written to the connection.
	requests requestHistory
	// carriedHead is set once the connection has carried a HEAD request, whose answer has a length and no body.
	carriedHead bool
	// relayed is set if the connection goes over another host.
	relayed bool
}

// Answers that came late, on connections that no request was using, or in place of another request's answer.
var (
	lateOnIdleConnection = metrics.NewCounter(`verbenad_server_late_answers_total{at="idle_connection"}`)
	lateAtOtherRequest   = metrics.NewCounter(`verbenad_server_late_answers_total{at="other_request"}`)
)

// lastConnection is the number of the last connection.
var lastConnection atomic.Uint64

// newConn returns a connection that has carried nothing yet.
func newConn(n net.Conn) *conn {
	limit := &headLimitReader{source: n}
	return &conn{Conn: n, headLimit: limit, reader: bufio.NewReaderSize(limit, readBufferSize), number: lastConnection.Add(1)}
}

// newConn returns a connection to a server that has carried nothing yet.
func (c *Client) newConn(n net.Conn, s directory.Server, relayed bool) *conn {
	connection := newConn(n)
	connection.server, connection.relayed = s, relayed
	if !relayed {
		connection.headLimit.source = &receiptReader{source: n, received: func() { c.paths.received(s.ID) }}
	}
	return connection
}

// receiptReader calls a function whenever something was read.
type receiptReader struct {
	source   io.Reader
	received func()
}

func (r *receiptReader) Read(p []byte) (n int, err error) {
	n, err = r.source.Read(p)
	if n > 0 {
		r.received()
	}
	return n, err
}

const (
	// readBufferSize holds the headers of a response and some events, in bytes.
	readBufferSize = 4096
	// defaultIdleTime is how long an idle connection may be reused if the server states no time.
	defaultIdleTime = 4 * time.Second
	// idleMargin is subtracted from the server's stated idle time, so that no request is sent while the server closes
	// the connection.
	idleMargin = 700 * time.Millisecond
)

// reusable reports whether the connection may carry another request: its idle time is not over, the server hasn't
// closed it, and no unexpected bytes have arrived.
func (c *conn) reusable(now time.Time) bool {
	if c.reader.Buffered() > 0 {
		lateOnIdleConnection.Inc()
		return false
	}
	if now.Sub(c.idleSince) >= c.maxIdleTime {
		return false
	}
	if r, ok := c.Conn.(*serverrelay.Conn); ok && !r.Reusable() {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noData = err == syscall.EAGAIN
		if n > 0 {
			lateOnIdleConnection.Inc()
		}
		return true
	})
	return err == nil && noData
}
