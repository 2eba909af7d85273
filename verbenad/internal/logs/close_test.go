package logs_test

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	jsonlog "github.com/apex/log/handlers/json"
	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbenad/internal/logs"
)

// droppedLines returns how many lines all writers of this process have dropped.
func droppedLines() uint64 {
	return metrics.GetOrCreateCounter("verbenad_log_lines_dropped_total").Get()
}

// TestLinesAfterCloseAreDropped guards against a writer that panics when a connection logs that it has ended after the
// log was closed.
func TestLinesAfterCloseAreDropped(t *testing.T) {
	c := qt.New(t)
	var output bytes.Buffer
	w := logs.NewWriter(&output)
	l := &log.Logger{Handler: jsonlog.New(w), Level: log.InfoLevel}
	l.Info("stopped")
	w.Close()
	before := droppedLines()
	for range 3 {
		l.Info("disconnected from host")
	}
	w.Close()
	c.Assert(droppedLines()-before, qt.Equals, uint64(3))
	c.Assert(strings.Count(output.String(), "\n"), qt.Equals, 1)
	c.Assert(output.String(), qt.Contains, "stopped")
}

// TestWritersDuringClose checks with many goroutines that each line is either written or counted as dropped, and that
// none is written after Close has returned.
func TestWritersDuringClose(t *testing.T) {
	const (
		writers        = 32
		linesPerWriter = 50
	)
	c := qt.New(t)
	for range 50 {
		var output bytes.Buffer
		w := logs.NewWriter(&output)
		before := droppedLines()
		begin := make(chan struct{})
		var wg sync.WaitGroup
		for range writers {
			wg.Go(func() {
				<-begin
				for range linesPerWriter {
					n, err := io.WriteString(w, "line\n")
					c.Check(n, qt.Equals, len("line\n"))
					c.Check(err, qt.IsNil)
				}
			})
		}
		close(begin)
		w.Close()
		written := uint64(strings.Count(output.String(), "line\n"))
		wg.Wait()
		c.Assert(uint64(strings.Count(output.String(), "line\n")), qt.Equals, written)
		c.Assert(written+droppedLines()-before, qt.Equals, uint64(writers*linesPerWriter))
	}
}

// TestCloseReportsDroppedLines checks that the log accounts for each line: the lines dropped last are reported although no
// further line follows.
func TestCloseReportsDroppedLines(t *testing.T) {
	const lines = 50_000
	c := qt.New(t)
	var output bytes.Buffer
	w := logs.NewWriter(&output)
	for range lines {
		_, err := io.WriteString(w, "burst\n")
		c.Assert(err, qt.IsNil)
	}
	w.Close()
	accounted := 0
	for l := range strings.Lines(output.String()) {
		var notice struct{ Fields struct{ Count int } }
		if l == "burst\n" {
			accounted++
			continue
		}
		c.Assert(json.Unmarshal([]byte(l), &notice), qt.IsNil, qt.Commentf("%s", l))
		accounted += notice.Fields.Count
	}
	c.Assert(accounted, qt.Equals, lines)
}

// TestCloseOfBlockedOutputEnds checks that the end of a process isn't held up by a log that nothing reads, neither at Close nor
// by lines that are logged meanwhile.
func TestCloseOfBlockedOutputEnds(t *testing.T) {
	c := qt.New(t)
	output := &blockedOutput{unblock: make(chan struct{})}
	defer close(output.unblock)
	w := logs.NewWriter(output)
	for range 50_000 {
		_, err := io.WriteString(w, "burst\n")
		c.Assert(err, qt.IsNil)
	}
	ended := make(chan struct{})
	go func() {
		w.Close()
		_, _ = io.WriteString(w, "after\n") // Write never fails
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(20 * time.Second):
		c.Fatal("Close or Write waits for the reader of the output")
	}
}
