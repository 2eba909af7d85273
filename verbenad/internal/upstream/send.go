package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/exchange"
	"verbenaledge.example/verbena/ids"
)

// Ran says what is known of a send.
type Ran int

// What may be known of a send.
const (
	// NeverLeft: no byte of the request left this host.
	NeverLeft Ran = iota
	// NotExecuted: the server said that it has not run the request.
	NotExecuted
	// Unknown: the request left and no answer tells its fate.
	Unknown
	// Executed: an answer to the request came.
	Executed
)

// Error is a send that brought no answer.
type Error struct {
	Ran Ran
	// Reached tells whether a connection stood.
	Connected bool
	Err       error
}

// Error describes the failure.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ErrForeign is an answer that belongs to another request.
var ErrForeign = errors.New("the answer bears another request's id")

// Request is what is sent.
type Request struct {
	ID     ids.RequestID
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	Server directory.Server
}

// Answer is a server's answer; its body must be closed.
type Response struct {
	Status int
	Header http.Header
	Length int64
	Reply  exchange.ResponseInfo
	// First is the time from the send to the headers.
	TimeToHeaders time.Duration

	client   *Client
	conn     *conn
	response *http.Response
	server   directory.Server
	protocol exchange.Protocol
	wrote    <-chan error
	stop     func() bool
	whole    bool
}

// Send sends a request and reads the headers of its answer. The connection closes when the context ends.
func (c *Client) Send(ctx context.Context, p exchange.Protocol, r Request) (a *Response, err error) {
	for {
		k := c.take(r.Server.ID)
		if k == nil {
			if k, err = c.dial(ctx, r.Server.Address); err != nil {
				return nil, &Error{Ran: NeverLeft, Err: fmt.Errorf("connect to %s: %w", r.Server.Address, err)}
			}
		}
		a, err = c.exchange(ctx, p, r, k)
		var failed *Error
		if k.reused && errors.As(err, &failed) && failed.Ran == NeverLeft && ctx.Err() == nil {
			continue // the idle connection was closed before a byte left
		}
		return a, err
	}
}

func (c *Client) exchange(ctx context.Context, p exchange.Protocol, r Request, k *conn) (a *Response, err error) {
	start := c.clock.Now()
	stop := context.AfterFunc(ctx, func() { _ = k.Close() }) // the server stops work when its connection closes
	fail := func(ran Ran, err error) (*Response, error) {
		stop()
		_ = k.Close() // the connection is of no further use
		return nil, &Error{Ran: ran, Connected: true, Err: err}
	}
	wrote, err := k.send(r)
	if err != nil {
		return fail(Unknown, fmt.Errorf("send to %s: %w", r.Server.Address, err))
	}
	note := func(head *http.Response) {
		if p.ParseResponse(head.StatusCode, head.Header).Draining {
			c.onDraining(r.Server)
		}
	}
	response, err := k.readResponse(r.Method, note) //nolint:bodyclose // Close of the body would wait for its rest; Answer.Close closes the connection
	if err != nil {
		return fail(Unknown, fmt.Errorf("read answer of %s: %w", r.Server.Address, err))
	}
	reply := p.ParseResponse(response.StatusCode, response.Header)
	if !k.belongs(reply, r.ID) {
		return fail(Unknown, fmt.Errorf("%s: %w", r.Server.Address, ErrForeign))
	}
	return &Response{
		Status: response.StatusCode, Header: response.Header, Length: response.ContentLength, Reply: reply,
		TimeToHeaders: c.clock.Now().Sub(start), client: c, conn: k, response: response, server: r.Server, protocol: p, wrote: wrote, stop: stop,
	}, nil
}

// belongs tells whether an answer is the request's. A server may refuse a request without naming it; on a
// connection that is used again such an answer may be a late copy of one to an earlier request.
func (k *conn) belongs(reply exchange.ResponseInfo, id ids.RequestID) bool {
	return reply.ID == id || reply.ID == "" && reply.NotExecuted && !k.reused
}

// smallBody is sent with the headers in one write; a larger one is sent beside the reading of the
// answer, which may come early.
const smallBody = 16 << 10

// send writes the request. The channel tells when a large body is out; it is nil if all is.
func (k *conn) send(r Request) (wrote <-chan error, err error) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	h := r.Header
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	if err := h.WriteSubset(&b, ownFraming); err != nil {
		return nil, err
	}
	b.WriteString("\r\n")
	if len(r.Body) <= smallBody {
		b.Write(r.Body)
		_, err := k.Write(b.Bytes())
		return nil, err
	}
	if _, err := k.Write(b.Bytes()); err != nil {
		return nil, err
	}
	done := make(chan error, 1)
	go func() {
		_, err := k.Write(r.Body)
		done <- err
	}()
	return done, nil
}

var ownFraming = map[string]bool{"Content-Length": true, "Host": true, "Transfer-Encoding": true}

// Read reads the body. io.EOF comes only after the whole of it.
func (a *Response) Read(p []byte) (n int, err error) {
	n, err = a.response.Body.Read(p)
	if err == io.EOF {
		a.whole = true
	}
	return n, err
}

// Close ends the answer. A connection whose answer was read whole is kept; another one is closed,
// which stops the server's work.
func (a *Response) Close() {
	live := a.stop()
	if !live || !a.whole || a.response.Close || a.conn.reader.Buffered() > 0 || !a.sent() {
		_ = a.conn.Close() // an unread rest belongs to no request
		return
	}
	a.client.put(a.server.ID, a.conn, a.Reply.KeepAlive)
}

// sent tells whether the whole body has left.
func (a *Response) sent() bool {
	if a.wrote == nil {
		return true
	}
	select {
	case err := <-a.wrote:
		return err == nil
	default:
		return false
	}
}
