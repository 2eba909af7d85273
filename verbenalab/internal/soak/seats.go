package soak

import (
	"context"
	"encoding/json"
	"syscall"
	"time"

	"verbenaledge.example/platform/standin"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/ownership"
	"verbenaledge.example/verbenalab/internal/relay"
)

const (
	// standbyAfter is how long after the dispatcher its standby is harmed as well: hosts have gone over to it.
	standbyAfter = 300 * time.Millisecond
	// seatTargets: the dispatcher is harmed, or its standby after it.
	seatTargets = 2
)

// onSeats harms the dispatcher, and for the second target its standby soon after.
func onSeats(harm, mend func(*host)) trouble {
	return trouble{seatTargets, func(t *Town, target int) {
		dispatcher, standby := t.seats()
		if dispatcher != nil {
			harm(dispatcher)
		}
		if target > 0 && standby != nil {
			time.AfterFunc(standbyAfter, func() { harm(standby) })
		}
	}, func(t *Town, _ int) {
		for _, h := range t.hosts[fronts:] {
			mend(h)
		}
	}}
}

// seats finds the dispatcher and its standby in the map of owners.
func (t *Town) seats() (dispatcher, standby *host) {
	o, err := t.store.Get(context.Background(), "verbena-owners", "map")
	if err != nil {
		return nil, nil // the store is harmed as well
	}
	var m ownership.Map
	if err := json.Unmarshal(o.Spec, &m); err != nil {
		return nil, nil // no host can read it either; the checks tell
	}
	return t.named(m.Units[ownership.Dispatch].Host), t.named(m.Standby.Host)
}

func (t *Town) named(name ids.HostID) *host {
	for _, h := range t.hosts {
		if h.name == string(name) {
			return h
		}
	}
	return nil
}

func cut(h *host) {
	h.peers.SetMode(relay.DropAll)
	h.storeLink.SetMode(relay.DropAll)
}

func reconnect(h *host) {
	h.peers.Restore()
	h.storeLink.Restore()
}

// laterTroubles are drawn beside the others by a generator of their own, so that the plans of earlier seeds hold.
var laterTroubles = map[FaultKind]trouble{
	"seats_killed": onSeats(func(h *host) { h.kill() }, func(h *host) { h.ensure() }),
	"seats_paused": onSeats(func(h *host) { h.signal(syscall.SIGSTOP) }, func(h *host) { h.signal(syscall.SIGCONT) }),
	"seats_cut":    onSeats(cut, reconnect),

	"server_comments":      onServer(standin.StallWithComments),
	"server_slow_stream":   onServer(standin.SlowStream),
	"server_endless_head":  onServer(standin.EndlessHead),
	"server_endless_event": onServer(standin.EndlessEvent),
}
