package dispatch

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/ids"
)

// placeAt places a request that excludes all servers but one.
func (f *reuseFixture) placeAt(server ids.BackendID, req SlotRequest) {
	for id := range f.servers {
		if id != server {
			req.Exclude = append(req.Exclude, id)
		}
	}
	f.c.Assert(f.place(req), qt.Equals, server)
}

// TestReadingDoesNotCountWhileMemoryIsShort guards against popular parts that are left with few servers: a part that leaves a server
// while memory is short can't return, since waiting requests take the room.
func TestReadingDoesNotCountWhileMemoryIsShort(t *testing.T) {
	const part = 3 * longPart
	for _, test := range []struct {
		name      string
		ownPrompt int // of each other server
		want      ids.BackendID
	}{
		{"short", 3, "s000"},
		{"room left", 0, "s001"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := newReuseFixture(c, 4)
			f.teach()
			for i, server := range []ids.BackendID{"s000", "s001", "s002", "s003"} {
				own := test.ownPrompt
				if i < 2 {
					f.placeAt(server, f.request(part, "p"))
					own = max(0, own-1)
				}
				for n := range own {
					f.placeAt(server, f.request(part, ids.PromptPartID(fmt.Sprint("own", i, n))))
				}
			}
			f.occupy("s001", 2)
			f.occupy("s002", 4)
			f.occupy("s003", 4)
			f.now = f.now.Add(5 * time.Second) // all is read, and nothing received recently
			read := f.request(0)
			read.PromptTokens = 20_000
			f.placeAt("s000", read) // s000 runs one request less than s001 and has to read for 0.18 s
			c.Assert(f.place(f.request(part, "p")), qt.Equals, test.want)
		})
	}
}

// TestHolderThatReceivedMoreIsNotPreferred guards against a holder that receives most requests although it never runs many at a time.
func TestHolderThatReceivedMoreIsNotPreferred(t *testing.T) {
	c := qt.New(t)
	f := newReuseFixture(c, 4)
	f.teach()
	holder := f.serve(f.request(longPart, "p", "q", "r"))
	for received := 1; received < 8; received++ {
		req := f.request(longPart, "p", "q", "r")
		server := f.place(req)
		f.now = f.now.Add(100 * time.Millisecond)
		f.end(req, Served)
		if server != holder {
			c.Assert(received >= 2, qt.IsTrue)
			return
		}
	}
	c.Fatal("the holder received all requests")
}

// TestRequestsThatLackRoomEverywhere guards against waiting requests that are passed over although a server has room for them.
func TestRequestsThatLackRoomEverywhere(t *testing.T) {
	c := qt.New(t)
	f := newReuseFixture(c, 4, WithDisabledMechanisms(EarlyRefusal))
	random := rand.New(rand.NewSource(1))
	var granted []Ticket
	lacking, fitting := 0, 0
	for range 4000 {
		f.now = f.now.Add(20 * time.Millisecond)
		var commands []Command
		if len(granted) > 0 && (random.Intn(2) == 0 || len(f.scheduler.waiting) > 20) {
			i := random.Intn(len(granted))
			commands = f.step(SendEnded{Host: "f1", Outcome: Outcome{Ticket: granted[i], TimeToFirstByte: 10 * time.Millisecond}})
			granted = slices.Delete(granted, i, i+1)
		} else {
			req := f.request(10_000+10_000*random.Intn(4), ids.PromptPartID(fmt.Sprint(random.Intn(6))), ids.PromptPartID(fmt.Sprint(random.Intn(3))))
			commands = f.step(SlotRequested{Host: "f1", Request: req})
		}
		for _, cmd := range commands {
			if g, ok := cmd.(Grant); ok {
				granted = append(granted, g.Key.Ticket)
			}
		}
		p := f.scheduler.pools[testService]
		room := p.mostRoom(f.now)
		for _, w := range p.onlineQueue {
			if !p.lacksRoomEverywhere(w.request, room) {
				fitting++
				continue
			}
			sel := p.selectServer(f.now, w.key.Host, w.request)
			c.Assert(sel.best == nil && sel.lastResort == nil, qt.IsTrue)
			lacking++
		}
	}
	c.Assert(lacking > 100 && fitting > 0, qt.IsTrue, qt.Commentf("%d, %d", lacking, fitting))
}
