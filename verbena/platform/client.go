package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-resty/resty/v2"

	"verbenaledge.example/verbena/ids"
)

const (
	defaultTimeout = 2 * time.Second
	settleTries    = 3
	settlePause    = 50 * time.Millisecond
)

// Client is a Store over HTTP.
type Client struct {
	http    *resty.Client
	watch   *resty.Client
	timeout time.Duration
	onCall  func(op string)
}

// Option changes how a client is built.
type Option func(*Client)

// WithTimeout bounds each call but a watch.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.timeout = d }
}

// WithCallHook calls f before each call to the platform, for counting it.
func WithCallHook(f func(op string)) Option {
	return func(c *Client) { c.onCall = f }
}

// NewClient returns a client of the object API at an address, IP:port.
func NewClient(address string, opts ...Option) *Client {
	c := &Client{timeout: defaultTimeout, onCall: func(string) {}}
	for _, o := range opts {
		o(c)
	}
	base := "http://" + address
	c.http = resty.New().SetBaseURL(base).SetTimeout(c.timeout)
	c.watch = resty.New().SetBaseURL(base)
	return c
}

var _ Store = (*Client)(nil)

// Get implements Store.
func (c *Client) Get(ctx context.Context, name string) (o Object, err error) {
	defer annotate(&err, "get "+name)
	stored, err := c.getStored(ctx, name)
	if err != nil {
		return Object{}, err
	}
	stored.Value = unwrap(stored.Value)
	return stored, nil
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string, values bool) (l Listing, err error) {
	defer annotate(&err, "list "+prefix)
	c.onCall("list")
	req := c.http.R().SetContext(ctx).
		SetQueryParam("prefix", prefix).
		SetQueryParam("values", strconv.FormatBool(values))
	err = finish(req, http.MethodGet, "/v1/list", &l)
	unwrapAll(&l)
	return l, err
}

// Create implements Store.
func (c *Client) Create(ctx context.Context, name string, value []byte) (v ids.Version, err error) {
	defer annotate(&err, "create "+name)
	return c.write(ctx, name, 0, value)
}

// Update implements Store.
func (c *Client) Update(ctx context.Context, name string, expected ids.Version, value []byte) (v ids.Version, err error) {
	defer annotate(&err, "update "+name)
	if expected == 0 {
		return 0, ErrConflict
	}
	return c.write(ctx, name, expected, value)
}

// Delete implements Store. An object that is gone already counts as deleted only
// when the answer to this call's own first try was lost.
func (c *Client) Delete(ctx context.Context, name string, expected ids.Version) (err error) {
	defer annotate(&err, "delete "+name)
	lost := false
	for range settleTries {
		c.onCall("delete")
		req := c.http.R().SetContext(ctx).SetQueryParam("if_version", version(expected))
		err = finish(req, http.MethodDelete, "/v1/objects/"+url.PathEscape(name), nil)
		if lost && errors.Is(err, ErrNotFound) {
			return nil
		}
		if !errors.Is(err, ErrUnavailable) {
			return err
		}
		lost = true
		if pause(ctx) != nil {
			return err
		}
	}
	return err
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, after ids.Version, wait time.Duration) (l Listing, err error) {
	defer annotate(&err, "watch "+prefix)
	c.onCall("watch")
	ctx, cancel := context.WithTimeout(ctx, wait+c.timeout)
	defer cancel()
	req := c.watch.R().SetContext(ctx).
		SetQueryParam("prefix", prefix).
		SetQueryParam("after", version(after)).
		SetQueryParam("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	err = finish(req, http.MethodGet, "/v1/watch", &l)
	unwrapAll(&l)
	return l, err
}

// Hosts implements Store.
func (c *Client) Hosts(ctx context.Context, after ids.Version) (l HostList, err error) {
	defer annotate(&err, "list hosts")
	c.onCall("hosts")
	req := c.http.R().SetContext(ctx).SetQueryParam("after", version(after))
	err = finish(req, http.MethodGet, "/v1/hosts", &l)
	return l, err
}

// write settles a write whose answer was lost by reading back its mark. The same
// conditional write may be sent again: at most one of them can take effect.
func (c *Client) write(ctx context.Context, name string, expected ids.Version, value []byte) (v ids.Version, err error) {
	if len(value) > MaxValueBytes {
		return 0, ErrTooLarge
	}
	m := newMark()
	body := m.wrap(value)
	lost := false
	for range settleTries {
		v, err = c.writeOnce(ctx, name, expected, body)
		switch {
		case err == nil:
			return v, nil
		case errors.Is(err, ErrConflict) && lost:
			return c.readBack(ctx, name, m)
		case !errors.Is(err, ErrUnavailable):
			return 0, err
		}
		lost = true
		if pause(ctx) != nil {
			return 0, err
		}
	}
	return c.readBack(ctx, name, m)
}

func (c *Client) writeOnce(ctx context.Context, name string, expected ids.Version, body []byte) (ids.Version, error) {
	c.onCall("write")
	var answer struct {
		Version ids.Version `json:"version"`
	}
	req := c.http.R().SetContext(ctx).SetBody(body).
		SetHeader("Content-Type", "application/octet-stream").
		SetQueryParam("if_version", version(expected))
	err := finish(req, http.MethodPut, "/v1/objects/"+url.PathEscape(name), &answer)
	return answer.Version, err
}

func (c *Client) readBack(ctx context.Context, name string, m mark) (ids.Version, error) {
	stored, err := c.getStored(ctx, name)
	if errors.Is(err, ErrNotFound) {
		return 0, ErrUnavailable
	}
	if err != nil {
		return 0, err
	}
	if !m.wrote(stored.Value) {
		return 0, ErrConflict
	}
	return stored.Version, nil
}

func (c *Client) getStored(ctx context.Context, name string) (o Object, err error) {
	c.onCall("get")
	err = finish(c.http.R().SetContext(ctx), http.MethodGet, "/v1/objects/"+url.PathEscape(name), &o)
	return o, err
}

func finish(req *resty.Request, method, path string, into any) error {
	resp, err := req.Execute(method, path)
	if err != nil {
		return fmt.Errorf("%w (%w)", ErrUnavailable, err)
	}
	switch resp.StatusCode() {
	case http.StatusOK:
		if into == nil {
			return nil
		}
		if err := json.Unmarshal(resp.Body(), into); err != nil {
			return fmt.Errorf("%w (bad answer: %w)", ErrUnavailable, err)
		}
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		return ErrConflict
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	default:
		return fmt.Errorf("%w (status %d)", ErrUnavailable, resp.StatusCode())
	}
}

func unwrapAll(l *Listing) {
	for i := range l.Objects {
		l.Objects[i].Value = unwrap(l.Objects[i].Value)
	}
}

func pause(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(settlePause):
		return nil
	}
}

func version(v ids.Version) string {
	return strconv.FormatUint(uint64(v), 10)
}

func annotate(err *error, what string) {
	if *err != nil {
		*err = fmt.Errorf("%s: %w", what, *err)
	}
}
