package placing

import (
	"slices"
	"time"

	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/ids"
)

// mostAttempts is how often a caller asks in all.
const mostAttempts = 5

func sortHosts(list []ids.HostID) { slices.Sort(list) }

// arrive begins a caller's request.
func (p *play) arrive(a Arrival) {
	p.result.Requests++
	r := &request{arrival: a, leaves: a.At + p.setup.Patience}
	p.attempt(r)
	p.time.after(p.setup.Patience, func() { p.settle(r, false) })
}

// settle notes the moment at which a caller knows.
func (p *play) settle(r *request, answered bool) {
	if r.settled {
		return
	}
	r.settled = true
	word := p.time.now - r.arrival.At
	p.result.Words = append(p.result.Words, word)
	if !answered {
		p.result.WordsUnanswered = append(p.result.WordsUnanswered, word)
		p.giveUp(r)
		return
	}
	p.result.Answered++
	if word <= p.setup.Objective {
		p.result.InTime++
	}
}

// giveUp takes back what runs or waits for a caller that has gone.
func (p *play) giveUp(r *request) {
	for _, a := range p.open() {
		if a.request == r {
			p.end(a, dispatch.Outcome{Result: dispatch.Cancelled})
		}
	}
}

// open are the asks that run or wait, in a stable order.
func (p *play) open() (list []*ask) {
	for _, a := range p.asks {
		list = append(list, a)
	}
	slices.SortFunc(list, func(x, y *ask) int { return int(x.key.Ticket) - int(y.key.Ticket) })
	return list
}

// attempt sends a caller's request once; a refusal says when to come back.
func (p *play) attempt(r *request) {
	if r.settled {
		return
	}
	left := r.leaves - p.time.now
	objective := p.setup.Objective - (p.time.now - r.arrival.At)
	if p.setup.Waits {
		objective = left
	}
	p.send(&ask{request: r, events: r.arrival.Events, key: p.key(hostOf(r.arrival.Host))}, dispatch.SlotRequest{
		Objective: objective, Remaining: left, RouteTimeout: p.setup.Patience, StreamEvents: r.arrival.Events,
	})
}

func (p *play) key(h ids.HostID) dispatch.Key {
	p.serial++
	return dispatch.Key{Host: h, Ticket: p.serial}
}

func (p *play) send(a *ask, q dispatch.SlotRequest) {
	q.Ticket, q.Service = a.key.Ticket, service
	a.sent = q
	p.asks[a.key] = a
	p.tell(a.key.Host, dispatch.SlotRequested{Host: a.key.Host, Request: q})
}

// item offers a batch item; when it is done or gives way, another takes its place.
func (p *play) item() {
	p.send(&ask{events: p.setup.ItemEvents, key: p.key(batchHost)}, dispatch.SlotRequest{
		Class: dispatch.Batch, Objective: time.Minute, Remaining: time.Hour, StreamEvents: p.setup.ItemEvents,
	})
}

// obey carries a machine's command out.
func (p *play) obey(c dispatch.Command) {
	switch c := c.(type) {
	case dispatch.Grant:
		p.granted(c)
	case dispatch.Refuse:
		p.refused(c)
	case dispatch.Yield:
		if a, ok := p.asks[c.Key]; ok {
			p.cut(a)
		}
	case dispatch.Wait:
	}
}

func (p *play) granted(c dispatch.Grant) {
	a, ok := p.asks[c.Key]
	if !ok {
		// It was taken back meanwhile: the machine hears of the end that it was told.
		return
	}
	a.server = c.Server.ID
	p.used[a.key.Host][a.server]++
	begin := p.time.now
	a.send = &send{
		events:  a.events,
		started: func(time.Duration) { p.started(a) },
		ended: func(at time.Duration) {
			p.result.ItemsDone += p.isItem(a)
			p.end(a, dispatch.Outcome{Result: dispatch.Served, StreamEvents: a.events, Elapsed: at - begin, TimeToFirstByte: firstTime})
			if a.request == nil {
				p.item()
			}
		},
	}
	if p.fails(a) {
		a.send.started = func(time.Duration) {} // nothing comes of it
		p.time.after(firstTime, func() { p.fail(a) })
	}
	p.servers[a.server].take(&p.time, a.send)
}

// fails decides whether a send fails.
func (p *play) fails(a *ask) bool {
	s := p.setup
	if !p.servers[a.server].ill || a.request == nil || s.IllHosts > 0 && a.request.arrival.Host >= s.IllHosts {
		return false
	}
	return p.random.Float64() < s.IllShare
}

// fail breaks a send; the host sends the request again to another server.
func (p *play) fail(a *ask) {
	if p.asks[a.key] != a {
		return // its caller has left
	}
	p.result.Failed++
	p.end(a, dispatch.Outcome{Result: dispatch.Broken})
	r, q := a.request, a.sent
	spent := p.time.now - r.arrival.At
	q.Objective, q.Remaining, q.Retry = p.setup.Objective-spent, p.setup.Patience-spent, true
	q.Exclude = append(q.Exclude[:len(q.Exclude):len(q.Exclude)], a.server)
	p.send(&ask{request: r, events: a.events, key: p.key(a.key.Host)}, q)
}

func (p *play) started(a *ask) {
	if a.request != nil {
		p.settle(a.request, true)
	}
}

func (p *play) isItem(a *ask) int {
	if a.request == nil {
		return 1
	}
	return 0
}

func (p *play) refused(c dispatch.Refuse) {
	a, ok := p.asks[c.Key]
	if !ok {
		return
	}
	delete(p.asks, c.Key)
	r := a.request
	if r == nil {
		p.item()
		return
	}
	r.attempts++
	if c.RetryAfter <= 0 || r.attempts >= mostAttempts || p.time.now+c.RetryAfter >= r.leaves {
		p.settle(r, false)
		return
	}
	p.time.after(c.RetryAfter, func() { p.attempt(r) })
}

// end takes an ask from its server and tells its machine.
func (p *play) end(a *ask, o dispatch.Outcome) {
	delete(p.asks, a.key)
	if a.send != nil {
		p.used[a.key.Host][a.server]--
		p.servers[a.server].leave(&p.time, a.send)
	}
	o.Ticket = a.key.Ticket
	p.tell(a.key.Host, dispatch.SendEnded{Host: a.key.Host, Outcome: o})
}
