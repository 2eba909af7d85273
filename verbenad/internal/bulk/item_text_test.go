package bulk

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbenad/internal/slots"
)

// TestItemSpeaksOfHTTP guards against an item that begins again because its output, on a connection in use again, speaks of HTTP.
func TestItemSpeaksOfHTTP(t *testing.T) {
	const output = "HTTP/1.1 200 OK\nContent-Type: text/plain\n"
	connections := make(map[string]bool)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		connections[r.RemoteAddr] = true
		_, _ = fmt.Fprint(w, "id: 1\ndata: HTTP/1.1 200 OK\ndata: Content-Type: text/plain\ndata:\n\n")
	}))
	defer s.Close()
	template := newItemRun(t)
	server := directory.Server{ID: "s", Service: "llm", SoftwareVersion: "1", Incarnation: 1, Address: strings.TrimPrefix(s.URL, "http://")}
	for range 3 {
		i := &itemRun{owner: template.owner, record: template.record, item: template.item, route: template.route}
		qt.Assert(t, i.sendTo(t, &slots.Slot{Server: server, Yielded: make(chan struct{})}), qt.Equals, itemComplete)
		qt.Assert(t, string(i.output), qt.Equals, output)
	}
	s.Close() // its handlers have returned
	qt.Assert(t, connections, qt.HasLen, 1)
}
