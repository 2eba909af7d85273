package soak

import (
	"fmt"
	"time"

	"verbenaledge.example/verbenalab/internal/process"
)

// orderlyExit is the ProcessEnd.Status of a program that stopped without an error.
const orderlyExit = "exit status 0"

// ProcessEnd is the end of a host's process that the run didn't kill.
type ProcessEnd struct {
	// Process is the processName of the host.
	Process string
	// Asked says whether the process was asked to stop.
	Asked bool
	// Status says how the process exited; empty if it still ran stopTimeout after it was asked to stop.
	Status string
	At     time.Time
}

// CrashReport is what a host's processes have written about a panic, another fatal error or a data race.
type CrashReport struct {
	Host, Text string
}

// checkProcesses checks that processes end only when asked to, in time and without an error, and that none has written a
// crash report.
func checkProcesses(ev *Evidence) (violations []Violation) {
	for _, p := range ev.ProcessEnds {
		switch {
		case !p.Asked:
			violations = append(violations, Violation{"crash", p.Process, "the process exited unexpectedly with " + p.Status, p.At})
		case p.Status == "":
			violations = append(violations, Violation{"stop", p.Process, fmt.Sprintf("still runs %s after SIGTERM", stopTimeout), p.At})
		case p.Status != orderlyExit:
			violations = append(violations, Violation{"stop", p.Process, "was asked to stop and ended with " + p.Status, p.At})
		}
	}
	for _, r := range ev.CrashReports {
		violations = append(violations, Violation{"crash", r.Host, "wrote a crash report: " + r.Text, ev.EndedAt})
	}
	return violations
}

func (e *Environment) addEnd(p ProcessEnd) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.processEnds = append(e.processEnds, p)
}

// stopHosts asks all processes to stop, waits until they have ended, and adds to the evidence how they and all earlier ones
// ended.
func (e *Environment) stopHosts(ev *Evidence) {
	for _, h := range e.hosts {
		h.stop()
	}
	for _, h := range e.hosts {
		h.stopping.Wait()
		reports, err := process.CrashReports(h.logFile(), h.logOffset)
		if err != nil {
			e.addViolation("crash", h.name, err.Error())
		}
		for _, r := range reports {
			ev.CrashReports = append(ev.CrashReports, CrashReport{h.name, r})
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	ev.ProcessEnds, ev.EndedAt = e.processEnds, time.Now()
}
