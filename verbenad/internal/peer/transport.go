// Package peer speaks to other daemons: one QUIC connection to each, one stream
// for each message and its reply, certificates on both sides.
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
	idleTimeout      = 8 * time.Second
	keepAlive        = 3 * time.Second
	handshakeTimeout = time.Second
	maxStreams       = 4096
	callTimeout      = time.Second
	dataTimeout      = 5 * time.Second
	dialPause        = 500 * time.Millisecond
)

// ErrUnreachable says that a host could not be connected to a moment ago.
var ErrUnreachable = errors.New("host can't be reached")

// Handler answers a message of a peer.
type Handler func(ctx context.Context, from ids.HostID, m wire.Message) wire.Message

// Transport listens for daemons and calls them.
type Transport struct {
	self    ids.HostID
	files   *tlsfiles.Files
	quic    *quic.Transport
	handler Handler
	// timeline takes changes of state.
	timeline *timeline.Recorder

	mu       sync.Mutex
	links    map[ids.HostID]*link
	accepted map[*quic.Conn]bool
}

// link is the connection to one host, made when first needed.
type link struct {
	mu      sync.Mutex
	address string
	conn    *quic.Conn
	failed  time.Time
	// refused is true after a handshake failed because of a certificate.
	refused bool
}

// New returns a transport on a UDP address.
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
		// With a key that outlives the process, a daemon that was killed and started
		// again tells peers at once that their connections are gone.
		quic:     &quic.Transport{Conn: socket, StatelessResetKey: files.ResetKey()},
		links:    map[ids.HostID]*link{},
		accepted: map[*quic.Conn]bool{},
	}, nil
}

// Serve answers peers until the context ends.
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

// Close ends all connections.
func (t *Transport) Close() error {
	t.mu.Lock()
	for _, l := range t.links {
		l.drop("stopping")
	}
	for conn := range t.accepted {
		_ = conn.CloseWithError(0, "stopping") // the peer learns by timeout otherwise
	}
	t.mu.Unlock()
	err := t.quic.Close()
	return errors.Join(err, t.quic.Conn.Close())
}

// Call sends a message and returns the reply; a refusal comes back as a message.
func (t *Transport) Call(ctx context.Context, to ids.HostID, address string, m wire.Message) (reply wire.Message, err error) {
	defer func() {
		if err != nil {
			metric.PeerCallsFailed.Inc()
			err = fmt.Errorf("call %s: %w", to, err)
		}
	}()
	metric.PeerCalls.Inc()
	limit := callTimeout
	if isData(m) {
		limit = dataTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	data, err := wire.Marshal(m)
	if err != nil {
		return nil, err
	}
	conn, err := t.connect(ctx, to, address)
	if err != nil {
		return nil, err
	}
	answer, err := exchange(ctx, conn, data)
	if err != nil {
		return nil, err
	}
	count(m, len(data), len(answer))
	return wire.Unmarshal(answer)
}

func exchange(ctx context.Context, conn *quic.Conn, data []byte) (answer []byte, err error) {
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, err
	}
	defer stream.CancelRead(0)
	deadline, _ := ctx.Deadline()
	_ = stream.SetDeadline(deadline) // fails only on a closed stream, which Write tells
	if _, err := stream.Write(data); err != nil {
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
	if l.address == address && time.Since(l.failed) < dialPause {
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
		l.conn, l.failed = nil, time.Now()
		t.noteRefusal(l, to, err)
		return nil, err
	}
	l.refused = false
	return l.conn, nil
}

// noteRefusal tells operators, once, that a host's certificate or this one's is not
// accepted.
func (t *Transport) noteRefusal(l *link, to ids.HostID, err error) {
	var fault *quic.TransportError
	if !errors.As(err, &fault) || !fault.ErrorCode.IsCryptoError() || l.refused {
		return
	}
	l.refused = true
	log.WithField("peer", string(to)).WithError(err).Warn("certificate refused")
	t.timeline.Record(timeline.Event{Kind: timeline.CertificateRefused, Detail: string(to) + ": " + fault.ErrorMessage})
}

func (l *link) drop(why string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		_ = l.conn.CloseWithError(0, why) // the peer learns by timeout otherwise
	}
}

func (t *Transport) serveConn(ctx context.Context, conn *quic.Conn) {
	from, err := tlsfiles.HostOf(conn.ConnectionState().TLS)
	if err != nil {
		log.WithField("address", conn.RemoteAddr().String()).WithError(err).Warn("peer refused")
		_ = conn.CloseWithError(1, err.Error()) // the peer learns by timeout otherwise
		return
	}
	t.keep(conn, true)
	defer t.keep(conn, false)
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		go t.serveStream(ctx, from, stream)
	}
}

func (t *Transport) keep(conn *quic.Conn, open bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if open {
		t.accepted[conn] = true
		return
	}
	delete(t.accepted, conn)
}

func (t *Transport) serveStream(ctx context.Context, from ids.HostID, stream *quic.Stream) {
	defer func() { _ = stream.Close() }() // the peer reads to the end or times out
	ctx, cancel := context.WithTimeout(ctx, dataTimeout)
	defer cancel()
	_ = stream.SetDeadline(time.Now().Add(dataTimeout)) // fails only on a closed stream
	data, err := io.ReadAll(io.LimitReader(stream, wire.MaxMessageBytes))
	if err != nil {
		return
	}
	var reply wire.Message = &wire.Refusal{Reason: wire.BadMessage}
	m, err := wire.Unmarshal(data)
	if err == nil {
		reply = t.handler(ctx, from, m)
	}
	answer, err := wire.Marshal(reply)
	if err != nil {
		return
	}
	metric.PeerCallsServed.Inc()
	count(m, len(answer), len(data))
	_, _ = stream.Write(answer) // the peer times out otherwise
}

func count(m wire.Message, sent, heard int) {
	if isData(m) {
		metric.PeerDataBytes.Add(sent + heard)
		return
	}
	metric.PeerBytesSent.Add(sent)
	metric.PeerBytesReceived.Add(heard)
}

// isData tells batch items and their results from control messages.
func isData(m wire.Message) bool {
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
		KeepAlivePeriod:      keepAlive,
		MaxIncomingStreams:   maxStreams,
	}
}
