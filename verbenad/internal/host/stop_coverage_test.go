package host

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestStopServesLateFirstRequest guards against a stop that ends a new connection before its first request.
func TestStopServesLateFirstRequest(t *testing.T) {
	c := qt.New(t)
	s := newContextServer(c)
	s.stopUntil(time.Now().Add(testGrace))
	time.Sleep(firstRequestWait / 3)
	s.write(c, shortRequest)
	s.checkAnswered(c)
	s.checkStopped(c)
}

// TestStopEndsConnectionAfterItsRequest guards against a stop that waits for connections whose requests have ended.
func TestStopEndsConnectionAfterItsRequest(t *testing.T) {
	c := qt.New(t)
	s := newContextServer(c)
	s.write(c, longRequest)
	s.waitHandled(c)
	s.checkStopsAtOnce(c)
	s.checkAnswered(c)
}
