package bulk

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/catalog"
	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/exchange"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/objects/memory"
	"verbenaledge.example/verbena/origin"
	"verbenaledge.example/verbenad/internal/slots"
)

// lastEventHeader is the header in which the servers of these tests read the id of the last event.
const lastEventHeader = "Last-Event-Id"

// itemEvents is the number of events of an item's whole output.
const itemEvents = 4

// plainProtocol sends nothing but the id of the last event, and takes each response as the request's.
type plainProtocol struct{ idleProtocol }

func (plainProtocol) ItemRequest(bulk.Item) (id ids.RequestID, header map[string][]string) {
	return "", nil
}

func (plainProtocol) Forward(_ http.Header, info exchange.ForwardInfo) http.Header {
	h := make(http.Header)
	if info.LastEventID != "" {
		h.Set(lastEventHeader, info.LastEventID)
	}
	return h
}

func (plainProtocol) ParseResponse(int, http.Header) exchange.ResponseInfo {
	return exchange.ResponseInfo{Signed: true}
}

// versionServer writes events that contain its software version. Its first answer is cut after two events if cut is set.
type versionServer struct {
	directory.Server
	cut bool

	mu sync.Mutex
	// resumedAfter are the ids of the last events that the requests named.
	resumedAfter []string
}

func newVersionServer(t *testing.T, id ids.BackendID, service ids.ServiceName, version directory.SoftwareVersion) *versionServer {
	s := &versionServer{Server: directory.Server{ID: id, Service: service, SoftwareVersion: version, Incarnation: 1}}
	h := httptest.NewServer(s)
	t.Cleanup(h.Close)
	s.Address = strings.TrimPrefix(h.URL, "http://")
	return s
}

func (s *versionServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	last := r.Header.Get(lastEventHeader)
	s.mu.Lock()
	cut := s.cut && len(s.resumedAfter) == 0
	s.resumedAfter = append(s.resumedAfter, last)
	s.mu.Unlock()
	n, err := strconv.Atoi(last)
	if err != nil {
		n = 0
	}
	for n++; n <= itemEvents; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %d of %s\n\n", n, n, s.SoftwareVersion) // the test sees what is missing
		_ = http.NewResponseController(w).Flush()
		if cut && n == 2 {
			panic(http.ErrAbortHandler)
		}
	}
}

func (s *versionServer) slot() *slots.Slot {
	return &slots.Slot{Server: s.Server, Yielded: make(chan struct{})}
}

// wholeOutput is an item's output if all its events are of one version.
func wholeOutput(version string) string {
	var events []string
	for n := 1; n <= itemEvents; n++ {
		events = append(events, fmt.Sprintf("%d of %s", n, version))
	}
	return strings.Join(events, "\n")
}

func newItemRun(t *testing.T) *itemRun {
	f := newFixtureWithoutShards(t, memory.New(), unreachableOwner{})
	f.owner.protocol = plainProtocol{}
	j := job(1, 10)
	return &itemRun{owner: f.owner, record: &bulk.Record{Job: *j}, item: j.Items[0], route: "r"}
}

func (i *itemRun) sendTo(t *testing.T, slot *slots.Slot) sendResult {
	return i.send(t.Context(), &catalog.Route{MaxAttempts: 3}, slot)
}

