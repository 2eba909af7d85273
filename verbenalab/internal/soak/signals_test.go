package soak

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// signalSeries are signals that a host gets while it serves streams of signalsStream, after a pause each.
var signalSeries = []struct {
	name    string
	signals []syscall.Signal
}{
	{"the settings change while the host stops", []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGHUP}},
	{"the host is asked to stop twice", []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGINT}},
	{"the settings change as the host begins to stop", []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP}},
}

const (
	// signalsStream is how long a stream takes, signalPause the pause before each signal.
	signalsStream = 2400 * time.Millisecond
	signalPause   = 300 * time.Millisecond
	signalStreams = 5
)

// TestSignalDuringStopCutsStreams guards against a second signal that ends a host which is stopping, with the requests that it is to
// bring to their ends.
func TestSignalDuringStopCutsStreams(t *testing.T) {
	for n, tc := range signalSeries {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			e, err := NewEnvironment(Options{
				ProgramsDir: programsDir, Dir: t.TempDir(), Seed: 1, Rate: lateStreamsRate, Subnet: fmt.Sprintf("%d.%d", 80+n, 1+os.Getpid()%250),
				objective: keptConnectionsObjective,
			})
			c.Assert(err, qt.IsNil, qt.Commentf("are the programs built? `make build`"))
			defer func() { c.Check(e.Close(), qt.IsNil) }()
			for _, s := range e.servers {
				s.server.SetPause(signalsStream / streamEvents)
			}
			c.Assert(e.eventually(t.Context(), startTimeout, "start", "every host serves", (&Callers{env: e}).allServing), qt.IsTrue)
			stopped := e.hosts[0].current.Load()
			var callers sync.WaitGroup
			for n := range signalStreams {
				callers.Go(func() {
					k, err := openConnection(e.hosts[0])
					c.Check(err, qt.IsNil)
					if err != nil {
						return
					}
					defer k.close()
					r, err := k.stream(fmt.Sprintf("signal-%d", n), n%2 == 0)
					c.Check(err, qt.IsNil, qt.Commentf("status %d, %d bytes", r.Status, len(r.Body)))
					c.Check(r.Status, qt.Equals, http.StatusOK)
					c.Check(r.Body, qt.Equals, wholeStream(r.ID))
				})
			}
			for _, s := range tc.signals {
				time.Sleep(signalPause)
				stopped.Signal(s)
			}
			callers.Wait()
			c.Check(stopped.Terminate(stopTimeout), qt.IsNil)
		})
	}
}
