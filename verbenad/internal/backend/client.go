// Package backend speaks to backend servers: model engines and plain services.
package backend

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"verbenaledge.example/verbena/backend"
	"verbenaledge.example/verbena/ids"
)

// The headers that daemons and backend servers exchange.
const (
	HeaderRequestID  = "X-Request-Id"
	HeaderResumeFrom = "X-Resume-From"
	HeaderLoad       = "X-Load-Running"
	HeaderState      = "X-Backend-State"
)

const (
	stateLeaving    = "leaving"
	idlePerServer   = 256
	idleConnTimeout = 90 * time.Second
	maxErrorBytes   = 8 << 10
	// MaxAnswerBytes bounds an answer that isn't streamed.
	MaxResponseBytes = 8 << 20
)

// Client calls backend servers. Connections are not limited in number, so that
// no call waits for another.
type Client struct {
	http  *http.Client
	stall time.Duration
}

// NewClient returns a client with the given patience.
func NewClient(connect, stall time.Duration) *Client {
	dialer := &net.Dialer{Timeout: connect}
	return &Client{
		stall: stall,
		http: &http.Client{
			Transport: &http.Transport{
				DialContext:         dialer.DialContext,
				MaxIdleConnsPerHost: idlePerServer,
				IdleConnTimeout:     idleConnTimeout,
				DisableCompression:  true,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Request is one call.
type Request struct {
	Server backend.Server
	ID     ids.RequestID
	Method string
	// Path includes the query, if any.
	Path   string
	Header http.Header
	Body   []byte
	// ResumeFrom is the number of tokens that the caller has already.
	ResumeFrom int
}

// Answer is a running answer. Close must be called.
type Response struct {
	Status int
	Header http.Header
	// Load is the number of requests that the server says it runs, below 0 if it doesn't say.
	Load   int
	body   io.ReadCloser
	guard  *guard
	cancel context.CancelFunc
}

// Send makes a call and returns once the head of the answer has come.
func (c *Client) Send(ctx context.Context, r Request) (a *Response, fault *CallError) {
	callCtx, cancel := context.WithCancel(ctx)
	g := newGuard(c.stall, cancel)
	req, err := newRequest(callCtx, r)
	if err != nil {
		g.stop()
		cancel()
		return nil, &CallError{Kind: NotSent, Reason: err.Error()}
	}
	resp, err := c.http.Do(req) //nolint:bodyclose // Answer.Close closes it
	if err != nil {
		g.stop()
		cancel()
		return nil, classify(ctx, err, g)
	}
	a = &Response{
		Status: resp.StatusCode, Header: resp.Header, Load: loadOf(resp.Header),
		body: resp.Body, guard: g, cancel: cancel,
	}
	if fault := a.check(r); fault != nil {
		a.Close()
		return nil, fault
	}
	return a, nil
}

// Read reads the body; a stall or a broken connection is a *Fault.
func (a *Response) Read(p []byte) (n int, err error) {
	n, err = a.body.Read(p)
	a.guard.alive()
	if err == nil || errors.Is(err, io.EOF) {
		return n, err
	}
	return n, classify(context.Background(), err, a.guard)
}

// ReadAll reads a whole body within the limit for answers.
func (a *Response) ReadAll() (body []byte, err error) {
	body, err = io.ReadAll(io.LimitReader(a, MaxResponseBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > MaxResponseBytes {
		return nil, &CallError{Kind: ServerError, Reason: fmt.Sprintf("answer is larger than %d bytes", MaxResponseBytes)}
	}
	return body, nil
}

// Close ends the call; the server sees a cancel if the answer isn't read to its end.
func (a *Response) Close() {
	a.guard.stop()
	a.cancel()
	_ = a.body.Close() // nothing is left to be read
}

// check refuses an answer that isn't this request's.
func (a *Response) check(r Request) *CallError {
	if a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests {
		if a.Header.Get(HeaderState) == stateLeaving {
			return &CallError{Kind: Leaving, Status: a.Status, Reason: "the server is leaving"}
		}
		return &CallError{Kind: Busy, Status: a.Status, Reason: "the server is busy"}
	}
	if a.Status >= http.StatusInternalServerError {
		text, _ := io.ReadAll(io.LimitReader(a.body, maxErrorBytes)) // the status says enough
		return &CallError{Kind: ServerError, Status: a.Status, Reason: strings.TrimSpace(string(text))}
	}
	if a.Status < http.StatusBadRequest && a.Header.Get(HeaderRequestID) != string(r.ID) {
		return &CallError{Kind: WrongRequestID, Status: a.Status, Reason: "the answer bears another request's id"}
	}
	return nil
}

func newRequest(ctx context.Context, r Request) (req *http.Request, err error) {
	req, err = http.NewRequestWithContext(ctx, r.Method, "http://"+r.Server.Address+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	for name, values := range r.Header {
		req.Header[name] = values
	}
	req.Header.Set(HeaderRequestID, string(r.ID))
	if r.ResumeFrom > 0 {
		req.Header.Set(HeaderResumeFrom, strconv.Itoa(r.ResumeFrom))
	}
	// The library would otherwise repeat a request on a connection that turned out
	// to be closed; whether to repeat is decided elsewhere.
	req.GetBody = nil
	return req, nil
}

func classify(ctx context.Context, err error, g *guard) *CallError {
	var op *net.OpError
	switch {
	case g.stalled():
		return &CallError{Kind: Stalled, Reason: "the server sent nothing for too long"}
	case errors.Is(err, context.Canceled) || ctx.Err() != nil:
		return &CallError{Kind: Cancelled, Reason: "the caller has gone"}
	case errors.As(err, &op) && op.Op == "dial":
		return &CallError{Kind: NotSent, Reason: err.Error()}
	default:
		return &CallError{Kind: Crashed, Reason: err.Error()}
	}
}

func loadOf(h http.Header) int {
	n, err := strconv.Atoi(h.Get(HeaderLoad))
	if err != nil {
		return -1
	}
	return n
}
