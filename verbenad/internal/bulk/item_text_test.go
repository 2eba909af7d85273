package bulk

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/exchange"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbenad/internal/slots"
)

// echoProtocol is a protocol whose requests carry their items' ids, which servers echo.
type echoProtocol struct{ plainProtocol }

func (echoProtocol) ItemRequest(i bulk.Item) (id ids.RequestID, header map[string][]string) {
	return ids.RequestID(i.ID), map[string][]string{"Id": {string(i.ID)}}
}

func (echoProtocol) Forward(h http.Header, _ exchange.ForwardInfo) http.Header { return h }

func (e echoProtocol) ParseResponse(status int, h http.Header) exchange.ResponseInfo {
	info := e.plainProtocol.ParseResponse(status, h)
	info.ID = ids.RequestID(h.Get("Id"))
	return info
}

// TestItemSpeaksOfHTTP guards against an item that begins again because its output, on a connection in use again, speaks of HTTP.
func TestItemSpeaksOfHTTP(t *testing.T) {
	const output = "HTTP/1.1 200 OK\nContent-Type: text/plain\n"
	connections := make(map[string]bool)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		connections[r.RemoteAddr] = true
		w.Header().Set("Id", r.Header.Get("Id"))
		_, _ = fmt.Fprint(w, "id: 1\ndata: HTTP/1.1 200 OK\ndata: Content-Type: text/plain\ndata:\n\n")
	}))
	defer s.Close()
	template := newItemRun(t)
	template.owner.protocol = echoProtocol{}
	server := directory.Server{ID: "s", Service: "llm", SoftwareVersion: "1", Incarnation: 1, Address: strings.TrimPrefix(s.URL, "http://")}
	for n := range 3 {
		i := &itemRun{owner: template.owner, record: template.record, item: template.item, route: template.route}
		i.item.ID = bulk.ItemID(fmt.Sprintf("item-%d", n)) // a connection carries each item once
		qt.Assert(t, i.sendTo(t, &slots.Slot{Server: server, Yielded: make(chan struct{})}), qt.Equals, itemComplete)
		qt.Assert(t, string(i.output), qt.Equals, output)
	}
	s.Close() // its handlers have returned
	qt.Assert(t, connections, qt.HasLen, 1)
}
