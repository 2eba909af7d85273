package soak

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"verbenaledge.example/platform/standin"
	"verbenaledge.example/verbena/objects/memory"
	"verbenaledge.example/verbenalab/internal/relay"
)

// The size of an environment, and the ports on its loopback addresses.
const (
	entryHosts    = 2
	storageHosts  = 3
	hostCount     = entryHosts + storageHosts
	streamServers = 3
	plainServers  = 2
	serverCount   = streamServers + plainServers
	peerPort      = 7440
	callerPort    = 7443
	readyPort     = 7444
	storePort     = 7445
	serverPort    = 7446
	roleEntry     = "front"
	roleStorage   = "storage"
	// relayOffset is added to the last number of a host's or server's own address to get the address of its relays.
	relayOffset = 100
	// streamEvents is the number of events in each stream, eventInterval the time before each event.
	streamEvents  = 12
	eventInterval = 10 * time.Millisecond
	// workspaceRate is the default rate limit of a workspace in requests per second, and its burst.
	workspaceRate = 20
)

// The API keys of callers and the workspaces they belong to.
const (
	keyWithinRate, workspaceWithinRate = "key-usual", "usual"
	keyOverRate, workspaceOverRate     = "key-pressing", "pressing"
	keyStreams, workspaceStreams       = "key-streams", "streams"
	keyWithdrawn, keyUnknown           = "key-withdrawn", "key-unknown"
)

// Options configures a run.
type Options struct {
	// ProgramsDir is the folder of the built programs, Dir the folder for settings and logs.
	ProgramsDir, Dir string
	// FormerProgramsDir is the folder of the programs that hosts run before an upgrade; empty means ProgramsDir.
	FormerProgramsDir string
	Seed              uint64
	// Duration is the period in which faults start.
	Duration time.Duration
	// Rate is the rate limit of each workspace in requests per second; 0 means workspaceRate.
	Rate float64
	// Subnet is the second and third number of the loopback addresses of this run, for instance "64.1". Concurrent
	// runs need different subnets.
	Subnet string
	// objective is the latency objective of all routes, eventGap the longest pause between events of streams. With 0
	// those of standin.Configuration apply.
	objective, eventGap time.Duration
	// mixedVersions gives the stream servers the softwareVersions in turn, instead of none.
	mixedVersions bool
	// memoryMB and maxOpenFiles are the limits in the hosts' settings. With 0 those of standin.WriteSettings apply.
	memoryMB, maxOpenFiles int
}

// backendServer is a stand-in for a backend server and the relay in front of it.
type backendServer struct {
	server     *standin.Server
	httpServer *http.Server
	relay      *relay.TCP
	// registration is held while the server's registration is written. formerIDs are the ids that it had before.
	registration sync.Mutex
	formerIDs    []string
}

// Environment holds the hosts, the store and the backend servers of a run.
type Environment struct {
	options      Options
	store        *memory.Store
	storeAddress string
	storeServer  *http.Server
	hosts        []*host
	servers      []*backendServer
	// registrations counts the registrations that versionFaults are writing.
	registrations sync.WaitGroup

	mu           sync.Mutex
	version      int
	keyWithdrawn bool
	violations   []Violation
	disturbances []Disturbance
	processEnds  []ProcessEnd
	hostFaults   []Disturbance
	cutsInForce  []cutInForce
	cutPeriods   []CutPeriod
}

func address(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

func (e *Environment) hostIP(n int) string { return fmt.Sprintf("127.%s.%d", e.options.Subnet, n) }

// NewEnvironment starts the store, the backend servers and the host processes.
func NewEnvironment(o Options) (e *Environment, err error) {
	e = &Environment{options: o, store: memory.New(), version: 2}
	defer func() {
		if err != nil {
			err = errors.Join(fmt.Errorf("set up an environment in %s: %w", o.Dir, err), e.Close())
		}
	}()
	e.storeAddress = address(e.hostIP(1), storePort)
	if e.storeServer, err = startHTTPServer(e.storeAddress, e.withAdvertisedAddresses(&standin.Store{Store: e.store})); err != nil {
		return e, err
	}
	if err := standin.Configure(e.store, e.configuration()); err != nil {
		return e, err
	}
	for n := range serverCount {
		if err := e.addServer(n); err != nil {
			return e, err
		}
	}
	var seeds []string
	for n := range hostCount {
		h := &host{name: fmt.Sprintf("%s-%d", roleOf(n), n), role: roleOf(n), ip: e.hostIP(2 + n), advertisedIP: e.hostIP(2 + n + relayOffset), env: e}
		h.programsDir = cmp.Or(o.FormerProgramsDir, o.ProgramsDir)
		e.hosts = append(e.hosts, h)
		seeds = append(seeds, address(h.advertisedIP, peerPort))
	}
	for _, h := range e.hosts {
		if err := h.prepare(seeds); err != nil {
			return e, err
		}
		h.ensureRunning()
	}
	return e, nil
}

func roleOf(n int) string {
	if n < entryHosts {
		return roleEntry
	}
	return roleStorage
}

// headerTimeout bounds the time that stand-ins take to read the headers of a request.
const headerTimeout = 10 * time.Second

func startHTTPServer(address string, h http.Handler, options ...func(*http.Server)) (s *http.Server, err error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s = &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	for _, o := range options {
		o(s)
	}
	go func() { _ = s.Serve(l) }() // returns after Close
	return s, nil
}

// withAdvertisedAddresses replaces the hosts' own peer addresses in writes to the store by the addresses of their
// relays, so that hosts reach each other through the relays.
func (e *Environment) withAdvertisedAddresses(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		raw, err := io.ReadAll(r.Body)
		if err != nil {
			return // the host closed the connection
		}
		for _, h := range e.hosts {
			raw = bytes.ReplaceAll(raw, []byte(address(h.ip, peerPort)), []byte(address(h.advertisedIP, peerPort)))
		}
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(raw)), int64(len(raw))
		next.ServeHTTP(w, r)
	})
}

