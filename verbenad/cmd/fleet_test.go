package cmd

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"

	"verbenaledge.example/platform"
	"verbenaledge.example/platform/standin"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/node"
	"verbenaledge.example/verbena/objects/memory"
	"verbenaledge.example/verbenad/internal/host"
)

func TestMain(m *testing.M) {
	log.SetHandler(discard.Default)
	os.Exit(m.Run())
}

// fleet is hosts of both roles in this process, before a stand-in of the platform.
type fleet struct {
	t       *testing.T
	store   *memory.Store
	address string
	servers map[string]*standin.Server
	fronts  []string
	seeds   []string
	stop    []context.CancelFunc
	serial  atomic.Int64
}

const key = "key-of-w"

// newFleet starts two entry hosts, three storage hosts, three model servers and two plain ones.
func newFleet(t *testing.T, rate float64) *fleet {
	f := &fleet{t: t, store: memory.New(), servers: make(map[string]*standin.Server)}
	web := httptest.NewServer(&standin.Store{Store: f.store})
	t.Cleanup(web.Close)
	f.address = strings.TrimPrefix(web.URL, "http://")
	qt.Assert(t, standin.Configure(f.store, standin.Configuration(2, map[string]string{key: "w", "key-of-v": "v"}, rate)), qt.IsNil)
	for n := range 3 {
		f.addServer(&standin.Server{ID: fmt.Sprintf("llm-%d", n), Service: "llm", Slots: 4, Events: 12})
	}
	f.pause(2 * time.Millisecond)
	for n := range 2 {
		f.addServer(&standin.Server{ID: fmt.Sprintf("app-%d", n), Service: "app", Slots: 6})
	}
	for n := range 3 {
		f.start(fmt.Sprintf("storage-%d", n), host.Storage)
	}
	for n := range 2 {
		f.start(fmt.Sprintf("front-%d", n), host.Front)
	}
	f.eventually("a request is served", func() bool { return f.call("GET", "/app/x", key, nil, nil).status == http.StatusOK })
	f.eventually("batch jobs are taken", func() bool {
		return f.call("GET", "/lots/none", key, nil, nil).status == http.StatusNotFound
	})
	return f
}

func (f *fleet) addServer(s *standin.Server) {
	web := httptest.NewServer(s)
	f.t.Cleanup(web.Close)
	f.servers[s.ID] = s
	qt.Assert(f.t, standin.Register(f.store, s, strings.TrimPrefix(web.URL, "http://"), "z", "ready"), qt.IsNil)
}

func freePort(t *testing.T) int {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port
}

func (f *fleet) start(name string, r role) {
	s := node.Settings{
		Host: ids.HostID(name), Zone: "z", IP: "127.0.0.1", PeerPort: freePort(f.t), MetricsPort: freePort(f.t), Grace: time.Second,
		StoreAddress: f.address, StoreValueBytes: 1 << 20, ResultsKept: time.Minute,
	}
	if strings.HasPrefix(name, "front") {
		s.CallerAddress, s.ReadyAddress = fmt.Sprintf("127.0.0.1:%d", freePort(f.t)), fmt.Sprintf("127.0.0.1:%d", freePort(f.t))
		f.fronts = append(f.fronts, s.CallerAddress)
	}
	s.Seeds = append([]string(nil), f.seeds...)
	f.seeds = append(f.seeds, s.PeerAddress())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- r(ctx, host.World{Settings: s, Store: platform.NewStore(f.address), Source: platform.Source{}, Protocol: platform.Protocol{}})
	}()
	f.stop = append(f.stop, cancel)
	f.t.Cleanup(func() {
		cancel()
		qt.Check(f.t, <-done, qt.IsNil)
	})
}

func (f *fleet) eventually(what string, holds func() bool) {
	f.t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	f.t.Fatalf("never: %s", what)
}

type result struct {
	status int
	id     string
	header http.Header
	body   string
	err    error
}

// call sends a request to one of the entry hosts in turn.
func (f *fleet) call(method, path, key string, header map[string]string, body []byte) (r result) {
	n := f.serial.Add(1)
	r.id = fmt.Sprintf("id-%d", n)
	q, err := http.NewRequestWithContext(f.t.Context(), method, "http://"+f.fronts[int(n)%len(f.fronts)]+path, bytes.NewReader(body))
	qt.Assert(f.t, err, qt.IsNil)
	q.Host = "host.example"
	q.Header.Set("X-Verbenaledge-Request-Id", r.id)
	if key != "" {
		q.Header.Set("Authorization", "Bearer "+key)
	}
	for k, v := range header {
		q.Header.Set(k, v)
		if k == "X-Verbenaledge-Request-Id" {
			r.id = v
		}
	}
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		r.err = err
		return r
	}
	defer func() { _ = a.Body.Close() }()
	raw, err := io.ReadAll(a.Body)
	r.status, r.header, r.body, r.err = a.StatusCode, a.Header, string(raw), err
	return r
}

