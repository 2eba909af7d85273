package callerconn

import (
	"bytes"
	"errors"
	"io"
	"os"

	"verbenaledge.example/verbena/callerguard"
)

const (
	// parsedFactor times its bytes, and fieldBytes for each of its fields, is what a head takes once parsed: 62 KB of fields of 5 to 8
	// bytes took 985 KB, 140 bytes a field, with the garbage of their parsing.
	parsedFactor = 2
	fieldBytes   = 200
	// keptFieldBytes is what is kept of each field besides the head's bytes while the request runs: 2,600 fields of 6 bytes kept 86
	// bytes a field.
	keptFieldBytes = 100
	// maxLateReads bounds the reads of a head when the connection was to end. With the buffers of net/http, of 4 KiB, they bring a head
	// of the size that is allowed without a configuration.
	maxLateReads = 6
)

// requestReader reads the requests of a connection for net/http. It hands a head over once it is whole, and nothing that follows a
// request before the response is complete, but one byte: net/http reads that to notice that the caller leaves.
// Its methods are called by the goroutine that serves the connection, or by the one that reads for it meanwhile.
type requestReader struct {
	conn   *Conn
	guard  *Guard
	member *callerguard.Member
	// pending are the bytes that were read and not handed over, of which the first ready ones may be.
	pending []byte
	ready   int
	// scanned is the part of pending that head has seen.
	scanned int
	head    headScan
	// headBytes are those of the current head, with the empty lines before it.
	headBytes int
	// inHead is set between requests.
	inHead bool
	body   bodyScan
}

func newRequestReader(c *Conn, g *Guard) *requestReader {
	return &requestReader{conn: c, guard: g, member: callerguard.NewMember(c.evict), inHead: true}
}

// Read reads a part of the requests.
func (r *requestReader) Read(p []byte) (n int, err error) {
	if len(p) == 0 {
		return 0, nil
	}
	if r.inHead {
		if err := r.gather(p); err != nil {
			return 0, err
		}
	}
	switch {
	case r.ready > 0:
		n = copy(p, r.pending[:r.ready])
		r.ready -= n
		r.drop(n)
		return n, nil
	case r.body.phase == bodyEnded:
		return r.readNext(p[:1])
	case r.body.phase == plainBody:
		p = p[:min(int64(len(p)), r.body.left)] // nothing of the next head has to be kept
	}
	n, err = r.conn.readArriving(p)
	taken := r.body.feed(p[:n])
	r.pending = append(r.pending, p[taken:n]...) // within the buffer of net/http, and counted with the connection
	return taken, err
}

// readNext reads the first byte of the next head while a request runs.
func (r *requestReader) readNext(p []byte) (n int, err error) {
	if len(r.pending) > 0 {
		n = copy(p, r.pending)
		r.drop(n)
	} else {
		n, err = r.conn.readArriving(p)
	}
	r.headBytes += n
	r.head.feed(p[:n])
	return n, err
}

func (r *requestReader) drop(n int) {
	if r.pending = r.pending[n:]; len(r.pending) == 0 {
		r.pending = nil
	}
}

// idle is called when a response is complete.
func (r *requestReader) idle() {
	r.guard.idle(r.member)
	r.inHead = true
	if r.headBytes > 0 || len(r.pending) > 0 {
		r.guard.headBegins(r.member)
	}
}

// gather reads a head until it is whole. buffer is used for reading.
func (r *requestReader) gather(buffer []byte) error {
	if r.body.phase != bodyEnded {
		countClosed(callerguard.Unframed) // net/http found another end of the last request
		return io.EOF
	}
	if len(r.pending) > 0 {
		r.conn.headBegins()
		if !r.reserve(len(r.pending)) {
			return r.lateHead(buffer)
		}
	}
	for {
		if whole, err := r.scan(); whole || err != nil {
			return err
		}
		n, err := r.conn.readArriving(buffer)
		if n > 0 && r.headBytes == 0 && len(r.pending) == 0 {
			r.guard.headBegins(r.member)
		}
		r.pending = append(r.pending, buffer[:n]...)
		switch {
		case n > 0 && !r.reserve(n):
			return r.lateHead(buffer)
		case n > 0:
			r.conn.limitHead()
		case err != nil:
			return r.failed(err, buffer)
		}
	}
}

// reserve takes twice the bytes, as the space for them grows by doubling.
func (r *requestReader) reserve(n int) (ok bool) { return r.guard.reserve(r.member, parsedFactor*n) }

// scan looks for the end of the head in what has arrived.
func (r *requestReader) scan() (whole bool, err error) {
	if !r.head.begun() { // a server should ignore empty lines before a request
		rest := bytes.TrimLeft(r.pending, "\r\n")
		r.headBytes += len(r.pending) - len(rest)
		r.pending = rest
	}
	n, whole := r.head.feed(r.pending[r.scanned:])
	r.scanned += n
	r.headBytes += n
	switch {
	case r.headBytes > r.guard.limits.Load().HeaderBytes:
		return false, r.refuse("431 Request Header Fields Too Large", callerguard.HeadTooLarge)
	case whole:
		return true, r.begin()
	}
	return false, nil
}

// begin makes the whole head ready, with what has arrived of its body.
func (r *requestReader) begin() error {
	cost := r.headBytes + keptFieldBytes*r.head.lines
	if r.conn.evictedFor() != "" && !r.guard.resume(r.conn) {
		return r.evicted()
	}
	if !r.guard.begin(r.member, cost, parsedFactor*r.headBytes+fieldBytes*r.head.lines-cost) {
		if r.conn.evictedFor() != "" {
			return r.evicted()
		}
		return r.refuse("503 Service Unavailable\r\nRetry-After: 1", callerguard.NoMemory)
	}
	r.conn.awaitNothing()
	r.body = bodyOf(r.pending[:r.scanned])
	r.ready = r.scanned + r.body.feed(r.pending[r.scanned:])
	r.inHead, r.scanned, r.head, r.headBytes = false, 0, headScan{}, 0
	return nil
}

// failed returns the error of a read between requests, and counts it if this host's limits caused it.
func (r *requestReader) failed(err error, buffer []byte) error {
	if !errors.Is(err, os.ErrDeadlineExceeded) || !r.conn.overtime() {
		return err
	}
	return r.lateHead(buffer)
}

// lateHead makes a head ready that has arrived whole although the connection was to end. If it isn't whole, the connection ends.
func (r *requestReader) lateHead(buffer []byte) error {
	for range maxLateReads {
		if whole, err := r.scan(); whole || err != nil {
			return err
		}
		n := r.conn.readLate(buffer)
		if n == 0 {
			break
		}
		r.pending = append(r.pending, buffer[:n]...) // not reserved: the connection goes on, or ends, at once
	}
	switch {
	case r.conn.evictedFor() != "":
		return r.evicted()
	case r.headBytes > 0:
		return r.refuse("408 Request Timeout", callerguard.HeadTooSlow)
	}
	countClosed(callerguard.IdleTooLong)
	return os.ErrDeadlineExceeded
}

func (r *requestReader) evicted() error {
	r.pending = nil
	countClosed(r.conn.evictedFor())
	return io.EOF
}

// refuse answers a request that net/http doesn't get to see, and makes the connection close.
func (r *requestReader) refuse(status string, reason callerguard.Reason) error {
	r.pending = nil
	countClosed(reason)
	r.conn.answerAndClose("HTTP/1.1 " + status + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	return io.EOF
}
