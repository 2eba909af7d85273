package engine

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

// ListenAndServe serves until the context ends. A crash closes the listener and
// every connection, and the engine comes back on the same address after its restart.
func (s *Server) ListenAndServe(ctx context.Context, address string) error {
	for ctx.Err() == nil {
		if err := s.serveOnce(ctx, address); err != nil {
			return err
		}
		sleep(ctx, s.engine.model.Restart)
	}
	return nil
}

func (s *Server) serveOnce(ctx context.Context, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: time.Minute}
	s.mu.Lock()
	alive := s.alive
	s.mu.Unlock()
	stop := context.AfterFunc(alive, func() { _ = server.Close() }) // a crash loses what is open
	defer stop()
	end := context.AfterFunc(ctx, func() { _ = server.Close() }) // the process ends
	defer end()
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
