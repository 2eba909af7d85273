package http1

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// NewTransport returns a transport that makes calls over a base and fails those whose responses are malformed. It changes how
// the base, which must set DialContext, connects.
func NewTransport(base *http.Transport) http.RoundTripper {
	dial := base.DialContext
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &checkedConn{Conn: c}, nil
	}
	return &transport{base}
}

type transport struct{ base *http.Transport }

// RoundTrip makes a call.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*checkedConn); ok {
			c.expectResponse()
		}
	}}
	return t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
}

// CloseIdleConnections closes the connections that carry no call.
func (t *transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