var tokens = map[string]string{"X-Verbenaledge-Token-Usage": "10,12"}

func stream(id string, events int) string {
	var b strings.Builder
	for n := 1; n <= events; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", n, standin.EventText(id, n))
	}
	return b.String()
}

// faults makes the servers of a service fail at the first n requests.
func (f *fleet) faults(service string, n int64, fault standin.ServerFault) {
	var left atomic.Int64
	left.Store(n)
	for _, s := range f.servers {
		if s.Service == service {
			s.SetFault(func(*http.Request) standin.ServerFault {
				if left.Add(-1) >= 0 {
					return fault
				}
				return standin.Sound
			})
		}
	}
}

// pause sets the time between the events of all servers.
func (f *fleet) pause(d time.Duration) {
	for _, s := range f.servers {
		s.SetPause(d)
	}
}

func (f *fleet) ran(id string) (n int) {
	for _, s := range f.servers {
		n += s.Ran(id)
	}
	return n
}

func TestFleetServes(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 1000)

	c.Run("whole answers", func(c *qt.C) {
		r := f.call("POST", "/app/x?a=%2F", key, nil, []byte("question"))
		c.Assert(r.status, qt.Equals, 200)
		c.Assert(r.body, qt.Equals, "answer to question")
		c.Assert(r.header.Get("X-Verbenaledge-Response-Signature"), qt.Equals, "signed")
		c.Assert(r.header.Get("X-Verbenaledge-Request-Id"), qt.Equals, r.id)
	})
	c.Run("streams", func(c *qt.C) {
		r := f.call("POST", "/stream/x", key, tokens, nil)
		c.Assert(r.err, qt.IsNil)
		c.Assert(r.body, qt.Equals, stream(r.id, 12))
	})
	c.Run("keys", func(c *qt.C) {
		c.Assert(f.call("GET", "/app/x", "unknown", nil, nil).status, qt.Equals, 401)
		c.Assert(f.call("GET", "/app/x", "", nil, nil).status, qt.Equals, 401)
		c.Assert(f.call("GET", "/none/x", key, nil, nil).status, qt.Equals, 404)
		for _, s := range f.servers {
			_, keys := s.Total()
			c.Assert(keys, qt.Equals, 0)
		}
	})
	c.Run("an idempotent request runs again", func(c *qt.C) {
		f.faults("app", 1, standin.Break)
		r := f.call("POST", "/app/x", key, nil, []byte("q"))
		c.Assert(r.status, qt.Equals, 200)
		c.Assert(f.ran(r.id), qt.Equals, 2)
	})
	c.Run("a foreign answer is not passed on", func(c *qt.C) {
		f.faults("app", 1, standin.Foreign)
		r := f.call("POST", "/app/x", key, nil, []byte("q"))
		c.Assert(r.status, qt.Equals, 200)
		c.Assert(r.header.Get("X-Verbenaledge-Request-Id"), qt.Equals, r.id)
	})
	c.Run("a request that runs once is not repeated", func(c *qt.C) {
		f.faults("app", 1, standin.Break)
		r := f.call("POST", "/once/x", key, nil, []byte("q"))
		c.Assert(r.status, qt.Equals, 502)
		c.Assert(f.ran(r.id), qt.Equals, 1)
	})
	c.Run("a stream goes on at another server", func(c *qt.C) {
		f.faults("llm", 1, standin.Cut)
		r := f.call("POST", "/resume/x", key, tokens, nil)
		c.Assert(r.err, qt.IsNil)
		c.Assert(r.body, qt.Equals, stream(r.id, 12))
		c.Assert(f.ran(r.id), qt.Equals, 2)
	})
	c.Run("a stream that may not go on doesn't look complete", func(c *qt.C) {
		f.faults("llm", 1, standin.Cut)
		r := f.call("POST", "/stream/x", key, tokens, nil)
		c.Assert(r.err, qt.IsNotNil)
		c.Assert(strings.HasPrefix(stream(r.id, 12), r.body), qt.IsTrue)
		c.Assert(f.ran(r.id), qt.Equals, 1)
	})
	c.Run("a server's own failure is passed on unchanged", func(c *qt.C) {
		f.faults("app", 9, standin.Error)
		r := f.call("POST", "/app/x", key, nil, nil)
		c.Assert(r.status, qt.Equals, 500)
		c.Assert(r.header.Get("X-Verbenaledge-Response-Signature"), qt.Equals, "signed")
		c.Assert(f.ran(r.id), qt.Equals, 3)
		f.faults("app", 0, standin.Sound)
	})
	c.Run("a caller that leaves ends the server's work", func(c *qt.C) {
		f.faults("llm", 0, standin.Sound)
		ctx, cancel := context.WithCancel(c.Context())
		q, err := http.NewRequestWithContext(ctx, "POST", "http://"+f.fronts[0]+"/stream/x", nil)
		c.Assert(err, qt.IsNil)
		q.Host = "host.example"
		q.Header = http.Header{"Authorization": {"Bearer " + key}, "X-Verbenaledge-Request-Id": {"leaver"}, "X-Verbenaledge-Token-Usage": {"1,1"}}
		a, err := http.DefaultClient.Do(q)
		c.Assert(err, qt.IsNil)
		cancel()
		_ = a.Body.Close()
		f.eventually("no server works", func() bool {
			running := 0
			for _, s := range f.servers {
				running += s.Running()
			}
			return running == 0
		})
	})
	c.Run("a new configuration is in force", func(c *qt.C) {
		c.Assert(standin.Configure(f.store, standin.Configuration(5, map[string]string{"new": "w"}, 1000)), qt.IsNil)
		f.eventually("the old key is refused", func() bool {
			first, second := f.call("GET", "/app/x", key, nil, nil), f.call("GET", "/app/x", key, nil, nil)
			return first.status == 401 && second.status == 401
		})
		c.Assert(f.call("GET", "/app/x", "new", nil, nil).status, qt.Equals, 200)
	})
}

