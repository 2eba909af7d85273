package caller

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"verbenaledge.example/verbena/claim"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/platform"
	"verbenaledge.example/verbena/refusal"
	"verbenaledge.example/verbena/timeline"
	"verbenaledge.example/verbenad/internal/backend"
	"verbenaledge.example/verbenad/internal/control"
)

const (
	maxIdempotencyKeyBytes = 255
	// resendTimeout is how long a resend waits for the first call to end before it is answered that the call is still
	// running.
	resendTimeout = 3 * time.Second
	// resendPollInterval is how often a waiting resend reads the claim.
	resendPollInterval = 100 * time.Millisecond
	// leaseCheckInterval is how often a waiting resend checks the lease of the claim's holder.
	leaseCheckInterval = time.Second
	// storeTimeout bounds the first attempt to store an outcome, during which the caller waits.
	storeTimeout = 3 * time.Second
	// storeRetryTimeout bounds the retries in the background.
	storeRetryTimeout  = 10 * time.Minute
	storeRetryInterval = time.Second
)

// claims makes sure that a call with an idempotency key runs at most once across all hosts.
type claims struct {
	store  platform.Store
	loop   *control.Loop
	runner *backend.Runner
	// timeline may be nil.
	timeline *timeline.Recorder
}

// run claims and makes the call, or answers a resend with the outcome of the first call.
func (x *claims) run(w http.ResponseWriter, c *call, t backend.Task, key string) *refusal.Refusal {
	if len(key) > maxIdempotencyKeyBytes {
		return refusal.New(refusal.BadRequest, 0, "Idempotency-Key is longer than %d bytes", maxIdempotencyKeyBytes)
	}
	snapshot := x.loop.Snapshot()
	if snapshot.Lease.Term == 0 || !x.loop.Now().Before(snapshot.ActUntil) {
		return refusal.New(refusal.PlatformDown, platformRetryAfter, "this host holds no lease, so the call can't be claimed; nothing was sent")
	}
	name := claim.Key{Workspace: t.Workspace, Service: t.Service, IdempotencyKey: key}.ObjectName()
	record := claim.Record{
		BodyHash: claim.HashBody(t.Method, t.Path, t.Body), Request: c.id, Holder: snapshot.Lease, State: claim.Started,
	}
	version, err := x.store.Create(c.Context(), name, record.Marshal())
	if errors.Is(err, platform.ErrConflict) {
		return x.awaitOutcome(w, c, name, record.BodyHash)
	}
	if err != nil {
		return refusal.New(refusal.PlatformDown, platformRetryAfter, "the call can't be claimed in the platform; nothing was sent")
	}
	return x.send(w, c, t, ownClaim{name, version, record})
}

// ownClaim is a claim that this host has created.
type ownClaim struct {
	name    string
	version ids.Version
	record  claim.Record
}

// send makes the claimed call. It continues when the caller disconnects, because the outcome is stored for resends.
func (x *claims) send(w http.ResponseWriter, c *call, t backend.Task, o ownClaim) *refusal.Refusal {
	ctx := context.WithoutCancel(c.Context())
	t.BeforeSend = func() *refusal.Refusal { return x.checkLease(o.record.Holder.Term) }
	var answer storedAnswer
	refused := x.runner.Run(ctx, t, answer.readFrom)
	switch {
	case refused == nil:
		o.record.State, o.record.Status = claim.Done, answer.status
		o.record.ContentType, o.record.Body = answer.contentType, answer.body
		if err := x.storeOutcome(o.update(x.store)); err != nil {
			return x.outcomeNotStored(err)
		}
		answer.write(w)
		return nil
	case refused.Run == refusal.NotRun:
		// The call hasn't run, so the key may be used again.
		_ = x.storeOutcome(func(ctx context.Context) error { return x.store.Delete(ctx, o.name, o.version) }) // storeOutcome retries
		return refused
	default:
		o.record.State = claim.Unknown
		x.recordUnknown(t.Workspace, o.record.Request)
		_ = x.storeOutcome(o.update(x.store)) // storeOutcome retries
		return outcomeUnknownRefusal()
	}
}

func (o ownClaim) update(s platform.Store) func(context.Context) error {
	return func(ctx context.Context) error {
		_, err := s.Update(ctx, o.name, o.version, o.record.Marshal())
		return err
	}
}

// storeOutcome stores an outcome. If the platform is unavailable, it returns the error and retries in the
// background.
func (x *claims) storeOutcome(write func(context.Context) error) (err error) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err = write(ctx); errors.Is(err, platform.ErrUnavailable) {
		go x.retryStoring(write)
	}
	return err
}

func (x *claims) retryStoring(write func(context.Context) error) {
	ctx, cancel := context.WithTimeout(context.Background(), storeRetryTimeout)
	defer cancel()
	for ctx.Err() == nil {
		time.Sleep(storeRetryInterval)
		if err := write(ctx); !errors.Is(err, platform.ErrUnavailable) {
			return
		}
	}
}

