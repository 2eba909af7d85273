// Package fleet starts daemons, stand-ins for backend servers and a stand-in for the platform as processes on the
// loopback addresses of one machine, for demonstrations, experiments and tests.
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
	startTimeout      = 15 * time.Second
	startPollInterval = 20 * time.Millisecond
	stopLimit         = 3 * time.Second
	adminToken        = "lab-token"
)

// Config describes the processes of a fleet and their settings.
type Config struct {
	// ProgramsDir is the folder of the built programs.
	ProgramsDir string
	// Dir is the folder for settings, certificates and logs.
	Dir     string
	Zones   []ids.ZoneID
	Daemons int
	// Engines and Services are the numbers of backend servers by service name.
	Engines  map[ids.ServiceName]int
	Services map[ids.ServiceName]int
	// EngineArgs are appended to each engine's command line.
	EngineArgs []string
	// Settings override fields of each daemon's settings, by section.
	Settings map[string]any
	// Relays routes the connections between daemons and to the platform through relays that can block them.
	Relays bool
	// PlatformArgs are appended to the platform's command line.
	PlatformArgs []string
}

// Host holds a daemon's process and addresses.
type Host struct {
	*process.Process
	ID            ids.HostID
	Zone          ids.ZoneID
	CallerAddress string
	AdminAddress  string
	PeerAddress   string
	settingsFile  string
	// advertisedAddress is the peer address in the host list, and platformAddress is where this daemon reaches the
	// platform. Both are addresses of relays if the fleet has relays.
	advertisedAddress string
	platformAddress   string
	relays            hostRelays
}

// Backend holds the process of a backend server's stand-in and its entry in the host list.
type Backend struct {
	*process.Process
	backend.Server
}

// Fleet holds the running processes.
type Fleet struct {
	config          Config
	authority       *certs.Authority
	platform        *process.Process
	PlatformAddress string
	Hosts           []*Host
	Backends        []*Backend
	http            *http.Client
	// isolated holds the peer addresses of the hosts that are disconnected from all their peers.
	isolated addressSet
}

