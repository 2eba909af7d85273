// Package fleet starts daemons and stand-ins as processes on the loopback
// addresses of one machine, for demonstrations, experiments and tests.
package fleet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"verbenaledge.example/verbena/backend"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbenalab/internal/certs"
	"verbenaledge.example/verbenalab/internal/platform"
	"verbenaledge.example/verbenalab/internal/process"
)

const (
	startLimit = 15 * time.Second
	startPoll  = 20 * time.Millisecond
	stopLimit  = 3 * time.Second
	adminToken = "lab-token"
)

// Config sets what a fleet has.
type Config struct {
	// Programs is the folder of the built programs.
	Programs string
	// Dir takes settings, certificates and logs.
	Dir     string
	Zones   []ids.ZoneID
	Daemons int
	// Engines and Services are backend servers by service name.
	Engines  map[ids.ServiceName]int
	Services map[ids.ServiceName]int
	// EngineArgs are added to each engine's command line.
	EngineArgs []string
	// Settings are laid over each daemon's settings, by section.
	Settings map[string]any
	// Relays puts relays between the daemons and before the platform, so that they
	// can be cut from each other.
	Relays bool
	// PlatformArgs are added to the platform's command line.
	PlatformArgs []string
}

// Host is a daemon's process and addresses.
type Host struct {
	*process.Process
	ID     ids.HostID
	Zone   ids.ZoneID
	Caller string
	Admin  string
	Peer   string
	file   string
	// listed is the peer address that others know, platform that of the platform.
	listed   string
	platform string
	links    links
}

// Backend is a stand-in's process and its line in the host list.
type Backend struct {
	*process.Process
	backend.Server
}

// Fleet is what runs.
type Fleet struct {
	config    Config
	authority *certs.Authority
	platform  *process.Process
	Platform  string
	Hosts     []*Host
	Backends  []*Backend
	http      *http.Client
	cuts      cuts
}

// Start starts everything and waits until each daemon is ready.
func Start(c Config) (f *Fleet, err error) {
	f = &Fleet{config: c, http: &http.Client{Timeout: 5 * time.Second}}
	defer func() {
		if err != nil {
			f.Close()
			f, err = nil, fmt.Errorf("start fleet: %w", err)
		}
	}()
	if err := f.prepare(); err != nil {
		return f, err
	}
	if err := f.startPlatform(); err != nil {
		return f, err
	}
	if err := f.startBackends(); err != nil {
		return f, err
	}
	return f, f.startDaemons()
}

// Close ends every process.
func (f *Fleet) Close() {
	for _, h := range f.Hosts {
		if h.Process != nil {
			h.Resume()
			h.Kill()
		}
	}
	for _, h := range f.Hosts {
		h.links.close()
	}
	for _, b := range f.Backends {
		b.Kill()
	}
	if f.platform != nil {
		f.platform.Kill()
	}
}

// Program returns the path of a built program.
func (f *Fleet) Program(name string) string {
	return filepath.Join(f.config.Programs, name)
}

func (f *Fleet) prepare() (err error) {
	if f.authority, err = certs.NewAuthority(); err != nil {
		return err
	}
	if err := f.authority.WriteCA(f.path("ca.crt")); err != nil {
		return err
	}
	return os.WriteFile(f.TokenFile(), []byte(adminToken+"\n"), 0o600)
}

// TokenFile holds the operators' token.
func (f *Fleet) TokenFile() string { return f.path("token") }

// Authority signs the hosts' certificates.
func (f *Fleet) Authority() *certs.Authority { return f.authority }

func (f *Fleet) path(name string) string { return filepath.Join(f.config.Dir, name) }

func (f *Fleet) startPlatform() (err error) {
	f.Platform, err = freeAddress()
	if err != nil {
		return err
	}
	args := append([]string{"platform", "--listen", f.Platform}, f.config.PlatformArgs...)
	f.platform, err = process.Start(f.config.Dir, "platform", nil, f.Program("verbenalab"), args...)
	if err != nil {
		return err
	}
	return f.wait("platform", func() bool { return f.get(f.Platform, "/control/calls", nil) == nil })
}

