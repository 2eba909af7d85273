// Package entry serves callers: it finds the route and the workspace of a request, gets it a slot on
// a backend server, passes the answer on as it arrives, and says truthfully what became of it.
package entry

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/catalog"
	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/exchange"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbenad/internal/slots"
	"verbenaledge.example/verbenad/internal/upstream"
)

const (
	// noCatalogPause is when to come back to a host that has no configuration yet.
	noCatalogPause = 300 * time.Millisecond
	// startTime is how long a host that has no configuration yet counts as starting.
	startTime = time.Second
	// usualPatience bounds a request whose caller and route name no time.
	usualPatience = 30 * time.Second
	// bodyBudgetShare is the part of the memory that bodies may take together.
	bodyBudgetShare = 4
)

// JobCalls spells the calls on batch jobs.
type JobCalls interface {
	// JobCall reads a call on a job that exists; ok is false if the request is none.
	JobCall(r *http.Request) (call bulk.Call, ok bool)
	// NewJob reads a submission.
	NewJob(id ids.RequestID, body []byte) (*bulk.Job, error)
	// JobReply writes the answer to a call.
	JobReply(w http.ResponseWriter, id ids.RequestID, call bulk.Call, reply bulk.Reply)
}

// Jobs asks the owners of batch jobs.
type Jobs interface {
	Call(ctx context.Context, call bulk.Call) bulk.Reply
}

// Handler serves callers' requests.
type Handler struct {
	protocol exchange.Protocol
	calls    JobCalls
	jobs     Jobs
	slots    *slots.Client
	client   *upstream.Client
	clock    clock.Clock
	catalog  atomic.Pointer[catalog.Catalog]
	bodies   *budget
	retries  *retries
	stopping atomic.Bool
	// first is closed with the first configuration; starting ends the time in which requests wait for it.
	first    chan struct{}
	starting time.Time
	// longest is the longest patience that callers showed, by route: the patience of a first attempt.
	longest sync.Map
}

// New returns a handler without a configuration.
func New(
	p exchange.Protocol, calls JobCalls, jobs Jobs, s *slots.Client, u *upstream.Client, c clock.Clock, memoryMB int,
) *Handler {
	return &Handler{
		protocol: p, calls: calls, jobs: jobs, slots: s, client: u, clock: c, retries: newRetries(),
		bodies: newBudget(int64(max(16, memoryMB)) << 20 / bodyBudgetShare),
		first:  make(chan struct{}), starting: c.Now().Add(startTime),
	}
}

// SetCatalog puts a configuration in force. An older one than the present is ignored.
func (h *Handler) SetCatalog(c *catalog.Catalog) bool {
	for {
		old := h.catalog.Load()
		if old != nil && c.Version <= old.Version {
			return false
		}
		if h.catalog.CompareAndSwap(old, c) {
			if old == nil {
				close(h.first)
			}
			return true
		}
	}
}

// awaitCatalog waits for the first configuration while this host starts; it is there within a few hundred
// milliseconds then, and a caller who is sent away comes back later than that.
func (h *Handler) awaitCatalog(ctx context.Context) *catalog.Catalog {
	left := h.starting.Sub(h.clock.Now())
	if c := h.catalog.Load(); c != nil || left <= 0 {
		return c
	}
	t := time.NewTimer(min(left, noCatalogPause))
	defer t.Stop()
	select {
	case <-h.first:
	case <-t.C:
	case <-ctx.Done():
	}
	return h.catalog.Load()
}

// Ready tells whether requests can be served.
func (h *Handler) Ready() bool {
	return h.catalog.Load() != nil && !h.stopping.Load()
}

// Stop makes the handler ask callers to leave their connections.
func (h *Handler) Stop() { h.stopping.Store(true) }

// request is one request of a caller on its way.
type request struct {
	call      exchange.RequestInfo
	route     *catalog.Route
	workspace *catalog.Workspace
	service   ids.ServiceName
	body      []byte
	start     time.Time
	deadline  time.Time
	whole     time.Duration
	version   catalog.Version
	r         *http.Request
	w         http.ResponseWriter
}

func (q *request) workspaceID() ids.WorkspaceID {
	if q.workspace == nil {
		return ""
	}
	return q.workspace.ID
}

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	q := &request{call: h.protocol.ParseRequest(r.Header), start: h.clock.Now(), r: r, w: w}
	c := h.awaitCatalog(r.Context())
	if c == nil {
		h.refuse(q, http.StatusServiceUnavailable, noCatalogPause, "no_configuration")
		return
	}
	q.version = c.Version
	if call, ok := h.calls.JobCall(r); ok && batchHost(c, r.Host) {
		defer h.boundWrites(q, q.start.Add(call.Wait+usualPatience))()
		h.jobCall(q, c, call)
		return
	}
	if !h.admit(q, c) {
		return
	}
	defer h.boundWrites(q, q.deadline)()
	if err := h.readBody(q, c); err != nil {
		h.bodyFailed(q, err)
		return
	}
	defer h.bodies.put(int64(len(q.body)))
	if q.route.Kind == catalog.KindBatch {
		h.submit(q)
		return
	}
	h.forward(q)
}

