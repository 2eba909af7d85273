package cmd

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/platform"
	"verbenaledge.example/platform/standin"
	"verbenaledge.example/verbena/catalog"
	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/origin"
	"verbenaledge.example/verbenad/internal/cutserver"
	"verbenaledge.example/verbenad/internal/entry"
	"verbenaledge.example/verbenad/internal/objectfeed"
	"verbenaledge.example/verbenad/internal/slots"
	"verbenaledge.example/verbenad/internal/upstream"
)

const (
	// memoryMB is the memory of the host, of which a quarter holds bodies.
	memoryMB = 16
	// probeBytes is more than net/http holds back to state a length.
	probeBytes = 8 << 10
	cutHost    = "host.example"
	cutID      = "of-the-caller"
	event1     = "id: 1\ndata: a\n\n"
	event2     = "id: 2\ndata: b\n\n"
	event3     = "id: 3\ndata: c\n\n"
	plain      = "the answer"
	// failureBody is the body of a server's failure that isn't cut.
	failureBody = "failure"
	// maxCutCases is an upper bound of the number of cases.
	maxCutCases = 32
	// parallelFixtures is how many hosts share the work of a test.
	parallelFixtures = 2
	okStatus         = "200 OK"
	failed           = "500 X"
)

// oneServer grants slots on a server under a new id each time.
type oneServer struct {
	*slots.Client
	address string
	granted int
}

func (o *oneServer) Acquire(context.Context, dispatch.SlotRequest) (*slots.Slot, error) {
	o.granted++
	return &slots.Slot{Server: directory.Server{ID: ids.BackendID(fmt.Sprint("s", o.granted)), Service: "s", Address: o.address}}, nil
}

func (o *oneServer) Release(*slots.Slot, dispatch.Outcome) {}
func (o *oneServer) ReportStreamBegan(origin.Record)       {}

// cutFixture is an entry host, and the server that it sends all requests to.
type cutFixture struct {
	*qt.C
	client *upstream.Client
	server *cutserver.Server
	host   *httptest.Server
	shapes []cutserver.Shape
}

func newCutFixture(t *testing.T, client *upstream.Client) *cutFixture {
	f := &cutFixture{C: qt.New(t), client: client}
	var err error
	f.shapes, err = cutserver.Shapes()
	f.Assert(err, qt.IsNil)
	f.server, err = cutserver.Start()
	f.Assert(err, qt.IsNil)
	c := clock.System{}
	nowhere := func() string { return "" }
	source := &oneServer{Client: slots.NewClient("h", "z", "", c, objectfeed.NewFeed(c), nowhere, nowhere), address: f.server.Address()}
	h := entry.New(platform.Protocol{}, platform.Protocol{}, nil, source, f.client, c, memoryMB)
	target := []catalog.Target{{Service: "s", Weight: 1}}
	route := func(prefix string, k catalog.Kind, attempts int, resumable bool) catalog.Route {
		return catalog.Route{
			Name: prefix, Host: cutHost, Prefix: prefix, Kind: k, Targets: target, MaxAttempts: attempts, Resumable: resumable,
			Timeout: time.Minute, Objective: 5 * time.Second,
		}
	}
	h.SetCatalog(catalog.New(1, []catalog.Route{
		route("/plain/", catalog.KindIdempotent, 2, false), route("/once/", catalog.KindNonIdempotent, 1, false),
		route("/stream/", catalog.KindStream, 1, false), route("/resume/", catalog.KindStream, 3, true),
	}, nil, nil, catalog.Limits{}))
	f.host = httptest.NewUnstartedServer(h)
	f.host.Config.ConnContext = entry.ConnContext
	f.host.Start()
	t.Cleanup(func() {
		f.host.Close()
		f.Check(f.server.Close(), qt.IsNil)
	})
	return f
}

// seen is what a caller sees.
type seen struct {
	status int
	// looksComplete is set if the response ended as a complete one does.
	looksComplete bool
	body          string
	// chunked is set if it came in chunks.
	chunked bool
}