// checkLease refuses to send a call whose claim was made under a lease that this host no longer holds. After a
// pause of the process, a resend may already have stored that the outcome is unknown.
func (x *claims) checkLease(term ids.Term) *refusal.Refusal {
	s := x.loop.Snapshot()
	if s.Lease.Term != term || !x.loop.Now().Before(s.ActUntil) {
		return refusal.New(refusal.PlatformDown, platformRetryAfter, "this host's lease has ended; nothing was sent")
	}
	return nil
}

// outcomeNotStored returns the refusal for a call that ran but whose outcome could not be stored.
func (x *claims) outcomeNotStored(err error) *refusal.Refusal {
	if errors.Is(err, platform.ErrConflict) {
		return outcomeUnknownRefusal()
	}
	r := refusal.New(refusal.OutcomeUnknown, 0, "the call was answered but its outcome can't be kept in the platform")
	return r.WithRun(refusal.Unknown)
}

func (x *claims) recordUnknown(w ids.WorkspaceID, r ids.RequestID) {
	if x.timeline != nil {
		x.timeline.Record(timeline.Event{Kind: timeline.ClaimUnknown, Workspace: w, Request: r})
	}
}

func outcomeUnknownRefusal() *refusal.Refusal {
	r := refusal.New(refusal.OutcomeUnknown, 0, "the call may have run; it isn't sent again under this key")
	return r.WithRun(refusal.Unknown)
}

// awaitOutcome answers a resend with the outcome of the first call, for which it waits up to resendTimeout.
func (x *claims) awaitOutcome(w http.ResponseWriter, c *call, name, bodyHash string) *refusal.Refusal {
	deadline := time.Now().Add(resendTimeout)
	var leaseCheckedAt time.Time
	holderLive := true
	for {
		o, err := x.store.Get(c.Context(), name)
		if err != nil {
			return claimReadRefusal(err)
		}
		record, err := claim.Parse(o.Value)
		if err != nil {
			return claimReadRefusal(err)
		}
		if time.Since(leaseCheckedAt) > leaseCheckInterval {
			leaseCheckedAt = time.Now()
			holderLive = x.holdsLease(c.Context(), record)
		}
		switch claim.Decide(record, bodyHash, holderLive) {
		case claim.Conflict:
			return refusal.New(refusal.Conflict, 0, "the Idempotency-Key was used with another request")
		case claim.Replay:
			storedAnswer{status: record.Status, contentType: record.ContentType, body: record.Body}.write(w)
			return nil
		case claim.AnswerUnknown:
			return outcomeUnknownRefusal()
		case claim.StoreUnknown:
			record.State = claim.Unknown
			x.recordUnknown(c.workspace, record.Request)
			_, _ = x.store.Update(c.Context(), name, o.Version, record.Marshal()) // the claim is read again in any case
		case claim.Wait:
			if time.Now().After(deadline) {
				return inProgressRefusal()
			}
		}
		time.Sleep(resendPollInterval)
	}
}

func inProgressRefusal() *refusal.Refusal {
	r := refusal.New(refusal.InProgress, shortRetryAfter, "the first call under this key is still running")
	return r.WithRun(refusal.Unknown)
}

func claimReadRefusal(err error) *refusal.Refusal {
	if errors.Is(err, platform.ErrNotFound) {
		return inProgressRefusal()
	}
	r := refusal.New(refusal.PlatformDown, platformRetryAfter, "what became of the first call can't be read; nothing was sent now")
	return r.WithRun(refusal.Unknown)
}

// holdsLease reports whether the lease under which the call was claimed still exists in the platform.
func (x *claims) holdsLease(ctx context.Context, r claim.Record) bool {
	_, err := x.store.Get(ctx, r.Holder.ObjectName())
	return !errors.Is(err, platform.ErrNotFound)
}

// storedAnswer is an answer that is stored before it is sent to the caller.
type storedAnswer struct {
	status      int
	contentType string
	body        []byte
}

func (s *storedAnswer) readFrom(r *backend.Response) (tokens int, callErr *backend.CallError) {
	body, err := r.ReadAll()
	if err != nil {
		return 0, backend.AsCallError(err)
	}
	if len(body) > claim.MaxBodyBytes {
		return 0, &backend.CallError{Kind: backend.ServerError, Reason: "the answer is too large to be kept for resends"}
	}
	s.status, s.contentType, s.body = r.Status, r.Header.Get("Content-Type"), bytes.Clone(body)
	return 0, nil
}

func (s storedAnswer) write(w http.ResponseWriter) {
	if s.contentType != "" {
		w.Header().Set("Content-Type", s.contentType)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(s.body)))
	w.WriteHeader(s.status)
	_, _ = w.Write(s.body) // the caller has disconnected if this fails
}
