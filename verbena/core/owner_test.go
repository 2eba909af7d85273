package core_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenaledge.example/verbena/core"
	"verbenaledge.example/verbena/gossip"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/lease"
	"verbenaledge.example/verbena/peer"
	"verbenaledge.example/verbena/platform"
	"verbenaledge.example/verbena/platform/memory"
	"verbenaledge.example/verbena/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m, 11, 600) }

const shards = 4

// town is a few hosts, one platform, and what is on its way between them.
type town struct {
	now    time.Time
	store  *memory.Store
	hosts  []*host
	flight []func()
	lose   func() bool
	// line is the time line of all hosts.
	line []string
	// heard is told of each message that comes to a host.
	heard func(h ids.HostID, m peer.Message)
}

// host is one core; a paused host does nothing, and one that is cut off doesn't
// reach the platform or its peers.
type host struct {
	id     ids.HostID
	core   *core.Core
	paused bool
	noPlat bool
	noPeer bool
}

var start = time.Unix(1_000_000, 0)

func newTown(hosts int) *town {
	w := &town{now: start, store: memory.New(), lose: func() bool { return false }, heard: func(ids.HostID, peer.Message) {}}
	seeds := map[ids.HostID]string{}
	for i := range hosts {
		seeds[ids.HostID(fmt.Sprint("h", i))] = "x"
	}
	for i := range hosts {
		c := core.DefaultConfig()
		c.Host, c.Zone, c.Seed = ids.HostID(fmt.Sprint("h", i)), ids.ZoneID(fmt.Sprint("z", i)), uint64(i)
		c.Seeds, c.Shards = seeds, shards
		w.hosts = append(w.hosts, &host{id: c.Host, core: core.New(c, w.now)})
	}
	return w
}

func (w *town) step(h *host, e core.Event) {
	if h.paused {
		// What comes to a paused process waits for it.
		w.flight = append(w.flight, func() { w.step(h, e) })
		return
	}
	for _, cmd := range h.core.Step(w.now, e) {
		w.carryOut(h, cmd)
	}
}

func (w *town) carryOut(h *host, cmd core.Command) {
	switch c := cmd.(type) {
	case core.CallPeer:
		w.flight = append(w.flight, func() { w.call(h, c) })
	case core.Record:
		w.line = append(w.line, fmt.Sprintf("%s %s %s %s", w.now.Sub(start), h.id, c.Event.Kind, c.Event.Detail))
	case core.ReadConfig, core.ReadHosts, core.WriteLease, core.ListLeases, core.ReadGuardedLeases, core.ReadLeaseGuards, core.BreakLease, core.WriteShardMap:
		w.flight = append(w.flight, func() { w.platform(h, c) })
	}
}

func (w *town) call(h *host, c core.CallPeer) {
	for _, to := range w.hosts {
		if to.id != c.To || to.paused || to.noPeer || h.noPeer || w.lose() {
			continue
		}
		w.heard(to.id, c.Message)
		for _, cmd := range to.core.Step(w.now, core.PeerMessageReceived{MessageID: 1, From: h.id, Message: c.Message}) {
			if r, ok := cmd.(core.ReplyToPeer); ok {
				w.flight = append(w.flight, func() {
					w.heard(h.id, r.Message)
					w.step(h, core.PeerReplied{Call: c.ID, Message: r.Message})
				})
				continue
			}
			w.carryOut(to, cmd)
		}
		return
	}
	w.step(h, core.PeerFailed{Call: c.ID})
}

var errLost = errors.New("no answer")

// reach is an error when the platform is out of a host's reach, or its answer lost.
func (w *town) reach(h *host, err error) error {
	if h.noPlat || w.lose() {
		return errLost
	}
	return err
}

// platform carries a command out at the store. An answer may be lost after the
// effect; a host that is cut off has none.
func (w *town) platform(h *host, cmd core.Command) {
	switch c := cmd.(type) {
	case core.ReadConfig:
		w.readConfig(h, c)
	case core.ReadHosts:
		w.step(h, core.HostsRead{RequestedAt: w.now})
	case core.ListLeases:
		w.listLeases(h, c)
	case core.ReadGuardedLeases:
		w.readWards(h, c)
	case core.ReadLeaseGuards:
		w.readLease(h, c)
	case core.BreakLease:
		err := errLost
		if !h.noPlat {
			err = w.reach(h, w.store.Delete(context.Background(), c.Lease.ID.ObjectName(), c.Lease.Version))
		}
		w.step(h, core.LeaseBreakEnded{Lease: c.Lease, OK: err == nil, OutcomeKnown: !errors.Is(err, errLost)})
	case core.WriteShardMap:
		if h.noPlat {
			w.step(h, core.ShardMapWritten{})
			return
		}
		v, err := w.store.Put("config/shards", c.Expected, c.Value)
		w.step(h, core.ShardMapWritten{Version: v, Value: c.Value, OK: w.reach(h, err) == nil})
	case core.WriteLease:
		w.writeLease(h, c.Command)
	}
}

