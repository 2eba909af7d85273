package hostlink

import (
	"container/list"
	"errors"
	"fmt"
	"net"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
)

const (
	// maxNewcomers bounds the connections that haven't sent their first frame. Hosts send it at once; in a restart of all hosts many
	// connect at the same moment.
	maxNewcomers = 256
	// maxNewcomerBytes bounds the memory of all first frames that arrive. The largest frame fits with the copies of its growth, also
	// when it was compressed to half its size.
	maxNewcomerBytes = 2*maxFrameSize + 1<<20
)

// The reasons for which the oldest connection is closed.
const (
	tooManyNewcomers = "too_many"
	noNewcomerMemory = "no_memory"
)

var errNewcomerClosed = errors.New("closed to make room for other connections")

// newcomers are the connections whose first frame is awaited. When there are too many, or their frames too large together, the
// oldest one is closed.
type newcomers struct {
	mu sync.Mutex
	// queue holds the connections, the oldest first, bytes is what they hold together.
	queue list.List
	bytes int
}

// newcomer is a connection whose first frame is awaited.
type newcomer struct {
	set     *newcomers
	conn    net.Conn
	element *list.Element
	bytes   int
}

func (s *newcomers) add(c net.Conn) *newcomer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queue.Len() >= maxNewcomers {
		s.closeOldest(tooManyNewcomers)
	}
	n := &newcomer{set: s, conn: c}
	n.element = s.queue.PushBack(n)
	return n
}

// closeOldest is called with mu held and a queue that isn't empty.
func (s *newcomers) closeOldest(reason string) {
	n, ok := s.queue.Front().Value.(*newcomer)
	if !ok {
		return
	}
	n.leave()
	_ = n.conn.Close() // nothing was done for it
	metrics.GetOrCreateCounter(fmt.Sprintf("verbenad_host_connections_closed_total{reason=%q}", reason)).Inc()
	log.WithField("reason", reason).Info("connection without a first frame closed")
}

// leave is called with mu held.
func (n *newcomer) leave() {
	if n.element != nil {
		n.set.queue.Remove(n.element)
		n.set.bytes -= n.bytes
		n.element = nil
	}
}

// reserve takes memory for a frame that arrives, or returns some of it.
func (n *newcomer) reserve(bytes int) error {
	n.set.mu.Lock()
	defer n.set.mu.Unlock()
	if n.element == nil {
		return errNewcomerClosed
	}
	n.bytes += bytes
	n.set.bytes += bytes
	for n.element != nil && n.set.bytes > maxNewcomerBytes {
		n.set.closeOldest(noNewcomerMemory)
	}
	if n.element == nil {
		return errNewcomerClosed
	}
	return nil
}

// arrived is called when the first frame has arrived, or won't.
func (n *newcomer) arrived() {
	n.set.mu.Lock()
	defer n.set.mu.Unlock()
	n.leave()
}
