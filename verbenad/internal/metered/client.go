// Package metered counts and times calls to the store by kind, operation and result.
package metered

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/objects"
)

// Client wraps another client and counts its calls.
type Client struct {
	inner objects.Client
	clock clock.Clock
}

// New returns a client that counts the calls to inner.
func New(inner objects.Client, c clock.Clock) *Client {
	return &Client{inner: inner, clock: c}
}

func (c *Client) count(op string, kind objects.Kind, start time.Time, err error) {
	metrics.GetOrCreateCounter(fmt.Sprintf("verbenad_store_calls_total{op=%q,kind=%q,result=%q}", op, kind, result(err))).Inc()
	if op != "watch" {
		metrics.GetOrCreateHistogram(fmt.Sprintf("verbenad_store_seconds{op=%q}", op)).Update(c.clock.Now().Sub(start).Seconds())
	}
}

func result(err error) string {
	switch {
	case err == nil:
		return "done"
	case errors.Is(err, objects.ErrConflict):
		return "conflict"
	case errors.Is(err, objects.ErrNotFound):
		return "not_found"
	case errors.Is(err, objects.ErrCompacted):
		return "compacted"
	case errors.Is(err, objects.ErrRefused):
		return "refused"
	}
	return "unknown"
}

// List counts a listing.
func (c *Client) List(ctx context.Context, kind objects.Kind, stale bool) (l objects.Listing, err error) {
	defer func(start time.Time) { c.count("list", kind, start, err) }(c.clock.Now())
	return c.inner.List(ctx, kind, stale)
}

// Get counts a read.
func (c *Client) Get(ctx context.Context, kind objects.Kind, name string) (o objects.Object, err error) {
	defer func(start time.Time) { c.count("get", kind, start, err) }(c.clock.Now())
	return c.inner.Get(ctx, kind, name)
}

// Create counts a creation.
func (c *Client) Create(ctx context.Context, kind objects.Kind, name string, spec any) (o objects.Object, err error) {
	defer func(start time.Time) { c.count("create", kind, start, err) }(c.clock.Now())
	return c.inner.Create(ctx, kind, name, spec)
}

// Replace counts a replacement.
func (c *Client) Replace(ctx context.Context, kind objects.Kind, name string, revision objects.Revision, spec any) (o objects.Object, err error) {
	defer func(start time.Time) { c.count("replace", kind, start, err) }(c.clock.Now())
	return c.inner.Replace(ctx, kind, name, revision, spec)
}

// SetStatus counts a change of status.
func (c *Client) SetStatus(ctx context.Context, kind objects.Kind, name string, revision objects.Revision, status any) (o objects.Object, err error) {
	defer func(start time.Time) { c.count("status", kind, start, err) }(c.clock.Now())
	return c.inner.SetStatus(ctx, kind, name, revision, status)
}

// Delete counts a deletion.
func (c *Client) Delete(ctx context.Context, kind objects.Kind, name string, revision objects.Revision) (err error) {
	defer func(start time.Time) { c.count("delete", kind, start, err) }(c.clock.Now())
	return c.inner.Delete(ctx, kind, name, revision)
}

// Watch counts a watch.
func (c *Client) Watch(ctx context.Context, kind objects.Kind, after objects.Revision, wait time.Duration) (changes objects.Changes, err error) {
	defer func(start time.Time) { c.count("watch", kind, start, err) }(c.clock.Now())
	return c.inner.Watch(ctx, kind, after, wait)
}
