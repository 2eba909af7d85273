package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"verbenaledge.example/platform/standin"
	"verbenaledge.example/verbena/objects/memory"
)

// world is a small deployment on loopback addresses: the platform's store, backend servers and the system's processes.
type world struct {
	dir     string
	program string
	record  *os.File
	begin   time.Time
	store   *memory.Store
	address string
	fronts  []*host
	storage []*host

	// running counts what servers with eventBytes have run.
	running  runs
	recordMu sync.Mutex
}

// options are what a case chooses of a deployment.
type options struct {
	fronts, storage, servers int
	frontMB, storageMB       int
	// slots is the number of a server's slots. Its answers have events of eventBytes each, or of the stand-in's own size.
	slots, events, eventBytes int
	config                    map[string]any
}

// newWorld starts a deployment and waits until it is ready.
func newWorld(record string, o options) (w *world, err error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	w = &world{program: filepath.Join(root, "target", "verbenad"), begin: time.Now(), store: memory.New()}
	if w.record, err = os.Create(record); err != nil {
		return nil, err
	}
	if w.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	w.store.SetValueLimit(1 << 20)
	subnet := fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250))
	w.address, err = serve(subnet+".2:0", pagedStore{&standin.Store{Store: w.store}})
	if err != nil {
		return w, err
	}
	if err := standin.Configure(w.store, o.config); err != nil {
		return w, err
	}
	for n := range o.servers {
		if err := w.addServer(fmt.Sprintf("%s.%d", subnet, 100+n), n, o); err != nil {
			return w, err
		}
	}
	peerPort := 20000 + rand.IntN(8000)
	for n := range o.storage + o.fronts {
		s := settings{
			name: fmt.Sprintf("storage-%d", n+1), class: "storage", ip: fmt.Sprintf("%s.%d", subnet, 10+n), zone: zone(n),
			callerPort: peerPort + 100, peerPort: peerPort, memoryMB: o.storageMB, maxFiles: 8200, store: w.address,
		}
		if n >= o.storage {
			s.name, s.class, s.memoryMB, s.maxFiles = fmt.Sprintf("front-%d", n-o.storage+1), "front", o.frontMB, 4100
		}
		h := &host{settings: s, program: w.program, dir: w.dir}
		if err := h.start(); err != nil {
			return w, err
		}
		if s.class == "front" {
			w.fronts = append(w.fronts, h)
		} else {
			w.storage = append(w.storage, h)
		}
	}
	return w, w.awaitReady()
}

// serve serves HTTP on an address and returns it with its port.
func serve(address string, h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(ln, h) }()
	return ln.Addr().String(), nil
}

// addServer starts a backend server, which keeps its entry in the store.
func (w *world) addServer(ip string, n int, o options) error {
	s := &standin.Server{ID: fmt.Sprintf("i-%d", n+1), Service: model, Slots: o.slots, Events: o.events}
	s.SetPause(2 * time.Millisecond)
	var h http.Handler = s
	if o.eventBytes > 0 {
		h = outputServer{id: s.ID, events: o.events, data: strings.Repeat("x", o.eventBytes), running: &w.running}
	}
	address, err := serve(ip+":0", h)
	if err != nil {
		return err
	}
	if err := standin.Register(w.store, s, address, zone(n), "ready"); err != nil {
		return err
	}
	go func() {
		for range time.Tick(heartbeat) { // an entry that stays the same is no change
			_ = standin.Register(w.store, s, address, zone(n), "ready")
		}
	}()
	return nil
}

func zone(n int) string { return "z-" + string(rune('a'+n%3)) }

// misdirected refuses a request that is meant for another server, or for other weights.
func misdirected(w http.ResponseWriter) {
	w.Header().Set("X-Verbenaledge-Not-Executed", "1")
	w.WriteHeader(http.StatusMisdirectedRequest)
}

// weightsVersion is the version of the weights that all servers hold.
const weightsVersion = "1"

// outputServer answers items with events of a given size.
type outputServer struct {
	id      string
	events  int
	data    string
	running *runs
}

// runs counts the requests that servers of a world have run.
type runs struct {
	mu    sync.Mutex
	count int
	last  time.Time
}

func (r *runs) add() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count++
	r.last = time.Now()
}

// since returns how many requests have run, and the time since the last one began.
func (r *runs) since() (count int, last time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count, time.Since(r.last)
}

func (s outputServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(standin.HeaderRequestID, r.Header.Get(standin.HeaderRequestID))
	if e := r.Header.Get("X-Verbenaledge-Expect-Instance"); e != "" && e != s.id {
		misdirected(w)
		return
	}
	if v := r.Header.Get("X-Verbenaledge-Expect-Version"); v != "" && v != weightsVersion {
		misdirected(w)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	s.running.add()
	w.Header().Set("X-Verbenaledge-Weight-Versions", weightsVersion)
	w.Header().Set(standin.HeaderSignature, "3e1b.07.5a2.600.0.c9f2a4d1")
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get(standin.HeaderLastEvent)) // absent means the first event
	for n := last + 1; n <= s.events; n++ {
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, s.data)
	}
}

// readyTime bounds the wait for the system's start.
const readyTime = 20 * time.Second

func (w *world) awaitReady() error {
	for end := time.Now().Add(readyTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, f := range w.fronts {
			r, err := http.Get(fmt.Sprintf("http://%s:%d/readiness", f.settings.ip, f.settings.callerPort+1))
			if err != nil {
				continue
			}
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(w.fronts) {
			time.Sleep(5 * time.Second) // the owners take their units
			return nil
		}
	}
	return fmt.Errorf("the system isn't ready after %s", readyTime)
}

func (w *world) hosts() []*host { return append(append([]*host(nil), w.fronts...), w.storage...) }

// stop ends all processes.
func (w *world) stop() {
	for _, h := range w.hosts() {
		if h.command != nil && h.alive() {
			h.kill()
		}
	}
	_ = os.RemoveAll(w.dir)
	_ = w.record.Close()
}

// note writes a line to the record.
func (w *world) note(format string, a ...any) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	fmt.Fprintf(w.record, "%8.3f s  %s\n", time.Since(w.begin).Seconds(), fmt.Sprintf(format, a...))
}

// call is a request of a client on a connection of its own.
type call struct {
	front          *host
	method, path   string
	host, key, id  string
	wait, deadline time.Duration
	body           []byte
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

func (c call) do() (a answer) {
	ctx, cancel := context.WithTimeout(context.Background(), c.wait+c.deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, c.method, fmt.Sprintf("http://%s:%d%s", c.front.settings.ip, c.front.settings.callerPort, c.path), bytes.NewReader(c.body))
	if err != nil {
		return answer{err: err}
	}
	r.Host = c.host
	if c.id != "" {
		r.Header.Set(standin.HeaderRequestID, c.id)
	}
	if c.key != "" {
		r.Header.Set("Authorization", "Bearer "+c.key)
	}
	if c.wait > 0 {
		r.Header.Set("X-Verbenaledge-Wait-Ms", fmt.Sprint(c.wait.Milliseconds()))
	}
	r.Close = true
	response, err := client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: body, err: err}
}

var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// listing is the answer to a read of a batch job's results.
type listing = standin.JobListing

func parseListing(b []byte) (l listing, err error) {
	err = json.Unmarshal(b, &l)
	return l, err
}

// newID returns a request id like those of the pages.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
