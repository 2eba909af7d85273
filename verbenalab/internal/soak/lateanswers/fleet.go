// Package lateanswers runs the real programs beside servers that send some of their answers again, late, and checks which failures
// callers and batch jobs get.
package lateanswers

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"verbenaledge.example/platform/standin"
	"verbenaledge.example/verbena/objects/memory"
	"verbenaledge.example/verbenalab/internal/relay"
)

// The size of a fleet, and the ports on its loopback addresses.
const (
	hostsPerRole = 3
	peerPort     = 7440
	callerPort   = 7443
	readyPort    = 7444
	storePort    = 7445
	serverPort   = 7446
	// firstHost, firstServer and firstRelay are the last numbers of the addresses of hosts, servers and their relays.
	firstHost   = 2
	firstServer = 50
	firstRelay  = 150
	zone        = "z"
	// streamEvents is the number of events in each stream, eventInterval the time before each event.
	streamEvents  = 8
	eventInterval = 2 * time.Millisecond
	// callerKey is the key of all callers, callerRate a rate limit far above their rate.
	callerKey  = "key"
	callerRate = 100_000
)

// Options says where a fleet runs.
type Options struct {
	// ProgramsDir is the folder of the built programs, Dir the folder for settings and logs.
	ProgramsDir, Dir string
	// Subnet is the second and third number of the loopback addresses. Concurrent fleets need different subnets.
	Subnet string
}

// fleet holds the hosts, the store and the servers of a run.
type fleet struct {
	options     Options
	plan        Plan
	repeater    *standin.Repeater
	storeServer *http.Server
	hosts       []*host
	servers     []*backendServer

	mu sync.Mutex
	// runs counts the runs of each request at all servers, cutOff those whose connection ended before their answer.
	runs, cutOff map[string]int
}

func address(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

func (f *fleet) ip(n int) string { return fmt.Sprintf("127.%s.%d", f.options.Subnet, n) }

// faultOf chooses the fault of a request's run, counted from 1.
type faultOf func(id string, run int) standin.ServerFault

// startFleet starts the store, servers of one service and the hosts.
func startFleet(o Options, p Plan, service string, choose faultOf) (f *fleet, err error) {
	f = &fleet{options: o, plan: p, runs: make(map[string]int), cutOff: make(map[string]int)}
	defer func() {
		if err != nil {
			err = errors.Join(fmt.Errorf("start a fleet in %s: %w", o.Dir, err), f.close())
		}
	}()
	f.repeater = &standin.Repeater{Delays: func(a standin.Answer) []time.Duration {
		return p.delays(a, f.repeater.Written(a.ID, a.Status))
	}}
	store, at := memory.New(), address(f.ip(1), storePort)
	l, err := net.Listen("tcp", at)
	if err != nil {
		return f, err
	}
	f.storeServer = &http.Server{Handler: &standin.Store{Store: store}, ReadHeaderTimeout: headerTimeout}
	go func() { _ = f.storeServer.Serve(l) }() // returns after Close
	if err := standin.Configure(store, standin.Configuration(1, map[string]string{callerKey: "workspace"}, callerRate)); err != nil {
		return f, err
	}
	for n := range p.Servers {
		s := &standin.Server{ID: fmt.Sprintf("server-%d", n), Service: service, Slots: p.Slots, Events: streamEvents}
		s.SetPause(eventInterval)
		s.SetFault(f.work(choose))
		relayAt := address(f.ip(firstRelay+n), serverPort)
		b, err := startServer(s, f.repeater, address(f.ip(firstServer+n), serverPort), relayAt)
		if b != nil {
			f.servers = append(f.servers, b)
		}
		if err != nil {
			return f, err
		}
		if err := standin.Register(store, s, relayAt, zone, "ready"); err != nil {
			return f, err
		}
	}
	return f, f.startHosts(at)
}

// work returns the fault of each run after the time that the run takes.
func (f *fleet) work(choose faultOf) func(r *http.Request) standin.ServerFault {
	return func(r *http.Request) standin.ServerFault {
		id := r.Header.Get(standin.HeaderRequestID)
		f.mu.Lock()
		f.runs[id]++
		run := f.runs[id]
		f.mu.Unlock()
		select {
		case <-r.Context().Done():
			f.mu.Lock()
			defer f.mu.Unlock()
			f.cutOff[id]++
			return standin.CloseWithoutAnswer
		case <-time.After(workWindow.pick(f.plan.random(id, run))):
			return choose(id, run)
		}
	}
}

func (f *fleet) startHosts(store string) error {
	seeds := make([]string, 0, 2*hostsPerRole)
	for n := range 2 * hostsPerRole {
		h := &host{role: roleEntry, ip: f.ip(firstHost + n)}
		if n >= hostsPerRole {
			h.role = roleStorage
		}
		h.name = fmt.Sprintf("%s-%d", h.role, n%hostsPerRole)
		f.hosts = append(f.hosts, h)
		seeds = append(seeds, address(h.ip, peerPort))
	}
	for _, h := range f.hosts {
		if err := h.start(f.options, store, seeds); err != nil {
			return err
		}
	}
	if f.plan.CutOff {
		for _, s := range f.servers {
			s.relay.BeginCut(&relay.Cut{Open: relay.Reset, New: relay.Reset, Applies: f.isCutOff})
		}
	}
	return nil
}

// isCutOff reports whether a connection is from the first host of its role.
func (f *fleet) isCutOff(fromHost net.Conn) bool {
	return f.hosts[0].hasConnection(fromHost) || f.hosts[hostsPerRole].hasConnection(fromHost)
}

func (f *fleet) entryHost(n int) *host { return f.hosts[n%hostsPerRole] }

// close stops the hosts and the stand-ins.
func (f *fleet) close() error {
	for _, h := range f.hosts {
		if h.process != nil {
			h.process.Kill()
		}
	}
	var errs []error
	for _, s := range f.servers {
		errs = append(errs, s.httpServer.Close())
		if s.relay != nil {
			errs = append(errs, s.relay.Close())
		}
	}
	if f.storeServer != nil {
		errs = append(errs, f.storeServer.Close())
	}
	return errors.Join(errs...)
}

// logLines returns the lines of all hosts' logs that name a request.
func (f *fleet) logLines(id string) (lines []string) {
	for _, h := range f.hosts {
		raw, err := os.ReadFile(filepath.Join(f.options.Dir, h.name+".log"))
		if err != nil {
			lines = append(lines, err.Error())
			continue
		}
		for l := range strings.SplitSeq(string(raw), "\n") {
			if strings.Contains(l, `"`+id+`"`) {
				lines = append(lines, l)
			}
		}
	}
	return lines
}
