package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"verbenaledge.example/platform/standin"
)

// keptConnection is a connection of a caller that carries one request after another. Unlike http.Client, it is used even if its
// host has just closed it.
type keptConnection struct {
	conn   net.Conn
	reader *bufio.Reader
	// closes is set once a response has announced that the connection closes.
	closes bool
}

// openConnection connects to a host itself: a relay would accept connections that the host doesn't, and read before the host does.
func openConnection(h *host) (k *keptConnection, err error) {
	conn, err := net.DialTimeout("tcp", address(h.ip, callerPort), callTimeout)
	if err != nil {
		return nil, err
	}
	return &keptConnection{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// call sends a request of a plain service and reads its answer, if there is one.
func (k *keptConnection) call(id string) (c Call, err error) {
	return k.send(Call{ID: id, Route: RouteApp, Key: keyWithinRate}, nil, false)
}

// stream asks for a stream and reads it, if there is one. The request's body may be of unstated length.
func (k *keptConnection) stream(id string, chunked bool) (c Call, err error) {
	return k.send(Call{ID: id, Route: RouteStream, Key: keyStreams}, standin.StreamHeaders(), chunked)
}

func (k *keptConnection) send(request Call, header map[string]string, chunked bool) (c Call, err error) {
	c = request
	c.Sent = time.Now()
	defer func() {
		c.Ended, c.Complete = time.Now(), err == nil
		if err != nil {
			err = fmt.Errorf("call %s on a kept connection: %w", c.ID, err)
		}
	}()
	r, err := http.NewRequest(http.MethodPost, "http://host.example/"+string(c.Route)+"/x", strings.NewReader(c.ID))
	if err != nil {
		return c, err
	}
	r.Header.Set("Authorization", "Bearer "+c.Key)
	r.Header.Set(standin.HeaderRequestID, c.ID)
	for name, value := range header {
		r.Header.Set(name, value)
	}
	if chunked {
		r.ContentLength = -1
	}
	if err := k.conn.SetDeadline(c.Sent.Add(callTimeout)); err != nil {
		return c, err
	}
	if err := r.Write(k.conn); err != nil {
		return c, err
	}
	response, err := http.ReadResponse(k.reader, r)
	if err != nil {
		return c, err
	}
	defer func() { _ = response.Body.Close() }() // read errors are returned
	body, err := io.ReadAll(response.Body)
	c.Status, c.Body, k.closes = response.StatusCode, string(body), response.Close
	return c, err
}

// close closes the connection, unless it was never opened.
func (k *keptConnection) close() {
	if k != nil {
		_ = k.conn.Close() // all that was of interest has been read
	}
}