// admit finds route and workspace; it answers what no configuration allows.
func (h *Handler) admit(q *request, c *catalog.Catalog) bool {
	path, _, _ := strings.Cut(q.r.RequestURI, "?")
	route, ok := c.Match(q.r.Host, path)
	if !ok {
		h.refuse(q, http.StatusNotFound, 0, "no_route")
		return false
	}
	q.route = route
	if c.RequiresKeys() && !route.Public {
		if q.workspace, ok = c.WorkspaceByKey(q.call.Key); !ok {
			h.refuse(q, http.StatusUnauthorized, 0, "unknown_key")
			return false
		}
	}
	if q.call.ID == "" {
		h.refuse(q, http.StatusBadRequest, 0, "no_request_id")
		return false
	}
	if q.service, ok = route.PickService(rand.Float64()); !ok {
		h.refuse(q, http.StatusServiceUnavailable, noCatalogPause, "no_service")
		return false
	}
	q.deadline = q.start.Add(patience(q.call.Remaining, route.Timeout))
	q.whole = h.longestPatience(route.Name, q.call.Remaining)
	return true
}

func patience(caller, route time.Duration) time.Duration {
	switch {
	case caller > 0 && route > 0:
		return min(caller, route)
	case caller > 0:
		return caller
	case route > 0:
		return route
	}
	return usualPatience
}

// longestPatience keeps the longest patience seen on a route, which is that of first attempts.
func (h *Handler) longestPatience(route string, d time.Duration) time.Duration {
	v, _ := h.longest.LoadOrStore(route, new(atomic.Int64))
	longest, ok := v.(*atomic.Int64)
	if !ok {
		return d
	}
	for {
		old := longest.Load()
		if int64(d) <= old || longest.CompareAndSwap(old, int64(d)) {
			return time.Duration(max(old, int64(d)))
		}
	}
}

var (
	errTooLarge = errors.New("body is over the limit")
	errNoMemory = errors.New("no memory for the body")
)

// readBody reads the whole body, so that it can be sent again.
func (h *Handler) readBody(q *request, c *catalog.Catalog) error {
	limit := c.Limits.BodyBytes
	if limit <= 0 {
		limit = 4 << 20
	}
	if q.r.ContentLength > limit {
		return errTooLarge
	}
	if q.r.ContentLength == 0 {
		return nil
	}
	reserve := q.r.ContentLength
	if reserve < 0 {
		reserve = limit
	}
	if !h.bodies.take(reserve) {
		return errNoMemory
	}
	lift := h.boundBody(q)
	body, err := q.readAll(limit)
	if err == nil {
		lift() // else the library would wait for the rest before it closes the connection
	}
	h.bodies.put(reserve - int64(len(body)))
	q.body = body
	return err
}

func (q *request) readAll(limit int64) ([]byte, error) {
	if length := q.r.ContentLength; length > 0 {
		body := make([]byte, length)
		n, err := io.ReadFull(q.r.Body, body)
		return body[:n], err
	}
	body, err := io.ReadAll(io.LimitReader(q.r.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		return body, errTooLarge
	}
	return body, err
}

func (h *Handler) bodyFailed(q *request, err error) {
	h.bodies.put(int64(len(q.body)))
	q.body = nil
	switch {
	case errors.Is(err, errTooLarge):
		h.refuse(q, http.StatusRequestEntityTooLarge, 0, "body_too_large")
	case errors.Is(err, os.ErrDeadlineExceeded):
		q.w.Header().Set("Connection", "close") // the rest of the body may come yet
		h.refuse(q, http.StatusRequestTimeout, 0, "body_too_slow")
	case errors.Is(err, errNoMemory):
		h.refuse(q, http.StatusServiceUnavailable, noCatalogPause, "no_memory")
	default:
		log.WithError(err).WithField("request_id", q.call.ID).Warn("body broken off")
		h.refuse(q, http.StatusBadRequest, 0, "body_broken")
	}
}

// field is an input of a decision in a log line.
type field struct {
	name  string
	value any
}

// refuse answers a request of which nothing has run.
func (h *Handler) refuse(q *request, status int, later time.Duration, reason string, inputs ...field) {
	refused(reason).Inc()
	requests.With(q.routeName(), string(q.service), "refused", reason).Inc()
	fields := log.Fields{
		"request_id": q.call.ID, "status": status, "reason": reason, "retry_after_ms": later.Milliseconds(),
		"workspace": q.workspaceID(), "configuration": q.version, "held_ms": h.clock.Now().Sub(q.start).Milliseconds(),
		"patience_ms": q.call.Remaining.Milliseconds(), "outcome": "refused",
	}
	for _, f := range inputs {
		fields[f.name] = f.value
	}
	log.WithFields(fields).Info("request refused")
	h.protocol.WriteRefusal(q.w, status, q.call.ID, later, reason)
}

// routeName is empty for a request that no route takes.
func (q *request) routeName() string {
	if q.route == nil {
		return ""
	}
	return q.route.Name
}

// fingerprint tells requests with the same caller, path and body.
func (q *request) fingerprint() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(q.workspaceID())) // a hash never fails
	_, _ = d.WriteString(q.r.RequestURI)
	_, _ = d.Write(q.body)
	return d.Sum64()
}
