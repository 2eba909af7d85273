package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"verbenaledge.example/platform/standin"
)

const (
	// maxBodyBytes is the limit that the configuration sets for bodies.
	maxBodyBytes = 4 << 20
	// smallFrontMB is the memory of a front machine of lusk-centrala.
	smallFrontMB = 134
)

// emptyItems returns a submission within maxBodyBytes that lists as many empty items as fit.
func emptyItems() []byte {
	const begin, item, end = `{"items":[{}`, `,{}`, `]}`
	b := []byte(begin)
	b = append(b, bytes.Repeat([]byte(item), (maxBodyBytes-len(begin)-len(end))/len(item))...)
	return append(b, end...)
}

// keptClient is an ordinary client, which sends one request after another on a connection that it keeps.
type keptClient struct {
	world *world
	front *host
	apps  []*appServer

	served, refused, lost int
}

// run sends requests until the time is over. A request is lost if it wasn't the first on its connection, has reached a server, and its
// connection is closed without an answer.
func (k *keptClient) run(end time.Time) {
	var c net.Conn
	var in *bufio.Reader
	for first := true; time.Now().Before(end); {
		if c == nil {
			var err error
			if c, err = net.DialTimeout("tcp", net.JoinHostPort(k.front.settings.ip, strconv.Itoa(k.front.settings.callerPort)), time.Second); err != nil {
				c = nil
				time.Sleep(100 * time.Millisecond)
				continue
			}
			in, first = bufio.NewReader(c), true
		}
		id := newID()
		status, closes, err := lookupOn(c, in, id)
		switch {
		case err == nil && status == http.StatusOK:
			k.served++
		case err == nil:
			k.refused++
			time.Sleep(100 * time.Millisecond)
		case !first && !errors.Is(err, os.ErrDeadlineExceeded) && k.reached(id):
			k.lost++
			k.world.note("lookup %s on a kept connection has reached a server; no answer: %v", id, err)
		}
		first = false
		if err != nil || closes {
			_ = c.Close()
			c = nil
		}
	}
	if c != nil {
		_ = c.Close()
	}
}

func (k *keptClient) reached(id string) bool {
	for _, a := range k.apps {
		if _, ok := a.ran.Load(id); ok {
			return true
		}
	}
	return false
}

// lookupOn sends a request on a connection and reads its answer. No path comes twice.
func lookupOn(c net.Conn, in *bufio.Reader, id string) (status int, closes bool, err error) {
	if err := c.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		return 0, true, err
	}
	_, err = fmt.Fprintf(c, "GET %s%s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n%s: %s\r\nX-Verbenaledge-Deadline-Ms: 3000\r\n\r\n",
		plainPrefix, id, hostName, tenantKey, standin.HeaderRequestID, id)
	if err != nil {
		return 0, true, err
	}
	r, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, true, err
	}
	_, err = io.Copy(io.Discard, r.Body)
	_ = r.Body.Close()
	return r.StatusCode, r.Close, err
}

const (
	// keptClients is the number of ordinary clients, and keptTime how long a server takes for one of their requests.
	keptClients = 8
	keptTime    = 250 * time.Millisecond
	// lostBound is how many requests may be lost.
	lostBound = 3
)

// manyItems has a client submit three batch jobs of the largest body that is allowed, one at a time, beside eight ordinary clients. With
// trouble, the client is one that isn't controlled: its jobs list more items than a batch job may have.
func manyItems(record string, trouble bool) (breaks []string, err error) {
	w, err := newWorld(record, options{
		fronts: 2, storage: 3, servers: 3, frontMB: smallFrontMB, storageMB: 164, slots: 8, events: 20,
		config: configuration(7, streamRoute(), plainRoute(1500), batchRoute()),
	})
	if w != nil {
		defer w.stop()
	}
	if err != nil {
		return nil, err
	}
	apps := make([]*appServer, 3)
	for n := range apps {
		apps[n] = &appServer{world: w, address: "127.0.0.1:0", zone: zone(n), takes: keptTime}
		if err := apps[n].start(fmt.Sprintf("a-%d", n)); err != nil {
			return nil, err
		}
	}
	time.Sleep(2 * time.Second)
	watch := w.watchMemory()
	clients, end := make([]keptClient, keptClients), time.Now().Add(19*time.Second)
	var all sync.WaitGroup
	for n := range clients {
		clients[n] = keptClient{world: w, front: w.fronts[0], apps: apps}
		all.Go(func() { clients[n].run(end) })
	}
	time.Sleep(2 * time.Second)
	for n := range 3 {
		id := newID()
		body, err := submission(id, 100, 30_000)
		if err != nil {
			return nil, err
		}
		if trouble {
			body = emptyItems()
		}
		a := call{
			front: w.fronts[0], method: http.MethodPost, path: batchPrefix + id[:6], host: hostName, key: tenantKey, id: id, deadline: 10 * time.Second, body: body,
		}.do()
		w.note("submission %d of %d bytes at %s: %d %v", n, len(body), w.fronts[0].settings.name, a.status, a.err)
		time.Sleep(5 * time.Second)
	}
	all.Wait()
	kills, ends, most := watch.end()
	served, refused, lost := 0, 0, 0
	for n := range clients {
		served, refused, lost = served+clients[n].served, refused+clients[n].refused, lost+clients[n].lost
	}
	w.note("%d processes killed, %d ended by themselves; a front used %d MB of %d", kills, ends, most, smallFrontMB)
	w.note("lookups: %d served, %d refused, %d lost", served, refused, lost)
	if served == 0 {
		return nil, errors.New("no lookup was served")
	}
	if lost > lostBound {
		breaks = append(breaks, fmt.Sprintf(
			"LOST: %d lookups on kept connections reached a server and got no answer; %d times a front used more than its memory (%d MB of %d)",
			lost, kills+ends, most, smallFrontMB,
		))
	}
	return breaks, nil
}
