package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	// readers is the number of clients that read one batch job at a time.
	readers = 150
	// slowPause is a slow client's pause after each segment: it reads some 60 KB a second.
	slowPause = 20 * time.Millisecond
	// segmentBytes is the segment of an ordinary link. The large segments of the loopback device would have the kernel take over the
	// whole answer.
	segmentBytes = 1400
	// readTime is how long a client reads before it gives up, and readingTime how long all clients go on.
	readTime    = 10 * time.Second
	readingTime = 20 * time.Second
)

// slowReaders has a batch job of 200 items completed, and then read by many clients of its tenant. With trouble, they read slowly. The
// front has to stay within its memory.
func slowReaders(record string, trouble bool) (breaks []string, err error) {
	w, err := newWorld(record, options{
		fronts: 1, storage: 3, servers: 3, frontMB: smallFrontMB, storageMB: 164, slots: 8, events: 231, eventBytes: 20,
		config: configuration(7, streamRoute(), plainRoute(1500), batchRoute()),
	})
	if w != nil {
		defer w.stop()
	}
	if err != nil {
		return nil, err
	}
	id := newID()
	body, err := submission(id, 200, 300)
	if err != nil {
		return nil, err
	}
	if a := w.submit(w.fronts[0], id, body); a.status != http.StatusAccepted {
		return nil, fmt.Errorf("job not accepted: %d %v", a.status, a.err)
	}
	if _, _, err := w.readAll(w.fronts[0], id, 30*time.Second); err != nil {
		return nil, err
	}
	pause := time.Duration(0)
	if trouble {
		pause = slowPause
	}
	watch := w.watchMemory()
	end := time.Now().Add(readingTime)
	var clients sync.WaitGroup
	for range readers {
		clients.Go(func() {
			for time.Now().Before(end) {
				n, err := readSlowly(w.fronts[0], id, pause)
				w.note("client read %d bytes: %v", n, err)
				time.Sleep(500 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	kills, ends, most := watch.end()
	w.note("%d clients; %d processes killed, %d ended by themselves; the front used %d MB of %d", readers, kills, ends, most, smallFrontMB)
	if kills+ends > 0 {
		breaks = append(breaks, fmt.Sprintf("Fault: the front used more than its memory %d times (%d MB of %d)", kills+ends, most, smallFrontMB))
	}
	return breaks, nil
}

// readSlowly reads a job's results with a pause after each segment, and returns how many bytes came.
func readSlowly(f *host, id string, pause time.Duration) (n int, err error) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 16<<10)
		})
	}}
	c, err := d.Dial("tcp", net.JoinHostPort(f.settings.ip, strconv.Itoa(f.settings.callerPort)))
	if err != nil {
		return 0, err
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(readTime)); err != nil {
		return 0, err
	}
	_, err = fmt.Fprintf(c, "GET /lots/%s?after=0 HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nX-Verbenaledge-Wait-Ms: 1000\r\nConnection: close\r\n\r\n", id, hostName, tenantKey)
	for part := make([]byte, segmentBytes); err == nil; time.Sleep(pause) {
		var got int
		got, err = c.Read(part)
		n += got
	}
	return n, err
}
