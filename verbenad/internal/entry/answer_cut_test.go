package entry

import (
	"fmt"
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/catalog"
	"verbenaledge.example/verbena/completion"
	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbenad/internal/upstream"
)

// TestOwnEndOfAnswerIsNotTheServers guards against an answer that this host ended because of the server's silence, just as its
// head arrived, and that counts as one that the server broke off: three such mark the request as one that crashes servers.
func TestOwnEndOfAnswerIsNotTheServers(t *testing.T) {
	clock := &manualClock{now: time.Unix(1000, 0)}
	h := New(nil, nil, nil, nil, nil, clock, 64)
	for _, tc := range []struct {
		expired, unanswered bool
		result              dispatch.Result
		reason              string
	}{
		{expired: false, unanswered: true, result: dispatch.Broken, reason: "answer_cut"},
		{expired: true, unanswered: false, result: dispatch.Silent, reason: "server_silent"},
	} {
		t.Run(tc.reason, func(t *testing.T) {
			watch := &silenceWatch{}
			watch.expired.Store(tc.expired)
			req := &request{route: &catalog.Route{Kind: catalog.KindIdempotent, MaxAttempts: 2}, deadline: clock.now.Add(time.Second)}
			state := &forwardState{sends: 1, mayHaveRun: true}
			next, outcome := h.answerCut(t.Context(), req, state, dispatch.Outcome{}, completion.BrokenOff{Err: io.ErrUnexpectedEOF}, watch)
			qt.Check(t, next, qt.Equals, stepRetry)
			qt.Check(t, outcome.Result, qt.Equals, tc.result)
			qt.Check(t, outcome.Unanswered, qt.Equals, tc.unanswered)
			qt.Check(t, state.reason, qt.Equals, tc.reason)
		})
	}
}

// TestOwnLimitIsNotAServersEnd guards against answers that exceed a limit of this host, and that count as ones that the server broke
// off: three such refuse the request to all callers of its workspace for crashing servers.
func TestOwnLimitIsNotAServersEnd(t *testing.T) {
	for _, err := range []error{errResponseTooLong, upstream.ErrEventTooLong, fmt.Errorf("read response: %w", upstream.ErrHeadTooLong)} {
		qt.Check(t, brokenOffResult(err, &silenceWatch{}), qt.Equals, dispatch.Failed, qt.Commentf("%v", err))
	}
	qt.Check(t, brokenOffResult(io.ErrUnexpectedEOF, &silenceWatch{}), qt.Equals, dispatch.Broken)
}
