package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenaledge.example/verbena/crash"
	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/ids"
)

const (
	// markedService has the servers of TestMarksEndByTheirTime.
	markedService = "llm"
	// longestEjection is the time within which a sound server takes a request again, whatever was seen of it: the longest ejection.
	longestEjection = maxEjection
	// longestMark is the time after which nothing counts that was seen of servers and requests: the longest block of a request.
	longestMark = blockMemory
)

// markedFleet draws what happens to the servers of a service and to the requests at them.
type markedFleet struct {
	t         *rapid.T
	scheduler *Scheduler
	servers   map[ids.BackendID]directory.Server
	now       time.Time
	tickets   Ticket
	runs      map[Key]ids.BackendID
}

func newMarkedFleet(t *rapid.T) *markedFleet {
	f := &markedFleet{
		t: t, scheduler: New(""), servers: make(map[ids.BackendID]directory.Server), now: time.Unix(1000, 0), runs: make(map[Key]ids.BackendID),
	}
	f.scheduler.ObserveList(f.now, listState(nil))
	for n := range rapid.IntRange(1, 6).Draw(t, "servers") {
		id := ids.BackendID(fmt.Sprint("s", n))
		f.servers[id] = directory.Server{ID: id, Service: markedService, Slots: rapid.IntRange(1, 3).Draw(t, "slots"), Incarnation: 1}
	}
	f.step(ServersChanged{Servers: maps.Clone(f.servers)})
	return f
}

// step applies an event, and records the slots that it grants.
func (f *markedFleet) step(e Event) (granted, trials int) {
	for _, c := range f.scheduler.Step(f.now, e) {
		if g, ok := c.(Grant); ok {
			f.runs[g.Key] = g.Server.ID
			granted++
			if g.Trial {
				trials++
			}
		}
	}
	return granted, trials
}

func (f *markedFleet) request(req SlotRequest) (granted, trials int) {
	f.tickets++
	req.Ticket, req.Service, req.StreamEvents = f.tickets, markedService, 1
	req.Objective, req.Remaining = time.Minute, time.Minute
	return f.step(SlotRequested{Host: ids.HostID(rapid.SampledFrom([]string{"f1", "f2"}).Draw(f.t, "host")), Request: req})
}

func (f *markedFleet) oddRequest() SlotRequest {
	req := SlotRequest{Fingerprint: rapid.SampledFrom([]uint64{1, 2}).Draw(f.t, "fingerprint")}
	if rapid.Bool().Draw(f.t, "batch") {
		return SlotRequest{Class: Batch}
	}
	for _, p := range []ids.PromptPartID{"x", "y"} {
		if rapid.Bool().Draw(f.t, string(p)) {
			req.Parts = append(req.Parts, p)
		}
	}
	return req
}

func (f *markedFleet) sortedRuns() []Key {
	return slices.SortedFunc(maps.Keys(f.runs), func(a, b Key) int {
		if keyLess(a, b) {
			return -1
		}
		return 1
	})
}

func (f *markedFleet) end(k Key, o Outcome) {
	delete(f.runs, k)
	o.Ticket = k.Ticket
	f.step(SendEnded{Host: k.Host, Outcome: o})
}

// happen draws one event.
func (f *markedFleet) happen() {
	f.now = f.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(f.t, "ms")) * time.Millisecond)
	kind := rapid.SampledFrom([]string{"request", "request", "end", "end", "end", "stall", "began", "restart", "tick"}).Draw(f.t, "event")
	runs := f.sortedRuns()
	if len(runs) == 0 && (kind == "end" || kind == "stall" || kind == "began") {
		kind = "request"
	}
	switch kind {
	case "request":
		f.request(f.oddRequest())
	case "end":
		f.end(rapid.SampledFrom(runs).Draw(f.t, "run"), Outcome{
			Result: Result(rapid.IntRange(int(Served), int(Rejected)).Draw(f.t, "result")), Unanswered: rapid.Bool().Draw(f.t, "unanswered"),
		})
	case "stall":
		k := rapid.SampledFrom(runs).Draw(f.t, "run")
		f.step(ServerStalled{Host: k.Host, Report: StallReport{Ticket: k.Ticket, SilentFor: time.Second}})
	case "began":
		f.step(AnswerBegan{Key: rapid.SampledFrom(runs).Draw(f.t, "run")})
	case "restart":
		id := rapid.SampledFrom(slices.Sorted(maps.Keys(f.servers))).Draw(f.t, "server")
		s := f.servers[id]
		s.Incarnation++
		f.servers[id] = s
		f.step(ServersChanged{Servers: maps.Clone(f.servers)})
	case "tick":
		f.step(Tick{})
	}
}

// endAll ends what runs and withdraws what waits. It says nothing about servers or requests.
func (f *markedFleet) endAll() {
	for len(f.runs) > 0 || len(f.scheduler.waiting) > 0 {
		for _, k := range f.sortedRuns() {
			f.end(k, Outcome{Result: Cancelled})
		}
		for k := range f.scheduler.waiting {
			f.step(SendEnded{Host: k.Host, Outcome: Outcome{Ticket: k.Ticket, Result: Cancelled}})
		}
	}
}

// TestMarksEndByTheirTime draws outcomes, crashes, silences and restarts, and guards against marks of servers and requests that leave
// sound servers unused or sound requests without an answer, or that end only with another event.
func TestMarksEndByTheirTime(t *testing.T) {
	for name, check := range map[string]func(*markedFleet){
		"a request that asks for nothing odd is served": func(f *markedFleet) {
			f.now = f.now.Add(longestEjection)
			if granted, trials := f.request(SlotRequest{Fingerprint: 3}); granted != 1 || trials != 0 {
				f.t.Fatalf("%d granted, %d of them on trial", granted, trials)
			}
		},
		"a quarter of the servers is used at once": func(f *markedFleet) { // half of them are ejected for all hosts, half of the others for one
			f.now = f.now.Add(fullPause)
			granted := 0
			for range f.servers {
				g, _ := f.request(SlotRequest{Fingerprint: 3})
				granted += g
			}
			if 4*granted < len(f.servers) {
				f.t.Fatalf("%d granted at %d servers", granted, len(f.servers))
			}
		},
		"all slots are used again": func(f *markedFleet) {
			f.now = f.now.Add(longestMark)
			slots, granted := 0, 0
			for _, s := range f.servers {
				slots += s.Slots
			}
			for n := range slots {
				g, trials := f.request(SlotRequest{Fingerprint: uint64(n % 4)})
				granted += g
				if trials > 0 {
					f.t.Fatalf("request %d of %d on trial", n, slots)
				}
			}
			if granted != slots {
				f.t.Fatalf("%d of %d slots granted", granted, slots)
			}
		},
		"parts that block nothing are sound": func(f *markedFleet) {
			f.now = f.now.Add(longestMark)
			reports, _ := f.scheduler.crashes.Snapshot(f.now, 0)
			if len(crash.Blocking(reports)) > 0 {
				return
			}
			if granted, trials := f.request(SlotRequest{Parts: []ids.PromptPartID{"x", "y"}}); granted != 1 || trials != 0 {
				f.t.Fatalf("%d granted, %d of them on trial", granted, trials)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				f := newMarkedFleet(t)
				for range rapid.IntRange(1, 60).Draw(t, "events") {
					f.happen()
				}
				f.endAll()
				check(f)
			})
		})
	}
}
