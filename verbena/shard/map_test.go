package shard_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/scripted"
	"verbenaledge.example/verbena/shard"
)

// cluster holds a shard map and the live hosts with the terms of their leases.
type cluster struct {
	shards int
	owners shard.Map
	live   map[ids.HostID]ids.Term
}

func TestScripts(t *testing.T) {
	scripted.Run(t, func() scripted.Step {
		c := &cluster{live: make(map[ids.HostID]ids.Term)}
		return c.applyEvent
	})
}

func (c *cluster) applyEvent(t *testing.T, words scripted.Words) (got []string) {
	host := ids.HostID(words.At(1))
	switch words.At(0) {
	case "shards":
		c.shards = words.Number(1)
	case "up":
		c.live[host] = ids.Term(max(1, words.Number(2)))
	case "down":
		delete(c.live, host)
	case "assign":
		before := c.owners
		next, changed := shard.Assign(c.owners, c.shards, c.live)
		c.checkOwners(t, before, next)
		c.owners = next
		got = append(got, fmt.Sprint("changed ", changed))
	case "hand_over":
		before := c.owners
		next, handedOver := shard.HandOver(c.owners, host, c.live)
		c.checkOwners(t, before, next)
		c.owners = next
		got = append(got, fmt.Sprint("handed over ", len(handedOver)))
	case "owned":
		got = append(got, fmt.Sprint(len(c.owners.Owned(host, c.live[host]))))
	case "owners":
		list := make([]string, 0, len(c.live))
		for _, h := range c.owners.Owners() {
			list = append(list, string(h))
		}
		got = append(got, strings.Join(list, " "))
	default:
		t.Fatalf("unknown event %v", words)
	}
	return got
}

// checkOwners checks that an entry changes only together with its epoch, and that each new owner is live.
func (c *cluster) checkOwners(t *testing.T, before, after shard.Map) {
	for s := range before {
		if before[s] != after[s] {
			qt.Assert(t, after[s].Epoch, qt.Equals, before[s].Epoch+1)
		}
	}
	for _, e := range after {
		if e.Owner != "" {
			_, isLive := c.live[e.Owner]
			qt.Assert(t, isLive || contains(before, e), qt.IsTrue)
		}
	}
}

func contains(m shard.Map, e shard.Entry) bool {
	for _, o := range m {
		if o == e {
			return true
		}
	}
	return false
}

// TestMarshalParse checks that a map is read as it was stored, and that a name has the same shard with and without a
// map.
func TestMarshalParse(t *testing.T) {
	c := qt.New(t)
	m, _ := shard.Assign(nil, 8, map[ids.HostID]ids.Term{"a": 1, "b": 2})
	back, err := shard.Parse(m.Marshal())
	c.Assert(err, qt.IsNil)
	c.Assert(back, qt.DeepEquals, m)
	_, err = shard.Parse([]byte("{"))
	c.Assert(err, qt.IsNotNil)
	one, ok := m.ForName("workspace")
	c.Assert(ok, qt.IsTrue)
	c.Assert(one, qt.Equals, shard.ForName("workspace", 8))
	_, ok = shard.Map(nil).ForName("workspace")
	c.Assert(ok, qt.IsFalse)
}
