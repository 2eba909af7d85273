package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// keptConnectionsTrial stops a host while it has connections.
type keptConnectionsTrial struct {
	env    *Environment
	host   *host
	plan   KeptConnectionsPlan
	random *rand.Rand

	mu sync.Mutex
	// calls are those sent since the SIGTERM of each stop.
	calls []Call
}

// stopHost opens connections, stops the host, uses each connection once more, and starts the host again.
func (t *keptConnectionsTrial) stopHost(stop int) (err error) {
	var connections []*keptConnection
	defer func() {
		for _, k := range connections {
			k.close()
		}
		if err != nil {
			err = fmt.Errorf("stop %d of %s: %w", stop, t.host.name, err)
		}
	}()
	for n := range t.plan.Connections {
		k, err := openConnection(t.host)
		if err != nil {
			return err
		}
		connections = append(connections, k)
		c, err := k.call(fmt.Sprintf("first-%d-%d", stop, n))
		if err != nil {
			return err
		}
		if c.Status != http.StatusOK {
			return fmt.Errorf("status %d of %s", c.Status, c.ID)
		}
	}
	began := time.Now()
	t.host.stop()
	var running sync.WaitGroup
	for n, k := range connections {
		at := began.Add(t.plan.Used.pick(t.random))
		running.Go(func() {
			time.Sleep(time.Until(at))
			t.call(k, fmt.Sprintf("second-%d-%d", stop, n))
		})
	}
	running.Wait()
	t.host.ensureRunning() // once it has stopped
	return nil
}

func (t *keptConnectionsTrial) call(k *keptConnection, id string) {
	c, _ := k.call(id) // an error shows as an incomplete answer
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls = append(t.calls, c)
}
