package backend

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"verbenaledge.example/verbenad/internal/tcpstate"
)

// sentTimeout is how long the end of a connection waits for the result of the request's write, which may come later than
// the end although all of the request has been sent.
const sentTimeout = 300 * time.Millisecond

// sentRequest tells whether a request has been sent.
type sentRequest struct {
	// written gets the result of the request's write, err is that result once known is set.
	written chan error
	known   bool
	err     error
	conn    atomic.Pointer[tcpstate.Conn]
}

func newSentRequest() *sentRequest { return &sentRequest{written: make(chan error, 1)} }

// trace returns a context in which the request is to be sent.
func (s *sentRequest) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(interface{ NetConn() net.Conn }); ok {
				s.begin(c.NetConn())
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if c := s.conn.Load(); c != nil {
				c.EndRequest()
			}
			select {
			case <-s.written: // that of an idle connection which was closed
			default:
			}
			s.written <- info.Err
		},
	})
}

// begin records the connection to which the request is written.
func (s *sentRequest) begin(c net.Conn) {
	if c, ok := c.(*tcpstate.Conn); ok {
		c.BeginRequest()
		s.conn.Store(c)
	}
}

// completely reports whether all of the request was sent. It waits for the result of the write.
func (s *sentRequest) completely() bool {
	if !s.known {
		timer := time.NewTimer(sentTimeout)
		defer timer.Stop()
		select {
		case s.err = <-s.written:
			s.known = true
		case <-timer.C:
			return false
		}
	}
	return s.err == nil
}
