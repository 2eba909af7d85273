package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is a request that a replica began to work on.
type run struct {
	Replica, Service, ID, Tenant, Method, Target, LastEvent string
	Authorization                                           bool
	At                                                      time.Time
	Body                                                    []byte
}

// replica is a stand-in for a replica of the pages. It answers what expects events with a stream.
type replica struct {
	id, service, address string
	slots, events        int
	pause                time.Duration
	born                 int64
	listener             net.Listener

	mu      sync.Mutex
	running int
	runs    []run
	lastEnd time.Time
	// data, if set, returns the text of an event.
	data func(id string, n int) string
	// answer, if set, takes over an admitted request; it returns false to have it answered as usual.
	answer func(w http.ResponseWriter, r *http.Request, body []byte) bool
}

func startReplica(id, service, address string, slots, events int, pause time.Duration) *replica {
	p := &replica{id: id, service: service, address: address, slots: slots, events: events, pause: pause, born: time.Now().UnixMilli()}
	l, err := net.Listen("tcp", address)
	check(err)
	p.listener = l
	go func() { _ = (&http.Server{Handler: p}).Serve(l) }() // until the program ends
	return p
}

// entry is the replica's registration in the store.
func (p *replica) entry(sequence int, zone string) map[string]any {
	return map[string]any{
		"service": p.service, "address": p.address, "zone": zone, "version": 1, "slots": p.slots, "state": "ready", "coldMs": 0,
		"sequence": sequence, "born": p.born,
	}
}

func (p *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("X-Verbenaledge-Instance-Id", p.id)
	if r.URL.Path == "/healthz" {
		return
	}
	id := r.Header.Get("X-Verbenaledge-Request-Id")
	h.Set("X-Verbenaledge-Request-Id", id)
	if e := r.Header.Get("X-Verbenaledge-Expect-Instance"); e != "" && e != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if id == "" {
		h.Set("X-Verbenaledge-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	if p.running >= p.slots {
		p.mu.Unlock()
		h.Set("X-Verbenaledge-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	p.running++
	p.runs = append(p.runs, run{
		p.id, p.service, id, r.Header.Get("X-Verbenaledge-Tenant"), r.Method, r.RequestURI, r.Header.Get("Last-Event-Id"),
		r.Header.Get("Authorization") != "", time.Now(), body,
	})
	answer := p.answer
	load := fmt.Sprintf("%d,0,%d", p.running, p.slots)
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		p.running--
		p.lastEnd = time.Now()
		p.mu.Unlock()
	}()
	h.Set("X-Verbenaledge-Response-Signature", "signed."+id)
	h.Set("X-Verbenaledge-Server-Load", load)
	if answer != nil && answer(w, r, body) {
		return
	}
	h.Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	flush := http.NewResponseController(w)
	for n := first + 1; n <= p.events; n++ {
		select {
		case <-time.After(p.pause):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, strings.ReplaceAll(p.text(id, n), "\n", "\ndata: ")); err != nil {
			return
		}
		_ = flush.Flush() // the next write fails if the connection has ended
	}
}

// text is the data of an event.
func (p *replica) text(id string, n int) string {
	if p.data != nil {
		return p.data(id, n)
	}
	return fmt.Sprintf("%s/%d", id, n)
}

func (p *replica) allRuns() []run {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]run(nil), p.runs...)
}
