// Package platform executes the control loop's commands that call the platform.
package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/core"
	"verbenaledge.example/verbena/gossip"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/lease"
	api "verbenaledge.example/verbena/platform"
)

const (
	configPrefix      = "config/"
	watchTimeout      = time.Second
	leaseWriteTimeout = 3 * time.Second
)

// Poster accepts events for the control loop.
type Poster interface {
	Post(e core.Event)
}

// LeaseHolder is the stored value of a host's lease.
type LeaseHolder struct {
	Host    ids.HostID `json:"host"`
	Zone    ids.ZoneID `json:"zone"`
	Address string     `json:"address"`
	// Guards lists the hosts that may break the lease. Other hosts may break it only
	// when the leases of all guards are gone.
	Guards []ids.HostID `json:"guards,omitempty"`
}

// Executor calls the platform for the control loop and posts the results to it.
type Executor struct {
	store  api.Store
	clock  clock.Clock
	poster Poster
	self   LeaseHolder
}

// NewExecutor returns an executor that posts results to the poster.
func NewExecutor(store api.Store, c clock.Clock, poster Poster, self LeaseHolder) *Executor {
	return &Executor{store: store, clock: c, poster: poster, self: self}
}

// ObjectName returns the object name of a shared document.
func ObjectName(n gossip.Name) string {
	return configPrefix + string(n)
}

// ReadConfig reads the shared documents or waits for a change.
func (x *Executor) ReadConfig(ctx context.Context, cmd core.ReadConfig) {
	requestedAt := x.clock.Now()
	var (
		l   api.Listing
		err error
	)
	if cmd.Wait {
		l, err = x.store.Watch(ctx, configPrefix, cmd.After, watchTimeout)
	} else {
		l, err = x.store.List(ctx, configPrefix, true)
	}
	if err != nil {
		x.poster.Post(core.PlatformFailed{Command: cmd})
		return
	}
	if cmd.Wait && len(l.Objects) == 0 {
		// There was no change while the platform waited, so that the documents were
		// current at the end of the wait.
		requestedAt = requestedAt.Add(watchTimeout)
	}
	e := core.ConfigRead{RequestedAt: requestedAt, Revision: l.Revision}
	for _, o := range l.Objects {
		if !o.Deleted {
			e.Documents = append(e.Documents, gossip.Document{
				Name: gossip.Name(o.Name[len(configPrefix):]), Version: o.Version, Value: o.Value,
			})
		}
	}
	x.poster.Post(e)
}

// ReadHosts reads the host list.
func (x *Executor) ReadHosts(ctx context.Context, cmd core.ReadHosts) {
	requestedAt := x.clock.Now()
	l, err := x.store.Hosts(ctx, cmd.After)
	if err != nil {
		x.poster.Post(core.PlatformFailed{Command: cmd})
		return
	}
	x.poster.Post(core.HostsRead{RequestedAt: requestedAt, List: l})
}

// WriteLease creates, renews or removes the host's own lease.
func (x *Executor) WriteLease(ctx context.Context, cmd lease.Command) {
	ctx, cancel := context.WithTimeout(ctx, leaseWriteTimeout)
	defer cancel()
	switch cmd := cmd.(type) {
	case lease.Create:
		name := lease.ID{Host: x.self.Host, Term: cmd.Term}.ObjectName()
		v, err := x.store.Create(ctx, name, x.leaseValue(cmd.Guards))
		x.reportLeaseWrite(lease.Written{Term: cmd.Term, Version: v, Sent: cmd.Sent, Guards: cmd.Guards}, err)
	case lease.Renew:
		v, err := x.renewLease(ctx, cmd)
		x.reportLeaseWrite(lease.Written{Term: cmd.Term, Version: v, Sent: cmd.Sent, Guards: cmd.Guards}, err)
	case lease.Remove:
		name := lease.ID{Host: x.self.Host, Term: cmd.Term}.ObjectName()
		x.removeLease(ctx, name, cmd.Expected)
	}
}

// renewLease updates the lease. Only its holder updates it, so that a version conflict
// means that an earlier renewal took effect but its response was lost.
func (x *Executor) renewLease(ctx context.Context, cmd lease.Renew) (v ids.Version, err error) {
	name := lease.ID{Host: x.self.Host, Term: cmd.Term}.ObjectName()
	v, err = x.store.Update(ctx, name, cmd.Expected, x.leaseValue(cmd.Guards))
	if !errors.Is(err, api.ErrConflict) {
		return v, err
	}
	o, err := x.store.Get(ctx, name)
	if err != nil {
		return 0, err
	}
	return x.store.Update(ctx, name, o.Version, x.leaseValue(cmd.Guards))
}

