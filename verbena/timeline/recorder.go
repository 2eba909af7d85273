package timeline

import (
	"encoding/json"
	"io"
	"sync"

	"verbenaledge.example/verbena/hlc"
	"verbenaledge.example/verbena/ids"
)

// ringSize is the number of events that a recorder keeps in memory.
const ringSize = 8192

// Recorder adds timestamps to events, keeps the newest events in memory and optionally writes all of them to a file. It
// is safe for concurrent use.
type Recorder struct {
	clock *hlc.Clock
	host  ids.HostID
	out   io.Writer

	mu   sync.Mutex
	ring []Event
	next int
}

// Option changes how a recorder is built.
type Option func(*Recorder)

// WithWriter makes the recorder write each event as a JSON line to w, too.
func WithWriter(w io.Writer) Option {
	return func(r *Recorder) { r.out = w }
}

// NewRecorder returns a recorder for one host.
func NewRecorder(host ids.HostID, c *hlc.Clock, opts ...Option) *Recorder {
	r := &Recorder{clock: c, host: host}
	for _, o := range opts {
		o(r)
	}
	return r
}

// Record sets the event's timestamp and host, and keeps the event.
func (r *Recorder) Record(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Stamp = r.clock.Now()
	e.Host = r.host
	r.addToRing(e)
	if r.out == nil {
		return
	}
	line, err := json.Marshal(e)
	if err != nil {
		return
	}
	_, _ = r.out.Write(append(line, '\n')) // on failure the ring still has the event
}

func (r *Recorder) addToRing(e Event) {
	if len(r.ring) < ringSize {
		r.ring = append(r.ring, e)
		return
	}
	r.ring[r.next] = e
	r.next = (r.next + 1) % ringSize
}

// Events returns the kept events that match the filter, oldest first.
func (r *Recorder) Events(f Filter) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Event, 0, len(r.ring))
	for i := range r.ring {
		e := r.ring[(r.next+i)%len(r.ring)]
		if f.Match(e) {
			list = append(list, e)
		}
	}
	return list
}
