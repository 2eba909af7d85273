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

// manual is a clock that a test moves.
type manual struct{ now time.Time }

func (m *manual) Now() time.Time { return m.now }

// stuck is a reader of standard output that reads nothing until it is let go.
type stuck struct {
	free chan struct{}
	mu   sync.Mutex
	read bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.free
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.read.Write(p)
}

// TestFloodStallsNothing: with a reader that reads nothing, writing goes on at full speed; what was
// left out is counted in a line once the reader reads again.
func TestFloodStallsNothing(t *testing.T) {
	c := qt.New(t)
	reader := &stuck{free: make(chan struct{})}
	w := logs.NewWriter(reader)
	l := &log.Logger{Handler: json.New(w), Level: log.InfoLevel}
	flooded := make(chan struct{})
	go func() {
		for n := range 50_000 {
			l.WithField("n", n).Info("flood")
		}
		close(flooded)
	}()
	select {
	case <-flooded:
	case <-time.After(20 * time.Second):
		c.Fatal("the flood waits for the reader")
	}
	close(reader.free)
	// The writer's bound is by the second, so the next line may have to wait for one.
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		l.Info("after the flood")
		reader.mu.Lock()
		said := strings.Contains(reader.read.String(), "log lines left out")
		reader.mu.Unlock()
		if said {
			w.Close()
			return
		}
	}
	c.Fatal("nothing tells of the lines that were left out")
}

// TestOneKindLeavesRoom: a flood of one kind doesn't take the place of another kind's lines.
func TestOneKindLeavesRoom(t *testing.T) {
	c := qt.New(t)
	kept, clock := memory.New(), &manual{now: time.Unix(1000, 0)}
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
	said := kept.Entries[len(kept.Entries)-2]
	c.Assert(said.Message, qt.Equals, "lines of a kind left out")
	c.Assert(said.Fields, qt.DeepEquals, log.Fields{"kind": "request placed", "count": 800, "host": "h"})
}