func (x *Executor) reportLeaseWrite(w lease.Written, err error) {
	if err == nil {
		x.poster.Post(core.LeaseWritten{Written: w})
		return
	}
	lost := errors.Is(err, api.ErrNotFound)
	x.poster.Post(core.LeaseWriteFailed{Failed: lease.WriteFailed{Term: w.Term, Lost: lost}})
}

func (x *Executor) removeLease(ctx context.Context, name string, expected ids.Version) {
	err := x.store.Delete(ctx, name, expected)
	if !errors.Is(err, api.ErrConflict) {
		return
	}
	if o, err := x.store.Get(ctx, name); err == nil {
		_ = x.store.Delete(ctx, name, o.Version) // on failure, the lease expires
	}
}

// ListLeases lists the leases of all hosts.
func (x *Executor) ListLeases(ctx context.Context, cmd core.ListLeases) {
	requestedAt := x.clock.Now()
	l, err := x.store.List(ctx, lease.Prefix, false)
	if err != nil {
		x.poster.Post(core.PlatformFailed{Command: cmd})
		return
	}
	e := core.LeasesListed{RequestedAt: requestedAt, AnsweredAt: x.clock.Now(), Revision: l.Revision}
	for _, o := range l.Objects {
		if id, ok := lease.ParseObjectName(o.Name); ok {
			e.Leases = append(e.Leases, lease.Entry{ID: id, Version: o.Version})
		}
	}
	x.poster.Post(e)
}

// ReadGuardedLeases reads the leases that this host guards.
func (x *Executor) ReadGuardedLeases(ctx context.Context, cmd core.ReadGuardedLeases) {
	e := core.GuardedLeasesRead{RequestedAt: x.clock.Now()}
	for _, id := range cmd.Leases {
		o, err := x.store.Get(ctx, id.ObjectName())
		if errors.Is(err, api.ErrNotFound) {
			continue
		}
		if err != nil {
			x.poster.Post(core.PlatformFailed{Command: cmd})
			return
		}
		e.Leases = append(e.Leases, lease.Entry{ID: id, Version: o.Version})
	}
	e.AnsweredAt = x.clock.Now()
	x.poster.Post(e)
}

// BreakLease deletes another host's lease if it still has the observed version.
func (x *Executor) BreakLease(ctx context.Context, cmd core.BreakLease) {
	err := x.store.Delete(ctx, cmd.Lease.ID.ObjectName(), cmd.Lease.Version)
	outcomeKnown := err == nil || errors.Is(err, api.ErrConflict) || errors.Is(err, api.ErrNotFound)
	x.poster.Post(core.LeaseBreakEnded{Lease: cmd.Lease, OK: err == nil, OutcomeKnown: outcomeKnown})
}

// ReadLeaseGuards reads the guards of another host's lease.
func (x *Executor) ReadLeaseGuards(ctx context.Context, cmd core.ReadLeaseGuards) {
	o, err := x.store.Get(ctx, cmd.Lease.ID.ObjectName())
	if err != nil || o.Version != cmd.Lease.Version {
		return // the lease can't be read, is gone or has been renewed
	}
	var holder LeaseHolder
	if err := json.Unmarshal(o.Value, &holder); err != nil {
		return // written by a newer version, which the guards can read
	}
	x.poster.Post(core.LeaseGuardsRead{Lease: cmd.Lease, Guards: holder.Guards})
}

// WriteShardMap creates or updates the shard map.
func (x *Executor) WriteShardMap(ctx context.Context, cmd core.WriteShardMap) {
	var (
		v   ids.Version
		err error
	)
	if cmd.Expected == 0 {
		v, err = x.store.Create(ctx, ObjectName(gossip.Shards), cmd.Value)
	} else {
		v, err = x.store.Update(ctx, ObjectName(gossip.Shards), cmd.Expected, cmd.Value)
	}
	x.poster.Post(core.ShardMapWritten{Version: v, Value: cmd.Value, OK: err == nil})
}

func (x *Executor) leaseValue(guards []ids.HostID) []byte {
	holder := x.self
	holder.Guards = guards
	data, err := json.Marshal(holder)
	if err != nil {
		panic(fmt.Sprintf("marshal lease: %v", err)) // it holds only strings
	}
	return data
}
