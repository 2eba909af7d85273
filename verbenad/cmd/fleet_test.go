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

// logLines receives the log lines of all hosts, so that a test can read them.
var logLines = newLogSwitch()

func TestMain(m *testing.M) {
	log.SetHandler(logLines)
	os.Exit(m.Run())
}

// fleet runs hosts of both roles in this process, with a stand-in for the platform.
type fleet struct {
	evacuationTimeout time.Duration
	t                 *testing.T
	store             *memory.Store
	storeAddress      string
	servers           map[string]*standin.Server
	// serverAddresses are by the server's id.
	serverAddresses map[string]string
	// callerAddresses are those at which entry hosts serve callers, peerAddresses those for other hosts.
	callerAddresses []string
	peerAddresses   []string
	stopHosts       []context.CancelFunc
	hostNames       []string
	// networks connect the hosts to backend servers, by host.
	networks map[string]*cuttableNetwork
	requests atomic.Int64
	// client sends the callers' requests.
	client *http.Client
	// fleetNumber distinguishes the fleets of this process.
	fleetNumber, hostCount int
	// grace is the grace period of the hosts that are started next.
	grace time.Duration
}

const workspaceKey = "key-of-w"

// eventsPerStream is the number of events of each stream.
const eventsPerStream = 12

// The ports of each host. Each host has its own loopback address: on a shared address, an outgoing connection could take
// a free port before the host listens on it.
const (
	peerPort = 7440 + iota
	metricsPort
	callerPort
	readyPort
)

var fleetCount atomic.Int64

// newFleet starts two entry hosts, three storage hosts, three model servers and two plain servers.
func newFleet(t *testing.T, rate float64) *fleet { return newFleetOf(t, rate, "", "", "") }

// newFleetOf starts the fleet of newFleet with one model server of each given software version, or without one if it is
// empty.
func newFleetOf(t *testing.T, rate float64, versions ...string) *fleet {
	return newFleetWithEvacuations(t, rate, 0, versions...)
}

// newFleetWithEvacuations starts the fleet of newFleetOf on a deployment with the given evacuation timeout.
func newFleetWithEvacuations(t *testing.T, rate float64, timeout time.Duration, versions ...string) *fleet {
	f := &fleet{
		evacuationTimeout: timeout,
		t:                 t, store: memory.New(), servers: make(map[string]*standin.Server), serverAddresses: make(map[string]string),
		client: http.DefaultClient, networks: make(map[string]*cuttableNetwork), fleetNumber: int(fleetCount.Add(1)), grace: time.Second,
	}
	web := httptest.NewServer(&standin.Store{Store: f.store})
	t.Cleanup(web.Close)
	f.storeAddress = strings.TrimPrefix(web.URL, "http://")
	qt.Assert(t, standin.Configure(f.store, standin.Configuration(2, map[string]string{workspaceKey: "w", "key-of-v": "v"}, rate)), qt.IsNil)
	for n, v := range versions {
		f.addModelServer(fmt.Sprintf("llm-%d", n), "llm", v)
	}
	f.setEventPause(2 * time.Millisecond)
	for n := range 2 {
		f.addServer(&standin.Server{ID: fmt.Sprintf("app-%d", n), Service: "app", Slots: 6})
	}
	for n := range 3 {
		f.startHost(fmt.Sprintf("storage-%d", n), host.RunStorage)
	}
	for n := range 2 {
		f.startHost(fmt.Sprintf("front-%d", n), host.RunFront)
	}
	f.eventually("a request is served", func() bool { return f.call("GET", "/app/x", workspaceKey, nil, nil).status == http.StatusOK })
	f.eventually("calls on batch jobs are answered", func() bool {
		return f.call("GET", standin.JobPath("none", 0), workspaceKey, nil, nil).status == http.StatusNotFound
	})
	return f
}

func (f *fleet) addModelServer(id, service, version string) {
	s := &standin.Server{ID: id, Service: service, Slots: 4, Events: eventsPerStream}
	s.SetVersion(version)
	f.addServer(s)
}