// TestItemIsNotJoinedFromTwoVersions guards against an output that a server of another service or version resumes.
func TestItemIsNotJoinedFromTwoVersions(t *testing.T) {
	for _, tc := range []secondServerCase{
		{name: "same version", service: "llm", version: "1", resumed: true},
		{name: "other version", service: "llm", version: "2"},
		{name: "version isn't stated", service: "llm"},
		{name: "other service of the same version", service: "other", version: "1"},
		{
			name: "started again as another version", service: "llm", version: "1",
			change: func(o *Owner, _, second directory.Server, _ *slots.Slot) {
				second.Incarnation, second.SoftwareVersion = 2, "2"
				o.SetServers(map[ids.BackendID]directory.Server{second.ID: second})
			},
		},
		{
			name: "may have started again", service: "llm", version: "1",
			change: func(_ *Owner, _, _ directory.Server, slot *slots.Slot) {
				slot.Resumption = &dispatch.ResumptionInputs{MayHaveRestarted: true}
			},
		},
		{
			name: "first server started again as another version", service: "llm", version: "1",
			change: func(o *Owner, first, _ directory.Server, _ *slots.Slot) {
				first.Incarnation, first.SoftwareVersion = 2, "2"
				o.SetServers(map[ids.BackendID]directory.Server{first.ID: first})
			},
		},
		{
			name: "first server started again as the same version", service: "llm", version: "1", resumed: true,
			change: func(o *Owner, first, _ directory.Server, _ *slots.Slot) {
				first.Incarnation = 2
				o.SetServers(map[ids.BackendID]directory.Server{first.ID: first})
			},
		},
		{
			name: "first server left, maybe after another start", service: "llm", version: "1",
			change: func(o *Owner, first, second directory.Server, _ *slots.Slot) {
				o.SetServers(map[ids.BackendID]directory.Server{first.ID: first, second.ID: second})
				o.SetServers(map[ids.BackendID]directory.Server{second.ID: second})
			},
		},
		{
			name: "first server left and is listed again", service: "llm", version: "1", resumed: true,
			change: func(o *Owner, first, second directory.Server, _ *slots.Slot) {
				o.SetServers(map[ids.BackendID]directory.Server{first.ID: first, second.ID: second})
				o.SetServers(map[ids.BackendID]directory.Server{second.ID: second})
				o.SetServers(map[ids.BackendID]directory.Server{first.ID: first, second.ID: second})
			},
		},
	} {
		t.Run(tc.name, tc.run)
	}
}

// secondServerCase is an item that a server of version 1 breaks off, and that a second server then gets.
type secondServerCase struct {
	name string
	// service and version are those of the second server.
	service ids.ServiceName
	version directory.SoftwareVersion
	// change changes what the owner knows, and the slot at the second server, after the first run.
	change  func(o *Owner, first, second directory.Server, slot *slots.Slot)
	resumed bool
}

func (tc secondServerCase) run(t *testing.T) {
	c := qt.New(t)
	first, second := newVersionServer(t, "a", "llm", "1"), newVersionServer(t, "b", tc.service, tc.version)
	first.cut = true
	i := newItemRun(t)
	c.Assert(i.sendTo(t, first.slot()), qt.Equals, itemRetry)
	c.Assert(i.events, qt.Equals, 2)
	c.Assert(i.slotRequest("llm").Resumption, qt.DeepEquals, &dispatch.Resumption{Known: true, Origin: originOf(first.Server)})
	slot := second.slot()
	if tc.change != nil {
		tc.change(i.owner, first.Server, second.Server, slot)
	}
	restarted := itemsRestarted.Get()
	c.Assert(i.sendTo(t, slot), qt.Equals, itemComplete)
	c.Assert(string(i.output), qt.Equals, wholeOutput(string(tc.version)))
	if tc.resumed {
		c.Assert(second.resumedAfter, qt.DeepEquals, []string{"2"})
		c.Assert(itemsRestarted.Get(), qt.Equals, restarted)
		return
	}
	c.Assert(second.resumedAfter, qt.DeepEquals, []string{""})
	c.Assert(itemsRestarted.Get(), qt.Equals, restarted+1)
	c.Assert(i.origin, qt.Equals, originOf(second.Server))
}

// TestItemBeginsAgainAtRestartedServer guards against an output that is resumed at a server whose connection broke: it may
// have started again as another version while its entry is the former one.
func TestItemBeginsAgainAtRestartedServer(t *testing.T) {
	c := qt.New(t)
	s := newVersionServer(t, "a", "llm", "1")
	s.cut = true
	i := newItemRun(t)
	c.Assert(i.sendTo(t, s.slot()), qt.Equals, itemRetry)
	c.Assert(i.sendTo(t, s.slot()), qt.Equals, itemComplete)
	c.Assert(string(i.output), qt.Equals, wholeOutput("1"))
	c.Assert(s.resumedAfter, qt.DeepEquals, []string{"", ""})
}

// TestYieldedItemIsResumedAtItsServer guards against an item that begins again at its server although the host itself ended
// its run.
func TestYieldedItemIsResumedAtItsServer(t *testing.T) {
	c := qt.New(t)
	s := newVersionServer(t, "a", "llm", "1")
	i := newItemRun(t)
	i.output, i.events, i.lastEventID, i.origin, i.beganAt = []byte("1 of 1\n2 of 1"), 2, "2", originOf(s.Server), startOf(s.Server)
	yielded := make(chan struct{})
	close(yielded)
	i.classifyError(t.Context(), &slots.Slot{Server: s.Server, Yielded: yielded}, context.Canceled)
	c.Assert(i.sendTo(t, s.slot()), qt.Equals, itemComplete)
	c.Assert(string(i.output), qt.Equals, wholeOutput("1"))
	c.Assert(s.resumedAfter, qt.DeepEquals, []string{"2"})
}

