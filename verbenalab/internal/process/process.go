// Package process starts the programs under test, and stops only processes that it started.
package process

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Process is a running or exited program.
type Process struct {
	Name   string
	cmd    *exec.Cmd
	exited chan struct{}
}

// Start starts a program that appends its output to NAME.log in dir. It gets the given environment variables besides those
// of this process.
func Start(dir, name string, environment []string, program string, args ...string) (p *Process, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("start %s: %w", name, err)
		}
	}()
	out, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = append(os.Environ(), environment...)
	// The program is killed when this process ends, even if that is killed itself.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, errors.Join(err, out.Close())
	}
	p = &Process{Name: name, cmd: cmd, exited: make(chan struct{})}
	go func() {
		_ = cmd.Wait() // ExitStatus returns how the program exited, and its log shows why
		_ = out.Close()
		close(p.exited)
	}()
	return p, nil
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal, unless the process has exited.
func (p *Process) Signal(s syscall.Signal) {
	_ = p.cmd.Process.Signal(s) // fails only if the process has exited
}

// Kill kills the process and waits for its exit.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.exited
}

// Pause suspends the process until Resume is called.
func (p *Process) Pause() { p.Signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }

// Terminate sends SIGTERM and waits for the exit. It returns an error unless the process exits within the limit with
// status 0.
func (p *Process) Terminate(limit time.Duration) error {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(limit):
		return fmt.Errorf("%s still runs %s after SIGTERM", p.Name, limit)
	}
	if p.cmd.ProcessState.ExitCode() != 0 {
		return fmt.Errorf("%s was asked to stop and ended with %s", p.Name, p.ExitStatus())
	}
	return nil
}

// Killed reports whether the process ended with SIGKILL. It is false while the process runs.
func (p *Process) Killed() bool {
	if !p.Exited() {
		return false
	}
	status, ok := p.cmd.ProcessState.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == syscall.SIGKILL
}

// ExitStatus describes how the process exited, for instance "exit status 2"; empty while it runs.
func (p *Process) ExitStatus() string {
	if !p.Exited() {
		return ""
	}
	return p.cmd.ProcessState.String()
}

// Exited reports whether the process has exited.
func (p *Process) Exited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}
