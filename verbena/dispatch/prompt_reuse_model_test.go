package dispatch

import (
	"container/heap"
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/ids"
)

// reuseModel plays a seeded load with a model of servers that read prompts one after the other, keep the parts that were used last
// within their memory, and slow down by 2% for each running request. It has no part in the estimate under test.
type reuseModel struct {
	f       *reuseFixture
	random  *rand.Rand
	servers map[ids.BackendID]*promptServer
	ends    modelEnds
	waiting map[Ticket]modelRequest
	// partTokens is the size of each part; families are the beginnings that prompts share, the first being the most frequent.
	partTokens int
	families   [][]ids.PromptPartID
	// unique is the share of requests whose parts no other request has.
	unique float64

	first     []time.Duration
	readAgain int
	placed    map[ids.BackendID]int
	runSum    int
}

type promptServer struct {
	readUntil time.Time
	running   int
	// memory are the tokens of running requests outside of parts; kept holds the beginnings, the least recently used first.
	memory int
	kept   []string
}

type modelRequest struct {
	request SlotRequest
	asked   time.Time
}

type modelEnd struct {
	at      time.Time
	server  ids.BackendID
	request SlotRequest
	first   time.Duration
	output  time.Duration
}

type modelEnds []modelEnd

func (e modelEnds) Len() int           { return len(e) }
func (e modelEnds) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e modelEnds) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *modelEnds) Push(v any)        { *e = append(*e, v.(modelEnd)) }
func (e *modelEnds) Pop() any {
	last := len(*e) - 1
	v := (*e)[last]
	*e = (*e)[:last]
	return v
}

// read returns the tokens of a prompt that the server must read, and keeps its parts.
func (s *promptServer) read(req SlotRequest) (unread, readAgain int) {
	unread = req.PromptTokens
	held, beginnings := true, make([]string, 0, len(req.Parts))
	for i := range req.Parts {
		beginning := fmt.Sprint(req.Parts[:i+1])
		if held = held && slices.Contains(s.kept, beginning); held {
			unread -= req.PartTokens[i]
		} else {
			readAgain += req.PartTokens[i]
		}
		beginnings = append(beginnings, beginning)
	}
	for _, b := range slices.Backward(beginnings) {
		s.kept = append(slices.DeleteFunc(s.kept, func(o string) bool { return o == b }), b)
	}
	s.memory += req.OutputTokens + 200
	size := 1
	if len(req.Parts) > 0 {
		size = req.PartTokens[0]
	}
	for len(s.kept) > 0 && len(s.kept)*size+s.memory > testMemory {
		s.kept = s.kept[1:]
	}
	return unread, readAgain
}

func (m *reuseModel) nextRequest() SlotRequest {
	// Squares make the first families frequent.
	x := m.random.Float64()
	family := m.families[int(x*x*float64(len(m.families)))]
	if m.random.Float64() < m.unique {
		family = []ids.PromptPartID{ids.PromptPartID(fmt.Sprint("own", m.f.ticket))}
	}
	req := m.f.request(m.partTokens, family...)
	req.OutputTokens = 60 + m.random.Intn(40)
	return req
}

func (m *reuseModel) run(perSecond float64, n int) {
	for range n {
		at := m.f.now.Add(time.Duration(m.random.ExpFloat64() / perSecond * float64(time.Second)))
		m.endUntil(at)
		m.f.now = at
		req := m.nextRequest()
		m.waiting[req.Ticket] = modelRequest{req, at}
		m.apply(m.f.step(SlotRequested{Host: "f1", Request: req}))
	}
	m.endUntil(m.f.now.Add(time.Hour))
}

func (m *reuseModel) endUntil(at time.Time) {
	for len(m.ends) > 0 && !m.ends[0].at.After(at) {
		e := heap.Pop(&m.ends).(modelEnd)
		m.f.now = e.at
		s := m.servers[e.server]
		s.running--
		s.memory -= e.request.OutputTokens + 200
		m.apply(m.f.step(SendEnded{Host: "f1", Outcome: Outcome{
			Ticket: e.request.Ticket, StreamEvents: e.request.OutputTokens, Elapsed: e.output, TimeToFirstByte: e.first,
		}}))
	}
}

func (m *reuseModel) apply(commands []Command) {
	for _, cmd := range commands {
		g, ok := cmd.(Grant)
		if !ok {
			continue
		}
		w := m.waiting[g.Key.Ticket]
		delete(m.waiting, g.Key.Ticket)
		s := m.servers[g.Server.ID]
		unread, readAgain := s.read(w.request)
		m.readAgain += readAgain
		m.placed[g.Server.ID]++
		s.running++
		m.runSum++
		if s.readUntil.Before(m.f.now) {
			s.readUntil = m.f.now
		}
		s.readUntil = s.readUntil.Add(time.Duration(float64(unread) * testTokenSeconds * float64(time.Second)))
		first := s.readUntil.Sub(m.f.now) + 10*time.Millisecond + time.Duration(m.random.Intn(5))*time.Millisecond
		m.first = append(m.first, m.f.now.Add(first).Sub(w.asked))
		output := time.Duration(float64(w.request.OutputTokens) * 0.008 * (1 + 0.02*float64(s.running)) * float64(time.Second))
		heap.Push(&m.ends, modelEnd{m.f.now.Add(first + output), g.Server.ID, w.request, first, output})
	}
}

// busiestToMean is the number of requests that the busiest server got, divided by the mean.
func (m *reuseModel) busiestToMean() float64 {
	most := 0
	for _, n := range m.placed {
		most = max(most, n)
	}
	return float64(most) * float64(len(m.servers)) / float64(m.runSum)
}

