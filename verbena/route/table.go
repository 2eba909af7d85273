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

// ErrNoBackend means that no backend server of the service can take the request now.
var ErrNoBackend = errors.New("no backend server can take the request")

const (
	// loadReportValidFor is the age at which a reported load no longer counts.
	loadReportValidFor = 2 * time.Second
	// onlineCountValidFor is the age up to which a count of online requests is used.
	onlineCountValidFor = time.Second
	// maxLoadFactor bounds the load of an affinity's preferred server relative to the mean load.
	maxLoadFactor = 1.25
	// firstBackoff is how long a server is ejected after its first failure; each further one doubles it.
	firstBackoff = 500 * time.Millisecond
	maxBackoff   = 8 * time.Second
	// leavingValidFor is how long a server's own report that it is leaving overrides the host list.
	leavingValidFor = 2 * time.Minute
)

// Table is a host's view of the backend servers.
type Table struct {
	random    *rand.Rand
	packLimit int
	servers   map[ids.BackendID]*server
	byService map[ids.ServiceName][]*server
}

// Option configures a Table.
type Option func(*Table)

// WithPack makes the table give a server n online requests before it uses the next one.
func WithPack(n int) Option {
	return func(t *Table) { t.packLimit = n }
}

// NewTable returns a table without servers. Nothing else may use the random source.
func NewTable(random *rand.Rand, opts ...Option) *Table {
	t := &Table{random: random, servers: map[ids.BackendID]*server{}, byService: map[ids.ServiceName][]*server{}}
	for _, o := range opts {
		o(t)
	}
	return t
}

// Step applies one event and returns the changes of state that follow from it.
func (t *Table) Step(now time.Time, e Event) (changes []Change) {
	switch e := e.(type) {
	case Listed:
		t.listed(e)
	case Finished:
		return t.finished(now, e)
	case LoadReported:
		t.loadReported(now, e)
	case OnlineReported:
		t.onlineReported(now, e)
	case LeavingReported:
		return t.leavingReported(now, e)
	}
	return nil
}

// Request describes the request for which Pick chooses a server.
type Request struct {
	Service ids.ServiceName
	// Affinity groups requests that share a prompt prefix; empty for none.
	Affinity string
	// Tried lists the servers to which this request has already been sent.
	Tried []ids.BackendID
	// Only, when set, is the only server that may be chosen.
	Only ids.BackendID
	// Suspect marks a request that may crash servers; it needs a server that runs no other suspect.
	Suspect bool
}

// Pick chooses a server and counts the request as running there.
func (t *Table) Pick(now time.Time, r Request) (s backend.Server, err error) {
	candidates := t.candidates(now, r)
	if len(candidates) == 0 {
		return backend.Server{}, ErrNoBackend
	}
	chosen := t.choose(now, r, candidates)
	chosen.inFlight++
	chosen.startedSinceReport++
	chosen.startedSinceOnline++
	if r.Suspect {
		chosen.suspects++
	}
	return chosen.Server, nil
}

