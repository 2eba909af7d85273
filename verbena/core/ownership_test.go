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

// cluster is a few hosts, one platform, and the calls in flight between them.
type cluster struct {
	now      time.Time
	store    *memory.Store
	hosts    []*host
	inFlight []func()
	isLost   func() bool
	// timeline holds the events of all hosts.
	timeline []string
	// routed holds the server that each routed request got.
	routed map[core.Ticket]ids.BackendID
	// onMessage is called with each message that reaches a host.
	onMessage func(h ids.HostID, m peer.Message)
}

// host is one core. A paused host does nothing, one with noPlatform can't reach the platform, and one with noPeers
// no other host.
type host struct {
	id         ids.HostID
	core       *core.Core
	paused     bool
	noPlatform bool
	noPeers    bool
}

var start = time.Unix(1_000_000, 0)

func newCluster(hosts int) *cluster {
	cl := &cluster{
		now: start, store: memory.New(), isLost: func() bool { return false }, onMessage: func(ids.HostID, peer.Message) {},
		routed: map[core.Ticket]ids.BackendID{},
	}
	seeds := map[ids.HostID]string{}
	for i := range hosts {
		seeds[ids.HostID(fmt.Sprint("h", i))] = "x"
	}
	for i := range hosts {
		c := core.DefaultConfig()
		c.Host, c.Zone, c.Seed = ids.HostID(fmt.Sprint("h", i)), ids.ZoneID(fmt.Sprint("z", i)), uint64(i)
		c.Seeds, c.Shards = seeds, shards
		cl.hosts = append(cl.hosts, &host{id: c.Host, core: core.New(c, cl.now)})
	}
	return cl
}

func (cl *cluster) step(h *host, e core.Event) {
	if h.paused {
		// An event for a paused process stays queued.
		cl.inFlight = append(cl.inFlight, func() { cl.step(h, e) })
		return
	}
	for _, cmd := range h.core.Step(cl.now, e) {
		cl.execute(h, cmd)
	}
}

func (cl *cluster) execute(h *host, cmd core.Command) {
	switch c := cmd.(type) {
	case core.CallPeer:
		cl.inFlight = append(cl.inFlight, func() { cl.callPeer(h, c) })
	case core.Routed:
		cl.routed[c.Ticket] = c.Server.ID
	case core.Record:
		cl.timeline = append(cl.timeline, fmt.Sprintf("%s %s %s %s", cl.now.Sub(start), h.id, c.Event.Kind, c.Event.Detail))
	case core.ReadConfig, core.ReadHosts, core.WriteLease, core.ListLeases, core.ReadGuardedLeases, core.ReadLeaseGuards, core.BreakLease, core.WriteShardMap:
		cl.inFlight = append(cl.inFlight, func() { cl.executePlatform(h, c) })
	}
}

func (cl *cluster) callPeer(h *host, c core.CallPeer) {
	for _, to := range cl.hosts {
		if to.id != c.To || to.paused || to.noPeers || h.noPeers || cl.isLost() {
			continue
		}
		cl.onMessage(to.id, c.Message)
		for _, cmd := range to.core.Step(cl.now, core.PeerMessageReceived{MessageID: 1, From: h.id, Message: c.Message}) {
			if r, ok := cmd.(core.ReplyToPeer); ok {
				cl.inFlight = append(cl.inFlight, func() {
					cl.onMessage(h.id, r.Message)
					cl.step(h, core.PeerReplied{Call: c.ID, Message: r.Message})
				})
				continue
			}
			cl.execute(to, cmd)
		}
		return
	}
	cl.step(h, core.PeerFailed{Call: c.ID})
}

var errLost = errors.New("no answer")

// platformError returns errLost if the host can't reach the platform or the answer is lost, else err.
func (cl *cluster) platformError(h *host, err error) error {
	if h.noPlatform || cl.isLost() {
		return errLost
	}
	return err
}

// executePlatform executes a command at the store. An answer may be lost after the command took effect. Writes of
// a host without the platform have no effect.
func (cl *cluster) executePlatform(h *host, cmd core.Command) {
	switch c := cmd.(type) {
	case core.ReadConfig:
		cl.readConfig(h, c)
	case core.ReadHosts:
		cl.step(h, core.HostsRead{RequestedAt: cl.now})
	case core.ListLeases:
		cl.listLeases(h, c)
	case core.ReadGuardedLeases:
		cl.readGuardedLeases(h, c)
	case core.ReadLeaseGuards:
		cl.readLeaseGuards(h, c)
	case core.BreakLease:
		err := errLost
		if !h.noPlatform {
			err = cl.platformError(h, cl.store.Delete(context.Background(), c.Lease.ID.ObjectName(), c.Lease.Version))
		}
		cl.step(h, core.LeaseBreakEnded{Lease: c.Lease, OK: err == nil, OutcomeKnown: !errors.Is(err, errLost)})
	case core.WriteShardMap:
		if h.noPlatform {
			cl.step(h, core.ShardMapWritten{})
			return
		}
		v, err := cl.store.Put("config/shards", c.Expected, c.Value)
		cl.step(h, core.ShardMapWritten{Version: v, Value: c.Value, OK: cl.platformError(h, err) == nil})
	case core.WriteLease:
		cl.writeLease(h, c.Command)
	}
}

