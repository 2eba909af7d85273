// Package process starts the programs under test and ends just those.
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

// Process is one program that has been started here.
type Process struct {
	Name string
	cmd  *exec.Cmd
	done chan struct{}
}

// Start runs a program with its output in a log file of its name. The environment has further variables.
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
	// No process is left behind, also when this one is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, errors.Join(err, out.Close())
	}
	p = &Process{Name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait() // how it ended shows in its log
		_ = out.Close()
		close(p.done)
	}()
	return p, nil
}

// PID is the number of the process.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal; a process that has ended gets none.
func (p *Process) Signal(s syscall.Signal) {
	_ = p.cmd.Process.Signal(s) // fails only on a process that has ended
}

// Kill ends the process at once.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Freeze stops the process without ending it; Thaw lets it go on.
func (p *Process) Pause() { p.Signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }

// Stop asks the process to end and waits for it.
func (p *Process) Terminate(limit time.Duration) (ended bool) {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return true
	case <-time.After(limit):
		return false
	}
}

// Ended tells whether the process has ended.
func (p *Process) Exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}
