package cmd

import (
	"sync/atomic"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
)

// logSwitch passes log lines to a handler that can be replaced while hosts are logging.
type logSwitch struct{ target atomic.Value }

// target wraps a handler, as an atomic.Value can't hold values of different types.
type target struct{ handler log.Handler }

func newLogSwitch() *logSwitch {
	s := &logSwitch{}
	s.setHandler(discard.Default)
	return s
}

func (s *logSwitch) setHandler(h log.Handler) { s.target.Store(target{h}) }

// HandleLog passes a line to the current handler.
func (s *logSwitch) HandleLog(e *log.Entry) error {
	to, ok := s.target.Load().(target)
	if !ok {
		return nil
	}
	return to.handler.HandleLog(e)
}