func (cl *cluster) readConfig(h *host, c core.ReadConfig) {
	requestedAt := cl.now
	l, err := cl.store.List(context.Background(), "config/", true)
	if cl.platformError(h, err) != nil {
		cl.step(h, core.PlatformFailed{Command: c})
		return
	}
	e := core.ConfigRead{RequestedAt: requestedAt, Revision: l.Revision}
	for _, o := range l.Objects {
		e.Documents = append(e.Documents, gossip.Document{Name: gossip.Name(o.Name[len("config/"):]), Version: o.Version, Value: o.Value})
	}
	cl.step(h, e)
}

func (cl *cluster) listLeases(h *host, c core.ListLeases) {
	requestedAt := cl.now
	l, err := cl.store.List(context.Background(), lease.Prefix, false)
	if cl.platformError(h, err) != nil {
		cl.step(h, core.PlatformFailed{Command: c})
		return
	}
	e := core.LeasesListed{RequestedAt: requestedAt, AnsweredAt: cl.now, Revision: l.Revision}
	for _, o := range l.Objects {
		id, _ := lease.ParseObjectName(o.Name)
		e.Leases = append(e.Leases, lease.Entry{ID: id, Version: o.Version})
	}
	cl.step(h, e)
}

func (cl *cluster) readGuardedLeases(h *host, c core.ReadGuardedLeases) {
	e := core.GuardedLeasesRead{RequestedAt: cl.now, AnsweredAt: cl.now}
	for _, id := range c.Leases {
		o, err := cl.store.Get(context.Background(), id.ObjectName())
		if cl.platformError(h, nil) != nil {
			cl.step(h, core.PlatformFailed{Command: c})
			return
		}
		if err == nil {
			e.Leases = append(e.Leases, lease.Entry{ID: id, Version: o.Version})
		}
	}
	cl.step(h, e)
}

func (cl *cluster) readLeaseGuards(h *host, c core.ReadLeaseGuards) {
	o, err := cl.store.Get(context.Background(), c.Lease.ID.ObjectName())
	if cl.platformError(h, err) != nil || o.Version != c.Lease.Version {
		return
	}
	var guards []ids.HostID
	_ = json.Unmarshal(o.Value, &guards)
	cl.step(h, core.LeaseGuardsRead{Lease: c.Lease, Guards: guards})
}

func (cl *cluster) writeLease(h *host, cmd lease.Command) {
	put := func(t ids.Term, expected ids.Version, sentAt time.Time, guards []ids.HostID) {
		v, err := ids.Version(0), errLost
		if !h.noPlatform {
			name := lease.ID{Host: h.id, Term: t}.ObjectName()
			value, _ := json.Marshal(guards)
			v, err = cl.store.Put(name, expected, value)
			if errors.Is(err, platform.ErrConflict) {
				// An earlier write by the same host succeeded, or the lease is gone.
				o, getErr := cl.store.Get(context.Background(), name)
				if err = getErr; getErr == nil {
					v, err = cl.store.Put(name, o.Version, value)
				}
			}
			err = cl.platformError(h, err)
		}
		if err == nil {
			cl.step(h, core.LeaseWritten{Written: lease.Written{Term: t, Version: v, Sent: sentAt, Guards: guards}})
			return
		}
		cl.step(h, core.LeaseWriteFailed{Failed: lease.WriteFailed{Term: t, Lost: errors.Is(err, platform.ErrNotFound)}})
	}
	switch c := cmd.(type) {
	case lease.Create:
		put(c.Term, 0, c.Sent, c.Guards)
	case lease.Renew:
		put(c.Term, c.Expected, c.Sent, c.Guards)
	case lease.Remove:
		_ = cl.store.Delete(context.Background(), lease.ID{Host: h.id, Term: c.Term}.ObjectName(), c.Expected)
	}
}

func (cl *cluster) logChange(h *host, what string, on bool) {
	cl.timeline = append(cl.timeline, fmt.Sprintf("%s %s %s: %t", cl.now.Sub(start), h.id, what, on))
}

// deliver executes the oldest calls in flight, at most limit of them.
func (cl *cluster) deliver(limit int) {
	for range min(limit, len(cl.inFlight)) {
		f := cl.inFlight[0]
		cl.inFlight = cl.inFlight[1:]
		f()
	}
}

// owners returns the hosts that would act as a shard's owner now.
func (cl *cluster) owners(s ids.ShardID) (list []ids.HostID) {
	for _, h := range cl.hosts {
		if _, ok := h.core.OwnsShard(cl.now, s); ok {
			list = append(list, h.id)
		}
	}
	return list
}

