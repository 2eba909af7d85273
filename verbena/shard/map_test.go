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

// town is a map of shards and the hosts that live, by their terms.
type town struct {
	shards int
	owners shard.Map
	live   map[ids.HostID]ids.Term
}

func TestScripts(t *testing.T) {
	scripted.Run(t, func() scripted.Step {
		w := &town{live: make(map[ids.HostID]ids.Term)}
		return w.step
	})
}

func (w *town) step(t *testing.T, words scripted.Words) (got []string) {
	host := ids.HostID(words.At(1))
	switch words.At(0) {
	case "shards":
		w.shards = words.Number(1)
	case "up":
		w.live[host] = ids.Term(max(1, words.Number(2)))
	case "down":
		delete(w.live, host)
	case "assign":
		before := w.owners
		next, changed := shard.Assign(w.owners, w.shards, w.live)
		w.check(t, before, next)
		w.owners = next
		got = append(got, fmt.Sprint("changed ", changed))
	case "hand_over":
		before := w.owners
		next, given := shard.HandOver(w.owners, host, w.live)
		w.check(t, before, next)
		w.owners = next
		got = append(got, fmt.Sprint("given ", len(given)))
	case "owned":
		got = append(got, fmt.Sprint(len(w.owners.Owned(host, w.live[host]))))
	case "owners":
		list := make([]string, 0, len(w.live))
		for _, h := range w.owners.Owners() {
			list = append(list, string(h))
		}
		got = append(got, strings.Join(list, " "))
	default:
		t.Fatalf("%v is unknown", words)
	}
	return got
}

// check: a shard changes its owner only in a new epoch, and only from one that doesn't live or gives it.
func (w *town) check(t *testing.T, before, after shard.Map) {
	for s := range before {
		if before[s] != after[s] {
			qt.Assert(t, after[s].Epoch, qt.Equals, before[s].Epoch+1)
		}
	}
	for _, e := range after {
		if e.Owner != "" {
			_, lives := w.live[e.Owner]
			qt.Assert(t, lives || contains(before, e), qt.IsTrue)
		}
	}
}

func contains(m shard.Map, e shard.Entry) bool {
	for _, one := range m {
		if one == e {
			return true
		}
	}
	return false
}

// TestMapComesBack: what is stored is what is read; a name always finds the same shard.
func TestMapComesBack(t *testing.T) {
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
