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

// ObjectName is where the map stands in the platform.
const ObjectName = "shards"

// Entry is a shard's owner under one term of its lease. The epoch rises only
// when the owner changes and is the fencing number of all that the owner does.
type Entry struct {
	Owner ids.HostID `json:"owner"`
	Term  ids.Term   `json:"term"`
	Epoch ids.Epoch  `json:"epoch"`
}

// Map gives the entry of each shard.
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

// Of returns the shard of a name.
func (m Map) ForName(name string) (s ids.ShardID, ok bool) {
	if len(m) == 0 {
		return 0, false
	}
	return ForName(name, len(m)), true
}

// Of returns the shard of a name among a number of shards.
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

// Owners returns the hosts that own any shard, in order.
func (m Map) Owners() (hosts []ids.HostID) {
	for _, e := range m {
		if e.Owner != "" && !slices.Contains(hosts, e.Owner) {
			hosts = append(hosts, e.Owner)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// Assign gives each shard whose owner's lease is gone to a live host, and
// returns the new map and whether it differs. Live owners keep what they have.
func Assign(m Map, shards int, live map[ids.HostID]ids.Term) (next Map, changed bool) {
	next = make(Map, shards)
	copy(next, m)
	load := loads(next, live)
	for s := range next {
		e := &next[s]
		if e.Owner != "" && live[e.Owner] == e.Term {
			continue
		}
		owner := choose(ids.ShardID(s), live, load, limit(shards, len(live)))
		if owner == "" {
			continue
		}
		load[owner]++
		*e = Entry{Owner: owner, Term: live[owner], Epoch: e.Epoch + 1}
		changed = true
	}
	return next, changed
}

// HandOver gives shards of an owner with more than its share to hosts with less.
// Only the owner itself may write the result, after it has stopped acting on them.
func HandOver(m Map, self ids.HostID, live map[ids.HostID]ids.Term) (next Map, given []ids.ShardID) {
	next = append(Map(nil), m...)
	load := loads(next, live)
	bound := limit(len(m), len(live))
	for s := range next {
		e := &next[s]
		if e.Owner != self || live[self] != e.Term || load[self] <= bound {
			continue
		}
		owner := choose(ids.ShardID(s), live, load, bound)
		if owner == "" || owner == self {
			continue
		}
		load[self]--
		load[owner]++
		*e = Entry{Owner: owner, Term: live[owner], Epoch: e.Epoch + 1}
		given = append(given, ids.ShardID(s))
	}
	return next, given
}

func loads(m Map, live map[ids.HostID]ids.Term) map[ids.HostID]int {
	load := map[ids.HostID]int{}
	for _, e := range m {
		if e.Owner != "" && live[e.Owner] == e.Term {
			load[e.Owner]++
		}
	}
	return load
}

// limit is the most shards that one host takes: its even share, rounded up.
func limit(shards, hosts int) int {
	if hosts == 0 {
		return 0
	}
	return (shards + hosts - 1) / hosts
}

// choose takes the host with the highest rendezvous score that is below the limit.
func choose(s ids.ShardID, live map[ids.HostID]ids.Term, load map[ids.HostID]int, bound int) (best ids.HostID) {
	var top uint64
	for h := range live {
		if load[h] >= bound {
			continue
		}
		score := Score(strconv.Itoa(int(s)), h)
		if best == "" || score > top || (score == top && h < best) {
			best, top = h, score
		}
	}
	return best
}

// Score is the rendezvous weight of a host for a name.
func Score(name string, h ids.HostID) uint64 {
	return xxhash.Sum64String(name + "\x00" + string(h))
}
