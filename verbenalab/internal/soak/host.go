package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"verbenaledge.example/platform/standin"
	"verbenaledge.example/verbenalab/internal/process"
	"verbenaledge.example/verbenalab/internal/relay"
)

// stopLimit is how long a host may take to end after it was asked to: its grace period and a bit.
const stopLimit = 10 * time.Second

// host is one of the programs' hosts with the relays before it.
type host struct {
	name, role string
	// ip is the host's own address, listed the one that others reach it at.
	ip, listed string
	town       *Town
	peers      *relay.TCP
	storeLink  *relay.TCP
	callers    *relay.TCP

	mu      sync.Mutex
	process *process.Process
	// programs is the folder of the programs that the next process runs.
	programs string
	// life counts the processes of this host. expected tells that the present one should run.
	life     int
	expected bool
	stopping sync.WaitGroup
}

func (h *host) settingsFile() string { return filepath.Join(h.town.options.Dir, h.name+".json") }

// prepare writes the settings and sets the relays up.
func (h *host) prepare(seeds []string) (err error) {
	s := standin.HostSettings{
		Name: h.name, IP: h.ip, Zone: "z", Serves: h.role, PeerPort: peerPort, Store: address(h.listed, storePort), Seeds: seeds,
	}
	if h.peers, err = relay.NewTCP(address(h.listed, peerPort), address(h.ip, peerPort)); err != nil {
		return err
	}
	if h.storeLink, err = relay.NewTCP(address(h.listed, storePort), h.town.storeAddress); err != nil {
		return err
	}
	if h.role == roleFront {
		s.CallerPort, s.ReadyPort = callerPort, readyPort
		if h.callers, err = relay.NewTCP(address(h.listed, callerPort), address(h.ip, callerPort)); err != nil {
			return err
		}
	}
	return standin.WriteSettings(h.settingsFile(), s)
}

// ensure starts the host's process unless one runs.
func (h *host) ensure() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil && !h.process.Exited() && h.expected {
		return
	}
	h.stopping.Wait()
	p, err := process.Start(
		h.town.options.Dir, h.name, standin.SettingsEnv(h.settingsFile()), filepath.Join(h.programs, "verbenad"), h.role,
	)
	if err != nil {
		h.town.violate("start", h.name, err.Error())
		return
	}
	h.process, h.expected = p, true
	h.life++
}

// now is the host with the number of its present process.
func (h *host) now() (life string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return fmt.Sprintf("%s#%d", h.name, h.life)
}

func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil && h.expected {
		h.process.Signal(s)
	}
}

func (h *host) kill() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil || !h.expected {
		return
	}
	h.expected = false
	h.process.Kill()
}

// stop asks the process to end. One that doesn't in time breaks a promise.
func (h *host) stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil || !h.expected {
		return
	}
	h.expected = false
	p := h.process
	p.Resume() // a paused process can't end
	h.stopping.Go(func() {
		if !p.Terminate(stopLimit) {
			h.town.violate("stop", h.name, fmt.Sprintf("runs on %s after it was asked to stop", stopLimit))
			p.Kill()
		}
	})
}

// looked tells of a process that ended by itself.
func (h *host) looked() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.expected && h.process != nil && h.process.Exited() {
		h.expected = false
		h.town.violate("crash", h.name, "a process ended by itself")
	}
}

func (h *host) close() {
	h.kill()
	h.stopping.Wait()
	for _, l := range []*relay.TCP{h.peers, h.storeLink, h.callers} {
		if l != nil {
			_ = l.Close() // the run ends
		}
	}
	_ = os.Remove(h.settingsFile()) // a new run writes it again
}

func (h *host) logFile() string { return filepath.Join(h.town.options.Dir, h.name+".log") }
