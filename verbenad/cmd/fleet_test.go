package cmd

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	qt "github.com/frankban/quicktest"

	"verbenaledge.example/platform"
	"verbenaledge.example/platform/standin"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/node"
	"verbenaledge.example/verbena/objects/memory"
	"verbenaledge.example/verbenad/internal/host"
)

// written takes the lines of all hosts; a test may read them.
var written = newLineSwitch()

func TestMain(m *testing.M) {
	log.SetHandler(written)
	os.Exit(m.Run())
}

// fleet is hosts of both roles in this process, before a stand-in of the platform.
type fleet struct {
	t       *testing.T
	store   *memory.Store
	address string
	servers map[string]*standin.Server
	// addresses are those of the servers.
	addresses map[string]string
	fronts    []string
	seeds     []string
	stop      []context.CancelFunc
	names     []string
	serial    atomic.Int64
	// number tells the fleets of this process apart, hosts counts those of one.
	number, hosts int
	// grace is how long the hosts that start next may take to stop.
	grace time.Duration
}

const key = "key-of-w"

// eventsOfStream is the length of each stream.
const eventsOfStream = 12

// The ports of each host on a loopback address of its own: ports that are found free on a shared address
// may be taken by an outgoing connection before they are used.
const (
	peerPort = 7440 + iota
	metricsPort
	callerPort
	readyPort
)

var fleets atomic.Int64

// newFleet starts two entry hosts, three storage hosts, three model servers and two plain ones.
func newFleet(t *testing.T, rate float64) *fleet {
	f := &fleet{
		t: t, store: memory.New(), servers: make(map[string]*standin.Server), addresses: make(map[string]string),
		number: int(fleets.Add(1)), grace: time.Second,
	}
	web := httptest.NewServer(&standin.Store{Store: f.store})
	t.Cleanup(web.Close)
	f.address = strings.TrimPrefix(web.URL, "http://")
	qt.Assert(t, standin.Configure(f.store, standin.Configuration(2, map[string]string{key: "w", "key-of-v": "v"}, rate)), qt.IsNil)
	for n := range 3 {
		f.addServer(&standin.Server{ID: fmt.Sprintf("llm-%d", n), Service: "llm", Slots: 4, Events: eventsOfStream})
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
		return f.call("GET", standin.JobPath("none", 0), key, nil, nil).status == http.StatusNotFound
	})
	return f
}

func (f *fleet) addServer(s *standin.Server) {
	web := httptest.NewServer(s)
	f.t.Cleanup(web.Close)
	f.servers[s.ID], f.addresses[s.ID] = s, strings.TrimPrefix(web.URL, "http://")
	f.register(s)
}

// register writes a server's entry, as it does at its start and in between.
func (f *fleet) register(s *standin.Server) {
	qt.Assert(f.t, standin.Register(f.store, s, f.addresses[s.ID], "z", "ready"), qt.IsNil)
}

func (f *fleet) start(name string, r role) {
	f.hosts++
	ip := fmt.Sprintf("127.%d.%d.%d", 10+os.Getpid()%50, f.number, f.hosts)
	s := node.Settings{
		Host: ids.HostID(name), Zone: "z", IP: ip, PeerPort: peerPort, MetricsPort: metricsPort, GracePeriod: f.grace,
		StoreAddress: f.address, StoreValueBytes: 1 << 20, ResultRetention: time.Minute,
	}
	if strings.HasPrefix(name, "front") {
		s.CallerAddress, s.ReadyAddress = fmt.Sprintf("%s:%d", ip, callerPort), fmt.Sprintf("%s:%d", ip, readyPort)
		f.fronts = append(f.fronts, s.CallerAddress)
	}
	s.Seeds = append([]string(nil), f.seeds...)
	f.seeds = append(f.seeds, s.PeerAddress())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- r(ctx, host.World{Settings: s, Store: platform.NewStore(f.address), Source: platform.Decoder{}, Protocol: platform.Protocol{}})
	}()
	f.stop, f.names = append(f.stop, cancel), append(f.names, name)
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
	q.Header.Set(standin.HeaderRequestID, r.id)
	if key != "" {
		q.Header.Set("Authorization", "Bearer "+key)
	}
	for k, v := range header {
		q.Header.Set(k, v)
		if k == standin.HeaderRequestID {
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

var tokens = standin.StreamHeaders()

func stream(id string) string {
	var b strings.Builder
	for n := 1; n <= eventsOfStream; n++ {
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
				return standin.NoFault
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
		n += s.RunCount(id)
	}
	return n
}
