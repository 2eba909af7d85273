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

// The size of a town, and the ports on its loopback addresses.
const (
	fronts      = 2
	storages    = 3
	hosts       = fronts + storages
	generators  = 3
	plain       = 2
	servers     = generators + plain
	peerPort    = 7440
	callerPort  = 7443
	readyPort   = 7444
	storePort   = 7445
	serverPort  = 7446
	roleFront   = "front"
	roleStorage = "storage"
	// relayed is added to the last number of an address: others reach a host or server there.
	relayed = 100
	// eventsOf is the length of each stream, pauseOf the time before each of its events.
	eventsOf = 12
	pauseOf  = 10 * time.Millisecond
	// rate is each workspace's requests a second, and its burst.
	rate = 20
)

// The keys of callers and the workspaces they belong to.
const (
	keyUsual, workspaceUsual     = "key-usual", "usual"
	keyPressing, workspacePressy = "key-pressing", "pressing"
	keyWithdrawn, keyUnknown     = "key-withdrawn", "key-unknown"
)

// Options say what to run.
type Options struct {
	// Programs is the folder of the built programs, Dir one for settings and logs.
	Programs, Dir string
	// Former is the folder of the programs that hosts run before an upgrade, Programs if empty.
	Former string
	Seed   uint64
	// Length is how long troubles begin.
	Duration time.Duration
	// Rate is each workspace's requests a second, the usual ones if 0.
	Rate float64
	// Subnet is the middle of the loopback addresses of this run, "64.1" for instance; no two runs at once may share it.
	Subnet string
}

// backendServer is a stand-in for a backend server and the relay before it.
type backendServer struct {
	server *standin.Server
	web    *http.Server
	link   *relay.TCP
}

// Town is the hosts, the store and the backend servers of a run.
type Town struct {
	options      Options
	store        *memory.Store
	storeAddress string
	web          *http.Server
	hosts        []*host
	servers      []*backendServer

	mu         sync.Mutex
	version    int
	withdrawn  bool
	violations []Violation
}

func address(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

func (t *Town) ip(n int) string { return fmt.Sprintf("127.%s.%d", t.options.Subnet, n) }

// NewTown sets everything up and starts the programs.
func NewTown(o Options) (t *Town, err error) {
	t = &Town{options: o, store: memory.New(), version: 2}
	defer func() {
		if err != nil {
			err = errors.Join(fmt.Errorf("set a run up in %s: %w", o.Dir, err), t.Close())
		}
	}()
	t.storeAddress = address(t.ip(1), storePort)
	if t.web, err = serve(t.storeAddress, t.listed(&standin.Store{Store: t.store})); err != nil {
		return t, err
	}
	if err := standin.Configure(t.store, t.configuration()); err != nil {
		return t, err
	}
	for n := range servers {
		if err := t.addServer(n); err != nil {
			return t, err
		}
	}
	var seeds []string
	for n := range hosts {
		h := &host{name: fmt.Sprintf("%s-%d", roleOf(n), n), role: roleOf(n), ip: t.ip(2 + n), listed: t.ip(2 + n + relayed), town: t}
		h.programs = cmp.Or(o.Former, o.Programs)
		t.hosts = append(t.hosts, h)
		seeds = append(seeds, address(h.listed, peerPort))
	}
	for _, h := range t.hosts {
		if err := h.prepare(seeds); err != nil {
			return t, err
		}
		h.ensure()
	}
	return t, nil
}

func roleOf(n int) string {
	if n < fronts {
		return roleFront
	}
	return roleStorage
}

// headerTime bounds the reading of a request's headers at stand-ins.
const headerTime = 10 * time.Second

func serve(address string, h http.Handler) (s *http.Server, err error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s = &http.Server{Handler: h, ReadHeaderTimeout: headerTime}
	go func() { _ = s.Serve(l) }() // ends with Close
	return s, nil
}

// listed makes hosts known at their relays: in what hosts write, their own addresses become those.
func (t *Town) listed(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		raw, err := io.ReadAll(r.Body)
		if err != nil {
			return // the host has gone
		}
		for _, h := range t.hosts {
			raw = bytes.ReplaceAll(raw, []byte(address(h.ip, peerPort)), []byte(address(h.listed, peerPort)))
		}
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(raw)), int64(len(raw))
		h.ServeHTTP(w, r)
	})
}

