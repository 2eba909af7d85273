package dispatch

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/ids"
)

const (
	modelServers = 60
	modelSlots   = 8
	// modelSlowdown is the share by which each other running request slows a request.
	modelSlowdown = 0.015
	modelTime     = 20 * time.Second
)

// modelServer is a server of the model.
type modelServer struct {
	id ids.BackendID
	// speed is the time of a request on the idle server, as a multiple of that on the fastest.
	speed    float64
	running  int
	received int
}

// modelRun is a request that ends at a time.
type modelRun struct {
	key     Key
	server  *modelServer
	elapsed time.Duration
	end     time.Time
}

type modelRuns []modelRun

func (q modelRuns) Len() int           { return len(q) }
func (q modelRuns) Less(i, j int) bool { return q[i].end.Before(q[j].end) }
func (q modelRuns) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *modelRuns) Push(x any)        { *q = append(*q, x.(modelRun)) }
func (q *modelRuns) Pop() any {
	last := len(*q) - 1
	r := (*q)[last]
	*q = (*q)[:last]
	return r
}

// model plays requests on servers whose speeds differ by up to 30 percent, and whose times vary by noise, against a scheduler.
type model struct {
	scheduler *Scheduler
	servers   map[ids.BackendID]*modelServer
	random    *rand.Rand
	runs      modelRuns
	now       time.Time
	ticket    Ticket
	// load returns the share of the slots that requests need at a time.
	load  func(at time.Duration) float64
	noise float64
	// outcome, if set, completes what a host reports of a run.
	outcome func(m *model, r modelRun, o *Outcome)
	// slowdown, if set, returns the factor by which the machine of a server slows a request that begins.
	slowdown func(m *model, s *modelServer) float64
	times    []float64
}

func newModel(seed uint64, options ...Option) *model {
	m := &model{
		scheduler: New("", options...), servers: make(map[ids.BackendID]*modelServer), random: rand.New(rand.NewPCG(seed, 60)),
		now: time.Unix(1000, 0), noise: 0.2,
	}
	listed := make(map[ids.BackendID]directory.Server)
	for i := range modelServers {
		id := ids.BackendID(fmt.Sprintf("s%02d", i))
		m.servers[id] = &modelServer{id: id, speed: 1 + 0.3*m.random.Float64()}
		listed[id] = directory.Server{ID: id, Service: "llm", Slots: modelSlots}
	}
	m.scheduler.Step(m.now, ServersChanged{Servers: listed})
	return m
}

// play runs the model. Requests hold a slot for half a second on the fastest server, and come at random.
func (m *model) play() {
	const hold = 500 * time.Millisecond
	start := m.now
	for m.now.Sub(start) < modelTime {
		rate := m.load(m.now.Sub(start)) * modelServers * modelSlots / hold.Seconds() / 1.2
		next := m.now.Add(time.Duration(m.random.ExpFloat64() / rate * float64(time.Second)))
		for len(m.runs) > 0 && !m.runs[0].end.After(next) {
			r := heap.Pop(&m.runs).(modelRun)
			m.now = r.end
			r.server.running--
			o := Outcome{Ticket: r.key.Ticket, Result: Served, StreamEvents: 1, Elapsed: r.elapsed}
			if m.outcome != nil {
				m.outcome(m, r, &o)
			}
			m.times = append(m.times, r.elapsed.Seconds())
			m.begin(hold, m.scheduler.Step(m.now, SendEnded{Host: r.key.Host, Outcome: o}))
		}
		m.now = next
		m.ticket++
		host := ids.HostID(fmt.Sprintf("f%d", m.random.IntN(8)))
		m.begin(hold, m.scheduler.Step(m.now, SlotRequested{Host: host, Request: SlotRequest{
			Ticket: m.ticket, Service: "llm", Objective: 2 * time.Second, Remaining: 5 * time.Second, StreamEvents: 1,
		}}))
	}
}

func (m *model) begin(hold time.Duration, cmds []Command) {
	for _, c := range cmds {
		g, ok := c.(Grant)
		if !ok {
			continue
		}
		s := m.servers[g.Server.ID]
		s.received++
		factor := s.speed * (1 + modelSlowdown*float64(s.running)) * math.Exp(m.noise*m.random.NormFloat64())
		if m.slowdown != nil {
			factor *= m.slowdown(m, s)
		}
		s.running++
		elapsed := time.Duration(factor * float64(hold))
		heap.Push(&m.runs, modelRun{key: g.Key, server: s, elapsed: elapsed, end: m.now.Add(elapsed)})
	}
}

// busiest returns the most requests that a server received, as a multiple of the mean.
func (m *model) busiest() float64 {
	most, sum := 0, 0
	for _, s := range m.servers {
		most, sum = max(most, s.received), sum+s.received
	}
	return float64(most) * float64(len(m.servers)) / float64(sum)
}

func (m *model) meanTime() float64 {
	sum := 0.0
	for _, t := range m.times {
		sum += t
	}
	return sum / float64(len(m.times))
}

// loads are the shares of the slots that requests need, in the tests of balance.
var loads = map[string]func(at time.Duration) float64{
	"light": func(time.Duration) float64 { return 0.3 },
	"half":  func(time.Duration) float64 { return 0.5 },
	"heavy": func(time.Duration) float64 { return 0.9 },
	"waves": func(at time.Duration) float64 { return 0.6 - 0.3*math.Cos(2*math.Pi*at.Seconds()/5) },
}

// TestBusiestServer guards against load that concentrates on the servers that seem a little faster than others by the noise of their
// averages. The load is a service of 60 servers that needs 0.3 to 0.9 of the slots, steadily and in waves.
func TestBusiestServer(t *testing.T) {
	for name, load := range loads {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				m := newModel(seed)
				m.load = load
				m.play()
				t.Logf("busiest to mean %.2f, mean time %.4f s", m.busiest(), m.meanTime())
				qt.Check(t, m.busiest() < 1.5, qt.IsTrue, qt.Commentf("seed %d: busiest to mean %.2f", seed, m.busiest()))
			}
		})
	}
}

// TestSlowServersLast guards against a balance that gives slow servers requests while others are free. Six of the servers are three
// times as slow as the fastest.
func TestSlowServersLast(t *testing.T) {
	m := newModel(4)
	m.load = loads["half"]
	slow := 0
	for i := range 6 {
		m.servers[ids.BackendID(fmt.Sprintf("s%02d", 10*i))].speed = 3
	}
	m.play()
	for _, s := range m.servers {
		if s.speed == 3 {
			slow += s.received
		}
	}
	qt.Assert(t, slow < len(m.times)/50, qt.IsTrue, qt.Commentf("%d of %d requests to slow servers", slow, len(m.times)))
}
