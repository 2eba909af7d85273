package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"verbenaledge.example/verbena/completion"
	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/exchange"
	"verbenaledge.example/verbena/http1"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/limit"
	"verbenaledge.example/verbena/reachability"
	"verbenaledge.example/verbenad/internal/serverrelay"
	"verbenaledge.example/verbenad/internal/tcpstate"
)

// Execution is what is known about whether a server executed a request.
type Execution int

const (
	// NotSent means that no byte of the request left this host.
	NotSent Execution = iota
	// NotExecuted means that the server reported that it has not executed the request.
	NotExecuted
	// MaybeExecuted means that the request was sent, and no response says whether it was executed.
	MaybeExecuted
	// Executed means that a response to the request arrived.
	Executed
)

// Error is the failure of a send that got no response.
type Error struct {
	Execution Execution
	// Connected is set if a connection to the server was established.
	Connected bool
	// Relayed is set if the request was sent over another host.
	Relayed bool
	// PathBroken is set if this host doesn't reach the server, which says nothing about the server.
	PathBroken bool
	Err        error
}

// Error describes the failure.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ErrRequestIDMismatch is returned for a response that belongs to another request.
var ErrRequestIDMismatch = errors.New("response carries another request's id")

// Request is a request to a backend server.
type Request struct {
	ID     ids.RequestID
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	Server directory.Server
	// OnLimit is called with what each head of a response says of the server's limit; nil ignores it. late is set for a response to
	// another request, which may be older than this one.
	OnLimit func(s limit.Statement, late bool)
}

// Response is a server's response. It must be closed.
type Response struct {
	Status int
	Header http.Header
	Length int64
	Info   exchange.ResponseInfo
	// TimeToHeaders is the time from the send to the response's headers.
	TimeToHeaders time.Duration
	// Relayed is set if the response came over another host.
	Relayed bool
	// Connection is how the connection had been used when the response arrived.
	Connection ConnectionUse

	client       *Client
	conn         *conn
	httpResponse *http.Response
	server       directory.Server
	protocol     exchange.Protocol
	// bodyWritten gets the result of writing the request's body; it is nil if the result is known, which is bodyError.
	bodyWritten   <-chan error
	bodyError     error
	bodyBytes     int
	detachContext func() bool
	complete      bool
}

// ErrUnsafeRequest is returned for a request whose method, target or host would end its line or its head early, and so
// smuggle another request to the server.
var ErrUnsafeRequest = errors.New("request line or host holds a space or a control character")

// CheckTarget returns ErrUnsafeRequest for a request target that can't be sent.
func CheckTarget(target string) error {
	if target == "" || isUnsafe(target) {
		return ErrUnsafeRequest
	}
	return nil
}

// isUnsafe reports whether a string holds a space or a control character.
func isUnsafe(s string) bool {
	return strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r == 0x7f })
}

// Send sends a request and reads the headers of its response. The connection closes when the context ends.
func (c *Client) Send(ctx context.Context, p exchange.Protocol, r Request) (response *Response, err error) {
	if CheckTarget(r.Target) != nil || isUnsafe(r.Method) || isUnsafe(r.Host) {
		return nil, &Error{Execution: NotSent, Err: ErrUnsafeRequest}
	}
	for {
		conn := c.takeIdle(r.Server.ID, r.ID)
		if conn != nil && conn.relayed && c.paths.recheckDue(r.Server.ID) {
			go c.recheckPath(r.Server) // requests that reuse connections attempt no new ones
		}
		if conn == nil {
			if conn, err = c.connect(ctx, r.Server, c.paths.plan(r.Server.ID)); err != nil {
				return nil, &Error{
					Execution: NotSent, PathBroken: c.Bypassed(r.Server.ID), Err: fmt.Errorf("connect to %s: %w", r.Server.Address, err),
				}
			}
		}
		response, err = c.roundTrip(ctx, p, r, conn)
		var failed *Error
		if conn.reused && errors.As(err, &failed) && failed.Execution == NotSent && ctx.Err() == nil {
			continue // the server closed the idle connection before a byte was sent
		}
		return response, err
	}
}

func (c *Client) roundTrip(ctx context.Context, p exchange.Protocol, r Request, conn *conn) (response *Response, err error) {
	start := c.clock.Now()
	detachContext := context.AfterFunc(ctx, func() { _ = conn.Close() }) // the server stops working when its connection closes
	failed := func(err error) error {
		detachContext()
		_ = conn.Close() // it can't carry another request
		if conn.relayed && c.clock.Now().Sub(start) >= reachability.SilenceLimit() {
			c.closeUnusedOver(conn.RemoteAddr())
		}
		return &Error{Execution: MaybeExecuted, Connected: true, Relayed: conn.relayed, Err: err}
	}
	defer c.watchPath(conn, r.Server)()
	repeated := conn.requests.holds(r.ID)
	conn.requests.add(r.ID)
	conn.carriedHead = conn.carriedHead || r.Method == http.MethodHead
	bodyWritten, err := conn.writeRequest(r)
	if err != nil {
		return nil, failed(fmt.Errorf("send to %s: %w", r.Server.Address, err))
	}
	httpResponse, info, err := c.readAnswer(p, r, conn) //nolint:bodyclose // that would read the rest; Response.Close closes the connection
	if err != nil {
		return nil, failed(err)
	}
	return &Response{
		Status: httpResponse.StatusCode, Header: httpResponse.Header, Length: httpResponse.ContentLength, Info: info,
		TimeToHeaders: c.clock.Now().Sub(start), Relayed: conn.relayed,
		Connection: ConnectionUse{Number: conn.number, Requests: conn.requests.count(), Repeated: repeated},
		client:     c, conn: conn, httpResponse: httpResponse, server: r.Server, protocol: p,
		bodyWritten: bodyWritten, bodyBytes: len(r.Body), detachContext: detachContext,
	}, nil
}