func (f *fleet) addServer(s *standin.Server) {
	web := httptest.NewUnstartedServer(s)
	s.Attach(web.Config)
	web.Start()
	f.t.Cleanup(web.Close)
	f.servers[s.ID], f.serverAddresses[s.ID] = s, strings.TrimPrefix(web.URL, "http://")
	f.register(s)
}

// register writes a server's registration, as the server itself does at its start and at intervals.
func (f *fleet) register(s *standin.Server) {
	qt.Assert(f.t, standin.Register(f.store, s, f.serverAddresses[s.ID], "z", "ready"), qt.IsNil)
}

func (f *fleet) startHost(name string, run role) {
	f.hostCount++
	ip := fmt.Sprintf("127.%d.%d.%d", claimedNetwork().number, f.fleetNumber, f.hostCount)
	s := node.Settings{
		Host: ids.HostID(name), Zone: "z", IP: ip, PeerPort: peerPort, MetricsPort: metricsPort, GracePeriod: f.grace,
		StoreAddress: f.storeAddress, StoreValueBytes: 1 << 20, ResultRetention: time.Minute,
		EvacuationTimeout: f.evacuationTimeout,
	}
	if strings.HasPrefix(name, "front") {
		s.CallerAddress, s.ReadyAddress = fmt.Sprintf("%s:%d", ip, callerPort), fmt.Sprintf("%s:%d", ip, readyPort)
		f.callerAddresses = append(f.callerAddresses, s.CallerAddress)
	}
	s.Seeds = append([]string(nil), f.peerAddresses...)
	f.peerAddresses = append(f.peerAddresses, s.PeerAddress())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	servers := newCuttableNetwork()
	f.networks[name] = servers
	go func() {
		done <- run(ctx, host.Environment{
			Settings: s, Store: platform.NewStore(f.storeAddress), Decoder: platform.Decoder{}, Protocol: platform.Protocol{}, ServerDialer: servers,
		})
	}()
	f.stopHosts, f.hostNames = append(f.stopHosts, cancel), append(f.hostNames, name)
	f.t.Cleanup(func() {
		cancel()
		qt.Check(f.t, <-done, qt.IsNil)
	})
}

// eventually waits until a condition holds, and fails the test if it doesn't within 30 seconds.
func (f *fleet) eventually(what string, condition func() bool) {
	f.t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	f.t.Fatalf("not within 30 seconds: %s", what)
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
	n := f.requests.Add(1)
	r.id = fmt.Sprintf("id-%d", n)
	request, err := http.NewRequestWithContext(f.t.Context(), method, "http://"+f.callerAddresses[int(n)%len(f.callerAddresses)]+path, bytes.NewReader(body))
	qt.Assert(f.t, err, qt.IsNil)
	request.Host = "host.example"
	request.Header.Set(standin.HeaderRequestID, r.id)
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	for k, v := range header {
		request.Header.Set(k, v)
		if k == standin.HeaderRequestID {
			r.id = v
		}
	}
	response, err := f.client.Do(request)
	if err != nil {
		r.err = err
		return r
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	r.status, r.header, r.body, r.err = response.StatusCode, response.Header, string(raw), err
	return r
}

var streamHeaders = standin.StreamHeaders()

// streamBody returns the complete stream of a request.
func streamBody(id string) string {
	var b strings.Builder
	for n := 1; n <= eventsPerStream; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", n, standin.EventText(id, n))
	}
	return b.String()
}

// injectFault makes the servers of a service fail at their next n requests together.
func (f *fleet) injectFault(service string, n int64, fault standin.ServerFault) {
	var remaining atomic.Int64
	remaining.Store(n)
	for _, s := range f.servers {
		if s.Service == service {
			s.SetFault(func(*http.Request) standin.ServerFault {
				if remaining.Add(-1) >= 0 {
					return fault
				}
				return standin.NoFault
			})
		}
	}
}

// setEventPause sets the time between the events of a stream, on all servers.
func (f *fleet) setEventPause(d time.Duration) {
	for _, s := range f.servers {
		s.SetPause(d)
	}
}

// runCount returns how often the servers ran a request or an item.
func (f *fleet) runCount(id string) (n int) {
	for _, s := range f.servers {
		n += s.RunCount(id)
	}
	return n
}