func (e *Environment) addServer(n int) (err error) {
	s := &standin.Server{ID: fmt.Sprintf("server-%d", n), Service: "llm", Slots: 8, Events: streamEvents}
	if n >= streamServers {
		s.Service = "app"
	}
	if e.options.mixedVersions && n < streamServers {
		s.SetVersion(softwareVersions[n%len(softwareVersions)])
	}
	s.SetPause(eventInterval)
	b := &backendServer{server: s}
	e.servers = append(e.servers, b)
	at := address(e.hostIP(50+n), serverPort)
	if b.httpServer, err = startHTTPServer(at, s, s.Attach); err != nil {
		return err
	}
	if b.relay, err = relay.NewTCP(e.serverAddress(n), at); err != nil {
		return err
	}
	return standin.Register(e.store, s, e.serverAddress(n), zoneOf(n), "ready")
}

func (e *Environment) serverAddress(n int) string {
	return address(e.hostIP(50+n+relayOffset), serverPort)
}

const (
	// maxWriteAttempts bounds how often an operator's write to the store is repeated, writeRetryInterval is the time between.
	maxWriteAttempts   = 100
	writeRetryInterval = 50 * time.Millisecond
)

// retryWrite repeats an operator's write to the store until it succeeds, at most maxWriteAttempts times.
func (e *Environment) retryWrite(change func() error) (written bool) {
	for range maxWriteAttempts {
		if change() == nil {
			return true
		}
		time.Sleep(writeRetryInterval)
	}
	return false
}

// registerServer writes the registration of a server with the given state, and removes those under its former ids.
func (e *Environment) registerServer(n int, state string) (registered bool) {
	b := e.servers[n]
	b.registration.Lock()
	defer b.registration.Unlock()
	for _, id := range b.formerIDs {
		e.retryWrite(func() error { return standin.Deregister(e.store, id) })
	}
	return e.retryWrite(func() error { return standin.Register(e.store, b.server, e.serverAddress(n), zoneOf(n), state) })
}

func (e *Environment) configuration() map[string]any {
	keys := map[string]string{keyWithinRate: workspaceWithinRate, keyOverRate: workspaceOverRate, keyStreams: workspaceStreams}
	if !e.keyWithdrawn {
		keys[keyWithdrawn] = workspaceWithinRate
	}
	limit := e.options.Rate
	if limit == 0 {
		limit = workspaceRate
	}
	c := standin.Configuration(e.version, keys, limit)
	if e.options.objective > 0 {
		standin.SetObjectives(c, e.options.objective, e.options.eventGap)
	}
	return c
}

// writeConfiguration writes the next version of the configuration. From the first call with withdraw set on, it
// leaves out keyWithdrawn.
func (e *Environment) writeConfiguration(withdraw bool) {
	e.mu.Lock()
	e.version++
	e.keyWithdrawn = e.keyWithdrawn || withdraw
	c := e.configuration()
	e.mu.Unlock()
	e.retryWrite(func() error { return standin.Configure(e.store, c) })
}

func (e *Environment) addViolation(rule, id, text string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.violations = append(e.violations, Violation{Rule: rule, ID: id, Text: text, At: time.Now()})
}

// recoverAll ends all faults and starts the hosts that aren't running.
func (e *Environment) recoverAll() {
	e.store.SetFault(nil)
	e.registrations.Wait()
	e.retryWrite(func() error { return standin.EndEvacuation(e.store, evacuatedZone) })
	for n, s := range e.servers {
		s.server.SetWarmup(0)
		s.server.SetFault(nil)
		s.server.SetLimit()
		s.relay.SetDelay(0)
		s.relay.Restore()
		e.registerServer(n, "ready")
	}
	for _, h := range e.hosts {
		for _, r := range []*relay.TCP{h.peerRelay, h.storeRelay, h.callerRelay} {
			if r != nil {
				r.SetDelay(0)
				r.Restore()
			}
		}
		h.signal(syscall.SIGCONT)
		h.ensureRunning()
	}
}

// Close stops the hosts, relays and stand-ins.
func (e *Environment) Close() error {
	for _, h := range e.hosts {
		h.close()
	}
	var errs []error
	for _, s := range e.servers {
		if s.relay != nil {
			errs = append(errs, s.relay.Close())
		}
		if s.httpServer != nil {
			errs = append(errs, s.httpServer.Close())
		}
	}
	if e.storeServer != nil {
		errs = append(errs, e.storeServer.Close())
	}
	return errors.Join(errs...)
}

// logLines returns the log lines of all hosts that contain an id, at most limit of them.
func (e *Environment) logLines(id string, limit int) (lines []string) {
	for _, h := range e.hosts {
		raw, err := os.ReadFile(h.logFile())
		if err != nil {
			continue // the host never started
		}
		for _, l := range strings.Split(string(raw), "\n") {
			if strings.Contains(l, id) && len(lines) < limit {
				lines = append(lines, l)
			}
		}
	}
	return lines
}
