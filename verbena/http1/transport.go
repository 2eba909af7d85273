package http1

import (
	"context"
	"io"
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
	response, err := t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	response.Body = &checkedBody{response.Body, response}
	return response, nil
}

// CloseIdleConnections closes the connections that carry no call.
func (t *transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// checkedBody is a body whose end is an error if the fields after it are malformed.
type checkedBody struct {
	io.ReadCloser
	response *http.Response
}

func (c *checkedBody) Read(p []byte) (n int, err error) {
	n, err = c.ReadCloser.Read(p)
	if err == io.EOF {
		if malformed := CheckTrailer(c.response.Trailer); malformed != nil {
			return n, malformed
		}
	}
	return n, err
}
