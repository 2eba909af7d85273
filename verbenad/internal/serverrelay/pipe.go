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
	// readRestTimeout is how long what a server has sent is still read after a write to it has failed.
	readRestTimeout = 300 * time.Millisecond
	// requestPoll is the time between checks whether the server has received more.
	requestPoll = 20 * time.Millisecond
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
	// closedByServer is set before the host is told that the server closed its direction in order.
	closedByServer atomic.Bool
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
	if p.copyResponses() && p.awaitRequests(requestsEnded) {
		p.confirmEnd()
	}
	p.close()
	<-requestsEnded
}

// copyRequests copies what the host sends. When the host closes its connection, so is the server's.
func (p *pipe) copyRequests(reader io.Reader) {
	buffer := make([]byte, requestBufferSize)
	for {
		n, err := reader.Read(buffer)
		if n > 0 && p.writeToServer(buffer[:n]) != nil {
			_ = p.server.SetReadDeadline(time.Now().Add(readRestTimeout)) // what has arrived is still read
			return
		}
		if err != nil {
			if !p.closedByServer.Load() {
				_ = p.server.Close() // the server stops working for a host that has gone
			}
			return
		}
	}
}

// awaitRequests waits until the host has closed its direction, while the server goes on receiving what the host sends: a server
// may close its own direction before it has read a request. It returns false if the host sends nothing more and stays connected.
func (p *pipe) awaitRequests(requestsEnded <-chan struct{}) bool {
	poll := time.NewTicker(requestPoll)
	defer poll.Stop()
	for receipt := tcpstate.NewReceipt(p.server); !receipt.Stalled(); {
		select {
		case <-requestsEnded:
			return true
		case <-poll.C:
		}
	}
	return false
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

// copyResponses copies what the server sends, and at last how its connection ended. It returns true if that was in order.
func (p *pipe) copyResponses() (closedInOrder bool) {
	buffer := make([]byte, chunkHeaderSize+maxChunkSize)
	for {
		n, err := p.server.Read(buffer[chunkHeaderSize:])
		if n > 0 {
			putChunkHeader(buffer, dataChunk, n)
			if p.writeToHost(buffer[:chunkHeaderSize+n]) != nil {
				return false // the host has gone
			}
		}
		if err != nil {
			return p.writeEnd(err)
		}
	}
}

// writeEnd tells the host how the server's connection ended. It returns true if that was in order, as far as the host has sent
// its requests.
func (p *pipe) writeEnd(err error) (closedInOrder bool) {
	if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) && p.gaveUp.Load() {
		return false // ended by this host; the other one takes the end of its connection for the relay's
	}
	closedInOrder = errors.Is(err, io.EOF) && p.requestsReceived()
	p.closedByServer.Store(closedInOrder)
	if err := p.writeToHost(endChunk(closedInOrder)); err != nil {
		log.WithError(err).Info("end of a relayed connection not sent")
	}
	return closedInOrder
}

// confirmEnd tells the host whether the server, which had closed its direction in order, has received the rest of the request.
func (p *pipe) confirmEnd() {
	_ = p.writeToHost(endChunk(p.requestsReceived())) // most hosts have all that they need, and are gone
}

// endChunk returns the chunk for the end of a server's connection.
func endChunk(closedInOrder bool) []byte {
	kind := resetChunk
	if closedInOrder {
		kind = closedChunk
	}
	var chunk [chunkHeaderSize]byte
	putChunkHeader(chunk[:], kind, 0)
	return chunk[:]
}

// requestsReceived reports whether the server, which has closed its direction, did so in order and received all that the host has
// sent.
func (p *pipe) requestsReceived() bool {
	return p.requestsWritten() && tcpstate.ClosedInOrder(p.server)
}

// requestsWritten reports whether all writes to the server have succeeded.
func (p *pipe) requestsWritten() bool {
	for receipt := tcpstate.NewReceipt(p.server); !p.serverMu.TryLock(); time.Sleep(time.Millisecond) {
		if receipt.Stalled() {
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
