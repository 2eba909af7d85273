// Package entry serves callers: it finds the route and the workspace of a request, gets it a slot on a backend
// server, and forwards the response. The status of the response to a failed request says whether a server may have
// executed it.
package entry

import (
	"context"
	"errors"
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
	"verbenaledge.example/verbenad/internal/upstream"
)

const (
	// unavailableRetryAfter is the Retry-After while there is no configuration yet, no service for the route, or no memory
	// for the body.
	unavailableRetryAfter = 300 * time.Millisecond
	// startupTime is how long after its start a host lets requests wait for the first configuration.
	startupTime = time.Second
	// defaultTimeout applies to a request whose caller and route set none.
	defaultTimeout = 30 * time.Second
	// memoryBudgetDivisor limits all request bodies and buffered responses together to a quarter of the host's memory.
	memoryBudgetDivisor = 4
)

// JobProtocol parses calls on batch jobs and writes their responses.
type JobProtocol interface {
	// ParseJobCall parses a call on an existing job; ok is false if the request is not one.
	ParseJobCall(r *http.Request) (call bulk.Call, ok bool)
	// ParseJob parses a submission. Before it takes memory beyond the size of the body, it asks reserve for the most that it may take,
	// in bytes; if that returns false, the error is bulk.ErrNoMemory.
	ParseJob(id ids.RequestID, body []byte, reserve func(bytes int64) bool) (*bulk.Job, error)
	// WriteJobReply writes the response to a call.
	WriteJobReply(w http.ResponseWriter, id ids.RequestID, call bulk.Call, reply bulk.Reply)
}

// JobOwners sends calls to the hosts that own batch jobs.
type JobOwners interface {
	Call(ctx context.Context, call bulk.Call) bulk.Reply
}

// Handler serves callers' requests.
type Handler struct {
	protocol    exchange.Protocol
	jobProtocol JobProtocol
	jobOwners   JobOwners
	slots       SlotSource
	client      *upstream.Client
	clock       clock.Clock
	catalog     atomic.Pointer[catalog.Catalog]
	memory      *memoryBudget
	replies     *replyMemory
	// bodies are those that are being read.
	bodies      *unfinishedBodies
	retryBudget *retryBudget
	durations   *durations
	connections connectionAges
	// stop is nil before Stop was called.
	stop atomic.Pointer[stopTimes]
	// stopCtx ends once stop is set.
	stopCtx      context.Context
	announceStop context.CancelFunc
	// runCtx ends when EndRequests is called.
	runCtx      context.Context
	endRequests context.CancelFunc
	// firstCatalog is closed once the first configuration is set; requests wait for that until startupEnd.
	firstCatalog chan struct{}
	startupEnd   time.Time
	// longestTimeouts holds the longest timeout seen of a caller, by route: that of a first attempt.
	longestTimeouts sync.Map
}

// New returns a handler without a configuration.
func New(
	p exchange.Protocol, jobProtocol JobProtocol, jobOwners JobOwners, s SlotSource, u *upstream.Client, c clock.Clock, memoryMB int,
) *Handler {
	runCtx, endRequests := context.WithCancel(context.Background())
	stopCtx, announceStop := context.WithCancel(context.Background())
	return &Handler{
		stopCtx: stopCtx, announceStop: announceStop,
		runCtx: runCtx, endRequests: endRequests,
		protocol: p, jobProtocol: jobProtocol, jobOwners: jobOwners, slots: s, client: u, clock: c, retryBudget: newRetryBudget(),
		durations:    newDurations(),
		bodies:       newUnfinishedBodies(c),
		memory:       newMemoryBudget(int64(max(16, memoryMB)) << 20 / memoryBudgetDivisor),
		replies:      newReplyMemory(int64(max(16, memoryMB)) << 20 / replyMemoryDivisor),
		firstCatalog: make(chan struct{}), startupEnd: c.Now().Add(startupTime),
	}
}

// SetCatalog applies a configuration and reports whether it is newer than the current one. Others are ignored.
func (h *Handler) SetCatalog(c *catalog.Catalog) bool {
	for {
		old := h.catalog.Load()
		if old != nil && c.Version <= old.Version {
			return false
		}
		if h.catalog.CompareAndSwap(old, c) {
			if old == nil {
				close(h.firstCatalog)
			}
			return true
		}
	}
}

// awaitCatalog waits for the first configuration while this host starts. It arrives within a few hundred milliseconds,
// sooner than a rejected caller would retry.
func (h *Handler) awaitCatalog(ctx context.Context) *catalog.Catalog {
	remaining := h.startupEnd.Sub(h.clock.Now())
	if c := h.catalog.Load(); c != nil || remaining <= 0 {
		return c
	}
	t := time.NewTimer(min(remaining, unavailableRetryAfter))
	defer t.Stop()
	select {
	case <-h.firstCatalog:
	case <-t.C:
	case <-ctx.Done():
	}
	return h.catalog.Load()
}

