package logs

import (
	"sync"

	"github.com/apex/log"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbenad/internal/bounded"
)

const (
	// linesOfKind bounds the lines of one kind in a second to half of all: the lines of a flood of requests
	// must not take the place of those that say why some of them failed.
	linesOfKind = linesPerSecond / 2
	// mostKinds bounds the kinds that are told apart; the programs have some 90 messages.
	mostKinds = 200
)

var leftOut = bounded.Counters("verbenad_log_lines_left_out_total", mostKinds, "kind")

// Limiter bounds the rate of each kind of line. Kinds are told apart by their message.
type Limiter struct {
	next  log.Handler
	clock clock.Clock

	mu    sync.Mutex
	kinds map[string]*kind
}

// kind is what was written of one kind in the present second, and what was left out since the last line.
type kind struct {
	second  int64
	count   int
	missing int
}

// NewLimiter returns a handler that passes lines on to another one.
func NewLimiter(next log.Handler, c clock.Clock) *Limiter {
	return &Limiter{next: next, clock: c, kinds: make(map[string]*kind)}
}

// HandleLog passes a line on or leaves it out. The next line of its kind is preceded by the count.
func (l *Limiter) HandleLog(e *log.Entry) error {
	missing, allowed := l.take(e.Message)
	if !allowed {
		leftOut.With(e.Message).Inc()
		return nil
	}
	if missing > 0 {
		said := *e
		said.Level, said.Message = log.WarnLevel, "lines of a kind left out"
		said.Fields = log.Fields{"kind": e.Message, "count": missing}
		if host, ok := e.Fields["host"]; ok {
			said.Fields["host"] = host
		}
		if err := l.next.HandleLog(&said); err != nil {
			return err
		}
	}
	return l.next.HandleLog(e)
}

func (l *Limiter) take(message string) (missing int, allowed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k, ok := l.kinds[message]
	if !ok {
		if len(l.kinds) >= mostKinds {
			return 0, true // the writer's bound still holds
		}
		k = &kind{}
		l.kinds[message] = k
	}
	if now := l.clock.Now().Unix(); now != k.second {
		k.second, k.count = now, 0
	}
	if k.count >= linesOfKind {
		k.missing++
		return 0, false
	}
	k.count++
	missing, k.missing = k.missing, 0
	return missing, true
}
