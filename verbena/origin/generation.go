package origin

import (
	"time"

	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/ids"
)

// generation holds the records of some seconds. Origins and servers are few and shared by their records.
type generation struct {
	records map[StreamID]entry
	origins map[Origin]*Origin
	servers map[start]*start
}

// entry is the stored form of a record.
type entry struct {
	at     time.Duration
	origin *Origin
	server *start
	// unconfirmed is the record's Unconfirmed, settled its Settled.
	unconfirmed, settled bool
}

// start is a start of a server.
type start struct {
	id          ids.BackendID
	incarnation directory.Incarnation
}

func newGeneration() *generation {
	return &generation{records: make(map[StreamID]entry), origins: make(map[Origin]*Origin), servers: make(map[start]*start)}
}

// add adds a record that was last known to run at a time.
func (g *generation) add(at time.Duration, r Record) {
	o, ok := g.origins[r.Origin]
	if !ok {
		o = &Origin{Service: r.Origin.Service, Version: r.Origin.Version}
		g.origins[*o] = o
	}
	key := start{r.Server, r.Incarnation}
	s, ok := g.servers[key]
	if !ok {
		s = &start{r.Server, r.Incarnation}
		g.servers[*s] = s
	}
	g.records[r.Stream] = entry{at: at, origin: o, server: s, unconfirmed: r.Unconfirmed, settled: r.Settled}
}
