package host

import (
	"context"
	"net"
	"net/http"

	"verbenaledge.example/verbenad/internal/callerconn"
	"verbenaledge.example/verbenad/internal/logs"
)

// guardedServer serves an address that only the operator's tools use, within small limits.
type guardedServer struct{ http *http.Server }

// newGuardedServer returns a server that closes when the context ends.
func newGuardedServer(ctx context.Context, h http.Handler) *guardedServer {
	s := &guardedServer{http: &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, WriteTimeout: toolTimeout, ReadTimeout: toolTimeout, IdleTimeout: toolIdleTimeout,
		ErrorLog: logs.NewServerErrorLog(callerConnectionErrors.Inc),
	}}
	context.AfterFunc(ctx, func() { _ = s.http.Close() }) // the process is ending
	return s
}

func (s *guardedServer) serve(ln net.Listener) error {
	l := callerconn.NewListener(ln, callerconn.WithGuard(callerconn.NewSmallGuard()))
	s.http.ConnState = l.StateChanged
	return s.http.Serve(l)
}
