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
	// linkTime is the way between two hosts, one way.
	linkTime = time.Millisecond
	// tickEvery is how often waiting is looked at, as in the programs.
	tickEvery = 20 * time.Millisecond
	// settleTime is played after the last request.
	settleTime = 6 * time.Second
	service    = ids.ServiceName("llm")
	batchHost  = ids.HostID("batch")
)

// play is a run of one setup.
type play struct {
	setup    Setup
	time     timeline
	start    time.Time
	machines map[ids.HostID]*dispatch.Scheduler
	servers  map[ids.BackendID]*server
	asks     map[dispatch.Key]*ask
	// used counts the slots of each server that a host's requests hold.
	used   map[ids.HostID]map[ids.BackendID]int
	serial dispatch.Ticket
	random *rand.Rand
	result Result
}

// ask is one attempt of a request, or of a batch item.
type ask struct {
	key     dispatch.Key
	request *request
	sent    dispatch.SlotRequest
	events  int
	server  ids.BackendID
	send    *send
}

// request is a caller's, over all its attempts.
type request struct {
	arrival  Arrival
	settled  bool
	leaves   time.Duration
	attempts int
}

// Play plays a load against a setup. The same arguments give the same result.
func Play(load []Arrival, s Setup) Result {
	p := &play{
		setup: s, start: time.Unix(1000, 0), machines: make(map[ids.HostID]*dispatch.Scheduler), servers: make(map[ids.BackendID]*server),
		asks: make(map[dispatch.Key]*ask), used: make(map[ids.HostID]map[ids.BackendID]int),
		random: rand.New(rand.NewPCG(1, 1)),
	}
	hosts := map[ids.HostID]bool{batchHost: true}
	for _, a := range load {
		hosts[hostOf(a.Host)] = true
	}
	for n := range s.Servers {
		p.servers[serverOf(n)] = &server{slots: s.Slots, ill: n < s.Ill}
	}
	for h := range hosts {
		p.used[h] = make(map[ids.BackendID]int)
		if s.Policy == Owner {
			continue
		}
		p.machines[h] = dispatch.New(string(h))
		if s.Policy == Alone {
			p.step(h, dispatch.IndependentHosts{Count: len(hosts)})
		}
	}
	if s.Policy == Owner {
		p.machines[""] = dispatch.New("")
	}
	p.listServers()
	for range s.Items {
		p.item()
	}
	end := time.Duration(0)
	for _, a := range load {
		p.time.after(a.At, func() { p.arrive(a) })
		end = max(end, a.At)
	}
	p.tick()
	p.time.run(end + settleTime)
	return p.result
}

func hostOf(n int) ids.HostID      { return ids.HostID(fmt.Sprintf("host-%02d", n)) }
func serverOf(n int) ids.BackendID { return ids.BackendID(fmt.Sprintf("server-%02d", n)) }

// machineOf is where a host's asks go.
func (p *play) machineOf(h ids.HostID) ids.HostID {
	if p.setup.Policy == Owner {
		return ""
	}
	return h
}

// listServers tells each machine of the servers; with peers' counts, of what the others leave of them.
func (p *play) listServers() {
	for _, h := range p.hosts() {
		list := make(map[ids.BackendID]directory.Server, len(p.servers))
		for id, s := range p.servers {
			slots := s.slots
			if p.setup.Policy == Peers {
				for other, used := range p.used {
					if other != h {
						slots -= used[id]
					}
				}
			}
			list[id] = directory.Server{ID: id, Service: service, Slots: max(0, slots)}
		}
		p.step(h, dispatch.ServersChanged{Servers: list})
	}
	if p.setup.Policy == Peers {
		p.giveWay()
		p.time.after(p.setup.PeersEvery, p.listServers)
	}
}

// giveWay takes batch items from servers that the peers' counts show to be over their slots.
func (p *play) giveWay() {
	for _, a := range p.open() {
		if a.request != nil || a.send == nil {
			continue
		}
		total := 0
		for _, used := range p.used {
			total += used[a.server]
		}
		if total > p.servers[a.server].slots {
			p.cut(a)
		}
	}
}

// cut makes a batch item give way; it is offered again.
func (p *play) cut(a *ask) {
	p.result.ItemsCut++
	p.end(a, dispatch.Outcome{Result: dispatch.Cancelled})
	p.item()
}

// hosts are those with a machine, in a stable order.
func (p *play) hosts() (list []ids.HostID) {
	for h := range p.machines {
		list = append(list, h)
	}
	sortHosts(list)
	return list
}

func (p *play) tick() {
	for _, h := range p.hosts() {
		if p.machines[h].NeedsTick() {
			p.step(h, dispatch.Tick{})
		}
	}
	p.time.after(tickEvery, p.tick)
}

func (p *play) step(machine ids.HostID, e dispatch.Event) {
	for _, c := range p.machines[machine].Step(p.start.Add(p.time.now), e) {
		p.time.after(p.way(), func() { p.obey(c) })
	}
}

// way is how long a message between a host and its machine takes.
func (p *play) way() time.Duration {
	if p.setup.Policy == Owner {
		return linkTime
	}
	return 0
}

// tell takes an event to a host's machine.
func (p *play) tell(h ids.HostID, e dispatch.Event) {
	p.time.after(p.way(), func() { p.step(p.machineOf(h), e) })
}
