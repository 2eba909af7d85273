package soak

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/platform/standin"
)

// The limits in the settings of the hosts under attack. They are the bounds of the test: a process that exceeds its memory is killed.
const (
	hostileMemoryMB     = 112
	hostileMaxOpenFiles = 600
)

const (
	// hostileTime is how long a client keeps its connection at most.
	hostileTime = 4 * time.Second
	// hostileWriteBytes is how much a client writes at once, hostileWriteInterval the time between writes.
	hostileWriteBytes    = 16 << 10
	hostileWriteInterval = 25 * time.Millisecond
	// hostileTotalBytes is how much a client sends in all.
	hostileTotalBytes = 256 << 10
	// descriptorInterval is the time between counts of open descriptors.
	descriptorInterval = 20 * time.Millisecond
)

// hostileShape is what each client of a crowd does.
type hostileShape struct {
	name string
	// clients is the number of connections.
	clients int
	// port returns the port that the clients connect to.
	port int
	// begin is sent first. Then next returns what is sent at each interval, until it returns nothing.
	begin string
	next  func(sent int) []byte
	// sentOnce is set if the client waits after begin, until its time is over.
	sentOnce bool
	// unread is set if the client doesn't read what the host sends.
	unread bool
}

const hostileRequestLine = "POST /app/x HTTP/1.1\r\nHost: host.example\r\n"

// shortFields returns different fields without values.
func shortFields(sent, size int) []byte {
	var b bytes.Buffer
	for n := sent; b.Len() < size; n += 5 {
		b.WriteString("f" + strconv.FormatInt(int64(n), 36) + ":\r\n")
	}
	return b.Bytes()
}

// longFields returns fields of 900 bytes.
func longFields(sent, size int) []byte {
	var b bytes.Buffer
	for n := sent; b.Len() < size; n += 900 {
		fmt.Fprintf(&b, "f%d: %s\r\n", n, bytes.Repeat([]byte{'v'}, 880))
	}
	return b.Bytes()
}

// ordinaryHead is the head of a request that the hosts serve, without its last line.
func ordinaryHead(id string) string {
	return hostileRequestLine + "Authorization: Bearer " + keyWithinRate + "\r\n" + standin.HeaderRequestID + ": " + id + "\r\n"
}

// hostileShapes are the crowds. Their sizes and the limits above are fixed, and were before the hosts were protected.
var hostileShapes = []hostileShape{
	{
		name: "head of short fields without end", clients: 600, port: callerPort, begin: hostileRequestLine,
		next: func(sent int) []byte { return shortFields(sent, hostileWriteBytes) },
	},
	{
		name: "head of long fields without end", clients: 1200, port: callerPort, begin: hostileRequestLine,
		next: func(sent int) []byte { return longFields(sent, hostileWriteBytes) },
	},
	{
		name: "empty lines without end", clients: 300, port: callerPort,
		next: func(int) []byte { return bytes.Repeat([]byte("\r\n"), hostileWriteBytes/2) },
	},
	{name: "no byte", clients: 1200, port: callerPort, sentOnce: true},
	{
		name: "whole heads of short fields whose body never comes", clients: 400, port: callerPort, sentOnce: true,
		begin: ordinaryHead("hostile") + string(shortFields(0, 15<<10)) + "Content-Length: 10\r\n\r\n",
	},
	{
		name: "whole heads of short fields in series without reading", clients: 600, port: callerPort, unread: true,
		next: func(int) []byte {
			return []byte("GET /app/x HTTP/1.1\r\nHost: host.example\r\n" + string(shortFields(0, 15<<10)) + "\r\n")
		},
	},
	{
		name: "bodies sent in part", clients: 600, port: callerPort, begin: ordinaryHead("hostile") + "Content-Length: 4000000\r\n\r\n",
		next: func(int) []byte { return bytes.Repeat([]byte{'b'}, hostileWriteBytes) },
	},
	{
		name: "bodies in chunks of a byte", clients: 600, port: callerPort, begin: ordinaryHead("hostile") + "Transfer-Encoding: chunked\r\n\r\n",
		next: func(int) []byte { return bytes.Repeat([]byte("1\r\nb\r\n"), hostileWriteBytes/6) },
	},
	{
		name: "head of short fields to the readiness address", clients: 300, port: readyPort, begin: hostileRequestLine,
		next: func(sent int) []byte { return shortFields(sent, hostileWriteBytes) },
	},
	{
		name: "head of short fields to the metrics port", clients: 300, port: peerPort + 1, begin: hostileRequestLine,
		next: func(sent int) []byte { return shortFields(sent, hostileWriteBytes) },
	},
	{
		name: "frames of 16 MiB announced to the port between hosts", clients: 300, port: peerPort,
		begin: "\x01\x00\x00\x00", sentOnce: true,
	},
	{name: "no byte to the readiness address", clients: 800, port: readyPort, sentOnce: true},
	{name: "no byte to the metrics port", clients: 800, port: peerPort + 1, sentOnce: true},
	{name: "no byte to the port between hosts", clients: 800, port: peerPort, sentOnce: true},
}

