// Package logs writes structured lines without ever blocking the work that they tell of.
package logs

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// queueLength bounds the lines that wait for a slow reader of standard output.
	queueLength = 2048
	// linesPerSecond bounds the volume; a line is about 300 bytes.
	linesPerSecond = 400
	// closeTime is how long the last lines may take at the end of the process.
	closeTime = 2 * time.Second
)

var dropped = metrics.NewCounter("verbenad_log_lines_dropped_total")

// Writer queues lines for another writer.
type Writer struct {
	lines   chan []byte
	window  atomic.Int64
	count   atomic.Int64
	missing atomic.Int64
	done    chan struct{}
}

// NewWriter starts writing to w.
func NewWriter(w io.Writer) *Writer {
	l := &Writer{lines: make(chan []byte, queueLength), done: make(chan struct{})}
	go l.run(w)
	return l
}

// Write queues a line or counts it as dropped. It never fails.
func (w *Writer) Write(p []byte) (int, error) {
	if !w.allowed(time.Now().Unix()) {
		w.drop()
		return len(p), nil
	}
	select {
	case w.lines <- append([]byte(nil), p...):
	default:
		w.drop()
	}
	return len(p), nil
}

func (w *Writer) allowed(second int64) bool {
	if w.window.Swap(second) != second {
		w.count.Store(0)
	}
	return w.count.Add(1) <= linesPerSecond
}

func (w *Writer) drop() {
	dropped.Inc()
	w.missing.Add(1)
}

func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	for line := range w.lines {
		if n := w.missing.Swap(0); n > 0 {
			line = append(fmt.Appendf(nil, `{"level":"warn","message":"log lines left out","fields":{"count":%d}}`+"\n", n), line...)
		}
		if _, err := out.Write(line); err != nil {
			w.drop()
		}
	}
}

// Close writes what is queued.
func (w *Writer) Close() {
	close(w.lines)
	select {
	case <-w.done:
	case <-time.After(closeTime):
	}
}
