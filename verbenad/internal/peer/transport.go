// Package peer connects daemons with each other: one QUIC connection to each host with
// mutual TLS, and one stream for each message and its reply.
package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/quic-go/quic-go"

	"verbenaledge.example/verbena/ids"
	wire "verbenaledge.example/verbena/peer"
	"verbenaledge.example/verbena/timeline"
	"verbenaledge.example/verbenad/internal/metric"
	"verbenaledge.example/verbenad/internal/tlsfiles"
)

const (
	idleTimeout        = 8 * time.Second
	keepAliveInterval  = 3 * time.Second
	handshakeTimeout   = time.Second
	maxIncomingStreams = 4096
	callTimeout        = time.Second
	redialDelay        = 500 * time.Millisecond
	// batchCallTimeout applies to messages that request or carry batch items or their
	// outcomes, and to all served streams, whose kind of message isn't known at first.
	batchCallTimeout = 5 * time.Second
)

// ErrUnreachable reports that the last connection attempt to a host failed less than
// redialDelay ago.
var ErrUnreachable = errors.New("host is unreachable")

// Handler returns the reply to a message from a peer.
type Handler func(ctx context.Context, from ids.HostID, m wire.Message) wire.Message

// Transport serves calls from other daemons and calls them.
type Transport struct {
	self     ids.HostID
	files    *tlsfiles.Files
	quic     *quic.Transport
	handler  Handler
	timeline *timeline.Recorder

	mu       sync.Mutex
	links    map[ids.HostID]*link
	accepted map[*quic.Conn]bool
}

// link is the outgoing connection to one host, which is opened on first use.
type link struct {
	mu       sync.Mutex
	address  string
	conn     *quic.Conn
	failedAt time.Time
	// certificateRefused is true when a handshake failed because of a certificate and
	// none has succeeded since.
	certificateRefused bool
}

// New returns a transport that uses a UDP address.
func New(self ids.HostID, address string, files *tlsfiles.Files, r *timeline.Recorder) (t *Transport, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("listen for peers on %s: %w", address, err)
		}
	}()
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	socket, err := net.ListenUDP("udp", udp)
	if err != nil {
		return nil, err
	}
	return &Transport{
		self: self, files: files, timeline: r,
		// The reset key outlives the process, so that a daemon that was killed and
		// restarted notifies peers at once that their old connections are gone.
		quic:     &quic.Transport{Conn: socket, StatelessResetKey: files.ResetKey()},
		links:    map[ids.HostID]*link{},
		accepted: map[*quic.Conn]bool{},
	}, nil
}

// Serve serves calls from peers until the context ends.
func (t *Transport) Serve(ctx context.Context, h Handler) (err error) {
	t.handler = h
	listener, err := t.quic.Listen(t.files.ServerConfig(), quicConfig())
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	for {
		conn, err := listener.Accept(ctx)
		if err != nil {
			return nil
		}
		go t.serveConn(ctx, conn)
	}
}

// Close closes all connections.
func (t *Transport) Close() error {
	t.mu.Lock()
	for _, l := range t.links {
		l.close("stopping")
	}
	for c := range t.accepted {
		_ = c.CloseWithError(0, "stopping") // on failure, the peer times out
	}
	t.mu.Unlock()
	err := t.quic.Close()
	return errors.Join(err, t.quic.Conn.Close())
}

// Call sends a message and returns the reply. A refusal is returned as a message, not
// as an error.
func (t *Transport) Call(ctx context.Context, to ids.HostID, address string, m wire.Message) (reply wire.Message, err error) {
	defer func() {
		if err != nil {
			metric.PeerCallsFailed.Inc()
			err = fmt.Errorf("call %s: %w", to, err)
		}
	}()
	metric.PeerCalls.Inc()
	timeout := callTimeout
	if isBatchData(m) {
		timeout = batchCallTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	data, err := wire.Marshal(m)
	if err != nil {
		return nil, err
	}
	conn, err := t.connect(ctx, to, address)
	if err != nil {
		return nil, err
	}
	replyData, err := roundTrip(ctx, conn, data)
	if err != nil {
		return nil, err
	}
	countBytes(m, len(data), len(replyData))
	return wire.Unmarshal(replyData)
}

func roundTrip(ctx context.Context, conn *quic.Conn, request []byte) (replyData []byte, err error) {
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, err
	}
	defer stream.CancelRead(0)
	deadline, _ := ctx.Deadline()
	_ = stream.SetDeadline(deadline) // fails only on a closed stream, on which Write fails too
	if _, err := stream.Write(request); err != nil {
		stream.CancelWrite(0)
		return nil, err
	}
	if err := stream.Close(); err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(stream, wire.MaxMessageBytes))
}

