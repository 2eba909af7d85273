// Package shard decides which host owns each shard of the fleet's state.
package shard

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"verbenaledge.example/verbena/ids"
)

// ObjectName is the name of the map's object in the platform's store.
const ObjectName = "shards"

// Entry is a shard's owner and the term of the owner's lease. The epoch rises only when the owner or its term changes.
// It is the fencing token of all the owner's writes.
type Entry struct {
	Owner ids.HostID `json:"owner"`
	Term  ids.Term   `json:"term"`
	Epoch ids.Epoch  `json:"epoch"`
}

// Map holds the entry of each shard.
type Map []Entry

// Parse reads the stored form.
func Parse(data []byte) (m Map, err error) {
	if err := json.Unmarshal(data, &m); err != nil {
		return nil, fmt.Errorf("parse shard map: %w", err)
	}
	return m, nil
}

// Marshal returns the stored form.
func (m Map) Marshal() []byte {
	data, err := json.Marshal(m)
	if err != nil {
		panic(err) // entries hold only strings and numbers
	}
	return data
}

// ForName returns the shard of a name. ok is false if the map is empty.
func (m Map) ForName(name string) (s ids.ShardID, ok bool) {
	if len(m) == 0 {
		return 0, false
	}
	return ForName(name, len(m)), true
}

// ForName returns the shard of a name, given the number of shards.
func ForName(name string, shards int) ids.ShardID {
	return ids.ShardID(xxhash.Sum64String(name) % uint64(shards))
}

// Owned returns the shards that a host owns under a term.
func (m Map) Owned(h ids.HostID, t ids.Term) (list []ids.ShardID) {
	for s, e := range m {
		if e.Owner == h && e.Term == t {
			list = append(list, ids.ShardID(s))
		}
	}
	return list
}

// Owners returns the hosts that own any shard, ordered by name.
func (m Map) Owners() (hosts []ids.HostID) {
	for _, e := range m {
		if e.Owner != "" && !slices.Contains(hosts, e.Owner) {
			hosts = append(hosts, e.Owner)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// Assign gives each shard whose owner no longer holds its lease to a live host, and returns the new map and whether it
// differs. Live owners keep their shards. live gives the lease term of each live host.
func Assign(m Map, shards int, live map[ids.HostID]ids.Term) (next Map, changed bool) {
	next = make(Map, shards)
	copy(next, m)
	counts := shardCounts(next, live)
	for s := range next {
		e := &next[s]
		if e.Owner != "" && live[e.Owner] == e.Term {
			continue
		}
		owner := pickOwner(ids.ShardID(s), live, counts, maxShardsPerHost(shards, len(live)))
		if owner == "" {
			continue
		}
		counts[owner]++
		*e = Entry{Owner: owner, Term: live[owner], Epoch: e.Epoch + 1}
		changed = true
	}
	return next, changed
}

// HandOver gives the shards that self owns beyond its share to hosts with less, and returns the new map and these
// shards. Only self may write the result, after it has stopped acting on them.
func HandOver(m Map, self ids.HostID, live map[ids.HostID]ids.Term) (next Map, handedOver []ids.ShardID) {
	next = append(Map(nil), m...)
	counts := shardCounts(next, live)
	limit := maxShardsPerHost(len(m), len(live))
	for s := range next {
		e := &next[s]
		if e.Owner != self || live[self] != e.Term || counts[self] <= limit {
			continue
		}
		owner := pickOwner(ids.ShardID(s), live, counts, limit)
		if owner == "" || owner == self {
			continue
		}
		counts[self]--
		counts[owner]++
		*e = Entry{Owner: owner, Term: live[owner], Epoch: e.Epoch + 1}
		handedOver = append(handedOver, ids.ShardID(s))
	}
	return next, handedOver
}

func shardCounts(m Map, live map[ids.HostID]ids.Term) map[ids.HostID]int {
	counts := map[ids.HostID]int{}
	for _, e := range m {
		if e.Owner != "" && live[e.Owner] == e.Term {
			counts[e.Owner]++
		}
	}
	return counts
}

// maxShardsPerHost returns the maximum number of shards of one host: its even share, rounded up.
func maxShardsPerHost(shards, hosts int) int {
	if hosts == 0 {
		return 0
	}
	return (shards + hosts - 1) / hosts
}

// pickOwner returns the host with the highest rendezvous score among the live hosts with fewer shards than limit, or ""
// if there is none.
func pickOwner(s ids.ShardID, live map[ids.HostID]ids.Term, counts map[ids.HostID]int, limit int) (best ids.HostID) {
	var bestScore uint64
	for h := range live {
		if counts[h] >= limit {
			continue
		}
		score := Score(strconv.Itoa(int(s)), h)
		if best == "" || score > bestScore || (score == bestScore && h < best) {
			best, bestScore = h, score
		}
	}
	return best
}

// Score returns the rendezvous hashing weight of a host for a name.
func Score(name string, h ids.HostID) uint64 {
	return xxhash.Sum64String(name + "\x00" + string(h))
}