func (w *town) readConfig(h *host, c core.ReadConfig) {
	asked := w.now
	l, err := w.store.List(context.Background(), "config/", true)
	if w.reach(h, err) != nil {
		w.step(h, core.PlatformFailed{Command: c})
		return
	}
	e := core.ConfigRead{RequestedAt: asked, Revision: l.Revision}
	for _, o := range l.Objects {
		e.Documents = append(e.Documents, gossip.Document{Name: gossip.Name(o.Name[len("config/"):]), Version: o.Version, Value: o.Value})
	}
	w.step(h, e)
}

func (w *town) listLeases(h *host, c core.ListLeases) {
	asked := w.now
	l, err := w.store.List(context.Background(), lease.Prefix, false)
	if w.reach(h, err) != nil {
		w.step(h, core.PlatformFailed{Command: c})
		return
	}
	e := core.LeasesListed{RequestedAt: asked, AnsweredAt: w.now, Revision: l.Revision}
	for _, o := range l.Objects {
		id, _ := lease.ParseObjectName(o.Name)
		e.Leases = append(e.Leases, lease.Entry{ID: id, Version: o.Version})
	}
	w.step(h, e)
}

func (w *town) readWards(h *host, c core.ReadGuardedLeases) {
	e := core.GuardedLeasesRead{RequestedAt: w.now, AnsweredAt: w.now}
	for _, id := range c.Leases {
		o, err := w.store.Get(context.Background(), id.ObjectName())
		if w.reach(h, nil) != nil {
			w.step(h, core.PlatformFailed{Command: c})
			return
		}
		if err == nil {
			e.Leases = append(e.Leases, lease.Entry{ID: id, Version: o.Version})
		}
	}
	w.step(h, e)
}

func (w *town) readLease(h *host, c core.ReadLeaseGuards) {
	o, err := w.store.Get(context.Background(), c.Lease.ID.ObjectName())
	if w.reach(h, err) != nil || o.Version != c.Lease.Version {
		return
	}
	var guards []ids.HostID
	_ = json.Unmarshal(o.Value, &guards)
	w.step(h, core.LeaseGuardsRead{Lease: c.Lease, Guards: guards})
}

func (w *town) writeLease(h *host, cmd lease.Command) {
	put := func(t ids.Term, expected ids.Version, sent time.Time, guards []ids.HostID) {
		v, err := ids.Version(0), errLost
		if !h.noPlat {
			name := lease.ID{Host: h.id, Term: t}.ObjectName()
			value, _ := json.Marshal(guards)
			v, err = w.store.Put(name, expected, value)
			if errors.Is(err, platform.ErrConflict) {
				// An earlier write of the host's own, or the lease is gone.
				o, gone := w.store.Get(context.Background(), name)
				if err = gone; gone == nil {
					v, err = w.store.Put(name, o.Version, value)
				}
			}
			err = w.reach(h, err)
		}
		if err == nil {
			w.step(h, core.LeaseWritten{Written: lease.Written{Term: t, Version: v, Sent: sent, Guards: guards}})
			return
		}
		w.step(h, core.LeaseWriteFailed{Failed: lease.WriteFailed{Term: t, Lost: errors.Is(err, platform.ErrNotFound)}})
	}
	switch c := cmd.(type) {
	case lease.Create:
		put(c.Term, 0, c.Sent, c.Guards)
	case lease.Renew:
		put(c.Term, c.Expected, c.Sent, c.Guards)
	case lease.Remove:
		_ = w.store.Delete(context.Background(), lease.ID{Host: h.id, Term: c.Term}.ObjectName(), c.Expected)
	}
}

func (w *town) note(h *host, what string, on bool) {
	w.line = append(w.line, fmt.Sprintf("%s %s %s: %t", w.now.Sub(start), h.id, what, on))
}

// deliver lets some of what is on its way arrive.
func (w *town) deliver(most int) {
	for range min(most, len(w.flight)) {
		f := w.flight[0]
		w.flight = w.flight[1:]
		f()
	}
}

// owners returns the hosts that would act as a shard's owner at this moment.
func (w *town) owners(s ids.ShardID) (list []ids.HostID) {
	for _, h := range w.hosts {
		if _, ok := h.core.OwnsShard(w.now, s); ok {
			list = append(list, h.id)
		}
	}
	return list
}