// TestItemOfMovedRouteBeginsAgain guards against output of the service to which the route led before, and against requests
// for its servers.
func TestItemOfMovedRouteBeginsAgain(t *testing.T) {
	c := qt.New(t)
	former := origin.Origin{Service: "former", Version: "1"}
	i := newItemRun(t)
	i.output, i.events, i.lastEventID, i.origin = []byte("1 of 1"), 1, "1", former
	i.partial.Store(&bulk.PartialAnswer{Text: []byte("1 of 1\n2 of 1"), Events: 2, LastEventID: "2", Origin: &former})
	i.followRoute("former")
	c.Assert(i.slotRequest("former").Resumption, qt.DeepEquals, &dispatch.Resumption{Known: true, Origin: former})
	i.followRoute("llm")
	c.Assert(i.slotRequest("llm").Resumption, qt.IsNil)
	s := newVersionServer(t, "a", "llm", "1")
	c.Assert(i.sendTo(t, s.slot()), qt.Equals, itemComplete)
	c.Assert(string(i.output), qt.Equals, wholeOutput("1"))
	c.Assert(s.resumedAfter, qt.DeepEquals, []string{""})
}

// TestPartialAnswerIsNotJoinedWithAnotherVersion guards against a former owner's partial answer that is resumed at another
// version, or that replaces output that the granted server can resume.
func TestPartialAnswerIsNotJoinedWithAnotherVersion(t *testing.T) {
	for _, tc := range []struct {
		name                    string
		version                 directory.SoftwareVersion
		own, partial            directory.SoftwareVersion
		resumedAfter, requested string
	}{
		{name: "partial answer of the version", version: "1", partial: "1", requested: "1", resumedAfter: "2"},
		{name: "partial answer of another version", version: "2", partial: "1", requested: "1", resumedAfter: ""},
		{name: "longer partial answer of another version", version: "2", own: "2", partial: "1", requested: "1", resumedAfter: "1"},
		{name: "output of another version", version: "2", own: "1", partial: "2", requested: "2", resumedAfter: "2"},
		{name: "both of another version", version: "3", own: "1", partial: "2", requested: "2", resumedAfter: ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			s := newVersionServer(t, "a", "llm", tc.version)
			i := newItemRun(t)
			if tc.own != "" {
				i.output, i.events, i.lastEventID = []byte("1 of "+tc.own), 1, "1"
				i.origin = origin.Origin{Service: "llm", Version: tc.own}
			}
			i.partial.Store(&bulk.PartialAnswer{
				Text: []byte(fmt.Sprintf("1 of %s\n2 of %s", tc.partial, tc.partial)), Events: 2, LastEventID: "2",
				Origin: &origin.Origin{Service: "llm", Version: tc.partial},
			})
			c.Assert(string(i.slotRequest("llm").Resumption.Origin.Version), qt.Equals, tc.requested)
			c.Assert(i.sendTo(t, s.slot()), qt.Equals, itemComplete)
			c.Assert(string(i.output), qt.Equals, wholeOutput(string(tc.version)))
			c.Assert(s.resumedAfter, qt.DeepEquals, []string{tc.resumedAfter})
		})
	}
}

// TestReportedPartialAnswerHasItsOrigin guards against a report to a new owner that doesn't tell where the answer began.
func TestReportedPartialAnswerHasItsOrigin(t *testing.T) {
	c := qt.New(t)
	s := newVersionServer(t, "a", "llm", "1")
	s.cut = true
	i := newItemRun(t)
	c.Assert(i.sendTo(t, s.slot()), qt.Equals, itemRetry)
	report, ok := query(t.Context(), i.owner, func() bulk.Progress {
		i.owner.reportRun(i, bulk.Result{}, false)
		return i.owner.reports[i.record.Job.ID].progress
	})
	c.Assert(ok, qt.IsTrue)
	c.Assert(report.PartialAnswers, qt.HasLen, 1)
	c.Assert(*report.PartialAnswers[0].Origin, qt.Equals, originOf(s.Server))
}
