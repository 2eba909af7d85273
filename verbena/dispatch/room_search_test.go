package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkWaitingForMemory measures a tick with requests that wait for memory on 3,000 servers with free slots. In "items" batch items
// hold half of the memory, which doesn't suffice for a waiting request. Waiting requests are of different sizes, the largest first.
func BenchmarkWaitingForMemory(b *testing.B) {
	for _, items := range []bool{false, true} {
		for _, waiting := range []int{100, 400} {
			b.Run(fmt.Sprintf("waiting=%d/items=%v", waiting, items), func(b *testing.B) {
				m := newMemoryModel(3000, 8)
				next := Ticket(0)
				request := func(class Class, size int) {
					next++
					r := SlotRequest{Ticket: next, Service: "llm", Class: class, PromptTokens: size, Objective: time.Hour, Remaining: 2 * time.Hour, StreamEvents: 1}
					m.step(SlotRequested{Host: "f1", Request: r})
				}
				for range 3000 {
					if items {
						request(Batch, 1000)
						request(Online, 8000)
						continue
					}
					request(Online, 9000)
				}
				for i := range waiting {
					m.now = m.now.Add(time.Microsecond)
					request(Online, 6000-i)
				}
				m.now = m.now.Add(time.Second)
				for b.Loop() {
					m.now = m.now.Add(5 * time.Millisecond)
					m.step(Tick{})
				}
			})
		}
	}
}
