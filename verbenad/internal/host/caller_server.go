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

// busyPollInterval is the time between checks for requests in progress.
const busyPollInterval = 20 * time.Millisecond

// callerServer serves the connections of callers. It doesn't stop by http.Server.Shutdown, which drops requests that have just
// been read.
type callerServer struct {
	http        *http.Server
	listener    *callerconn.Listener
	connections *callerconn.Connections
	// failed gets the error that ended the listener.
	failed chan error
}

func startCallerServer(ln net.Listener, h http.Handler) *callerServer {
	s := &callerServer{listener: callerconn.NewListener(ln), connections: callerconn.NewConnections(), failed: make(chan error, 1)}
	s.http = &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: logs.NewServerErrorLog(callerConnectionErrors.Inc), ConnState: s.connections.StateChanged, ConnContext: entry.ConnContext,
	}
	go func() { s.failed <- s.http.Serve(s.listener) }()
	return s
}

// stop accepts no more connections, and waits until no request is in progress and relaysEnded is closed, at the latest until end.
func (s *callerServer) stop(end time.Time, relaysEnded <-chan struct{}) error {
	s.listener.Drain()
	if err := <-s.failed; !errors.Is(err, net.ErrClosed) {
		log.WithError(err).Warn("the callers' listener failed")
	}
	before := s.connections.Counts()
	log.WithFields(log.Fields{"active": before.Active, "idle": before.Idle, "unused": before.Unused}).Info("stopping: idle connections end")
	// Idle connections would deliver further requests for as long as any other is busy. Closing them drops no request
	// that was read.
	s.http.SetKeepAlivesEnabled(false)
	for s.connections.Busy(time.Now()) && time.Now().Before(end) {
		time.Sleep(busyPollInterval)
	}
	if s.connections.Busy(time.Now()) {
		log.WithField("active", s.connections.Counts().Active).Warn("stopped with requests in progress")
	}
	<-relaysEnded
	return s.http.Close()
}
