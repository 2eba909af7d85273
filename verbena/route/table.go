// Package route decides which backend server runs a request.
package route

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"verbenaledge.example/verbena/backend"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/shard"
)

// ErrNoBackend says that no backend server of the service can take the request now.
var ErrNoBackend = errors.New("no backend server can take the request")

const (
	// loadFresh is how long a reported load counts in full.
	loadFresh = 2 * time.Second
	// onlineFresh is how long a count of online requests is trusted.
	onlineFresh = time.Second
	// overload bounds how far above the mean a preferred server may be loaded.
	overload     = 1.25
	firstBackoff = 500 * time.Millisecond
	maxBackoff   = 8 * time.Second
	// leavingMemory is how long a server's own word that it leaves outlasts the list.
	leavingMemory = 2 * time.Minute
)

// Table is a host's view of the backend servers.
type Table struct {
	random  *rand.Rand
	pack    int
	servers map[ids.BackendID]*server
	byName  map[ids.ServiceName][]*server
}

// Option changes how a table is built.
type Option func(*Table)

// WithPack fills servers with a number of online requests each before it uses the next.
func WithPack(n int) Option {
	return func(t *Table) { t.pack = n }
}

// NewTable returns a table without servers. The random source must be the caller's alone.
func NewTable(random *rand.Rand, opts ...Option) *Table {
	t := &Table{random: random, servers: map[ids.BackendID]*server{}, byName: map[ids.ServiceName][]*server{}}
	for _, o := range opts {
		o(t)
	}
	return t
}

// Step applies one event and returns the changes of state that follow.
func (t *Table) Step(now time.Time, e Event) (changes []Change) {
	switch e := e.(type) {
	case Listed:
		t.listed(e)
	case Finished:
		return t.finished(now, e)
	case LoadReported:
		t.reported(now, e)
	case OnlineReported:
		t.onlineCounted(now, e)
	case LeavingReported:
		return t.saidLeaving(now, e)
	}
	return nil
}

// Request is what a choice depends on.
type Request struct {
	Service ids.ServiceName
	// Affinity groups requests that share a prompt prefix; empty for none.
	Affinity string
	// Tried lists the servers that this request has been sent to.
	Tried []ids.BackendID
	// Only, when set, is the one server that will do.
	Only ids.BackendID
	// Suspect asks for a server that runs no other suspect.
	Suspect bool
}

// Pick chooses a server and counts the request as running there.
func (t *Table) Pick(now time.Time, r Request) (s backend.Server, err error) {
	able := t.able(now, r)
	if len(able) == 0 {
		return backend.Server{}, ErrNoBackend
	}
	chosen := t.prefer(now, r, able)
	chosen.inFlight++
	chosen.startedSince++
	chosen.onlineSince++
	if r.Suspect {
		chosen.suspects++
	}
	return chosen.Server, nil
}

// Servers returns the servers that may be given work, ordered by id.
func (t *Table) Servers(now time.Time) (list []backend.Server) {
	for _, s := range t.servers {
		if s.takesWork(now) {
			list = append(list, s.Server)
		}
	}
	slices.SortFunc(list, byID)
	return list
}

// InFlight returns how many requests this host has running at a server.
func (t *Table) InFlight(b ids.BackendID) int {
	if s := t.servers[b]; s != nil {
		return s.inFlight
	}
	return 0
}