func (f *Fleet) startBackends() (err error) {
	for _, kind := range []struct {
		command string
		counts  map[ids.ServiceName]int
		args    []string
	}{{"engine", f.config.Engines, f.config.EngineArgs}, {"service", f.config.Services, nil}} {
		for name, n := range kind.counts {
			for i := range n {
				if err := f.startBackend(kind.command, name, i, kind.args); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func (f *Fleet) startBackend(command string, service ids.ServiceName, i int, args []string) (err error) {
	address, err := freeAddress()
	if err != nil {
		return err
	}
	id := fmt.Sprintf("%s-%d", service, i)
	args = append([]string{command, "--listen", address, "--id", id}, args...)
	p, err := process.Start(f.config.Dir, id, nil, f.Program("verbenalab"), args...)
	if err != nil {
		return err
	}
	b := &Backend{p, backend.Server{
		ID: ids.BackendID(id), Role: backend.RoleBackend, Service: service,
		Zone: f.config.Zones[i%len(f.config.Zones)], Address: address, State: backend.Live,
	}}
	f.Backends = append(f.Backends, b)
	if err := f.wait(id, func() bool { return f.get(address, "/control/ledger", nil) == nil }); err != nil {
		return err
	}
	return f.List(b.Server)
}

// List puts a line into the platform's host list.
func (f *Fleet) List(s backend.Server) error {
	return f.put(f.Platform, "/control/hosts/"+string(s.ID), s)
}

func (f *Fleet) startDaemons() (err error) {
	for i := range f.config.Daemons {
		h, err := f.newHost(i)
		if err != nil {
			return err
		}
		f.Hosts = append(f.Hosts, h)
	}
	for _, h := range f.Hosts {
		if err := f.writeSettings(h); err != nil {
			return err
		}
		if err := f.list(h); err != nil {
			return err
		}
		if err := f.StartHost(h); err != nil {
			return err
		}
	}
	return f.WaitReady()
}

func (f *Fleet) list(h *Host) error {
	return f.List(backend.Server{
		ID: ids.BackendID(h.ID), Role: backend.RoleEntry, Zone: h.Zone, Address: h.listed, Admin: h.Admin, State: backend.Live,
	})
}

func (f *Fleet) newHost(i int) (h *Host, err error) {
	h = &Host{ID: ids.HostID(fmt.Sprintf("host-%02d", i)), Zone: f.config.Zones[i%len(f.config.Zones)]}
	for _, a := range []*string{&h.Caller, &h.Admin, &h.Peer} {
		if *a, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	h.file = f.path(string(h.ID) + ".json")
	h.listed, h.platform = h.Peer, f.Platform
	if f.config.Relays {
		if err := f.relay(h); err != nil {
			return nil, err
		}
	}
	return h, f.authority.WriteHost(f.config.Dir, h.ID)
}

// StartHost starts a daemon, for the first time or again.
func (f *Fleet) StartHost(h *Host) (err error) { return f.StartHostFrom(f.config.Programs, h) }

// StartHostFrom starts a daemon of the build whose programs are in a folder.
func (f *Fleet) StartHostFrom(programs string, h *Host) (err error) {
	h.Process, err = process.Start(f.config.Dir, string(h.ID), nil, filepath.Join(programs, "verbenad"), "--settings", h.file)
	return err
}

// WaitReady waits until each daemon that runs is ready.
func (f *Fleet) WaitReady() (err error) {
	for _, h := range f.Hosts {
		if err := f.wait(string(h.ID), func() bool { return h.Exited() || f.Ready(h) }); err != nil {
			return err
		}
		if h.Exited() {
			return fmt.Errorf("%s has ended, see %s", h.ID, f.path(string(h.ID)+".log"))
		}
	}
	return nil
}

// Ready tells whether a daemon says that it is ready.
func (f *Fleet) Ready(h *Host) bool {
	return f.get(h.Admin, "/readyz", nil) == nil
}

// SetFaults tells the platform stand-in what to get wrong.
func (f *Fleet) SetFaults(x platform.Faults) error {
	return f.put(f.Platform, "/control/faults", x)
}

// Admin reads a daemon's admin page.
func (f *Fleet) Admin(h *Host, path string, into any) error {
	return f.get(h.Admin, path, into)
}

// Control tells a stand-in how to behave.
func (f *Fleet) Control(b *Backend, behaviour any) error {
	return f.put(b.Address, "/control/behaviour", behaviour)
}

// Ledger reads what a stand-in has run.
func (f *Fleet) Ledger(b *Backend, into any) error {
	return f.get(b.Address, "/control/ledger", into)
}

func (f *Fleet) wait(what string, ok func() bool) error {
	for end := time.Now().Add(startLimit); time.Now().Before(end); time.Sleep(startPoll) {
		if ok() {
			return nil
		}
	}
	return fmt.Errorf("%s is not up after %s, see its log in %s, which ends with:\n%s", what, startLimit, f.config.Dir, f.logEnd(what))
}

// shownLog is how much of a log an error shows, in bytes: tests remove their folders.
const shownLog = 4 << 10

// logEnd is the end of a process's log.
func (f *Fleet) logEnd(name string) string {
	raw, err := os.ReadFile(f.path(name + ".log"))
	if err != nil {
		return err.Error()
	}
	return string(raw[max(0, len(raw)-shownLog):])
}

func (f *Fleet) get(address, path string, into any) (err error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	return f.do(req, into)
}

func (f *Fleet) put(address, path string, body any) (err error) {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	return f.do(req, nil)
}

func (f *Fleet) do(req *http.Request, into any) (err error) {
	req.Header.Set("Authorization", "Bearer "+adminToken)
	resp, err := f.http.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }() // it has been read
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: status %d: %s", req.Method, req.URL, resp.StatusCode, data)
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(data, into)
}