// TestHostileClients guards against clients that end a process by its memory or descriptors before it knows their requests: heads
// and empty lines without end, heads that cost many times their bytes once parsed, and connections that carry nothing.
func TestHostileClients(t *testing.T) {
	for n, s := range hostileShapes {
		t.Run(s.name, func(t *testing.T) { s.check(qt.New(t), n) })
	}
}

func (s hostileShape) check(c *qt.C, n int) {
	env, err := NewEnvironment(Options{
		ProgramsDir: programsDir, Dir: c.TempDir(), Seed: 1, Rate: 100_000, Subnet: fmt.Sprintf("%d.%d", 90+n, 1+os.Getpid()%250),
		memoryMB: hostileMemoryMB, maxOpenFiles: hostileMaxOpenFiles,
	})
	c.Assert(err, qt.IsNil, qt.Commentf("are the programs built? `make build`"))
	defer func() { c.Check(env.Close(), qt.IsNil) }()
	callers := &Callers{env: env}
	c.Assert(env.eventually(c.Context(), startTimeout, "start", "every host serves", callers.allServing), qt.IsTrue)
	target := env.hosts[0]
	pid := target.process.PID()
	attackEnded, counted := make(chan struct{}), make(chan int)
	go func() { counted <- mostDescriptors(pid, attackEnded) }()
	var wg sync.WaitGroup
	for range s.clients {
		wg.Go(func() { s.attack(address(target.ip, s.port)) })
	}
	wg.Wait()
	close(attackEnded)
	descriptors := <-counted
	c.Assert(target.process.Exited(), qt.IsFalse)
	memory := peakMemory(c, target)
	c.Logf("%d clients: peak of memory %d MB of %d, open descriptors %d of %d", s.clients, memory, hostileMemoryMB, descriptors, hostileMaxOpenFiles)
	c.Check(memory < hostileMemoryMB, qt.IsTrue, qt.Commentf("%d MB", memory))
	c.Check(descriptors <= hostileMaxOpenFiles, qt.IsTrue, qt.Commentf("%d descriptors", descriptors))
	c.Assert(env.eventually(c.Context(), startTimeout, "after", "every host serves again", callers.allServing), qt.IsTrue)
}

// attack plays one client. The host may refuse it or close its connection at any moment.
func (s hostileShape) attack(at string) {
	end := time.Now().Add(hostileTime)
	conn, err := net.DialTimeout("tcp", at, hostileTime)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(end) // fails only on a closed connection, as the next operation then does
	if !s.unread {
		go func() { _, _ = io.Copy(io.Discard, conn) }() // ends with the connection
	}
	if _, err := io.WriteString(conn, s.begin); err != nil {
		return
	}
	for sent := 0; !s.sentOnce && sent < hostileTotalBytes; {
		b := s.next(sent)
		if _, err := conn.Write(b); err != nil {
			return
		}
		sent += len(b)
		time.Sleep(hostileWriteInterval)
	}
	time.Sleep(time.Until(end))
}

// mostDescriptors returns the largest number of open descriptors of a process until ended is closed.
func mostDescriptors(pid int, ended <-chan struct{}) (most int) {
	t := time.NewTicker(descriptorInterval)
	defer t.Stop()
	for {
		if all, err := os.ReadDir(filepath.Join("/proc", strconv.Itoa(pid), "fd")); err == nil {
			most = max(most, len(all))
		}
		select {
		case <-ended:
			return most
		case <-t.C:
		}
	}
}
