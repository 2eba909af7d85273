package cmd

import (
	"sync/atomic"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
)

// lineSwitch passes lines to a handler that may change while hosts write.
type lineSwitch struct{ to atomic.Value }

// chosen holds a handler, so that handlers of different types can be stored.
type chosen struct{ handler log.Handler }

func newLineSwitch() *lineSwitch {
	s := &lineSwitch{}
	s.choose(discard.Default)
	return s
}

func (s *lineSwitch) choose(h log.Handler) { s.to.Store(chosen{h}) }

// HandleLog passes a line on.
func (s *lineSwitch) HandleLog(e *log.Entry) error {
	c, ok := s.to.Load().(chosen)
	if !ok {
		return nil
	}
	return c.handler.HandleLog(e)
}