// ask sends a request on a connection of its own.
func (f *cutFixture) ask(q question) (s seen) {
	var d net.Dialer
	conn, err := d.DialContext(f.Context(), "tcp", f.host.Listener.Addr().String())
	f.Assert(err, qt.IsNil)
	defer func() {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // thousands of closed connections would wait for their ends otherwise
		}
		_ = conn.Close()
	}()
	f.Assert(conn.SetDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	head := []string{q.method + " " + q.path + " " + q.version, "Host: " + cutHost, standin.HeaderRequestID + ": " + cutID, "Content-Length: 0"}
	_, err = io.WriteString(conn, strings.Join(append(head, q.header...), "\r\n")+"\r\n\r\n")
	f.Assert(err, qt.IsNil)
	request := &http.Request{Method: q.method}
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	if err != nil {
		return seen{}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	f.client.CloseUnused(0, func(ids.BackendID) bool { return false })
	return seen{response.StatusCode, err == nil, string(body), len(response.TransferEncoding) > 0}
}

// question is a caller's request.
type question struct {
	method, path, version string
	header                []string
}

// answer returns a server's answer in a shape.
func answer(s cutserver.Shape, status, body string) (raw string, headBytes int) {
	return s.Response(status, []string{standin.HeaderRequestID + ": " + cutID, standin.HeaderSignature + ": signed"}, body)
}

// cutCase is a request, and what servers answer it. One of them, whose answer is cut, comes after those in before.
type cutCase struct {
	name string
	question
	before, after []cutserver.Answer
	// status and body are those of the cut answer, want is the body that the caller has if its response is complete.
	status, body, want string
	// claims is set if an orderly close of a connection that shows nothing else counts as the end.
	claims bool
	// cutsHead is set if the answer is also cut within its head.
	cutsHead bool
}

// framed is a whole answer with a length.
func framed(shapes []cutserver.Shape, status, body string) cutserver.Answer {
	for _, s := range shapes {
		if s.Name == "length" {
			raw, _ := answer(s, status, body)
			return cutserver.Answer{Raw: raw}
		}
	}
	return cutserver.Answer{}
}

// broken is a stream that is broken off after its first event.
func broken(shapes []cutserver.Shape) cutserver.Answer {
	a := framed(shapes, okStatus, event1+event2+event3)
	end := strings.Index(a.Raw, event2)
	return cutserver.Answer{Raw: a.Raw[:end+len(event2)/2], Ending: cutserver.Reset}
}

func cutCases(shapes []cutserver.Shape) []cutCase {
	const v1, v0 = "HTTP/1.1", "HTTP/1.0"
	stream, rest := event1+event2+event3, event2+event3
	failure := framed(shapes, failed, failureBody)
	takesUp := []string{standin.HeaderLastEvent + ": 1"}
	closes := []string{"Connection: close"}
	list := append(make([]cutCase, 0, maxCutCases), []cutCase{
		{name: "plain, once", question: question{"GET", "/once/x", v1, nil}, status: okStatus, body: plain, want: plain, claims: true, cutsHead: true},
		{
			name: "plain, repeated", question: question{"GET", "/plain/x", v1, nil}, status: okStatus, body: plain, want: plain, claims: true,
			after: []cutserver.Answer{framed(shapes, okStatus, plain)},
		},
		{name: "plain, closes", question: question{"GET", "/once/x", v1, closes}, status: okStatus, body: plain, want: plain, claims: true},
		{name: "plain, 1.0", question: question{"GET", "/once/x", v0, nil}, status: okStatus, body: plain, want: plain, claims: true},
		{name: "failure kept", question: question{"GET", "/plain/x", v1, nil}, status: failed, body: plain, want: plain, claims: true},
		{name: "failure, once", question: question{"GET", "/once/x", v1, nil}, status: failed, body: plain, want: plain, claims: true},
		{name: "head", question: question{"HEAD", "/once/x", v1, nil}, status: okStatus, body: ""},
	}...)
	for _, version := range []string{v1, v0} {
		list = append(list,
			cutCase{name: "stream " + version, question: question{"GET", "/stream/x", version, nil}, status: okStatus, body: stream, want: stream, claims: true},
			cutCase{
				name: "resumed by the host " + version, question: question{"GET", "/resume/x", version, nil}, status: okStatus, body: rest, want: stream,
				before: []cutserver.Answer{broken(shapes)}, after: []cutserver.Answer{failure}, claims: true,
			},
			cutCase{
				name: "resumed by the caller " + version, question: question{"GET", "/resume/x", version, takesUp}, status: okStatus, body: rest, want: rest,
				after: []cutserver.Answer{failure, failure}, claims: true,
			},
		)
	}
	return list
}

// TestCutResponsesLookComplete cuts a server's response at each byte, in each form of HTTP/1.x, on each path that ends a
// caller's response. What the caller gets looks complete only if all of it has arrived.
func TestCutResponsesLookComplete(t *testing.T) {
	for n := range parallelFixtures {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			f := newCutFixture(t, upstream.NewClient(clock.System{}))
			for at, tc := range cutCases(f.shapes) {
				if at%parallelFixtures == n {
					tc.run(f)
				}
			}
		})
	}
}

