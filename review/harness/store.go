package main

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is a stored object in the form of the pages.
type object struct {
	Metadata struct {
		Name     string `json:"name"`
		Revision uint64 `json:"revision"`
		Created  int64  `json:"created,omitempty"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec,omitempty"`
	Status json.RawMessage `json:"status,omitempty"`
}

// change is one entry of the store's history.
type change struct {
	revision uint64
	at       time.Time
	kind     string
	object   object
	removed  bool
}

// call describes a call that arrives at the store, for the hooks of a case.
type call struct {
	Method, Kind, Name string
	Watch, Stale       bool
	Host               string // the name of the machine that calls
	Body               []byte
}

// store is a stand-in for the platform's metadata store. Acknowledged writes are kept and reads are linearizable, except
// those with serializable=1 while staleness is set.
type store struct {
	mu        sync.Mutex
	revision  uint64
	objects   map[string]map[string]object
	history   []change
	compacted uint64
	changed   chan struct{}
	// staleness is how old the state is that serializable reads see.
	staleness time.Duration
	// silentUntil is until when watches hear nothing; then their history is dropped and they are cut.
	silentUntil time.Time
	// lost is the share of writes that are carried out and not answered.
	lost float64
	// down is set while the store refuses all calls.
	down bool
	// delay is how long answers take.
	delay time.Duration
	// before is called before a call is carried out, after once it has been carried out and before its answer is sent.
	before, after func(c call)
}

func newStore() *store {
	return &store{revision: 1, objects: make(map[string]map[string]object), changed: make(chan struct{}), delay: usualAnswer}
}

// usualAnswer is how long an answer takes by the pages.
const usualAnswer = 4 * time.Millisecond

func (s *store) setLost(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = share
}

func (s *store) lostShare() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost
}

// setDown makes the store refuse all calls, and cut the watches that wait.
func (s *store) setDown(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = on
	s.wake()
}

func (s *store) setDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// compact makes watches hear nothing for the given time. Then the history is dropped and the watches are cut.
// serializable reads see a state that is staleness old until endCompaction.
func (s *store) compact(silence, staleness time.Duration) {
	s.mu.Lock()
	s.staleness, s.silentUntil = staleness, time.Now().Add(silence)
	s.wake()
	s.mu.Unlock()
	time.AfterFunc(silence, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.compacted = s.revision
		s.wake()
	})
}

func (s *store) endCompaction() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleness = 0
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes an object as the operator or a replica does.
func (s *store) put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	if s.down || bytes.Equal(o.Spec, raw) {
		return
	}
	o.Metadata.Name, o.Spec = name, raw
	s.record(kind, o, false)
}

// record applies a change. The caller holds mu.
func (s *store) record(kind string, o object, removed bool) object {
	s.revision++
	o.Metadata.Revision = s.revision
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	if removed {
		delete(s.objects[kind], o.Metadata.Name)
	} else {
		s.objects[kind][o.Metadata.Name] = o
	}
	s.history = append(s.history, change{s.revision, time.Now(), kind, o, removed})
	s.wake()
	return o
}

// from returns the handler of one machine's calls: each machine reaches the store at an address of its own.
func (s *store) from(host string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(host, w, r) })
}

// setHooks sets the functions that see the calls.
func (s *store) setHooks(before, after func(c call)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.before, s.after = before, after
}

func (s *store) hooks() (before, after func(c call)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.before, s.after
}

func (s *store) serve(host string, w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.TrimPrefix(r.URL.EscapedPath(), "/objects/"), "/")
	c := call{Method: r.Method, Watch: r.URL.Query().Has("watch"), Stale: r.URL.Query().Get("serializable") == "1", Host: host}
	c.Kind, _ = url.PathUnescape(parts[0])
	if len(parts) > 1 {
		c.Name, _ = url.PathUnescape(parts[1])
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	c.Body = body
	before, after := s.hooks()
	if before != nil {
		before(c)
	}
	s.mu.Lock()
	delay, down := s.delay, s.down
	s.mu.Unlock()
	time.Sleep(delay)
	if down {
		reply(w, http.StatusServiceUnavailable, struct{}{})
		return
	}
	switch {
	case c.Watch:
		s.watch(w, r, c)
		return
	case r.Method == http.MethodGet && c.Name == "":
		s.list(w, r, c)
		return
	}
	status, answer := s.single(r, c, len(parts) > 2)
	if r.Method != http.MethodGet && rand.Float64() < s.lostShare() {
		<-r.Context().Done() // done and not answered: nothing more comes on this connection
		panic(http.ErrAbortHandler)
	}
	if after != nil && status < 300 {
		after(c)
	}
	reply(w, status, answer)
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may have gone
}

