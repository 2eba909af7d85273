package main

import (
	"bytes"
	"fmt"
	"net/http"
	"time"
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

// manyItems has a client submit one batch job of the largest body that is allowed. With trouble, the client is one that isn't controlled:
// its job lists more items than a batch job may have. The front has to stay within its memory.
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
	watch := w.watchMemory()
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
	answered := w.ordinaryRequest(10 * time.Second)
	kills, ends, most := watch.end()
	w.note("%d processes killed, %d ended by themselves; a front used %d MB of %d; ordinary request answered at the end: %t", kills, ends, most, smallFrontMB, answered)
	if kills+ends > 0 {
		breaks = append(breaks, fmt.Sprintf("Fault: %d of 3 submissions made a front use more than its memory (%d MB of %d)", kills+ends, most, smallFrontMB))
	}
	if !answered {
		breaks = append(breaks, "an ordinary request isn't answered afterwards")
	}
	return breaks, nil
}

// ordinaryRequest reports whether an ordinary batch job is accepted at the first front, which may have to start again first.
func (w *world) ordinaryRequest(timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		id := newID()
		body, err := submission(id, 2, 300)
		if err == nil && w.submit(w.fronts[0], id, body).status == http.StatusAccepted {
			return true
		}
	}
	return false
}
