package serverrelay

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"verbenaledge.example/verbenad/internal/tcpstate"
)

const (
	// pipeWriteTimeout is how long a write may take before the connection counts as lost: longer than callers pause.
	pipeWriteTimeout = 10 * time.Second
	// requestWriteWait is how long the end of a server's connection waits for a write to it to return: the kernel may have
	// reported a reset to that write only.
	requestWriteWait = 300 * time.Millisecond
	// requestBufferSize is in bytes.
	requestBufferSize = 4 << 10
)

// pipe is a relayed connection.
type pipe struct {
	host, server net.Conn

	// hostMu is held while a chunk is written to the host.
	hostMu sync.Mutex
	// serverMu is held while bytes are written to the server. writeFailed is set if that has failed.
	serverMu    sync.Mutex
	writeFailed bool
	// gaveUp is set if that took too long.
	gaveUp atomic.Bool
}

func (p *pipe) close() {
	_ = p.host.Close() // the copies end
	_ = p.server.Close()
}

// run copies both ways until one end closes its connection. reader holds what the host has sent already.
func (p *pipe) run(reader io.Reader) {
	requestsEnded := make(chan struct{})
	go func() {
		defer close(requestsEnded)
		p.copyRequests(reader)
	}()
	p.copyResponses()
	p.close()
	<-requestsEnded
}

// copyRequests copies what the host sends. When the host closes its connection, so is the server's.
func (p *pipe) copyRequests(reader io.Reader) {
	buffer := make([]byte, requestBufferSize)
	for {
		n, err := reader.Read(buffer)
		if n > 0 && p.writeToServer(buffer[:n]) != nil {
			_ = p.server.SetReadDeadline(time.Now().Add(requestWriteWait)) // what has arrived is still read
			return
		}
		if err != nil {
			_ = p.server.Close() // the server stops working for a host that has gone
			return
		}
	}
}

func (p *pipe) writeToServer(b []byte) (err error) {
	p.serverMu.Lock()
	defer p.serverMu.Unlock()
	if err = p.server.SetWriteDeadline(time.Now().Add(pipeWriteTimeout)); err == nil {
		_, err = p.server.Write(b)
	}
	if err != nil {
		p.writeFailed = true
		p.gaveUp.Store(errors.Is(err, os.ErrDeadlineExceeded))
		if !errors.Is(err, net.ErrClosed) {
			log.WithError(err).Info("relayed request not sent")
		}
	}
	return err
}

// copyResponses copies what the server sends, and at last how its connection ended.
func (p *pipe) copyResponses() {
	buffer := make([]byte, chunkHeaderSize+maxChunkSize)
	for {
		n, err := p.server.Read(buffer[chunkHeaderSize:])
		if n > 0 {
			putChunkHeader(buffer, dataChunk, n)
			if p.writeToHost(buffer[:chunkHeaderSize+n]) != nil {
				return // the host has gone
			}
		}
		if err != nil {
			p.writeEnd(err)
			return
		}
	}
}

// writeEnd tells the host how the server's connection ended.
func (p *pipe) writeEnd(err error) {
	if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) && p.gaveUp.Load() {
		return // ended by this host; the other one takes the end of its connection for the relay's
	}
	kind := resetChunk
	if errors.Is(err, io.EOF) && p.requestsWritten() && tcpstate.ClosedInOrder(p.server, requestWriteWait) {
		kind = closedChunk
	}
	var chunk [chunkHeaderSize]byte
	putChunkHeader(chunk[:], kind, 0)
	if err := p.writeToHost(chunk[:]); err != nil {
		log.WithError(err).Info("end of a relayed connection not sent")
	}
}

// requestsWritten reports whether all writes to the server have succeeded.
func (p *pipe) requestsWritten() bool {
	for end := time.Now().Add(requestWriteWait); !p.serverMu.TryLock(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			return false
		}
	}
	defer p.serverMu.Unlock()
	return !p.writeFailed
}

func (p *pipe) writeToHost(chunk []byte) error {
	p.hostMu.Lock()
	defer p.hostMu.Unlock()
	if err := p.host.SetWriteDeadline(time.Now().Add(pipeWriteTimeout)); err != nil {
		return err
	}
	_, err := p.host.Write(chunk)
	return err
}

// announceStop asks the host to send no further request on the connection.
func (p *pipe) announceStop() {
	var chunk [chunkHeaderSize]byte
	putChunkHeader(chunk[:], stoppingChunk, 0)
	if err := p.writeToHost(chunk[:]); err != nil {
		log.WithError(err).Info("stop not announced on a relayed connection")
	}
}