// TestCutUnbufferedResponsesLookComplete does the same where no response can be buffered, so that each is forwarded as it
// arrives.
func TestCutUnbufferedResponsesLookComplete(t *testing.T) {
	f := newCutFixture(t, upstream.NewClient(clock.System{}))
	f.useUpMemory()
	for _, tc := range cutCases(f.shapes) {
		if tc.want == plain {
			tc.run(f)
		}
	}
}

// useUpMemory sends bodies, but for their last bytes, that take up all memory, and waits until that is reserved.
func (f *cutFixture) useUpMemory() {
	const largest, smallest = 1 << 20, 8 << 10
	for left := memoryMB << 20 / 4; left > 0; {
		size := largest
		for size > smallest && size > left/2 {
			size /= 2
		}
		f.sendUnfinished(size)
		left -= size
		time.Sleep(20 * time.Millisecond) // a body that grows takes more for a moment
	}
	raw, _ := answer(f.shapes[slices.IndexFunc(f.shapes, func(s cutserver.Shape) bool { return s.Name == "chunks" })], okStatus, strings.Repeat("x", probeBytes))
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
		f.server.SetAnswers(cutserver.Answer{Raw: raw})
		if f.ask(question{"GET", "/once/x", "HTTP/1.1", nil}).chunked {
			return
		}
	}
	f.Fatal("memory isn't used up")
}

// sendUnfinished sends a request without the last byte of its body.
func (f *cutFixture) sendUnfinished(size int) {
	var d net.Dialer
	conn, err := d.DialContext(f.Context(), "tcp", f.host.Listener.Addr().String())
	f.Assert(err, qt.IsNil)
	f.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "POST /once/x HTTP/1.1\r\nHost: %s\r\n%s: hog\r\nContent-Length: %d\r\n\r\n%s",
		cutHost, standin.HeaderRequestID, size, strings.Repeat("x", size-1))
	f.Assert(err, qt.IsNil)
}

func (tc *cutCase) run(f *cutFixture) {
	for _, s := range f.shapes {
		raw, headBytes := answer(s, tc.status, tc.body)
		first := headBytes - len("\r\n\r\n")
		if tc.cutsHead {
			first = 0
		}
		endings := []cutserver.Ending{cutserver.Close, cutserver.Reset}
		if s.EndsWithConnection() {
			endings = append(endings, cutserver.CloseThenReset)
		}
		for _, ending := range endings {
			for n := first; n <= len(raw); n++ {
				cut := cutserver.Answer{Raw: raw[:n], Ending: ending}
				f.server.SetAnswers(slices.Concat(tc.before, []cutserver.Answer{cut}, tc.after)...)
				claimed := s.EndsWithConnection() && ending != cutserver.Reset && n >= headBytes
				got := f.ask(tc.question)
				f.Check(tc.allows(got, claimed), qt.IsTrue, qt.Commentf("%s, %s, %s after %d of %d bytes: %+v", tc.name, s.Name, ending, n, len(raw), got))
			}
		}
	}
}

// allows reports whether a caller may see this. claimed is set if the server claims the end of a part of the answer.
func (tc *cutCase) allows(got seen, claimed bool) bool {
	switch {
	case !got.looksComplete || got.status == http.StatusBadGateway:
		return true
	case got.status != tc.statusCode():
		return got.status == http.StatusInternalServerError && got.body == failureBody
	case got.body == tc.want:
		return true
	}
	return claimed && tc.claims && strings.HasPrefix(tc.want, got.body) && (!strings.Contains(tc.want, event3) || strings.HasSuffix(got.body, "\n\n"))
}

func (tc *cutCase) statusCode() int {
	if tc.status == failed {
		return http.StatusInternalServerError
	}
	return http.StatusOK
}
