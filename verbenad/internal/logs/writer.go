// Package logs writes structured log lines without ever blocking the code that logs.
package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// maxQueuedLines bounds the lines that wait for a slow reader of standard output.
	maxQueuedLines = 2048
	// maxQueuedBytes bounds their bytes: ids that callers choose stand in lines, and may be as long as a head.
	maxQueuedBytes = 2 << 20
	// maxLinesPerSecond bounds the log's volume; a line is about 300 bytes.
	maxLinesPerSecond = 400
	// closeTimeout bounds the time for writing the last lines when the process ends.
	closeTimeout = 2 * time.Second
)

var droppedTotal = metrics.NewCounter("verbenad_log_lines_dropped_total")

// Writer queues lines for another writer, and drops them if there are too many or if it is closed.
type Writer struct {
	second  atomic.Int64
	count   atomic.Int64
	dropped atomic.Int64
	// queued counts the bytes in lines.
	queued atomic.Int64
	done   chan struct{}

	// mu keeps Close from closing lines while Write sends to it.
	mu     sync.RWMutex
	closed bool
	lines  chan []byte
}

// NewWriter returns a Writer that writes to out in a goroutine of its own.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.run(out)
	return w
}

// Write queues a line, or drops it and counts it. It never fails.
func (w *Writer) Write(p []byte) (int, error) {
	if !w.takeQuota(time.Now().Unix()) || !w.enqueue(append([]byte(nil), p...)) {
		w.drop()
	}
	return len(p), nil
}

// enqueue queues a line, unless the queue is full or closed.
func (w *Writer) enqueue(line []byte) (queued bool) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		return false
	}
	if w.queued.Add(int64(len(line))) <= maxQueuedBytes {
		select {
		case w.lines <- line:
			return true
		default:
		}
	}
	w.queued.Add(-int64(len(line)))
	return false
}

func (w *Writer) takeQuota(second int64) bool {
	if w.second.Swap(second) != second {
		w.count.Store(0)
	}
	return w.count.Add(1) <= maxLinesPerSecond
}

func (w *Writer) drop() {
	droppedTotal.Inc()
	w.dropped.Add(1)
}

func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	for l := range w.lines {
		w.queued.Add(-int64(len(l)))
		if _, err := out.Write(append(w.takeDroppedNotice(), l...)); err != nil {
			w.drop()
		}
	}
	if notice := w.takeDroppedNotice(); notice != nil {
		_, _ = out.Write(notice) // an output that fails can't report it
	}
}

// takeDroppedNotice returns a line with the number of lines that were dropped since the last one, empty if there are none.
func (w *Writer) takeDroppedNotice() (line []byte) {
	n := w.dropped.Swap(0)
	if n == 0 {
		return nil
	}
	return fmt.Appendf(nil, `{"level":"warn","message":"log lines left out","fields":{"count":%d}}`+"\n", n)
}

// Close writes the queued lines, for at most closeTimeout. Connections that end with the process log after that; their
// lines are dropped and counted.
func (w *Writer) Close() {
	w.closeQueue()
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

func (w *Writer) closeQueue() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
}