func (t *Town) addServer(n int) (err error) {
	s := &standin.Server{ID: fmt.Sprintf("server-%d", n), Service: "llm", Slots: 8, Events: eventsOf}
	if n >= generators {
		s.Service = "app"
	}
	s.SetPause(pauseOf)
	b := &backendServer{server: s}
	t.servers = append(t.servers, b)
	at := address(t.ip(50+n), serverPort)
	if b.web, err = serve(at, s); err != nil {
		return err
	}
	if b.link, err = relay.NewTCP(t.serverAddress(n), at); err != nil {
		return err
	}
	return standin.Register(t.store, s, t.serverAddress(n), "z", "ready")
}

func (t *Town) serverAddress(n int) string { return address(t.ip(50+n+relayed), serverPort) }

// write changes the store as its operators do, again until it takes effect.
func (t *Town) write(change func() error) {
	for range 100 {
		if change() == nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// register changes what the store says of a server.
func (t *Town) register(n int, state string) {
	t.write(func() error { return standin.Register(t.store, t.servers[n].server, t.serverAddress(n), "z", state) })
}

func (t *Town) configuration() map[string]any {
	keys := map[string]string{keyUsual: workspaceUsual, keyPressing: workspacePressy}
	if !t.withdrawn {
		keys[keyWithdrawn] = workspaceUsual
	}
	limit := t.options.Rate
	if limit == 0 {
		limit = rate
	}
	return standin.Configuration(t.version, keys, limit)
}

// configure writes a newer configuration, without one of the keys from the first withdrawal on.
func (t *Town) configure(withdraw bool) {
	t.mu.Lock()
	t.version++
	t.withdrawn = t.withdrawn || withdraw
	c := t.configuration()
	t.mu.Unlock()
	t.write(func() error { return standin.Configure(t.store, c) })
}

func (t *Town) violate(rule, id, text string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.violations = append(t.violations, Violation{Rule: rule, ID: id, Text: text, At: time.Now()})
}

// heal ends all troubles and starts what doesn't run.
func (t *Town) heal() {
	t.store.SetFault(nil)
	for n, s := range t.servers {
		s.server.SetFault(nil)
		s.link.SetDelay(0)
		s.link.Restore()
		t.register(n, "ready")
	}
	for _, h := range t.hosts {
		for _, l := range []*relay.TCP{h.peers, h.storeLink, h.callers} {
			if l != nil {
				l.SetDelay(0)
				l.Restore()
			}
		}
		h.signal(syscall.SIGCONT)
		h.ensure()
	}
}

// Close ends what the town started.
func (t *Town) Close() error {
	for _, h := range t.hosts {
		h.close()
	}
	var errs []error
	for _, s := range t.servers {
		if s.link != nil {
			errs = append(errs, s.link.Close())
		}
		if s.web != nil {
			errs = append(errs, s.web.Close())
		}
	}
	if t.web != nil {
		errs = append(errs, t.web.Close())
	}
	return errors.Join(errs...)
}

// logsOf returns the lines of all hosts that name an id, at most so many.
func (t *Town) logsOf(id string, most int) (lines []string) {
	for _, h := range t.hosts {
		raw, err := os.ReadFile(h.logFile())
		if err != nil {
			continue // it never started
		}
		for _, l := range strings.Split(string(raw), "\n") {
			if strings.Contains(l, id) && len(lines) < most {
				lines = append(lines, l)
			}
		}
	}
	return lines
}
