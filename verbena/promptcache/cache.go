package promptcache

import (
	"slices"
	"time"
)

const (
	// maxParts bounds the parts of one server. A memory of 147,261 tokens has room for 11 parts of 13,300 tokens.
	maxParts = 64
	// MaxAge is how long a part counts as held since a request last used it. Placements by other schedulers aren't seen here,
	// and a busy server of 147,261 tokens reads as many in less than ten seconds.
	MaxAge = time.Minute
)

// Cache is the estimate of what one server holds.
type Cache struct {
	index *Index
	// held holds the parts, the least recently used first. The parts of a prompt follow each other, the first part last, so that a
	// part is forgotten before those that it depends on.
	held       []heldPart
	heldTokens int
	// runningTokens are those of the running requests that aren't in parts.
	runningTokens int
	memory        int
	// search is the last search of the index that found the beginning of a prompt here, depth and found its length.
	search uint64
	depth  int
	found  int
}

type heldPart struct {
	key    Key
	tokens int
	at     time.Time
}

// Begin records that a request runs at the server, whose memory in tokens is 0 if unknown. others are the tokens of its prompt and
// output that aren't in the chain.
func (c *Cache) Begin(now time.Time, chain []Link, others, memory int) {
	c.memory = memory
	c.runningTokens += others
	c.use(now, chain)
	c.forgetBeyondMemory()
}

// End records that a request has ended, with the others of its beginning.
func (c *Cache) End(others int) { c.runningTokens -= others }

// use records the parts as used just now, and those that are new as held.
func (c *Cache) use(now time.Time, chain []Link) {
	for _, l := range slices.Backward(chain) {
		if c.move(now, l.Key) {
			continue
		}
		c.held = append(c.held, heldPart{l.Key, l.Tokens, now})
		c.heldTokens += l.Tokens
		c.index.add(l.Key, c)
	}
}

// Touch records those of the parts as used just now that are held.
func (c *Cache) Touch(now time.Time, chain []Link) {
	for _, l := range slices.Backward(chain) {
		c.move(now, l.Key)
	}
}

// move makes a part the most recently used one.
func (c *Cache) move(now time.Time, key Key) (held bool) {
	i := c.find(key)
	if i < 0 {
		return false
	}
	p := c.held[i]
	p.at = now
	copy(c.held[i:], c.held[i+1:])
	c.held[len(c.held)-1] = p
	return true
}

func (c *Cache) find(key Key) int {
	for i := range c.held {
		if c.held[i].key == key {
			return i
		}
	}
	return -1
}

func (c *Cache) forgetBeyondMemory() {
	n, tokens := 0, c.heldTokens
	for n < len(c.held) && (len(c.held)-n > maxParts || c.memory > 0 && tokens+c.runningTokens > c.memory) {
		tokens -= c.held[n].tokens
		n++
	}
	c.forgetOldest(n)
}

// Expire forgets the parts that weren't used within MaxAge.
func (c *Cache) Expire(now time.Time) {
	n := 0
	for n < len(c.held) && now.Sub(c.held[n].at) > MaxAge {
		n++
	}
	c.forgetOldest(n)
}

func (c *Cache) forgetOldest(n int) {
	for _, p := range c.held[:n] {
		c.heldTokens -= p.tokens
		c.index.remove(p.key, c)
	}
	c.held = slices.Delete(c.held, 0, n)
}

// Forget removes parts, as the server didn't read them.
func (c *Cache) Forget(chain []Link) {
	for _, l := range chain {
		if i := c.find(l.Key); i >= 0 {
			c.heldTokens -= c.held[i].tokens
			c.held = slices.Delete(c.held, i, i+1)
			c.index.remove(l.Key, c)
		}
	}
}

// Clear forgets all parts. Running requests still count.
func (c *Cache) Clear() { c.forgetOldest(len(c.held)) }

// Held returns how many tokens of the prompt's beginning the server holds that Index.Find last searched for.
func (c *Cache) Held() (tokens int) {
	if c.search != c.index.searches {
		return 0
	}
	return c.found
}

// HeldLinks returns how many of the prompt's parts these are.
func (c *Cache) HeldLinks() int {
	if c.search != c.index.searches {
		return 0
	}
	return c.depth
}