// Leaving returns the servers that are known to leave, for telling peers.
func (t *Table) Leaving(now time.Time) (list []ids.BackendID) {
	for id, s := range t.servers {
		if s.leaving(now) {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}

func (t *Table) listed(e Listed) {
	next := make(map[ids.BackendID]*server, len(e.Servers))
	t.byName = map[ids.ServiceName][]*server{}
	for _, b := range e.Servers {
		if b.Role != backend.RoleBackend {
			continue
		}
		s := t.servers[b.ID]
		if s == nil || s.Address != b.Address {
			s = &server{}
		}
		s.Server = b
		next[b.ID] = s
		t.byName[b.Service] = append(t.byName[b.Service], s)
	}
	t.servers = next
	for _, list := range t.byName {
		slices.SortFunc(list, func(x, y *server) int { return byID(x.Server, y.Server) })
	}
}

func (t *Table) finished(now time.Time, e Finished) []Change {
	s := t.servers[e.Backend]
	if s == nil {
		return nil
	}
	s.inFlight = max(0, s.inFlight-1)
	if e.Suspect {
		s.suspects = max(0, s.suspects-1)
	}
	switch e.Outcome {
	case OK:
		failed := s.failures > 0
		s.failures, s.retryAt = 0, time.Time{}
		if failed {
			return []Change{{Backend: s.ID, Kind: Recovered}}
		}
	case Failed:
		s.failures++
		s.retryAt = now.Add(backoff(s.failures))
		if s.failures == 1 {
			return []Change{{Backend: s.ID, Kind: Failing}}
		}
	case Abandoned:
	}
	return nil
}

func (t *Table) reported(now time.Time, e LoadReported) {
	s := t.servers[e.Backend]
	if s == nil {
		return
	}
	s.reported, s.reportedAt, s.startedSince = e.Running, now, 0
}

func (t *Table) onlineCounted(now time.Time, e OnlineReported) {
	if s := t.servers[e.Backend]; s != nil {
		s.online, s.onlineAt, s.onlineSince = e.Online, now, 0
	}
}

func (t *Table) saidLeaving(now time.Time, e LeavingReported) []Change {
	s := t.servers[e.Backend]
	if s == nil {
		return nil
	}
	known := s.leaving(now)
	s.leavingAt = now
	if known {
		return nil
	}
	return []Change{{Backend: s.ID, Kind: Leaving}}
}

func (t *Table) able(now time.Time, r Request) (list []*server) {
	var resting []*server
	for _, s := range t.byName[r.Service] {
		if s.leavingOrTried(now, r) || (r.Suspect && s.suspects > 0) || (r.Only != "" && r.Only != s.ID) {
			continue
		}
		if now.Before(s.retryAt) {
			resting = append(resting, s)
			continue
		}
		list = append(list, s)
	}
	if len(list) == 0 && r.Only == "" {
		// With every server failing, a try at one beats a refusal.
		list = resting
	}
	return otherZones(t, list, r.Tried)
}

// otherZones drops the zones that a retry has already tried, if any other is left.
func otherZones(t *Table, list []*server, tried []ids.BackendID) []*server {
	zones := map[ids.ZoneID]bool{}
	for _, b := range tried {
		if s := t.servers[b]; s != nil {
			zones[s.Zone] = true
		}
	}
	var elsewhere []*server
	for _, s := range list {
		if !zones[s.Zone] {
			elsewhere = append(elsewhere, s)
		}
	}
	if len(elsewhere) == 0 {
		return list
	}
	return elsewhere
}

// prefer takes the affinity's server unless it is overloaded, else the less
// loaded of two drawn at random.
func (t *Table) prefer(now time.Time, r Request, able []*server) *server {
	if r.Affinity != "" {
		if s := preferred(r.Affinity, able); s.load(now) <= overload*mean(now, able)+1 {
			return s
		}
	}
	if s := t.packed(now, r, able); s != nil {
		return s
	}
	x, y := able[t.random.IntN(len(able))], able[t.random.IntN(len(able))]
	if y.load(now) < x.load(now) {
		return y
	}
	return x
}

// packed takes the first server, in an order that all hosts share, that has room
// for another online request. It keeps the others free of online requests, and so
// open to batch work that needn't yield.
func (t *Table) packed(now time.Time, r Request, able []*server) (first *server) {
	if t.pack == 0 {
		return nil
	}
	var top uint64
	for _, s := range able {
		if s.onlineLoad(now) >= t.pack {
			continue
		}
		if score := shard.Score("pack/"+string(r.Service), ids.HostID(s.ID)); first == nil || score > top {
			first, top = s, score
		}
	}
	return first
}

func preferred(affinity string, able []*server) (best *server) {
	var top uint64
	for _, s := range able {
		if score := shard.Score(affinity, ids.HostID(s.ID)); best == nil || score > top {
			best, top = s, score
		}
	}
	return best
}

func mean(now time.Time, able []*server) float64 {
	sum := 0.0
	for _, s := range able {
		sum += s.load(now)
	}
	return sum / float64(len(able))
}
