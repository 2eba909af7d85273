package placing

import (
	"fmt"
	"math/rand/v2"
	"time"

	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/ids"
)

const (
	// linkDelay is the one-way delay between two hosts.
	linkDelay = time.Millisecond
	// tickInterval is how often schedulers check waiting requests, as in the daemon.
	tickInterval = 20 * time.Millisecond
	// tailTime is how long the simulation continues after the last request has arrived.
	tailTime  = 6 * time.Second
	service   = ids.ServiceName("llm")
	batchHost = ids.HostID("batch")
)

// simulation is the state of one simulation. There is a scheduler per host, or a single one under the key "".
type simulation struct {
	config     Config
	timeline   timeline
	start      time.Time
	schedulers map[ids.HostID]*dispatch.Scheduler
	servers    map[ids.BackendID]*server
	attempts   map[dispatch.Key]*attempt
	// usedSlots counts the slots that the requests of each host hold at each server.
	usedSlots  map[ids.HostID]map[ids.BackendID]int
	lastTicket dispatch.Ticket
	random     *rand.Rand
	result     Result
}

// attempt is one attempt of a request, or one run of a batch item, in which case its request is nil.
type attempt struct {
	key         dispatch.Key
	request     *request
	slotRequest dispatch.SlotRequest
	events      int
	server      ids.BackendID
	run         *run
}

// request is a caller's request with all its attempts.
type request struct {
	arrival  Arrival
	resolved bool
	deadline time.Duration
	attempts int
}

// Simulate runs a load under a configuration. The same arguments give the same result.
func Simulate(load []Arrival, cfg Config) Result {
	s := &simulation{
		config: cfg, start: time.Unix(1000, 0), schedulers: make(map[ids.HostID]*dispatch.Scheduler), servers: make(map[ids.BackendID]*server),
		attempts: make(map[dispatch.Key]*attempt), usedSlots: make(map[ids.HostID]map[ids.BackendID]int),
		random: rand.New(rand.NewPCG(1, 1)),
	}
	hosts := map[ids.HostID]bool{batchHost: true}
	for _, a := range load {
		hosts[hostID(a.Host)] = true
	}
	for n := range cfg.Servers {
		s.servers[serverID(n)] = &server{slots: cfg.Slots, failing: n < cfg.FailingServers}
	}
	for h := range hosts {
		s.usedSlots[h] = make(map[ids.BackendID]int)
		if cfg.Policy == CentralDispatcher {
			continue
		}
		s.schedulers[h] = dispatch.New(string(h))
		if cfg.Policy == LocalCounts {
			s.step(h, dispatch.IndependentHosts{Count: len(hosts)})
		}
	}
	if cfg.Policy == CentralDispatcher {
		s.schedulers[""] = dispatch.New("")
	}
	s.updateServers()
	for range cfg.BatchItems {
		s.addItem()
	}
	end := time.Duration(0)
	for _, a := range load {
		s.timeline.schedule(a.At, func() { s.arrive(a) })
		end = max(end, a.At)
	}
	s.tick()
	s.timeline.runUntil(end + tailTime)
	return s.result
}

func hostID(n int) ids.HostID      { return ids.HostID(fmt.Sprintf("host-%02d", n)) }
func serverID(n int) ids.BackendID { return ids.BackendID(fmt.Sprintf("server-%02d", n)) }

// schedulerID returns the key of the scheduler that a host sends its slot requests to.
func (s *simulation) schedulerID(h ids.HostID) ids.HostID {
	if s.config.Policy == CentralDispatcher {
		return ""
	}
	return h
}

// updateServers sends each scheduler the list of servers. Under PeerCounts the list leaves out the slots that other hosts
// use.
func (s *simulation) updateServers() {
	for _, h := range s.schedulerIDs() {
		list := make(map[ids.BackendID]directory.Server, len(s.servers))
		for id, sv := range s.servers {
			slots := sv.slots
			if s.config.Policy == PeerCounts {
				for o, u := range s.usedSlots {
					if o != h {
						slots -= u[id]
					}
				}
			}
			list[id] = directory.Server{ID: id, Service: service, Slots: max(0, slots)}
		}
		s.step(h, dispatch.ServersChanged{Servers: list})
	}
	if s.config.Policy == PeerCounts {
		s.yieldOverSlots()
		s.timeline.schedule(s.config.PeerUpdateInterval, s.updateServers)
	}
}

// yieldOverSlots makes batch items yield at servers that have more runs than slots by the counts of all hosts.
func (s *simulation) yieldOverSlots() {
	for _, a := range s.attemptsByTicket() {
		if a.request != nil || a.run == nil {
			continue
		}
		total := 0
		for _, u := range s.usedSlots {
			total += u[a.server]
		}
		if total > s.servers[a.server].slots {
			s.yieldItem(a)
		}
	}
}

// yieldItem makes a batch item yield its slot, and requests one for it again.
func (s *simulation) yieldItem(a *attempt) {
	s.result.ItemsYielded++
	s.endAttempt(a, dispatch.Outcome{Result: dispatch.Cancelled})
	s.addItem()
}

// schedulerIDs returns the keys of all schedulers in a stable order.
func (s *simulation) schedulerIDs() (list []ids.HostID) {
	for h := range s.schedulers {
		list = append(list, h)
	}
	sortHosts(list)
	return list
}

func (s *simulation) tick() {
	for _, h := range s.schedulerIDs() {
		if s.schedulers[h].NeedsTick() {
			s.step(h, dispatch.Tick{})
		}
	}
	s.timeline.schedule(tickInterval, s.tick)
}

func (s *simulation) step(id ids.HostID, e dispatch.Event) {
	for _, c := range s.schedulers[id].Step(s.start.Add(s.timeline.now), e) {
		s.timeline.schedule(s.messageDelay(), func() { s.apply(c) })
	}
}

// messageDelay returns the delay of a message between a host and its scheduler.
func (s *simulation) messageDelay() time.Duration {
	if s.config.Policy == CentralDispatcher {
		return linkDelay
	}
	return 0
}

// deliver sends an event to a host's scheduler.
func (s *simulation) deliver(h ids.HostID, e dispatch.Event) {
	s.timeline.schedule(s.messageDelay(), func() { s.step(s.schedulerID(h), e) })
}