// TestOneOwner pauses and disconnects hosts, makes the platform unreachable and loses messages. Two hosts must
// never act as a shard's owner at the same time, paused hosts included.
func TestOneOwner(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cl := newCluster(rapid.IntRange(2, 4).Draw(rt, "hosts"))
		lossy := rapid.IntRange(0, 3).Draw(rt, "loss")
		cl.isLost = func() bool { return rapid.IntRange(0, 19).Draw(rt, "lost") < lossy }
		for range rapid.IntRange(50, 300).Draw(rt, "steps") {
			cl.now = cl.now.Add(time.Duration(rapid.SampledFrom([]int{25, 200, 600, 2000}).Draw(rt, "pause")) * time.Millisecond)
			h := cl.hosts[rapid.IntRange(0, len(cl.hosts)-1).Draw(rt, "host")]
			switch rapid.IntRange(0, 24).Draw(rt, "what") {
			case 0:
				h.paused = !h.paused
				cl.logChange(h, "paused", h.paused)
			case 1:
				h.noPlatform = !h.noPlatform
				cl.logChange(h, "disconnected from the platform", h.noPlatform)
			case 2:
				h.noPeers = !h.noPeers
				cl.logChange(h, "disconnected from peers", h.noPeers)
			case 3:
				down := rapid.Bool().Draw(rt, "platform unreachable")
				for _, x := range cl.hosts {
					x.noPlatform = down
					cl.logChange(x, "disconnected from the platform", down)
				}
			}
			for _, x := range cl.hosts {
				if !x.paused {
					cl.step(x, core.Tick{})
				}
			}
			cl.deliver(rapid.SampledFrom([]int{0, 5, 200}).Draw(rt, "deliver"))
			for s := range ids.ShardID(shards) {
				if list := cl.owners(s); len(list) > 1 {
					rt.Fatalf("shard %d has the owners %v at %s\n%s", s, list, cl.now.Sub(start), strings.Join(cl.timeline, "\n"))
				}
			}
		}
	})
}

// run advances the cluster without further faults.
func (cl *cluster) run(d time.Duration) {
	for end := cl.now.Add(d); cl.now.Before(end); cl.now = cl.now.Add(25 * time.Millisecond) {
		for _, h := range cl.hosts {
			if !h.paused {
				cl.step(h, core.Tick{})
			}
		}
		cl.deliver(1000)
	}
}

// TestOwnersSurvivePlatformOutage makes the platform unreachable for minutes. Owners continue as long as their
// guards answer. When only one host stays without the platform, others take over its shards.
func TestOwnersSurvivePlatformOutage(t *testing.T) {
	cl := newCluster(3)
	cl.run(20 * time.Second)
	owned := func() (n int) {
		for s := range ids.ShardID(shards) {
			n += len(cl.owners(s))
		}
		return n
	}
	if owned() != shards {
		t.Fatalf("%d of %d shards have an owner", owned(), shards)
	}
	for _, h := range cl.hosts {
		h.noPlatform = true
	}
	for range 300 {
		cl.run(time.Second)
		if owned() != shards {
			t.Fatalf("%d of %d shards have an owner in the outage, after %s", owned(), shards, cl.now.Sub(start))
		}
	}
	for _, h := range cl.hosts[1:] {
		h.noPlatform = false
	}
	cl.run(40 * time.Second)
	if owned() != shards {
		t.Fatalf("%d of %d shards have an owner after the outage", owned(), shards)
	}
	for s := range ids.ShardID(shards) {
		if cl.owners(s)[0] == cl.hosts[0].id {
			t.Fatalf("shard %d is still owned by the disconnected host", s)
		}
	}
}

// TestPausedHostIsReplaced pauses each host of a fleet in which some hosts read only the leases that they guard.
// The paused host's shards must get another owner; afterwards the host resumes.
func TestPausedHostIsReplaced(t *testing.T) {
	cl := newCluster(12)
	cl.run(30 * time.Second)
	for _, h := range cl.hosts {
		h.paused = true
		cl.run(30 * time.Second)
		for s := range ids.ShardID(shards) {
			if list := cl.owners(s); len(list) != 1 || list[0] == h.id {
				t.Fatalf("shard %d has the owners %v with %s paused", s, list, h.id)
			}
		}
		h.paused = false
		cl.run(15 * time.Second)
	}
}

// TestHostWithoutPeersReleasesShards disconnects a host from its peers but not from the platform. Nobody could
// reach it as an owner, so others must get its shards.
func TestHostWithoutPeersReleasesShards(t *testing.T) {
	for _, hosts := range []int{2, 3, 5} {
		cl := newCluster(hosts)
		cl.run(20 * time.Second)
		disconnected := cl.hosts[hosts-1]
		disconnected.noPeers = true
		cl.run(30 * time.Second)
		for s := range ids.ShardID(shards) {
			if list := cl.owners(s); len(list) != 1 || list[0] == disconnected.id {
				t.Fatalf("%d hosts: shard %d has the owners %v with %s disconnected", hosts, s, list, disconnected.id)
			}
		}
		disconnected.noPeers = false
		cl.run(20 * time.Second)
		if n := len(cl.hosts); n > 1 && len(cl.owners(0)) != 1 {
			t.Fatalf("shard 0 has no owner after the host has reconnected")
		}
	}
}