// request is a caller's request and what was found out about it.
type request struct {
	info           exchange.RequestInfo
	route          *catalog.Route
	workspace      *catalog.Workspace
	service        ids.ServiceName
	body           []byte
	start          time.Time
	deadline       time.Time
	longestTimeout time.Duration
	configVersion  catalog.Version
	httpRequest    *http.Request
	writer         http.ResponseWriter
	// resetsOnClose is set while the caller's connection ends with a reset when it is closed.
	resetsOnClose bool
}

// expectsEvents reports whether the answer is a stream of events. One to HEAD ends with its head.
func (r *request) expectsEvents() bool {
	return r.route.Kind == catalog.KindStream && r.httpRequest.Method != http.MethodHead
}

func (r *request) workspaceID() ids.WorkspaceID {
	if r.workspace == nil {
		return ""
	}
	return r.workspace.ID
}

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.IsAbs() {
		r.RequestURI = r.URL.RequestURI() // servers and routes know targets in origin form
	}
	req := &request{info: h.protocol.ParseRequest(r.Header), start: h.clock.Now(), httpRequest: r, writer: w}
	c := h.awaitCatalog(r.Context())
	if c == nil {
		h.refuseUnread(req, func() { h.refuse(req, http.StatusServiceUnavailable, unavailableRetryAfter, "no_configuration") })
		return
	}
	req.configVersion = c.Version
	if call, ok := h.jobProtocol.ParseJobCall(r); ok {
		is, maybe := isJobCall(r, c)
		if is || maybe {
			defer h.setWriteDeadline(req, req.start.Add(call.Wait+defaultTimeout))()
			if !h.skipBody(req) || h.serveJobCall(req, c, call, maybe) {
				return
			}
		}
	}
	if refusal := h.admit(req, c); refusal != nil {
		h.refuseUnread(req, func() { h.refuse(req, refusal.status, refusal.retryAfter, refusal.reason) })
		return
	}
	defer h.setWriteDeadline(req, req.deadline)()
	if err := h.readBody(req, c); err != nil {
		h.refuseUnread(req, func() { h.refuseBody(req, err) })
		return
	}
	defer h.releaseBody(req)
	if req.route.Kind == catalog.KindBatch {
		h.submitJob(req)
		return
	}
	h.forward(req)
}

// admit finds the route, workspace and service of a request. It returns the refusal of one that the configuration doesn't allow.
func (h *Handler) admit(req *request, c *catalog.Catalog) *refusal {
	path, _, _ := strings.Cut(req.httpRequest.RequestURI, "?")
	route, ok := c.Match(req.httpRequest.Host, path)
	if !ok {
		return &refusal{http.StatusNotFound, 0, "no_route"}
	}
	req.route = route
	if c.RequiresKeys() && !route.Public {
		if req.workspace, ok = c.WorkspaceByKey(req.info.Key); !ok {
			return &refusal{http.StatusUnauthorized, 0, "unknown_key"}
		}
	}
	if req.info.ID == "" {
		return &refusal{http.StatusBadRequest, 0, "no_request_id"}
	}
	if req.service, ok = route.PickService(rand.Float64()); !ok {
		return &refusal{http.StatusServiceUnavailable, unavailableRetryAfter, "no_service"}
	}
	req.deadline = req.start.Add(effectiveTimeout(req.info.Remaining, route.Timeout))
	req.longestTimeout = h.longestTimeout(route.Name, req.info.Remaining)
	return nil
}

// effectiveTimeout returns the shorter of two timeouts, of which 0 means none, or defaultTimeout if there is none.
func effectiveTimeout(caller, route time.Duration) time.Duration {
	switch {
	case caller > 0 && route > 0:
		return min(caller, route)
	case caller > 0:
		return caller
	case route > 0:
		return route
	}
	return defaultTimeout
}

// longestTimeout records a caller's timeout and returns the longest seen on the route. Retries have less time left, so
// the longest is that of a first attempt.
func (h *Handler) longestTimeout(route string, d time.Duration) time.Duration {
	v, _ := h.longestTimeouts.LoadOrStore(route, new(atomic.Int64))
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
	errTooLarge = errors.New("request body exceeds the limit")
	errNoMemory = errors.New("no memory left for the request body")
	// errDisplaced means that the body was the slowest one, and made room for others.
	errDisplaced = errors.New("request body made room for others")
)