// TestFleetStartInOutage: a host that starts while the store is away learns all from the others and serves.
func TestFleetStartInOutage(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 1000)
	f.store.SetFault(func(memory.Op) memory.Fault { return memory.Refuse })
	f.start("front-late", host.Front)
	f.fronts = f.fronts[len(f.fronts)-1:]
	f.eventually("the late host serves", func() bool { return f.call("GET", "/app/x", key, nil, nil).status == http.StatusOK })
	c.Assert(f.call("GET", "/app/x", "unknown", nil, nil).status, qt.Equals, 401)
}

// TestFleetKeepsRates: over both entry hosts a workspace gets its burst and rate, and refusals say when to come back.
func TestFleetKeepsRates(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 5)
	begin := time.Now()
	served, refused := 0, 0
	for time.Since(begin) < 2*time.Second {
		switch r := f.call("GET", "/app/x", "key-of-v", nil, nil); r.status {
		case 200:
			served++
		case 429:
			refused++
			c.Assert(r.header.Get("Retry-After"), qt.Not(qt.Equals), "")
		default:
			c.Fatalf("status %d", r.status)
		}
	}
	most := 5 + 5*time.Since(begin).Seconds() + 1
	c.Assert(float64(served) <= most, qt.IsTrue, qt.Commentf("%d served, %f allowed", served, most))
	c.Assert(served > 5, qt.IsTrue)
	c.Assert(refused > 0, qt.IsTrue)
}

func (f *fleet) submit(id string, items int) result {
	type item struct {
		ID      string            `json:"id"`
		Path    string            `json:"path"`
		Headers map[string]string `json:"headers"`
		Body    string            `json:"body"`
		Tokens  int               `json:"tokens"`
	}
	var job struct {
		Items []item `json:"items"`
	}
	for n := range items {
		job.Items = append(job.Items, item{
			ID: fmt.Sprintf("%s-%d", id, n), Path: "/batch/i", Headers: tokens, Body: base64.StdEncoding.EncodeToString([]byte(id)), Tokens: 100,
		})
	}
	raw, err := json.Marshal(job)
	qt.Assert(f.t, err, qt.IsNil)
	return f.call("POST", "/batch/x", key, map[string]string{"X-Verbenaledge-Request-Id": id}, raw)
}

type listing struct {
	Total   int `json:"total"`
	Next    int `json:"next"`
	Results []struct {
		ID     string `json:"id"`
		State  string `json:"state"`
		Output string `json:"output"`
	} `json:"results"`
}

func (f *fleet) read(id string, after int) (l listing, status int) {
	r := f.call("GET", fmt.Sprintf("/lots/%s?after=%d", id, after), key, map[string]string{"X-Verbenaledge-Wait-Ms": "300"}, nil)
	if r.status == 200 {
		qt.Assert(f.t, json.Unmarshal([]byte(r.body), &l), qt.IsNil)
	}
	return l, r.status
}