// TestOneOwner pauses hosts, cuts them off, takes the platform away and loses
// messages: at no moment do two hosts act as a shard's owner, a paused one included.
func TestOneOwner(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newTown(rapid.IntRange(2, 4).Draw(rt, "hosts"))
		lossy := rapid.IntRange(0, 3).Draw(rt, "loss")
		w.lose = func() bool { return rapid.IntRange(0, 19).Draw(rt, "lost") < lossy }
		for range rapid.IntRange(50, 300).Draw(rt, "steps") {
			w.now = w.now.Add(time.Duration(rapid.SampledFrom([]int{25, 200, 600, 2000}).Draw(rt, "pause")) * time.Millisecond)
			h := w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(rt, "host")]
			switch rapid.IntRange(0, 24).Draw(rt, "what") {
			case 0:
				h.paused = !h.paused
				w.note(h, "paused", h.paused)
			case 1:
				h.noPlat = !h.noPlat
				w.note(h, "cut from the platform", h.noPlat)
			case 2:
				h.noPeer = !h.noPeer
				w.note(h, "cut from peers", h.noPeer)
			case 3:
				down := rapid.Bool().Draw(rt, "platform away")
				for _, x := range w.hosts {
					x.noPlat = down
					w.note(x, "cut from the platform", down)
				}
			}
			for _, x := range w.hosts {
				if !x.paused {
					w.step(x, core.Tick{})
				}
			}
			w.deliver(rapid.SampledFrom([]int{0, 5, 200}).Draw(rt, "deliver"))
			for s := range ids.ShardID(shards) {
				if list := w.owners(s); len(list) > 1 {
					rt.Fatalf("shard %d has the owners %v at %s\n%s", s, list, w.now.Sub(start), strings.Join(w.line, "\n"))
				}
			}
		}
	})
}

// run advances the town in quiet steps.
func (w *town) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(25 * time.Millisecond) {
		for _, h := range w.hosts {
			if !h.paused {
				w.step(h, core.Tick{})
			}
		}
		w.deliver(1000)
	}
}

// TestOutageIsBridged takes the platform away for minutes: owners go on as long as
// their guards answer, and a host that alone is cut off is succeeded.
func TestOutageIsBridged(t *testing.T) {
	w := newTown(3)
	w.run(20 * time.Second)
	held := func() (n int) {
		for s := range ids.ShardID(shards) {
			n += len(w.owners(s))
		}
		return n
	}
	if held() != shards {
		t.Fatalf("%d of %d shards have an owner", held(), shards)
	}
	for _, h := range w.hosts {
		h.noPlat = true
	}
	for range 300 {
		w.run(time.Second)
		if held() != shards {
			t.Fatalf("%d of %d shards have an owner in the outage, after %s", held(), shards, w.now.Sub(start))
		}
	}
	for _, h := range w.hosts[1:] {
		h.noPlat = false
	}
	w.run(40 * time.Second)
	if held() != shards {
		t.Fatalf("%d of %d shards have an owner after the outage", held(), shards)
	}
	for s := range ids.ShardID(shards) {
		if w.owners(s)[0] == w.hosts[0].id {
			t.Fatalf("shard %d stays with the host that is cut off", s)
		}
	}
}

// TestEachHostIsSucceeded pauses each host of a fleet in which some watch over no
// leases but their wards': its shards get another owner, and it comes back.
func TestEachHostIsSucceeded(t *testing.T) {
	w := newTown(12)
	w.run(30 * time.Second)
	for _, h := range w.hosts {
		h.paused = true
		w.run(30 * time.Second)
		for s := range ids.ShardID(shards) {
			if list := w.owners(s); len(list) != 1 || list[0] == h.id {
				t.Fatalf("shard %d has the owners %v with %s paused", s, list, h.id)
			}
		}
		h.paused = false
		w.run(15 * time.Second)
	}
}

// TestCutHostGivesUp cuts a host from its peers but not from the platform: nobody
// could ask it for its shards, so others get them.
func TestCutHostGivesUp(t *testing.T) {
	for _, hosts := range []int{2, 3, 5} {
		w := newTown(hosts)
		w.run(20 * time.Second)
		cut := w.hosts[hosts-1]
		cut.noPeer = true
		w.run(30 * time.Second)
		for s := range ids.ShardID(shards) {
			if list := w.owners(s); len(list) != 1 || list[0] == cut.id {
				t.Fatalf("%d hosts: shard %d has the owners %v with %s cut off", hosts, s, list, cut.id)
			}
		}
		cut.noPeer = false
		w.run(20 * time.Second)
		if n := len(w.hosts); n > 1 && len(w.owners(0)) != 1 {
			t.Fatalf("shard 0 has no owner after the cut")
		}
	}
}
