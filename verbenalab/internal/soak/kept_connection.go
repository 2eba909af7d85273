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
}

// openConnection connects to a host itself: a relay would accept connections that the host doesn't, and read before the host does.
func openConnection(h *host) (k *keptConnection, err error) {
	conn, err := net.DialTimeout("tcp", address(h.ip, callerPort), callTimeout)
	if err != nil {
		return nil, err
	}
	return &keptConnection{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// call sends a request and reads its answer, if there is one.
func (k *keptConnection) call(id string) (c Call, err error) {
	c = Call{ID: id, Route: RouteApp, Key: keyWithinRate, Sent: time.Now()}
	defer func() {
		c.Ended, c.Complete = time.Now(), err == nil
		if err != nil {
			err = fmt.Errorf("call %s on a kept connection: %w", id, err)
		}
	}()
	request, err := http.NewRequest(http.MethodPost, "http://host.example/"+string(c.Route)+"/x", strings.NewReader(id))
	if err != nil {
		return c, err
	}
	request.Header.Set("Authorization", "Bearer "+c.Key)
	request.Header.Set(standin.HeaderRequestID, id)
	if err := k.conn.SetDeadline(c.Sent.Add(callTimeout)); err != nil {
		return c, err
	}
	if err := request.Write(k.conn); err != nil {
		return c, err
	}
	response, err := http.ReadResponse(k.reader, request)
	if err != nil {
		return c, err
	}
	defer func() { _ = response.Body.Close() }() // read errors are returned
	body, err := io.ReadAll(response.Body)
	c.Status, c.Body = response.StatusCode, string(body)
	return c, err
}

// close closes the connection, unless it was never opened.
func (k *keptConnection) close() {
	if k != nil {
		_ = k.conn.Close() // all that was of interest has been read
	}
}
