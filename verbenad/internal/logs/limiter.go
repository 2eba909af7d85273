package logs

import (
	"sync"

	"github.com/apex/log"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbenad/internal/bounded"
)

const (
	// maxKindLinesPerSecond bounds the lines of one kind to half of all, so that a burst of lines about
	// requests doesn't displace the lines that explain why some of them failed.
	maxKindLinesPerSecond = maxLinesPerSecond / 2
	// maxKinds bounds the kinds that are limited separately; the programs have about 90 messages.
	maxKinds = 200
)

var suppressedTotal = bounded.Counters("verbenad_log_lines_left_out_total", maxKinds, "kind")

// Limiter is a log handler that bounds the rate of each kind of line. The message of a line is its kind.
type Limiter struct {
	next  log.Handler
	clock clock.Clock

	mu    sync.Mutex
	kinds map[string]*kindState
}

// kindState counts the lines of one kind: those written in the current second, and those suppressed since
// the last one that was written.
type kindState struct {
	second     int64
	count      int
	suppressed int
}

// NewLimiter returns a limiter in front of another handler.
func NewLimiter(next log.Handler, c clock.Clock) *Limiter {
	return &Limiter{next: next, clock: c, kinds: make(map[string]*kindState)}
}

// HandleLog forwards or suppresses a line. The first line forwarded after suppressed ones of its kind is
// preceded by a line with their number.
func (l *Limiter) HandleLog(e *log.Entry) error {
	suppressed, allowed := l.takeQuota(e.Message)
	if !allowed {
		suppressedTotal.With(e.Message).Inc()
		return nil
	}
	if suppressed > 0 {
		notice := *e
		notice.Level, notice.Message = log.WarnLevel, "lines of a kind left out"
		notice.Fields = log.Fields{"kind": e.Message, "count": suppressed}
		if host, ok := e.Fields["host"]; ok {
			notice.Fields["host"] = host
		}
		if err := l.next.HandleLog(&notice); err != nil {
			return err
		}
	}
	return l.next.HandleLog(e)
}

// takeQuota counts a line and returns whether it may be written, and if so how many were suppressed before it.
func (l *Limiter) takeQuota(message string) (suppressed int, allowed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k, ok := l.kinds[message]
	if !ok {
		if len(l.kinds) >= maxKinds {
			return 0, true // Writer still bounds the total rate
		}
		k = &kindState{}
		l.kinds[message] = k
	}
	if now := l.clock.Now().Unix(); now != k.second {
		k.second, k.count = now, 0
	}
	if k.count >= maxKindLinesPerSecond {
		k.suppressed++
		return 0, false
	}
	k.count++
	suppressed, k.suppressed = k.suppressed, 0
	return suppressed, true
}
