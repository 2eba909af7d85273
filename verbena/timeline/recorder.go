package timeline

import (
	"encoding/json"
	"io"
	"sync"

	"verbenaledge.example/verbena/hlc"
	"verbenaledge.example/verbena/ids"
)

const ringSize = 8192

// Recorder stamps events, keeps the newest in memory and may write them to a file.
// It is safe for concurrent use.
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

// WithWriter also writes each event as a JSON line to w.
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

// Record stamps the event with the time and the host, and keeps it.
func (r *Recorder) Record(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Stamp = r.clock.Now()
	e.Host = r.host
	r.keep(e)
	if r.out == nil {
		return
	}
	line, err := json.Marshal(e)
	if err != nil {
		return
	}
	_, _ = r.out.Write(append(line, '\n')) // the ring still has it
}

func (r *Recorder) keep(e Event) {
	if len(r.ring) < ringSize {
		r.ring = append(r.ring, e)
		return
	}
	r.ring[r.next] = e
	r.next = (r.next + 1) % ringSize
}

// Events returns what is kept and passes the filter, oldest first.
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