// readBody reads the whole body, so that it can be sent to another server as well.
func (h *Handler) readBody(req *request, c *catalog.Catalog) error {
	limit := c.Limits.BodyBytes
	if limit <= 0 {
		limit = 4 << 20
	}
	if req.httpRequest.ContentLength > limit {
		return errTooLarge
	}
	if req.httpRequest.ContentLength == 0 {
		return nil
	}
	clearDeadline := h.setReadDeadline(req)
	body, err := h.readUnfinished(req, limit)
	if err == nil {
		clearDeadline() // after an error it stays: without it, net/http would wait for the rest of the body
	}
	req.body = body
	return err
}

// releaseBody returns the memory of a request's body to the budget.
func (h *Handler) releaseBody(req *request) {
	h.memory.release(int64(cap(req.body)))
	req.body = nil
}

// refuseBody answers a request whose body could not be read.
func (h *Handler) refuseBody(req *request, err error) {
	h.releaseBody(req)
	switch {
	case errors.Is(err, errTooLarge):
		h.refuse(req, http.StatusRequestEntityTooLarge, 0, "body_too_large")
	case errors.Is(err, os.ErrDeadlineExceeded):
		h.refuse(req, http.StatusRequestTimeout, 0, "body_too_slow")
	case errors.Is(err, errDisplaced):
		h.refuse(req, http.StatusServiceUnavailable, unavailableRetryAfter, "body_displaced")
	case errors.Is(err, errNoMemory):
		h.refuse(req, http.StatusServiceUnavailable, unavailableRetryAfter, "no_memory")
	default:
		log.WithError(err).WithField("request_id", req.info.ID).Warn("cannot read the request body")
		h.refuse(req, http.StatusBadRequest, 0, "body_broken")
	}
}

// logField is a further field of a log line.
type logField struct {
	name  string
	value any
}

// refuse answers a request that no server has executed.
func (h *Handler) refuse(req *request, status int, retryAfter time.Duration, reason string, extra ...logField) {
	h.recordRefusal(req, status, retryAfter, reason, extra...)
	h.protocol.WriteRefusal(req.writer, status, req.info.ID, retryAfter, reason)
}

// maxDetailBytes bounds what a refusal says of an invalid request.
const maxDetailBytes = 300

// refuseInvalid refuses a request that its caller has to change, and says what is wrong with it.
func (h *Handler) refuseInvalid(req *request, reason string, err error) {
	detail := err.Error()
	detail = strings.ToValidUTF8(detail[:min(len(detail), maxDetailBytes)], "")
	h.recordRefusal(req, http.StatusBadRequest, 0, reason, logField{"detail", detail})
	h.protocol.WriteRefusal(req.writer, http.StatusBadRequest, req.info.ID, 0, reason+": "+detail)
}

// recordRefusal counts and logs a refusal.
func (h *Handler) recordRefusal(req *request, status int, retryAfter time.Duration, reason string, extra ...logField) {
	refusals(reason).Inc()
	requests.With(req.routeName(), string(req.service), "refused", reason).Inc()
	fields := log.Fields{
		"request_id": req.info.ID, "status": status, "reason": reason, "retry_after_ms": retryAfter.Milliseconds(),
		"workspace": req.workspaceID(), "configuration": req.configVersion, "held_ms": h.clock.Now().Sub(req.start).Milliseconds(),
		"patience_ms": req.info.Remaining.Milliseconds(), "outcome": "refused", "stopping_ms": h.stoppingFor().Milliseconds(),
	}
	for _, f := range append(extra, req.connectionFields()...) {
		fields[f.name] = f.value
	}
	log.WithFields(fields).Info("request refused")
}

// routeName returns the name of the request's route, or nothing if no route matches.
func (r *request) routeName() string {
	if r.route == nil {
		return ""
	}
	return r.route.Name
}

const (
	// maxLoggedPromptParts and maxLoggedPromptPartBytes limit what a log line shows of the parts of a prompt.
	maxLoggedPromptParts     = 8
	maxLoggedPromptPartBytes = 24
)

// promptPartsText returns the ids of the prompt's shared parts for a log line.
func (r *request) promptPartsText() string {
	var b strings.Builder
	for n, id := range r.info.SharedParts[:min(len(r.info.SharedParts), maxLoggedPromptParts)] {
		if n > 0 {
			b.WriteByte(',')
		}
		b.WriteString(string(id[:min(len(id), maxLoggedPromptPartBytes)]))
	}
	return b.String()
}

// maxLoggedIDBytes limits what a log line shows of an id that the caller chose.
const maxLoggedIDBytes = 48

// resumesText returns the request that the caller's stream resumes for a log line.
func (r *request) resumesText() string {
	return string(r.info.Resumes[:min(len(r.info.Resumes), maxLoggedIDBytes)])
}

// fingerprint returns a hash that is equal for requests with the same workspace, path and body.
func (r *request) fingerprint() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(r.workspaceID())) // a hash never fails
	_, _ = d.WriteString(r.httpRequest.RequestURI)
	_, _ = d.Write(r.body)
	return d.Sum64()
}
