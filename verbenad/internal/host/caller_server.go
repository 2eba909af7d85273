package host

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"

	"verbenaledge.example/verbenad/internal/callerconn"
	"verbenaledge.example/verbenad/internal/entry"
	"verbenaledge.example/verbenad/internal/logs"
)

const (
	// openPollInterval is the time between checks for open connections.
	openPollInterval = 20 * time.Millisecond
	// finalAnswerTime is how long the answers to requests may take that end with the grace period.
	finalAnswerTime = 150 * time.Millisecond
)

// callerServer serves the connections of callers. It doesn't stop by http.Server.Shutdown, which drops requests that have just
// been read.
type callerServer struct {
	http     *http.Server
	listener *callerconn.Listener
	handler  *callerconn.Handler
	// failed gets the error that ended the listener.
	failed chan error
	// endRequests makes the requests in progress end with an answer.
	endRequests func()
}

func startCallerServer(ln net.Listener, h http.Handler, endRequests func(), options ...callerconn.Option) *callerServer {
	s := &callerServer{
		listener: callerconn.NewListener(ln, options...), handler: callerconn.NewHandler(h), failed: make(chan error, 1), endRequests: endRequests,
	}
	s.http = &http.Server{
		Handler: s.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: logs.NewServerErrorLog(callerConnectionErrors.Inc), ConnState: s.listener.StateChanged, ConnContext: entry.ConnContext,
	}
	go func() { s.failed <- s.http.Serve(s.listener) }()
	return s
}

// stop accepts no more connections, and waits until all have ended and relaysEnded is closed, at the latest until end.
func (s *callerServer) stop(end time.Time, relaysEnded <-chan struct{}) error {
	s.handler.AnnounceClose()
	s.listener.Drain(end)
	if err := <-s.failed; !errors.Is(err, net.ErrClosed) {
		log.WithError(err).Warn("the callers' listener failed")
	}
	before := s.listener.Counts()
	log.WithFields(log.Fields{"active": before.Active, "idle": before.Idle, "unused": before.Unused}).Info("stopping: idle connections end")
	// Idle connections would deliver further requests for as long as any other is busy.
	s.listener.EndIdle()
	for s.listener.Busy() && time.Now().Before(end) {
		time.Sleep(openPollInterval)
	}
	s.listener.EndUnused()
	s.awaitClosed(end)
	if n := s.listener.Counts(); n.Open() > 0 {
		log.WithFields(log.Fields{"active": n.Active, "idle": n.Idle, "unused": n.Unused}).Warn("requests in progress end with the grace period")
		s.endRequests()
		s.awaitClosed(time.Now().Add(finalAnswerTime))
	}
	<-relaysEnded
	return s.http.Close()
}

// awaitClosed waits until no connection is open, at the latest until end.
func (s *callerServer) awaitClosed(end time.Time) {
	for s.listener.Counts().Open() > 0 && time.Now().Before(end) {
		time.Sleep(openPollInterval)
	}
}
