package promptcache

// Index finds the servers of a service that hold the beginning of a prompt, without a look at those that don't.
type Index struct {
	holders  map[Key][]*Cache
	searches uint64
}

// NewIndex returns an index of no servers.
func NewIndex() *Index { return &Index{holders: make(map[Key][]*Cache), searches: 1} }

// NewCache returns the estimate of a server that holds nothing.
func (x *Index) NewCache() *Cache { return &Cache{index: x} }

func (x *Index) add(key Key, c *Cache) { x.holders[key] = append(x.holders[key], c) }

func (x *Index) remove(key Key, c *Cache) {
	list := x.holders[key]
	for i, o := range list {
		if o != c {
			continue
		}
		last := len(list) - 1
		list[i], list[last] = list[last], nil
		if last == 0 {
			delete(x.holders, key)
		} else {
			x.holders[key] = list[:last]
		}
		return
	}
}

// Found is how much of a prompt's beginning servers hold.
type Found struct {
	// Most is the number of tokens that a server holds at most, Least the number that each of them holds.
	Most, Least int
}

// Find searches for the beginning of a prompt at a number of servers. Cache.Held returns what was found at each of them.
func (x *Index) Find(chain []Link, servers int) (f Found) {
	x.searches++
	for i, l := range chain {
		n := 0
		for _, c := range x.holders[l.Key] {
			if i > 0 && (c.search != x.searches || c.depth != i) {
				continue
			}
			c.search, c.depth, c.found = x.searches, i+1, l.Through
			n++
		}
		if n == 0 {
			return f
		}
		f.Most = l.Through
		if n >= servers {
			f.Least = l.Through
		}
	}
	return f
}

// Len returns how many different parts are held.
func (x *Index) Len() int { return len(x.holders) }