// Servers returns the servers that may get work, ordered by id.
func (t *Table) Servers(now time.Time) (list []backend.Server) {
	for _, s := range t.servers {
		if s.isAvailable(now) {
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

// Leaving returns the servers that are known to be leaving, so that peers can be notified.
func (t *Table) Leaving(now time.Time) (list []ids.BackendID) {
	for id, s := range t.servers {
		if s.isLeaving(now) {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}

func (t *Table) listed(e Listed) {
	next := make(map[ids.BackendID]*server, len(e.Servers))
	t.byService = map[ids.ServiceName][]*server{}
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
		t.byService[b.Service] = append(t.byService[b.Service], s)
	}
	t.servers = next
	for _, l := range t.byService {
		slices.SortFunc(l, func(x, y *server) int { return byID(x.Server, y.Server) })
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
		s.failures, s.ejectedUntil = 0, time.Time{}
		if failed {
			return []Change{{Backend: s.ID, Kind: Recovered}}
		}
	case Failed:
		s.failures++
		s.ejectedUntil = now.Add(backoff(s.failures))
		if s.failures == 1 {
			return []Change{{Backend: s.ID, Kind: Failing}}
		}
	case Abandoned:
	}
	return nil
}

func (t *Table) loadReported(now time.Time, e LoadReported) {
	s := t.servers[e.Backend]
	if s == nil {
		return
	}
	s.reportedLoad, s.reportedAt, s.startedSinceReport = e.Running, now, 0
}

func (t *Table) onlineReported(now time.Time, e OnlineReported) {
	if s := t.servers[e.Backend]; s != nil {
		s.online, s.onlineAt, s.startedSinceOnline = e.Online, now, 0
	}
}

func (t *Table) leavingReported(now time.Time, e LeavingReported) []Change {
	s := t.servers[e.Backend]
	if s == nil {
		return nil
	}
	known := s.isLeaving(now)
	s.leavingAt = now
	if known {
		return nil
	}
	return []Change{{Backend: s.ID, Kind: Leaving}}
}

func (t *Table) candidates(now time.Time, r Request) (list []*server) {
	var ejected []*server
	for _, s := range t.byService[r.Service] {
		if s.unsuitable(now, r) || (r.Suspect && s.suspects > 0) || (r.Only != "" && r.Only != s.ID) {
			continue
		}
		if now.Before(s.ejectedUntil) {
			ejected = append(ejected, s)
			continue
		}
		list = append(list, s)
	}
	if len(list) == 0 && r.Only == "" {
		// If all servers are ejected, an attempt at one is better than a refusal.
		list = ejected
	}
	return inUntriedZones(t, list, r.Tried)
}

// inUntriedZones drops servers in zones where the request has been tried, unless no others are left.
func inUntriedZones(t *Table, list []*server, tried []ids.BackendID) []*server {
	triedZones := map[ids.ZoneID]bool{}
	for _, b := range tried {
		if s := t.servers[b]; s != nil {
			triedZones[s.Zone] = true
		}
	}
	var others []*server
	for _, s := range list {
		if !triedZones[s.Zone] {
			others = append(others, s)
		}
	}
	if len(others) == 0 {
		return list
	}
	return others
}

// choose returns the affinity's preferred server unless that is overloaded, else the first server below the
// pack limit, else the less loaded of two random servers.
func (t *Table) choose(now time.Time, r Request, candidates []*server) *server {
	if r.Affinity != "" {
		if s := affinityServer(r.Affinity, candidates); s.load(now) <= maxLoadFactor*meanLoad(now, candidates)+1 {
			return s
		}
	}
	if s := t.firstBelowPackLimit(now, r, candidates); s != nil {
		return s
	}
	x, y := candidates[t.random.IntN(len(candidates))], candidates[t.random.IntN(len(candidates))]
	if y.load(now) < x.load(now) {
		return y
	}
	return x
}

// firstBelowPackLimit returns the first server, in an order that all hosts share, with fewer online requests
// than the pack limit. That keeps the other servers free of online requests, so that batch items there need
// not yield.
func (t *Table) firstBelowPackLimit(now time.Time, r Request, candidates []*server) (first *server) {
	if t.packLimit == 0 {
		return nil
	}
	var highest uint64
	for _, s := range candidates {
		if s.onlineLoad(now) >= t.packLimit {
			continue
		}
		if score := shard.Score("pack/"+string(r.Service), ids.HostID(s.ID)); first == nil || score > highest {
			first, highest = s, score
		}
	}
	return first
}

// affinityServer returns the server that all hosts prefer for an affinity.
func affinityServer(affinity string, candidates []*server) (best *server) {
	var highest uint64
	for _, s := range candidates {
		if score := shard.Score(affinity, ids.HostID(s.ID)); best == nil || score > highest {
			best, highest = s, score
		}
	}
	return best
}

func meanLoad(now time.Time, candidates []*server) float64 {
	sum := 0.0
	for _, s := range candidates {
		sum += s.load(now)
	}
	return sum / float64(len(candidates))
}
