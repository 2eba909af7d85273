package bulk

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/catalog"
	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbenad/internal/slots"
)

// TestOwnEndOfRefusalIsNotTheServers guards against a failure of a server whose body this host stops reading, because the slot is
// taken back, the run ends or the server is silent, and that counts as one that the server broke off.
func TestOwnEndOfRefusalIsNotTheServers(t *testing.T) {
	for _, tc := range []struct {
		name string
		want dispatch.Result
	}{{"slot taken back", dispatch.Cancelled}, {"run ended", dispatch.Cancelled}, {"silence", dispatch.Silent}} {
		t.Run(tc.name, func(t *testing.T) {
			began := make(chan struct{})
			failing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.WriteHeader(http.StatusInternalServerError)
				_, _ = w.Write([]byte("why"))
				_ = http.NewResponseController(w).Flush()
				close(began)
				<-r.Context().Done()
			}))
			defer failing.Close()
			i := newItemRun(t)
			s := &scriptedSlots{SlotSource: i.owner.slots, released: make(chan dispatch.Outcome, 1)}
			i.owner.slots = s
			yielded := make(chan struct{})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go func() {
				<-began
				switch tc.name {
				case "slot taken back":
					close(yielded)
				case "run ended":
					cancel()
				}
			}()
			server := directory.Server{ID: "a", Service: "llm", SoftwareVersion: "1", Address: strings.TrimPrefix(failing.URL, "http://")}
			i.send(ctx, &catalog.Route{MaxAttempts: 3}, &slots.Slot{Server: server, Yielded: yielded})
			qt.Check(t, (<-s.released).Result, qt.Equals, tc.want)
			qt.Check(t, i.failures, qt.Equals, 0)
		})
	}
}
