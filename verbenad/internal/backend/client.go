// Package backend sends requests to backend servers: model engines and plain services.
package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"verbenaledge.example/verbena/backend"
	"verbenaledge.example/verbena/http1"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbenad/internal/tcpstate"
)

// The headers that daemons and backend servers exchange.
const (
	HeaderRequestID  = "X-Request-Id"
	HeaderResumeFrom = "X-Resume-From"
	HeaderLoad       = "X-Load-Running"
	HeaderState      = "X-Backend-State"
)

const (
	stateLeaving      = "leaving"
	maxIdlePerServer  = 256
	idleConnTimeout   = 90 * time.Second
	maxErrorTextBytes = 8 << 10
	// MaxResponseBytes bounds a response body that isn't streamed.
	MaxResponseBytes = 8 << 20
)

// Client calls backend servers. The number of connections isn't limited, so that no call waits for another.
type Client struct {
	http         *http.Client
	stallTimeout time.Duration
}

// NewClient returns a client with a timeout for connecting and one after which a silent server counts as stalled.
func NewClient(connectTimeout, stallTimeout time.Duration) *Client {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &Client{
		stallTimeout: stallTimeout,
		http: &http.Client{
			Transport: http1.NewTransport(&http.Transport{
				DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
					c, err := dialer.DialContext(ctx, network, address)
					if err != nil {
						return nil, err
					}
					return &tcpstate.Conn{Conn: c}, nil
				},
				MaxIdleConnsPerHost: maxIdlePerServer,
				IdleConnTimeout:     idleConnTimeout,
				DisableCompression:  true,
			}),
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Request is one call to a backend server.
type Request struct {
	Server backend.Server
	ID     ids.RequestID
	Method string
	// Path includes the query, if any.
	Path   string
	Header http.Header
	Body   []byte
	// ResumeFrom is the number of tokens that the caller has already received.
	ResumeFrom int
}

// Response is a response whose body is still being received. Close must be called.
type Response struct {
	Status int
	Header http.Header
	// Load is the number of running requests that the server reports; negative if it reports none.
	Load int
	// endsWithConnection is set if the response has neither a length nor chunks: a server that crashes may end it in the
	// same way as a complete one.
	endsWithConnection bool
	sent               *sentRequest

	body   io.ReadCloser
	timer  *stallTimer
	cancel context.CancelFunc
}

// Send makes a call and returns when the response headers have arrived.
func (c *Client) Send(ctx context.Context, r Request) (resp *Response, callErr *CallError) {
	callCtx, cancel := context.WithCancel(ctx)
	timer := newStallTimer(c.stallTimeout, cancel)
	sent := newSentRequest()
	httpReq, err := newRequest(sent.trace(callCtx), r)
	if err != nil {
		timer.stop()
		cancel()
		return nil, &CallError{Kind: NotSent, Reason: err.Error()}
	}
	httpResp, err := c.http.Do(httpReq) //nolint:bodyclose // Response.Close closes it
	if err != nil {
		timer.stop()
		cancel()
		return nil, newCallError(ctx, err, timer)
	}
	resp = &Response{
		Status: httpResp.StatusCode, Header: httpResp.Header, Load: parseLoad(httpResp.Header),
		endsWithConnection: r.Method != http.MethodHead && httpResp.ContentLength < 0 && len(httpResp.TransferEncoding) == 0,
		sent:               sent,
		body:               httpResp.Body, timer: timer, cancel: cancel,
	}
	if callErr := resp.validate(r); callErr != nil {
		resp.Close()
		return nil, callErr
	}
	return resp, nil
}

// Read reads the body; a stall or a broken connection returns a *CallError.
func (r *Response) Read(p []byte) (n int, err error) {
	n, err = r.body.Read(p)
	r.timer.reset()
	if errors.Is(err, io.EOF) && r.endsWithConnection && !r.sent.completely() {
		err = io.ErrUnexpectedEOF // the kernel reports a reset once, here to the write of the request's body
	}
	if err == nil || errors.Is(err, io.EOF) {
		return n, err
	}
	return n, newCallError(context.Background(), err, r.timer)
}

// ReadAll reads the whole body, up to MaxResponseBytes. A JSON body that ends with the connection must be whole.
func (r *Response) ReadAll() (body []byte, err error) {
	body, err = io.ReadAll(io.LimitReader(r, MaxResponseBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > MaxResponseBytes {
		return nil, &CallError{Kind: ServerError, Reason: fmt.Sprintf("answer is larger than %d bytes", MaxResponseBytes)}
	}
	if r.endsWithConnection && isJSON(r.Header) && !json.Valid(body) {
		return nil, &CallError{Kind: Crashed, Reason: "the connection ended within the answer"}
	}
	return body, nil
}

func isJSON(h http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && mediaType == "application/json"
}

// Close ends the call. A response that hasn't been read to its end is cancelled at the server.
func (r *Response) Close() {
	r.timer.stop()
	r.cancel()
	_ = r.body.Close() // the body isn't needed any more
}

// validate returns an error for a response of a busy, leaving or failed server, and for one without the request's
// ID. Only a refusal or an error may lack an ID.
func (r *Response) validate(req Request) *CallError {
	if id := r.Header.Get(HeaderRequestID); id != string(req.ID) && (id != "" || r.Status < http.StatusBadRequest) {
		return &CallError{Kind: WrongRequestID, Status: r.Status, Reason: "the answer bears another request's id"}
	}
	if r.Status == http.StatusServiceUnavailable || r.Status == http.StatusTooManyRequests {
		if r.Header.Get(HeaderState) == stateLeaving {
			return &CallError{Kind: Leaving, Status: r.Status, Reason: "the server is leaving"}
		}
		return &CallError{Kind: Busy, Status: r.Status, Reason: "the server is busy"}
	}
	if r.Status >= http.StatusInternalServerError {
		text, _ := io.ReadAll(io.LimitReader(r.body, maxErrorTextBytes)) // the status suffices if the text can't be read
		return &CallError{Kind: ServerError, Status: r.Status, Reason: strings.TrimSpace(string(text))}
	}
	return nil
}

func newRequest(ctx context.Context, r Request) (req *http.Request, err error) {
	req, err = http.NewRequestWithContext(ctx, r.Method, "http://"+r.Server.Address+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	for n, v := range r.Header {
		req.Header[n] = v
	}
	req.Header.Set(HeaderRequestID, string(r.ID))
	if r.ResumeFrom > 0 {
		req.Header.Set(HeaderResumeFrom, strconv.Itoa(r.ResumeFrom))
	}
	// Without this, the HTTP library resends a request when a reused connection turns out to be closed. The runner
	// decides whether to retry.
	req.GetBody = nil
	return req, nil
}

func newCallError(ctx context.Context, err error, timer *stallTimer) *CallError {
	var op *net.OpError
	switch {
	case timer.stalled():
		return &CallError{Kind: Stalled, Reason: "the server sent nothing for too long"}
	case errors.Is(err, context.Canceled) || ctx.Err() != nil:
		return &CallError{Kind: Cancelled, Reason: "the caller has gone"}
	case errors.As(err, &op) && op.Op == "dial":
		return &CallError{Kind: NotSent, Reason: err.Error()}
	default:
		return &CallError{Kind: Crashed, Reason: err.Error()}
	}
}

func parseLoad(h http.Header) int {
	n, err := strconv.Atoi(h.Get(HeaderLoad))
	if err != nil {
		return -1
	}
	return n
}
