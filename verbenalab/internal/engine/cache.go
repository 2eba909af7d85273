package engine

import (
	"container/list"
	"hash/fnv"
)

const (
	blockBytes    = 256
	bytesPerToken = 4
	maxEvents     = 4096
)

// event is a change of the prefix cache.
type event struct {
	Seq     int    `json:"seq"`
	Block   uint64 `json:"block"`
	Evicted bool   `json:"evicted,omitempty"`
}

// cache holds prompt blocks, the least recently used leaving first.
type cache struct {
	capacity int
	order    *list.List
	blocks   map[uint64]*list.Element
	events   []event
	seq      int
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, order: list.New(), blocks: map[uint64]*list.Element{}}
}

// read returns how many bytes of the prompt's head are held, and holds all of it.
func (c *cache) read(prompt string) (cached int) {
	h := fnv.New64a()
	hitting := true
	for start := 0; start+blockBytes <= len(prompt); start += blockBytes {
		_, _ = h.Write([]byte(prompt[start : start+blockBytes])) // never fails
		block := h.Sum64()
		e, held := c.blocks[block]
		hitting = hitting && held
		if hitting {
			cached += blockBytes
		}
		if held {
			c.order.MoveToFront(e)
			continue
		}
		c.blocks[block] = c.order.PushFront(block)
		c.note(event{Block: block})
		c.evict()
	}
	return cached
}

func (c *cache) evict() {
	for len(c.blocks) > c.capacity {
		last := c.order.Back()
		block, _ := c.order.Remove(last).(uint64)
		delete(c.blocks, block)
		c.note(event{Block: block, Evicted: true})
	}
}

func (c *cache) note(e event) {
	c.seq++
	e.Seq = c.seq
	c.events = append(c.events, e)
	if len(c.events) > maxEvents {
		c.events = c.events[maxEvents/2:]
	}
}

func (c *cache) clear() {
	c.order.Init()
	clear(c.blocks)
}
