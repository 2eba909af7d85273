package engine

import (
	"container/list"
	"hash/fnv"
)

const (
	// blockBytes is the length of a cached prompt block.
	blockBytes    = 256
	bytesPerToken = 4
	// maxCacheEvents is the number of cache events that are kept. When there are more, the older half is dropped.
	maxCacheEvents = 4096
)

// cacheEvent is a block that was added to the prefix cache or evicted from it.
type cacheEvent struct {
	Seq     int    `json:"seq"`
	Block   uint64 `json:"block"`
	Evicted bool   `json:"evicted,omitempty"`
}

// cache is a prefix cache of prompt blocks, which evicts the least recently used block first.
type cache struct {
	capacity int
	order    *list.List
	blocks   map[uint64]*list.Element
	events   []cacheEvent
	seq      int
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, order: list.New(), blocks: map[uint64]*list.Element{}}
}

// lookup returns the number of cached bytes at the start of a prompt, and adds all blocks of the prompt to the cache.
func (c *cache) lookup(prompt string) (cached int) {
	h := fnv.New64a()
	inPrefix := true
	for start := 0; start+blockBytes <= len(prompt); start += blockBytes {
		_, _ = h.Write([]byte(prompt[start : start+blockBytes])) // never fails
		block := h.Sum64()
		e, held := c.blocks[block]
		inPrefix = inPrefix && held
		if inPrefix {
			cached += blockBytes
		}
		if held {
			c.order.MoveToFront(e)
			continue
		}
		c.blocks[block] = c.order.PushFront(block)
		c.addEvent(cacheEvent{Block: block})
		c.evict()
	}
	return cached
}

func (c *cache) evict() {
	for len(c.blocks) > c.capacity {
		last := c.order.Back()
		block, _ := c.order.Remove(last).(uint64)
		delete(c.blocks, block)
		c.addEvent(cacheEvent{Block: block, Evicted: true})
	}
}

func (c *cache) addEvent(e cacheEvent) {
	c.seq++
	e.Seq = c.seq
	c.events = append(c.events, e)
	if len(c.events) > maxCacheEvents {
		c.events = c.events[maxCacheEvents/2:]
	}
}

func (c *cache) clear() {
	c.order.Init()
	clear(c.blocks)
}
