package daemon

import (
	"net"
	"net/http"

	"verbenaledge.example/verbenad/internal/callerconn"
	"verbenaledge.example/verbenad/internal/logs"
)

// httpServer serves callers or operators.
type httpServer struct {
	http     *http.Server
	listener *callerconn.Listener
	handler  *callerconn.Handler
}

func newHTTPServer(ln net.Listener, h http.Handler) *httpServer {
	s := &httpServer{listener: callerconn.NewListener(ln), handler: callerconn.NewHandler(h)}
	s.http = &http.Server{
		Handler: s.handler, ReadHeaderTimeout: readHeaderTimeout, ErrorLog: logs.NewServerErrorLog(func() {}), ConnState: s.listener.StateChanged,
	}
	return s
}

// endConnections ends each connection once it carries no request.
func (s *httpServer) endConnections() {
	s.handler.AnnounceClose()
	s.listener.EndIdle()
}

// busy reports whether a connection carries a request.
func (s *httpServer) busy() bool { return s.listener.Counts().Active > 0 }