func (m *reuseModel) quantile(q float64) time.Duration {
	sorted := slices.Sorted(slices.Values(m.first))
	return sorted[int(q*float64(len(sorted)-1))].Round(time.Millisecond)
}

type reuseLoad struct {
	name                                string
	partTokens, families, partsOfFamily int
	perSecond, unique                   float64
}

func playReuse(c *qt.C, l reuseLoad, seed int64, options ...Option) *reuseModel {
	m := &reuseModel{
		f: newReuseFixture(c, 20, options...), random: rand.New(rand.NewSource(seed)), servers: make(map[ids.BackendID]*promptServer),
		waiting: make(map[Ticket]modelRequest), placed: make(map[ids.BackendID]int), partTokens: l.partTokens, unique: l.unique,
	}
	for id := range m.f.servers {
		m.servers[id] = &promptServer{}
	}
	for i := range l.families {
		family := []ids.PromptPartID{ids.PromptPartID(fmt.Sprint("system", i%4))}
		for j := range i % l.partsOfFamily {
			family = append(family, ids.PromptPartID(fmt.Sprintf("document%d-%d", i, j)))
		}
		m.families = append(m.families, family)
	}
	m.run(l.perSecond, 6000)
	c.Logf("%s, seed %d, disabled %v: %.1f million tokens of parts read, first token median %v, 99th percentile %v, busiest to mean %.2f",
		l.name, seed, m.f.scheduler.disabled, float64(m.readAgain)/1e6, m.quantile(0.5), m.quantile(0.99), m.busiestToMean())
	return m
}

// Long parts must be read less often and answers begin sooner; short parts must leave the times as they are.
func TestReuseShortensFirstToken(t *testing.T) {
	long := reuseLoad{"parts of 13,300 to 39,900 tokens", 13_300, 60, 3, 55, 0}
	short := reuseLoad{"parts of 150 to 450 tokens", 150, 60, 3, 90, 0}
	for seed := int64(1); seed <= 6; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			c := qt.New(t)
			off, on := playReuse(c, long, seed, WithDisabledMechanisms(PromptReuse)), playReuse(c, long, seed)
			c.Check(float64(on.readAgain) < 0.6*float64(off.readAgain), qt.IsTrue)
			c.Check(float64(on.quantile(0.5)) < 0.8*float64(off.quantile(0.5)), qt.IsTrue)
			c.Check(float64(on.quantile(0.99)) < 0.8*float64(off.quantile(0.99)), qt.IsTrue)
			c.Check(on.busiestToMean() < 1.5, qt.IsTrue)
			learned := on.f.scheduler.pools[testService].prompts.reading.TokenSeconds()
			c.Check(learned > 0.8*testTokenSeconds && learned < 1.2*testTokenSeconds, qt.IsTrue, qt.Commentf("%g", learned))

			off, on = playReuse(c, short, seed, WithDisabledMechanisms(PromptReuse)), playReuse(c, short, seed)
			c.Check(float64(on.readAgain) <= 1.05*float64(off.readAgain), qt.IsTrue)
			c.Check(on.quantile(0.5) <= off.quantile(0.5)+time.Millisecond, qt.IsTrue)
			c.Check(on.quantile(0.99) <= off.quantile(0.99)+2*time.Millisecond, qt.IsTrue)
			c.Check(on.busiestToMean() <= off.busiestToMean()+0.05, qt.IsTrue)
		})
	}
}

// A single popular part among prompts that no others share must not make its server hot: copies are made as the load requires. With
// 39,900 tokens and 120 requests a second, the servers can't read all prompts, and the queue decides over the times. Then the median
// is that of the last requests with the popular part, or of the first others: it varies by a quarter with the seed, so its mean counts.
func TestPopularPartIsSpread(t *testing.T) {
	for _, test := range []struct {
		size, perSecond int
		overload        bool
	}{
		{150, 10, false},
		{150, 55, false},
		{150, 120, false},
		{13_300, 10, false},
		{13_300, 55, false},
		{13_300, 120, false},
		{39_900, 10, false},
		{39_900, 55, false},
		{39_900, 120, true},
	} {
		l := reuseLoad{
			fmt.Sprintf("one part of %d tokens among others, %d requests a second", test.size, test.perSecond),
			test.size, 1, 1, float64(test.perSecond), 0.5,
		}
		var mediansOff, mediansOn time.Duration
		for seed := int64(1); seed <= 6; seed++ {
			t.Run(fmt.Sprintf("%s, seed %d", l.name, seed), func(t *testing.T) {
				c := qt.New(t)
				off, on := playReuse(c, l, seed, WithDisabledMechanisms(PromptReuse)), playReuse(c, l, seed)
				mediansOff, mediansOn = mediansOff+off.quantile(0.5), mediansOn+on.quantile(0.5)
				if test.overload {
					c.Check(float64(on.quantile(0.99)) <= 1.2*float64(off.quantile(0.99)), qt.IsTrue)
				} else {
					c.Check(on.quantile(0.5) <= off.quantile(0.5)+5*time.Millisecond, qt.IsTrue)
					c.Check(on.quantile(0.99) <= off.quantile(0.99)+5*time.Millisecond, qt.IsTrue)
				}
				if test.perSecond >= 55 {
					c.Check(on.busiestToMean() < 1.5, qt.IsTrue)
				} else { // most servers are idle; of these the first ones take most requests without the mechanism, holders with it
					c.Check(on.busiestToMean() <= off.busiestToMean()+0.2, qt.IsTrue)
				}
			})
		}
		if test.overload {
			qt.Check(t, float64(mediansOn) <= 1.2*float64(mediansOff), qt.IsTrue, qt.Commentf("%v, %v", mediansOn/6, mediansOff/6))
		}
	}
}
