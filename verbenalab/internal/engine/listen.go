package engine

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

// ListenAndServe serves until the context ends. A crash closes the listener and all connections. After the restart time the
// engine listens on the same address again.
func (s *Server) ListenAndServe(ctx context.Context, address string) error {
	for ctx.Err() == nil {
		if err := s.serveOnce(ctx, address); err != nil {
			return err
		}
		sleep(ctx, s.engine.config.Restart)
	}
	return nil
}

// serveOnce serves until a crash or the end of the context.
func (s *Server) serveOnce(ctx context.Context, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: time.Minute}
	s.mu.Lock()
	lifetime := s.lifetime
	s.mu.Unlock()
	stopOnCrash := context.AfterFunc(lifetime, func() { _ = server.Close() }) // a crash drops all connections
	defer stopOnCrash()
	stopOnCancel := context.AfterFunc(ctx, func() { _ = server.Close() }) // the process is stopping
	defer stopOnCancel()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
