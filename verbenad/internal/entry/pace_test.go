package entry

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/catalog"
	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/exchange"
	"verbenaledge.example/verbenad/internal/objectfeed"
	"verbenaledge.example/verbenad/internal/slots"
	"verbenaledge.example/verbenad/internal/upstream"
)

// pacedProtocol reads the same pace of its machine in each response of a server.
type pacedProtocol struct {
	exchange.Protocol
	signed bool
}

func (pacedProtocol) Forward(h http.Header, _ exchange.ForwardInfo) http.Header { return h.Clone() }

func (pacedProtocol) ResponseHeaders(h http.Header) http.Header { return h.Clone() }

func (p pacedProtocol) ParseResponse(int, http.Header) exchange.ResponseInfo {
	return exchange.ResponseInfo{Signed: p.signed, Load: exchange.Load{Known: true, Pace: 170}}
}

// TestAnswerReportsPace guards against placement that doesn't learn how busy machines are, or takes what the head of an answer said for
// what holds at its end. An unsigned answer tells nothing of the server.
func TestAnswerReportsPace(t *testing.T) {
	const pause = 30 * time.Millisecond
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "4")
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(pause)
		_, _ = io.WriteString(w, "done") // the test sees what is missing
	}))
	defer server.Close()
	c := clock.System{}
	place := slots.NewClient("f1", "z", "", c, objectfeed.NewFeed(c), func() string { return "" }, func() string { return "" })
	slot := &slots.Slot{Server: directory.Server{ID: "a", Service: "llm", Address: strings.TrimPrefix(server.URL, "http://")}}
	for _, signed := range []bool{true, false} {
		h := New(pacedProtocol{signed: signed}, nil, nil, place, upstream.NewClient(c), c, 64)
		req := &request{
			httpRequest: httptest.NewRequest(http.MethodGet, "/r", nil), writer: httptest.NewRecorder(), deadline: time.Now().Add(5 * time.Second),
			route: &catalog.Route{Kind: catalog.KindIdempotent, MaxAttempts: 1},
		}
		_, o := h.attempt(t.Context(), req, &forwardState{}, slot, 0)
		if !signed {
			qt.Assert(t, o.Result, qt.Equals, dispatch.Broken)
			qt.Assert(t, o.Pace, qt.Equals, 0)
			continue
		}
		qt.Assert(t, o.Result, qt.Equals, dispatch.Served)
		qt.Assert(t, o.Pace, qt.Equals, 170)
		qt.Assert(t, o.PaceAge >= pause/2, qt.IsTrue, qt.Commentf("%v", o.PaceAge))
	}
}
