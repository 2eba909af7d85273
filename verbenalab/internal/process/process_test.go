package process_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbenalab/internal/process"
)

// stopLimit bounds the time until a shell exits.
const stopLimit = 10 * time.Second

// startShell starts a shell command and waits until it has written "ready".
func startShell(c *qt.C, script string) (p *process.Process) {
	return startProgram(c, "/bin/sh", "-c", script)
}

func startProgram(c *qt.C, program string, args ...string) (p *process.Process) {
	dir := c.TempDir()
	p, err := process.Start(dir, "shell", nil, program, args...)
	c.Assert(err, qt.IsNil)
	c.Cleanup(p.Kill)
	log := filepath.Join(dir, "shell.log")
	for end := time.Now().Add(stopLimit); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if raw, err := os.ReadFile(log); err == nil && len(raw) > 0 {
			return p
		}
	}
	c.Fatal("the shell wrote nothing")
	return nil
}

// TestTerminateReportsTheExitStatus guards against a stop that counts as orderly although the program crashed in it.
func TestTerminateReportsTheExitStatus(t *testing.T) {
	c := qt.New(t)
	orderly := startShell(c, "trap 'exit 0' TERM; echo ready; while :; do sleep 0.01; done")
	c.Assert(orderly.ExitStatus(), qt.Equals, "")
	c.Assert(orderly.Terminate(stopLimit), qt.IsNil)
	c.Assert(orderly.ExitStatus(), qt.Equals, "exit status 0")
	c.Assert(orderly.Killed(), qt.IsFalse)

	crashes := startShell(c, "trap 'exit 2' TERM; echo ready; while :; do sleep 0.01; done")
	c.Assert(crashes.Terminate(stopLimit), qt.ErrorMatches, "shell was asked to stop and ended with exit status 2")

	unhandled := startShell(c, "echo ready; while :; do sleep 0.01; done")
	c.Assert(unhandled.Terminate(stopLimit), qt.ErrorMatches, ".* ended with signal: terminated")

	ignores := startShell(c, "trap '' TERM; echo ready; while :; do sleep 0.01; done")
	c.Assert(ignores.Terminate(50*time.Millisecond), qt.ErrorMatches, "shell still runs 50ms after SIGTERM")
	ignores.Kill()
	c.Assert(ignores.Killed(), qt.IsTrue)
}

// TestCrashReports checks that each kind of crash report is found, and only from the offset on.
func TestCrashReports(t *testing.T) {
	c := qt.New(t)
	for mark, line := range map[string]string{
		"panic":           "panic: send on closed channel",
		"handler's panic": "http: panic serving 127.0.0.1:5000: boom",
		"fatal error":     "fatal error: all goroutines are asleep - deadlock!",
		"data race":       "WARNING: DATA RACE",
	} {
		log := filepath.Join(c.TempDir(), "program.log")
		before := `{"message":"started"}` + "\n"
		c.Assert(os.WriteFile(log, []byte(before+line+"\n\ngoroutine 1 [running]:\nmain.main()\n"), 0o600), qt.IsNil)
		for offset, want := range map[int][]string{
			0: {line + "\n\ngoroutine 1 [running]:\nmain.main()"}, len(before): {line + "\n\ngoroutine 1 [running]:\nmain.main()"}, len(before + line): nil,
		} {
			reports, err := process.CrashReports(log, int64(offset))
			c.Assert(err, qt.IsNil)
			c.Check(reports, qt.DeepEquals, want, qt.Commentf("%s from %d on", mark, offset))
		}
	}
	_, err := process.CrashReports(filepath.Join(c.TempDir(), "none.log"), 0)
	c.Check(err, qt.ErrorMatches, "look for crash reports: .*")
}
