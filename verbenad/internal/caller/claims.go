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
	maxKeyBytes = 255
	// joinWait is how long a resend waits for the first call's end before it is
	// told to come back.
	joinWait  = 3 * time.Second
	joinPause = 100 * time.Millisecond
	leasePoll = time.Second
	// settleWait bounds the writing down of an outcome.
	settleWait      = 3 * time.Second
	settleLaterWait = 10 * time.Minute
	settlePause     = time.Second
)

// claims makes calls under an idempotency key happen at most once over all hosts.
type claims struct {
	store  platform.Store
	loop   *control.Loop
	runner *backend.Runner
	// timeline takes changes of state; nil for none.
	timeline *timeline.Recorder
}

// run makes the call, or answers a resend with what became of the first.
func (x *claims) run(w http.ResponseWriter, c *call, j backend.Task, key string) *refusal.Refusal {
	if len(key) > maxKeyBytes {
		return refusal.New(refusal.BadRequest, 0, "Idempotency-Key is longer than %d bytes", maxKeyBytes)
	}
	snapshot := x.loop.Snapshot()
	if snapshot.Lease.Term == 0 || !x.loop.Now().Before(snapshot.ActUntil) {
		return refusal.New(refusal.PlatformDown, platformPause, "this host holds no lease, so the call can't be claimed; nothing was sent")
	}
	name := claim.Key{Workspace: j.Workspace, Service: j.Service, IdempotencyKey: key}.ObjectName()
	record := claim.Record{
		BodyHash: claim.HashBody(j.Method, j.Path, j.Body), Request: c.id, Holder: snapshot.Lease, State: claim.Started,
	}
	version, err := x.store.Create(c.Context(), name, record.Marshal())
	if errors.Is(err, platform.ErrConflict) {
		return x.join(w, c, name, record.BodyHash)
	}
	if err != nil {
		return refusal.New(refusal.PlatformDown, platformPause, "the call can't be claimed in the platform; nothing was sent")
	}
	return x.send(w, c, j, owned{name, version, record})
}

// owned is a claim that this host has made.
type owned struct {
	name    string
	version ids.Version
	record  claim.Record
}

// send makes the claimed call. It goes on when its caller leaves, since the
// outcome is kept for resends.
func (x *claims) send(w http.ResponseWriter, c *call, j backend.Task, o owned) *refusal.Refusal {
	ctx := context.WithoutCancel(c.Context())
	j.BeforeSend = func() *refusal.Refusal { return x.mayStillSend(o.record.Holder.Term) }
	var answer kept
	refused := x.runner.Run(ctx, j, answer.keep)
	switch {
	case refused == nil:
		o.record.State, o.record.Status = claim.Done, answer.status
		o.record.ContentType, o.record.Body = answer.contentType, answer.body
		if err := x.settle(o.update(x.store)); err != nil {
			return x.unsure(err)
		}
		answer.write(w)
		return nil
	case refused.Run == refusal.NotRun:
		// Nothing was sent: the key may be used again.
		_ = x.settle(func(ctx context.Context) error { return x.store.Delete(ctx, o.name, o.version) }) // tried again later
		return refused
	default:
		o.record.State = claim.Unknown
		x.noteUnknown(j.Workspace, o.record.Request)
		_ = x.settle(o.update(x.store)) // tried again later
		return unknownOutcome()
	}
}

func (o owned) update(s platform.Store) func(context.Context) error {
	return func(ctx context.Context) error {
		_, err := s.Update(ctx, o.name, o.version, o.record.Marshal())
		return err
	}
}

// settle writes an outcome down; while the platform is away it goes on trying
// behind the caller's back.
func (x *claims) settle(write func(context.Context) error) (err error) {
	ctx, cancel := context.WithTimeout(context.Background(), settleWait)
	defer cancel()
	if err = write(ctx); errors.Is(err, platform.ErrUnavailable) {
		go x.settleLater(write)
	}
	return err
}

func (x *claims) settleLater(write func(context.Context) error) {
	ctx, cancel := context.WithTimeout(context.Background(), settleLaterWait)
	defer cancel()
	for ctx.Err() == nil {
		time.Sleep(settlePause)
		if err := write(ctx); !errors.Is(err, platform.ErrUnavailable) {
			return
		}
	}
}

