package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// slowPrefix begins the ids of requests that take slowServiceTime.
const slowPrefix = "slow-"

// keptConnectionsTrial stops a host while it has connections.
type keptConnectionsTrial struct {
	env    *Environment
	host   *host
	plan   KeptConnectionsPlan
	random *rand.Rand

	mu sync.Mutex
	// calls are those sent since the SIGTERM of each stop, errs what kept others from being sent.
	calls []Call
	errs  []error
}

// stopHost stops the host, uses connections to it meanwhile, and starts it again.
func (t *keptConnectionsTrial) stopHost(stop int) (err error) {
	connections := make([]*keptConnection, t.plan.Connections)
	defer func() {
		for _, k := range connections {
			k.close()
		}
		if err != nil {
			err = fmt.Errorf("stop %d of %s: %w", stop, t.host.name, err)
		}
	}()
	if t.plan.opensBeforeStop() {
		if err := t.openUsed(connections, stop); err != nil {
			return err
		}
	}
	began := time.Now()
	t.host.stop()
	var running sync.WaitGroup
	for n := range connections {
		opened, used := began.Add(t.plan.Opened.pick(t.random)), began.Add(t.plan.Used.pick(t.random))
		running.Go(func() {
			if t.plan.opensBeforeStop() || t.openAt(&connections[n], opened) {
				time.Sleep(time.Until(used))
				t.call(connections[n], fmt.Sprintf("second-%d-%d", stop, n))
			}
		})
	}
	if t.plan.SlowFrom > 0 {
		running.Go(func() { t.callSlow(began.Add(t.plan.SlowFrom), fmt.Sprintf("%s%d", slowPrefix, stop)) })
	}
	running.Wait()
	t.host.ensureRunning() // once it has stopped
	return errors.Join(t.errs...)
}

// openUsed opens connections and sends a request on each, one after another.
func (t *keptConnectionsTrial) openUsed(connections []*keptConnection, stop int) (err error) {
	for n := range connections {
		if connections[n], err = openConnection(t.host); err != nil {
			return err
		}
		c, err := connections[n].call(fmt.Sprintf("first-%d-%d", stop, n))
		if err != nil {
			return err
		}
		if c.Status != http.StatusOK {
			return fmt.Errorf("status %d of %s", c.Status, c.ID)
		}
	}
	return nil
}

// openAt opens a connection at a time.
func (t *keptConnectionsTrial) openAt(k **keptConnection, at time.Time) (opened bool) {
	time.Sleep(time.Until(at))
	var err error
	if *k, err = openConnection(t.host); err != nil {
		t.addError(err)
	}
	return err == nil
}

// callSlow sends a request on a connection of its own. One without an answer of its server need not have kept the host busy.
func (t *keptConnectionsTrial) callSlow(at time.Time, id string) {
	var k *keptConnection
	if !t.openAt(&k, at) {
		return
	}
	defer k.close()
	if c := t.call(k, id); !c.Complete || c.Status != http.StatusOK {
		t.addError(fmt.Errorf("status %d of %s, complete: %t", c.Status, id, c.Complete))
	}
}

func (t *keptConnectionsTrial) call(k *keptConnection, id string) (c Call) {
	c, _ = k.call(id) // an error shows as an incomplete answer
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls = append(t.calls, c)
	return c
}

func (t *keptConnectionsTrial) addError(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.errs = append(t.errs, err)
}
