package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"verbenaledge.example/platform/standin"
	"verbenaledge.example/verbenalab/internal/process"
	"verbenaledge.example/verbenalab/internal/relay"
)

// stopTimeout bounds the time that a host takes to exit after SIGTERM: slightly more than its grace period.
const stopTimeout = 10 * time.Second

// host runs one process of verbenad behind relays for its connections.
type host struct {
	name, role string
	// ip is the address that the process listens at, advertisedIP the address of its relays, which others use.
	ip, advertisedIP string
	env              *Environment
	peerRelay        *relay.TCP
	storeRelay       *relay.TCP
	callerRelay      *relay.TCP

	mu      sync.Mutex
	process *process.Process
	// programsDir is the folder of the programs that the next process is started from.
	programsDir string
	// starts counts the processes of this host. shouldRun says whether the current one is meant to be running.
	starts int
	// current is the process, also for those that don't wait for mu.
	current   atomic.Pointer[process.Process]
	shouldRun bool
	stopping  sync.WaitGroup
	// logOffset is the size of the log file before the first start.
	logOffset int64
}

func (h *host) settingsFile() string { return filepath.Join(h.env.options.Dir, h.name+".json") }

// prepare writes the settings file and starts the relays.
func (h *host) prepare(seeds []string) (err error) {
	if info, err := os.Stat(h.logFile()); err == nil {
		h.logOffset = info.Size() // the folder has logs of an earlier run
	}
	s := standin.HostSettings{
		Name: h.name, IP: h.ip, Zone: usualZone, Serves: h.role, EvacuationTimeout: evacuationTimeout,
		PeerPort: peerPort, Store: address(h.advertisedIP, storePort), Seeds: seeds,
		MemoryMB: h.env.options.memoryMB, MaxOpenFiles: h.env.options.maxOpenFiles,
	}
	if h.peerRelay, err = relay.NewTCP(address(h.advertisedIP, peerPort), address(h.ip, peerPort)); err != nil {
		return err
	}
	if h.storeRelay, err = relay.NewTCP(address(h.advertisedIP, storePort), h.env.storeAddress); err != nil {
		return err
	}
	if h.role == roleEntry {
		s.CallerPort, s.ReadyPort = callerPort, readyPort
		if h.callerRelay, err = relay.NewTCP(address(h.advertisedIP, callerPort), address(h.ip, callerPort)); err != nil {
			return err
		}
	}
	return standin.WriteSettings(h.settingsFile(), s)
}

// ensureRunning starts the host's process unless one is running.
func (h *host) ensureRunning() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.recordCrash()
	if h.process != nil && h.shouldRun {
		return
	}
	h.stopping.Wait()
	p, err := process.Start(
		h.env.options.Dir, h.name, standin.SettingsEnv(h.settingsFile()), filepath.Join(h.programsDir, "verbenad"), h.role,
	)
	if err != nil {
		h.env.addViolation("start", h.name, err.Error())
		return
	}
	h.process, h.shouldRun = p, true
	h.current.Store(p)
	h.starts++
}

// processName returns the host's name with the number of its current process, for instance "front-0#1".
func (h *host) processName() (name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.currentName()
}

func (h *host) currentName() string { return fmt.Sprintf("%s#%d", h.name, h.starts) }

func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil && h.shouldRun {
		h.process.Signal(s)
	}
}

// reload sends SIGHUP, also to a process that is stopping.
func (h *host) reload() {
	if p := h.current.Load(); p != nil {
		p.Signal(syscall.SIGHUP)
	}
}

func (h *host) kill() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.recordCrash()
	if h.process == nil || !h.shouldRun {
		return
	}
	h.shouldRun = false
	h.process.Kill()
	if !h.process.Killed() { // it ended just before
		h.env.addEnd(ProcessEnd{h.currentName(), false, h.process.ExitStatus(), time.Now()})
	}
}

// stop sends SIGTERM. A process that doesn't exit within stopTimeout is killed.
func (h *host) stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.recordCrash()
	if h.process == nil || !h.shouldRun {
		return
	}
	h.shouldRun = false
	p, name := h.process, h.currentName()
	p.Resume() // a paused process can't exit
	h.stopping.Go(func() {
		_ = p.Terminate(stopTimeout) // its end is recorded, empty if it still runs
		h.env.addEnd(ProcessEnd{name, true, p.ExitStatus(), time.Now()})
		p.Kill()
	})
}

// checkCrashed records the end of a process that exited without being stopped.
func (h *host) checkCrashed() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.recordCrash()
}

// recordCrash is called with h.mu held.
func (h *host) recordCrash() {
	if h.shouldRun && h.process != nil && h.process.Exited() {
		h.shouldRun = false
		h.env.addEnd(ProcessEnd{h.currentName(), false, h.process.ExitStatus(), time.Now()})
	}
}

func (h *host) close() {
	h.kill()
	h.stopping.Wait()
	for _, r := range []*relay.TCP{h.peerRelay, h.storeRelay, h.callerRelay} {
		if r != nil {
			_ = r.Close() // the run is over
		}
	}
	_ = os.Remove(h.settingsFile()) // the next run writes it again
}

func (h *host) logFile() string { return filepath.Join(h.env.options.Dir, h.name+".log") }