// mayStillSend keeps a host that was paused from sending a call whose claim a
// resend may have settled meanwhile.
func (x *claims) mayStillSend(term ids.Term) *refusal.Refusal {
	s := x.loop.Snapshot()
	if s.Lease.Term != term || !x.loop.Now().Before(s.ActUntil) {
		return refusal.New(refusal.PlatformDown, platformPause, "this host's lease has ended; nothing was sent")
	}
	return nil
}

// unsure answers a caller whose call ran but whose outcome couldn't be written down.
func (x *claims) unsure(err error) *refusal.Refusal {
	if errors.Is(err, platform.ErrConflict) {
		return unknownOutcome()
	}
	r := refusal.New(refusal.OutcomeUnknown, 0, "the call was answered but its outcome can't be kept in the platform")
	return r.WithRun(refusal.Unknown)
}

func (x *claims) noteUnknown(w ids.WorkspaceID, r ids.RequestID) {
	if x.timeline != nil {
		x.timeline.Record(timeline.Event{Kind: timeline.ClaimUnknown, Workspace: w, Request: r})
	}
}

func unknownOutcome() *refusal.Refusal {
	r := refusal.New(refusal.OutcomeUnknown, 0, "the call may have run; it isn't sent again under this key")
	return r.WithRun(refusal.Unknown)
}

// join waits for a bounded time for the outcome of the first call.
func (x *claims) join(w http.ResponseWriter, c *call, name, bodyHash string) *refusal.Refusal {
	deadline := time.Now().Add(joinWait)
	var checked time.Time
	live := true
	for {
		o, err := x.store.Get(c.Context(), name)
		if err != nil {
			return joinFailed(err)
		}
		record, err := claim.Parse(o.Value)
		if err != nil {
			return joinFailed(err)
		}
		if time.Since(checked) > leasePoll {
			checked = time.Now()
			live = x.holderLive(c.Context(), record)
		}
		switch claim.Decide(record, bodyHash, live) {
		case claim.Conflict:
			return refusal.New(refusal.Conflict, 0, "the Idempotency-Key was used with another request")
		case claim.Replay:
			kept{status: record.Status, contentType: record.ContentType, body: record.Body}.write(w)
			return nil
		case claim.AnswerUnknown:
			return unknownOutcome()
		case claim.StoreUnknown:
			record.State = claim.Unknown
			x.noteUnknown(c.workspace, record.Request)
			_, _ = x.store.Update(c.Context(), name, o.Version, record.Marshal()) // read again either way
		case claim.Wait:
			if time.Now().After(deadline) {
				return inProgress()
			}
		}
		time.Sleep(joinPause)
	}
}

func inProgress() *refusal.Refusal {
	r := refusal.New(refusal.InProgress, time.Second, "the first call under this key is still running")
	return r.WithRun(refusal.Unknown)
}

func joinFailed(err error) *refusal.Refusal {
	if errors.Is(err, platform.ErrNotFound) {
		return inProgress()
	}
	r := refusal.New(refusal.PlatformDown, platformPause, "what became of the first call can't be read; nothing was sent now")
	return r.WithRun(refusal.Unknown)
}

// holderLive tells whether the lease stands under which the call was sent.
func (x *claims) holderLive(ctx context.Context, r claim.Record) bool {
	_, err := x.store.Get(ctx, r.Holder.ObjectName())
	return !errors.Is(err, platform.ErrNotFound)
}

// kept is an answer that is written down before it is passed on.
type kept struct {
	status      int
	contentType string
	body        []byte
}

func (k *kept) keep(a *backend.Response) (tokens int, fault *backend.CallError) {
	body, err := a.ReadAll()
	if err != nil {
		return 0, backend.AsCallError(err)
	}
	if len(body) > claim.MaxBodyBytes {
		return 0, &backend.CallError{Kind: backend.ServerError, Reason: "the answer is too large to be kept for resends"}
	}
	k.status, k.contentType, k.body = a.Status, a.Header.Get("Content-Type"), bytes.Clone(body)
	return 0, nil
}

func (k kept) write(w http.ResponseWriter) {
	if k.contentType != "" {
		w.Header().Set("Content-Type", k.contentType)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(k.body)))
	w.WriteHeader(k.status)
	_, _ = w.Write(k.body) // the caller has gone if this fails
}
