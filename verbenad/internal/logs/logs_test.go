package logs_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/memory"
	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbenad/internal/logs"
)

// manualClock is a clock that a test sets.
type manualClock struct{ now time.Time }

func (m *manualClock) Now() time.Time { return m.now }

// blockedOutput is a standard output whose reader reads nothing until unblock is closed.
type blockedOutput struct {
	unblock chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (b *blockedOutput) Write(p []byte) (int, error) {
	<-b.unblock
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.written.Write(p)
}

// TestBlockedOutputDoesNotBlockLogging checks that logging isn't slowed down while nothing reads the
// output, and that a line reports the number of dropped lines once it is read again.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	c := qt.New(t)
	output := &blockedOutput{unblock: make(chan struct{})}
	w := logs.NewWriter(output)
	l := &log.Logger{Handler: json.New(w), Level: log.InfoLevel}
	done := make(chan struct{})
	go func() {
		for n := range 50_000 {
			l.WithField("n", n).Info("burst")
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		c.Fatal("logging waits for the reader of the output")
	}
	close(output.unblock)
	// The writer's limit applies to whole seconds, so the next line may be dropped until one has passed.
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		l.Info("after the burst")
		output.mu.Lock()
		reported := strings.Contains(output.written.String(), "log lines left out")
		output.mu.Unlock()
		if reported {
			w.Close()
			return
		}
	}
	c.Fatal("no line reports the dropped lines")
}

// TestKindsAreLimitedSeparately checks that a burst of lines of one kind doesn't displace another kind's lines.
func TestKindsAreLimitedSeparately(t *testing.T) {
	c := qt.New(t)
	kept, clock := memory.New(), &manualClock{now: time.Unix(1000, 0)}
	l := &log.Logger{Handler: logs.NewLimiter(kept, clock), Level: log.InfoLevel}
	for range 1000 {
		l.WithField("host", "h").Info("request placed")
	}
	l.Info("request refused")
	count := make(map[string]int)
	for _, e := range kept.Entries {
		count[e.Message]++
	}
	c.Assert(count, qt.DeepEquals, map[string]int{"request placed": 200, "request refused": 1})
	clock.now = clock.now.Add(time.Second)
	l.WithField("host", "h").Info("request placed")
	notice := kept.Entries[len(kept.Entries)-2]
	c.Assert(notice.Message, qt.Equals, "lines of a kind left out")
	c.Assert(notice.Fields, qt.DeepEquals, log.Fields{"kind": "request placed", "count": 800, "host": "h"})
}