func (t *Transport) connect(ctx context.Context, to ids.HostID, address string) (conn *quic.Conn, err error) {
	t.mu.Lock()
	l := t.links[to]
	if l == nil {
		l = &link{}
		t.links[to] = l
	}
	t.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil && l.address == address && l.conn.Context().Err() == nil {
		return l.conn, nil
	}
	if l.address == address && time.Since(l.failedAt) < redialDelay {
		return nil, ErrUnreachable
	}
	l.address = address
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	dialCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	l.conn, err = t.quic.Dial(dialCtx, udp, t.files.ClientConfig(to), quicConfig())
	if err != nil {
		l.conn, l.failedAt = nil, time.Now()
		t.reportRefusedCertificate(l, to, err)
		return nil, err
	}
	l.certificateRefused = false
	return l.conn, nil
}

// reportRefusedCertificate logs and records, once until a handshake succeeds, that this
// host or the other one doesn't accept the other's certificate.
func (t *Transport) reportRefusedCertificate(l *link, to ids.HostID, err error) {
	var transportErr *quic.TransportError
	if !errors.As(err, &transportErr) || !transportErr.ErrorCode.IsCryptoError() || l.certificateRefused {
		return
	}
	l.certificateRefused = true
	log.WithField("peer", string(to)).WithError(err).Warn("certificate refused")
	t.timeline.Record(timeline.Event{Kind: timeline.CertificateRefused, Detail: string(to) + ": " + transportErr.ErrorMessage})
}

func (l *link) close(reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		_ = l.conn.CloseWithError(0, reason) // on failure, the peer times out
	}
}

func (t *Transport) serveConn(ctx context.Context, conn *quic.Conn) {
	from, err := tlsfiles.HostOf(conn.ConnectionState().TLS)
	if err != nil {
		log.WithField("address", conn.RemoteAddr().String()).WithError(err).Warn("peer connection rejected")
		_ = conn.CloseWithError(1, err.Error()) // on failure, the peer times out
		return
	}
	t.trackAccepted(conn, true)
	defer t.trackAccepted(conn, false)
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		go t.serveStream(ctx, from, stream)
	}
}

func (t *Transport) trackAccepted(conn *quic.Conn, open bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if open {
		t.accepted[conn] = true
		return
	}
	delete(t.accepted, conn)
}

func (t *Transport) serveStream(ctx context.Context, from ids.HostID, stream *quic.Stream) {
	defer func() { _ = stream.Close() }() // on failure, the peer times out
	ctx, cancel := context.WithTimeout(ctx, batchCallTimeout)
	defer cancel()
	_ = stream.SetDeadline(time.Now().Add(batchCallTimeout)) // fails only on a closed stream
	data, err := io.ReadAll(io.LimitReader(stream, wire.MaxMessageBytes))
	if err != nil {
		return
	}
	var reply wire.Message = &wire.Refusal{Reason: wire.BadMessage}
	m, err := wire.Unmarshal(data)
	if err == nil {
		reply = t.handler(ctx, from, m)
	}
	replyData, err := wire.Marshal(reply)
	if err != nil {
		return
	}
	metric.PeerCallsServed.Inc()
	countBytes(m, len(replyData), len(data))
	_, _ = stream.Write(replyData) // on failure, the peer times out
}

func countBytes(m wire.Message, sent, received int) {
	if isBatchData(m) {
		metric.PeerDataBytes.Add(sent + received)
		return
	}
	metric.PeerBytesSent.Add(sent)
	metric.PeerBytesReceived.Add(received)
}

// isBatchData reports whether a message requests or carries batch items or their
// outcomes. All others are control messages.
func isBatchData(m wire.Message) bool {
	switch m.(type) {
	case *wire.ItemsRequest, *wire.ItemsReply, *wire.OutcomeReport:
		return true
	}
	return false
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: handshakeTimeout,
		MaxIdleTimeout:       idleTimeout,
		KeepAlivePeriod:      keepAliveInterval,
		MaxIncomingStreams:   maxIncomingStreams,
	}
}