// headArrived passes on what each head says, also that of an interim response.
func (c *Client) headArrived(p exchange.Protocol, r Request, head *http.Response) {
	info := p.ParseResponse(head.StatusCode, head.Header)
	if info.Draining {
		c.onDraining(r.Server)
	}
	if statement, ok := limitStatement(head.StatusCode, info, r.ID); ok && r.OnLimit != nil {
		r.OnLimit(statement, info.ID != "" && info.ID != r.ID)
	}
}

// matches reports whether a response belongs to the request. A server may refuse a request without giving its id; on a
// reused connection such a refusal is not accepted, as it may be a late copy of one to an earlier request.
func (c *conn) matches(info exchange.ResponseInfo, id ids.RequestID) bool {
	return info.ID == id || info.ID == "" && info.NotExecuted && !c.reused
}

// maxLoggedIDBytes limits what an error shows of an id that a server chose.
const maxLoggedIDBytes = 48

// mismatch returns the error for a response to another request, and whether the connection has carried that request.
func (c *conn) mismatch(info exchange.ResponseInfo) error {
	origin := "not sent on this connection"
	if c.requests.holds(info.ID) {
		origin = "sent on this connection before"
	}
	return fmt.Errorf("%w: %q, %s", ErrRequestIDMismatch, info.ID[:min(len(info.ID), maxLoggedIDBytes)], origin)
}

// maxInlineBody is the largest body, in bytes, that is sent with the headers in one write. A larger one is written while
// the response is read, as a server may respond early.
const maxInlineBody = 16 << 10

// writeRequest writes the request. The channel gets the result of writing a large body; it is nil if all has been written.
func (c *conn) writeRequest(r Request) (bodyWritten <-chan error, err error) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	h := r.Header
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	if err := h.WriteSubset(&b, framingHeaders); err != nil {
		return nil, err
	}
	b.WriteString("\r\n")
	if len(r.Body) <= maxInlineBody {
		b.Write(r.Body)
		_, err := c.Write(b.Bytes())
		return nil, err
	}
	if _, err := c.Write(b.Bytes()); err != nil {
		return nil, err
	}
	done := make(chan error, 1)
	go func() {
		_, err := c.Write(r.Body)
		done <- err
	}()
	return done, nil
}

var framingHeaders = map[string]bool{"Content-Length": true, "Host": true, "Transfer-Encoding": true}

// bodyResultPoll is the time between checks whether the server has received more of the request's body.
const bodyResultPoll = 20 * time.Millisecond

// ReadBody reads the body. The end is nil until all of the body has arrived or it can't be read further.
func (r *Response) ReadBody(p []byte) (n int, end completion.End) {
	n, err := r.httpResponse.Body.Read(p)
	switch {
	case err == nil:
		return n, nil
	case err != io.EOF: // an end within the stated length or the chunks is another error
		return n, completion.BrokenOff{Err: err}
	}
	if err := http1.CheckTrailer(r.httpResponse.Trailer); err != nil {
		return n, completion.BrokenOff{Err: err}
	}
	if r.Framing() != FramedByConnection || r.httpResponse.Body == http.NoBody {
		r.complete = true
		return n, completion.Whole{}
	}
	if !r.closedInOrder() {
		// The kernel reports a reset only once: the write of the request's body got it.
		return n, completion.BrokenOff{Err: io.ErrUnexpectedEOF}
	}
	r.complete = true
	return n, completion.Claimed{}
}

// closedInOrder reports whether a server that has closed its direction of the connection did so in order, and received the request.
func (r *Response) closedInOrder() bool {
	r.awaitBodyResult()
	relayed, isRelayed := r.conn.Conn.(*serverrelay.Conn)
	switch {
	case !r.bodySent():
		return false
	case !isRelayed:
		return tcpstate.ClosedInOrder(r.conn.Conn)
	case r.bodyBytes == 0:
		return true
	}
	// The end that the relay reported covers what it had by then: a part of the body may have been on its way to it.
	received, err := relayed.ConfirmEnd()
	if err != nil {
		return r.bodyBytes <= maxInlineBody // relays of former releases don't confirm such an end
	}
	return received
}

// Close ends the response. A connection whose response was read completely is kept for reuse; any other is closed,
// which stops the server's work.
func (r *Response) Close() {
	attached := r.detachContext()
	if !attached || !r.complete || r.httpResponse.Close || r.conn.reader.Buffered() > 0 || !r.bodySent() {
		_ = r.conn.Close() // unread bytes would be taken for the next response
		return
	}
	r.conn.carried = true
	r.conn.resetBuffer()
	r.client.putIdle(r.server.ID, r.conn, r.Info.KeepAlive)
}

// awaitBodyResult waits for the result of writing the request's body, unless it is known, while the server goes on receiving: one
// may answer before it reads the request, and end its direction of the connection with the answer.
func (r *Response) awaitBodyResult() {
	if r.bodyWritten == nil {
		return
	}
	poll := time.NewTicker(bodyResultPoll)
	defer poll.Stop()
	for receipt := tcpstate.NewReceipt(r.conn.Conn); !receipt.Stalled(); {
		select {
		case err := <-r.bodyWritten:
			r.setBodyResult(err)
			return
		case <-poll.C:
		}
	}
}

func (r *Response) setBodyResult(err error) { r.bodyError, r.bodyWritten = err, nil }

// bodySent reports whether the request's body is known to have been sent completely.
func (r *Response) bodySent() bool {
	select {
	case err := <-r.bodyWritten: // not from a nil channel
		r.setBodyResult(err)
	default:
	}
	return r.bodyWritten == nil && r.bodyError == nil
}