// single carries out a call on one object.
func (s *store) single(r *http.Request, c call, isStatus bool) (status int, answer any) {
	var sent object
	if len(c.Body) > 0 && json.Unmarshal(c.Body, &sent) != nil {
		return http.StatusBadRequest, struct{}{}
	}
	if len(sent.Spec) > 1<<20 || len(sent.Status) > 1<<20 {
		return http.StatusRequestEntityTooLarge, struct{}{}
	}
	name, condition := c.Name, sent.Metadata.Revision
	if r.Method == http.MethodPost {
		name = sent.Metadata.Name
	}
	if q := r.URL.Query().Get("revision"); q != "" {
		condition, _ = strconv.ParseUint(q, 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, exists := s.objects[c.Kind][name]
	switch {
	case r.Method == http.MethodPost && exists:
		return http.StatusConflict, o
	case r.Method == http.MethodPost:
		sent.Metadata.Created, sent.Status = time.Now().UnixMilli(), nil
		return http.StatusOK, s.record(c.Kind, sent, false)
	case !exists:
		return http.StatusNotFound, struct{}{}
	case r.Method == http.MethodGet:
		return http.StatusOK, o
	case condition != 0 && condition != o.Metadata.Revision:
		return http.StatusConflict, o
	case r.Method == http.MethodDelete:
		return http.StatusOK, s.record(c.Kind, o, true)
	case isStatus && !bytes.Equal(o.Status, sent.Status):
		o.Status = sent.Status
		return http.StatusOK, s.record(c.Kind, o, false)
	case !isStatus && !bytes.Equal(o.Spec, sent.Spec):
		o.Spec = sent.Spec
		return http.StatusOK, s.record(c.Kind, o, false)
	}
	return http.StatusOK, o // nothing changed
}

// list returns the objects of a kind, 500 a page.
func (s *store) list(w http.ResponseWriter, r *http.Request, c call) {
	s.mu.Lock()
	at, items := s.revision, make(map[string]object)
	if c.Stale && s.staleness > 0 {
		at = 1
		for _, h := range s.history {
			if time.Since(h.at) < s.staleness {
				break
			}
			at = h.revision
			if h.kind != c.Kind {
				continue
			}
			if h.removed {
				delete(items, h.object.Metadata.Name)
			} else {
				items[h.object.Metadata.Name] = h.object
			}
		}
	} else {
		for n, o := range s.objects[c.Kind] {
			items[n] = o
		}
	}
	s.mu.Unlock()
	var names []string
	for n := range items {
		if n > r.URL.Query().Get("after") {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	page := struct {
		Items   []object `json:"items"`
		HasMore bool     `json:"hasMore"`
		At      uint64   `json:"at"`
	}{Items: []object{}, At: at}
	bytesLeft := 1 << 20
	for _, n := range names {
		if len(page.Items) == 500 || bytesLeft < 0 {
			page.HasMore = true
			break
		}
		page.Items = append(page.Items, items[n])
		bytesLeft -= len(items[n].Spec)
	}
	reply(w, http.StatusOK, page)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, c call) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("maxWaitMs"))
	end := time.Now().Add(time.Duration(ms) * time.Millisecond)
	type event struct {
		Object  object `json:"object"`
		Removed bool   `json:"removed"`
	}
	page := struct {
		Events []event `json:"events"`
		At     uint64  `json:"at"`
	}{Events: []event{}}
	silent := false
	for {
		s.mu.Lock()
		signal, hushed := s.changed, time.Now().Before(s.silentUntil)
		switch {
		case s.down:
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		case hushed:
			silent = true
		case silent:
			s.mu.Unlock()
			panic(http.ErrAbortHandler) // cut once the history has been dropped
		case since < s.compacted:
			s.mu.Unlock()
			reply(w, http.StatusGone, struct{}{})
			return
		default:
			page.At = s.revision
			for _, h := range s.history {
				if h.revision > since && h.kind == c.Kind {
					page.Events = append(page.Events, event{h.object, h.removed})
				}
			}
		}
		s.mu.Unlock()
		if !hushed && (len(page.Events) > 0 || !time.Now().Before(end)) {
			reply(w, http.StatusOK, page)
			return
		}
		wait := time.Until(end)
		if hushed {
			wait = time.Second
		}
		select {
		case <-signal:
		case <-time.After(max(wait, time.Millisecond)):
		case <-r.Context().Done():
			return
		}
	}
}
