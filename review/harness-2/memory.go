package main

import (
	"sync"
	"time"
)

// restartDelay is how long a process stays down that the platform has killed.
const restartDelay = 500 * time.Millisecond

// memoryWatch plays the platform's memory limit: it kills a process that uses more than its settings allow, and starts it again.
type memoryWatch struct {
	world *world
	stop  chan struct{}
	done  chan struct{}

	mu   sync.Mutex
	most map[string]int64
	// kills counts the processes that were killed, by name; ends counts those that ended otherwise.
	kills, ends map[string]int
}

func (w *world) watchMemory() *memoryWatch {
	m := &memoryWatch{
		world: w, stop: make(chan struct{}), done: make(chan struct{}), most: make(map[string]int64), kills: make(map[string]int), ends: make(map[string]int),
	}
	go m.run()
	return m
}

func (m *memoryWatch) run() {
	defer close(m.done)
	for {
		for _, h := range m.world.hosts() {
			m.check(h)
		}
		select {
		case <-m.stop:
			return
		case <-time.After(2 * time.Millisecond):
		}
	}
}

func (m *memoryWatch) check(h *host) {
	name, limit := h.settings.name, int64(h.settings.memoryMB)<<20
	if !h.alive() {
		m.mu.Lock()
		m.ends[name]++
		m.mu.Unlock()
		m.world.note("%s ended by itself", name)
		m.restart(h)
		return
	}
	used := h.memory()
	m.mu.Lock()
	grown := used > m.most[name]+(8<<20)
	if grown || used > limit {
		m.most[name] = max(used, m.most[name])
	}
	m.mu.Unlock()
	if grown {
		m.world.note("%s uses %d MB of %d", name, used>>20, h.settings.memoryMB)
	}
	if used <= limit {
		return
	}
	m.mu.Lock()
	m.kills[name]++
	m.mu.Unlock()
	m.world.note("%s uses %d MB of %d: the platform kills it", name, used>>20, h.settings.memoryMB)
	h.kill()
	m.restart(h)
}

func (m *memoryWatch) restart(h *host) {
	time.Sleep(restartDelay)
	if err := h.start(); err != nil {
		m.world.note("%s not started again: %v", h.settings.name, err)
	}
}

// end stops the watch and returns how often processes were killed or ended, and the most memory of a front in MB.
func (m *memoryWatch) end() (kills, ends int, most int64) {
	close(m.stop)
	<-m.done
	for _, n := range m.kills {
		kills += n
	}
	for _, n := range m.ends {
		ends += n
	}
	for _, f := range m.world.fronts {
		most = max(most, m.most[f.settings.name]>>20)
	}
	return kills, ends, most
}
