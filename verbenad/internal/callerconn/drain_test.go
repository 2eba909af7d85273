package callerconn

import (
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestDrainOutlastsEnd guards against a listener that goes on accepting after its end, as connections arrive without a pause.
func TestDrainOutlastsEnd(t *testing.T) {
	const left = maxAcceptTime / 5
	c := qt.New(t)
	l := NewListener(listenLocal(c))
	var closed atomic.Bool
	go func() {
		for ; !closed.Load(); time.Sleep(acceptQuietTime / 5) {
			if caller, err := net.Dial("tcp", l.Addr().String()); err == nil {
				_ = caller.Close() // it carries nothing
			}
		}
	}()
	defer closed.Store(true)
	begin := time.Now()
	l.Drain(begin.Add(left))
	var err error
	for err == nil {
		var accepted net.Conn
		if accepted, err = l.Accept(); err == nil {
			_ = accepted.Close() // it carries nothing
		}
	}
	c.Assert(errors.Is(err, net.ErrClosed), qt.IsTrue)
	took := time.Since(begin)
	c.Assert(took < maxAcceptTime/2, qt.IsTrue, qt.Commentf("accepted for %s", took))
}

// TestDrainAfterEndAcceptsQueue checks that a listener which is drained after its end still accepts the connections that wait.
func TestDrainAfterEndAcceptsQueue(t *testing.T) {
	c := qt.New(t)
	l := NewListener(listenLocal(c))
	caller, err := net.Dial("tcp", l.Addr().String())
	c.Assert(err, qt.IsNil)
	defer func() { _ = caller.Close() }()
	l.Drain(time.Now().Add(-time.Second))
	accepted, err := l.Accept()
	c.Assert(err, qt.IsNil)
	c.Assert(accepted.Close(), qt.IsNil)
	_, err = l.Accept()
	c.Assert(errors.Is(err, net.ErrClosed), qt.IsTrue)
}
