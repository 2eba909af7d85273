package logs

import (
	"bytes"
	stdlog "log"

	"github.com/apex/log"
)

// panicMark is part of the line that net/http logs about a panic of a handler.
var panicMark = []byte("panic serving")

// serverErrors takes the lines that net/http logs.
type serverErrors struct{ count func() }

// NewServerErrorLog returns the logger of an http.Server. Its lines are about broken connections and are only counted, except
// for those about panics of handlers, which net/http recovers from.
func NewServerErrorLog(count func()) *stdlog.Logger {
	return stdlog.New(serverErrors{count}, "", 0)
}

func (s serverErrors) Write(p []byte) (int, error) {
	s.count()
	if bytes.Contains(p, panicMark) {
		log.WithField("text", string(bytes.TrimSpace(p))).Error("handler panicked")
	}
	return len(p), nil
}