// whole reads a job until all its results are there, and checks each.
func (f *fleet) whole(id string, items int) (order []string) {
	f.eventually("job "+id+" is done", func() bool {
		l, status := f.read(id, len(order))
		if status != 200 {
			return false
		}
		for _, one := range l.Results {
			order = append(order, one.ID)
			qt.Assert(f.t, one.State, qt.Equals, "completed")
			var want []string
			for n := 1; n <= 12; n++ {
				want = append(want, standin.EventText(one.ID, n))
			}
			qt.Assert(f.t, one.Output, qt.Equals, strings.Join(want, "\n"))
		}
		return len(order) == items
	})
	seen := make(map[string]bool)
	for _, one := range order {
		qt.Assert(f.t, seen[one], qt.IsFalse, qt.Commentf("%s stands twice", one))
		seen[one] = true
	}
	return order
}

func TestFleetBatch(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 1000)

	c.Run("a job is accepted once and completes", func(c *qt.C) {
		c.Assert(f.submit("job-a", 9).status, qt.Equals, 202)
		c.Assert(f.submit("job-a", 9).status, qt.Equals, 202)
		order := f.whole("job-a", 9)
		again, _ := f.read("job-a", 3)
		c.Assert(again.Results[0].ID, qt.Equals, order[3])
		c.Assert(again.Total, qt.Equals, 9)
	})
	c.Run("another workspace doesn't see it", func(c *qt.C) {
		c.Assert(f.call("GET", "/lots/job-a?after=0", "key-of-v", nil, nil).status, qt.Equals, 404)
	})
	c.Run("a job over the cap is refused", func(c *qt.C) {
		f.pause(300 * time.Millisecond)
		r := f.submit("job-b", 150)
		c.Assert(r.status, qt.Equals, 202)
		body := f.call("GET", "/items/job-b?id=job-b-149", key, nil, nil)
		c.Assert(body.body, qt.Equals, "job-b")
		cut := standin.Configuration(9, map[string]string{key: "w"}, 1000)
		for _, r := range cut["routes"].([]map[string]any) {
			if r["name"] == "batch" {
				r["cap"] = 1
			}
		}
		c.Assert(standin.Configure(f.store, cut), qt.IsNil)
		n := 0
		f.eventually("a further job is refused", func() bool {
			n++
			return f.submit(fmt.Sprintf("job-c%d", n), 5).status == 429
		})
		c.Assert(f.call("DELETE", "/lots/job-b", key, nil, nil).status, qt.Equals, 200)
		c.Assert(f.call("DELETE", "/lots/job-b", key, nil, nil).status, qt.Equals, 200)
		f.pause(2 * time.Millisecond)
		c.Assert(standin.Configure(f.store, standin.Configuration(11, map[string]string{key: "w"}, 1000)), qt.IsNil)
	})
	c.Run("items that can't be done are errored", func(c *qt.C) {
		f.faults("llm", 1, standin.Impossible)
		f.eventually("the job is accepted", func() bool { return f.submit("job-d", 1).status == 202 })
		f.eventually("it is listed", func() bool {
			l, _ := f.read("job-d", 0)
			return len(l.Results) == 1 && l.Results[0].State == "errored"
		})
	})
	c.Run("cut runs go on", func(c *qt.C) {
		f.faults("llm", 4, standin.Cut)
		c.Assert(f.submit("job-e", 4).status, qt.Equals, 202)
		f.whole("job-e", 4)
	})
	c.Run("answers of the store that are lost double nothing", func(c *qt.C) {
		var n atomic.Int64
		f.store.SetFault(func(op memory.Op) memory.Fault {
			if (op.Verb == "create" || op.Verb == "replace") && n.Add(1)%2 == 0 {
				return memory.LoseAnswer
			}
			return memory.None
		})
		f.eventually("the job is accepted", func() bool { return f.submit("job-f", 8).status == 202 })
		f.whole("job-f", 8)
		f.store.SetFault(nil)
	})
	c.Run("an owner that stops hands over, and nothing is lost", func(c *qt.C) {
		f.pause(20 * time.Millisecond)
		c.Assert(f.submit("job-g", 12).status, qt.Equals, 202)
		f.stop[0]()
		f.stop[1]()
		f.whole("job-g", 12)
		f.whole("job-a", 9)
	})
	c.Run("no part of a job runs that the store refused", func(c *qt.C) {
		f.store.SetFault(func(memory.Op) memory.Fault { return memory.Refuse })
		r := f.submit("job-h", 3)
		c.Assert(r.status, qt.Equals, 503)
		f.store.SetFault(nil)
		time.Sleep(300 * time.Millisecond)
		c.Assert(f.ran("job-h-0"), qt.Equals, 0)
	})
}