// Start starts all processes and waits until each daemon is ready.
func Start(c Config) (f *Fleet, err error) {
	f = &Fleet{config: c, http: &http.Client{Timeout: 5 * time.Second}}
	defer func() {
		if err != nil {
			f.Close()
			f, err = nil, fmt.Errorf("start fleet: %w", err)
		}
	}()
	if err := f.writeCredentials(); err != nil {
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

// Close kills every process.
func (f *Fleet) Close() {
	for _, h := range f.Hosts {
		if h.Process != nil {
			h.Resume()
			h.Kill()
		}
	}
	for _, h := range f.Hosts {
		h.relays.close()
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
	return filepath.Join(f.config.ProgramsDir, name)
}

func (f *Fleet) writeCredentials() (err error) {
	if f.authority, err = certs.NewAuthority(); err != nil {
		return err
	}
	if err := f.authority.WriteCA(f.path("ca.crt")); err != nil {
		return err
	}
	return os.WriteFile(f.TokenFile(), []byte(adminToken+"\n"), 0o600)
}

// TokenFile returns the path of the file with the operators' token.
func (f *Fleet) TokenFile() string { return f.path("token") }

// Authority returns the authority that signs the hosts' certificates.
func (f *Fleet) Authority() *certs.Authority { return f.authority }

func (f *Fleet) path(name string) string { return filepath.Join(f.config.Dir, name) }

func (f *Fleet) startPlatform() (err error) {
	f.PlatformAddress, err = freeAddress()
	if err != nil {
		return err
	}
	args := append([]string{"platform", "--listen", f.PlatformAddress}, f.config.PlatformArgs...)
	f.platform, err = process.Start(f.config.Dir, "platform", nil, f.Program("verbenalab"), args...)
	if err != nil {
		return err
	}
	return f.waitUntil("platform", func() bool { return f.get(f.PlatformAddress, "/control/calls", nil) == nil })
}

func (f *Fleet) startBackends() (err error) {
	for _, g := range []struct {
		command string
		counts  map[ids.ServiceName]int
		args    []string
	}{{"engine", f.config.Engines, f.config.EngineArgs}, {"service", f.config.Services, nil}} {
		for s, n := range g.counts {
			for i := range n {
				if err := f.startBackend(g.command, s, i, g.args); err != nil {
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
	if err := f.waitUntil(id, func() bool { return f.get(address, "/control/ledger", nil) == nil }); err != nil {
		return err
	}
	return f.PutHost(b.Server)
}

// PutHost adds or replaces an entry of the platform's host list.
func (f *Fleet) PutHost(s backend.Server) error {
	return f.put(f.PlatformAddress, "/control/hosts/"+string(s.ID), s)
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
		if err := f.putDaemon(h); err != nil {
			return err
		}
		if err := f.StartHost(h); err != nil {
			return err
		}
	}
	return f.WaitReady()
}

func (f *Fleet) putDaemon(h *Host) error {
	return f.PutHost(backend.Server{
		ID: ids.BackendID(h.ID), Role: backend.RoleEntry, Zone: h.Zone, Address: h.advertisedAddress, Admin: h.AdminAddress, State: backend.Live,
	})
}

func (f *Fleet) newHost(i int) (h *Host, err error) {
	h = &Host{ID: ids.HostID(fmt.Sprintf("host-%02d", i)), Zone: f.config.Zones[i%len(f.config.Zones)]}
	for _, a := range []*string{&h.CallerAddress, &h.AdminAddress, &h.PeerAddress} {
		if *a, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	h.settingsFile = f.path(string(h.ID) + ".json")
	h.advertisedAddress, h.platformAddress = h.PeerAddress, f.PlatformAddress
	if f.config.Relays {
		if err := f.startRelays(h); err != nil {
			return nil, err
		}
	}
	return h, f.authority.WriteHost(f.config.Dir, h.ID)
}

// StartHost starts or restarts a daemon.
func (f *Fleet) StartHost(h *Host) (err error) { return f.StartHostFrom(f.config.ProgramsDir, h) }

// StartHostFrom starts or restarts a daemon with the build in a folder.
func (f *Fleet) StartHostFrom(programsDir string, h *Host) (err error) {
	h.Process, err = process.Start(f.config.Dir, string(h.ID), nil, filepath.Join(programsDir, "verbenad"), "--settings", h.settingsFile)
	return err
}

// WaitReady waits until each daemon is ready, and fails if one has exited.
func (f *Fleet) WaitReady() (err error) {
	for _, h := range f.Hosts {
		if err := f.waitUntil(string(h.ID), func() bool { return h.Exited() || f.Ready(h) }); err != nil {
			return err
		}
		if h.Exited() {
			return fmt.Errorf("%s has exited, see %s", h.ID, f.path(string(h.ID)+".log"))
		}
	}
	return nil
}

// Ready reports whether a daemon's readiness check succeeds.
func (f *Fleet) Ready(h *Host) bool {
	return f.get(h.AdminAddress, "/readyz", nil) == nil
}

// SetFaults sets the faults that the platform stand-in injects.
func (f *Fleet) SetFaults(faults platform.Faults) error {
	return f.put(f.PlatformAddress, "/control/faults", faults)
}

// ReadAdmin reads a page of a daemon's admin API.
func (f *Fleet) ReadAdmin(h *Host, path string, into any) error {
	return f.get(h.AdminAddress, path, into)
}

// SetBehaviour sets how a backend server's stand-in behaves.
func (f *Fleet) SetBehaviour(b *Backend, behaviour any) error {
	return f.put(b.Address, "/control/behaviour", behaviour)
}

// ReadLedger reads the requests that a backend server's stand-in has run.
func (f *Fleet) ReadLedger(b *Backend, into any) error {
	return f.get(b.Address, "/control/ledger", into)
}

func (f *Fleet) waitUntil(name string, ok func() bool) error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(startPollInterval) {
		if ok() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s, see its log in %s, which ends with:\n%s", name, startTimeout, f.config.Dir, f.logTail(name))
}

// logTailBytes is how much of a log an error includes, as tests remove the folder with the logs.
const logTailBytes = 4 << 10

// logTail returns the end of a process's log.
func (f *Fleet) logTail(name string) string {
	raw, err := os.ReadFile(f.path(name + ".log"))
	if err != nil {
		return err.Error()
	}
	return string(raw[max(0, len(raw)-logTailBytes):])
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
	defer func() { _ = resp.Body.Close() }() // the body is only read
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
