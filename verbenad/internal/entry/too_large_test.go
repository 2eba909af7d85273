package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/exchange"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbenad/internal/slots"
)

// refusingProtocol records the refusal that it writes.
type refusingProtocol struct {
	exchange.Protocol
	status     int
	retryAfter time.Duration
}

func (p *refusingProtocol) WriteRefusal(w http.ResponseWriter, status int, _ ids.RequestID, retryAfter time.Duration, _ string) {
	p.status, p.retryAfter = status, retryAfter
	w.WriteHeader(status)
}

// TestTooLargeIsFinal guards against callers that repeat a request which no server can ever hold: 503 asks them to, and so does a time
// after which to retry.
func TestTooLargeIsFinal(t *testing.T) {
	for reason, want := range map[dispatch.Reason]int{
		dispatch.TooLarge: http.StatusRequestEntityTooLarge, dispatch.OverRate: http.StatusTooManyRequests,
		dispatch.Overload: http.StatusServiceUnavailable,
	} {
		t.Run(reason.String(), func(t *testing.T) {
			p := &refusingProtocol{}
			h := New(p, nil, nil, nil, nil, &manualClock{now: time.Unix(1000, 0)}, 64)
			req := &request{httpRequest: httptest.NewRequest(http.MethodGet, "/r", nil), writer: httptest.NewRecorder()}
			retryAfter := time.Second
			if reason == dispatch.TooLarge {
				retryAfter = 0
			}
			h.answerNoSlot(t.Context(), req, &forwardState{}, &slots.RefusedError{Reason: reason, RetryAfter: retryAfter})
			qt.Assert(t, p.status, qt.Equals, want)
			qt.Assert(t, p.retryAfter, qt.Equals, retryAfter)
		})
	}
}
