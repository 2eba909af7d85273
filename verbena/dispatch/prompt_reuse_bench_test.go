package dispatch

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/ids"
)

// BenchmarkPromptReuse measures a decision and the end of an earlier request at 600 servers, 3,800 requests a second and a second for
// each of them. Prompts have three parts, the first of which all servers hold; with size 0, nothing is known of prompts, which is the cost of all
// else.
func BenchmarkPromptReuse(b *testing.B) {
	for _, size := range []int{0, shortPart, longPart} {
		for _, mechanism := range []Mechanism{PromptReuse, None} {
			b.Run(fmt.Sprintf("part=%d/disabled=%s", size, mechanism), func(b *testing.B) {
				f := newReuseFixture(qt.New(b), 600, WithDisabledMechanisms(mechanism))
				f.teach()
				var running []SlotRequest
				step := func(i int) {
					f.now = f.now.Add(time.Second / 3800)
					req := f.request(size, "system", ids.PromptPartID(fmt.Sprint("a", i%100)), ids.PromptPartID(fmt.Sprint("b", i%1000)))
					if size == 0 {
						req.Parts, req.PartTokens, req.PromptTokens = nil, nil, 0
					}
					if f.place(req) != "" {
						running = append(running, req)
					}
					if len(running) >= 3800 {
						f.end(running[0], Served)
						running = running[1:]
					}
				}
				for i := range 20_000 {
					step(i)
				}
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					step(i)
				}
			})
		}
	}
}

// The estimate must fit beside all else in the memory of the smallest hosts, 112 MB.
func TestPromptStateFitsSmallestHost(t *testing.T) {
	c := qt.New(t)
	f := newReuseFixture(c, 600)
	f.step(ServicesChanged{})
	p := f.scheduler.pool(testService)
	before := heapBytes()
	for i := range 600 * 64 {
		s := p.servers[i%600]
		r := &run{request: f.request(shortPart, ids.PromptPartID(fmt.Sprint("part", i))), server: s}
		f.scheduler.beginPrompt(f.now, p, r)
	}
	bytes := heapBytes() - before
	c.Assert(p.prompts.index.Len(), qt.Equals, 600*64)
	c.Logf("%d parts at 600 servers take %.1f MB", 600*64, float64(bytes)/1e6)
	c.Assert(bytes < 10_000_000, qt.IsTrue, qt.Commentf("%d bytes", bytes))
	runtime.KeepAlive(f)
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
