package hostlink

import (
	"bufio"
	"context"
	"errors"
	"net"
	"time"

	"verbenaledge.example/verbena/ids"
)

// ServerConnect asks the receiver to connect to a listed backend server and to relay the connection.
type ServerConnect struct {
	Server  ids.BackendID `cbor:"1,keyasint"`
	Address string        `cbor:"2,keyasint"`
}

// ServerConnectReply replies to a ServerConnect. If the server is connected, its bytes follow.
type ServerConnectReply struct {
	Outcome ServerConnectOutcome `cbor:"1,keyasint"`
}

// ServerConnectOutcome is what came of a ServerConnect.
type ServerConnectOutcome int

// The outcomes.
const (
	ServerConnected ServerConnectOutcome = iota + 1
	// ServerUnreachable means that the relay doesn't reach the server, though it reached servers lately.
	ServerUnreachable
	// ServerNotListed means that the relay knows no such server at that address.
	ServerNotListed
	// RelayCutOff means that the relay itself doesn't reach the server directly, or is not sure that it reaches any.
	RelayCutOff
	// RelayFull means that the relay has too many connections.
	RelayFull
	// RelayStopping means that the relay stops.
	RelayStopping
)

// String returns the name that logs use.
func (o ServerConnectOutcome) String() string {
	switch o {
	case ServerConnected:
		return "connected"
	case ServerUnreachable:
		return "server_unreachable"
	case ServerNotListed:
		return "server_not_listed"
	case RelayCutOff:
		return "relay_cut_off"
	case RelayFull:
		return "relay_full"
	case RelayStopping:
		return "relay_stopping"
	}
	return "unknown"
}

// ConnectServer asks a host to connect to a server. If the reply is ServerConnected, what the caller writes on the connection
// goes to the server; what comes from it is read from r.
func ConnectServer(ctx context.Context, relay string, s ServerConnect) (c net.Conn, r *bufio.Reader, reply ServerConnectReply, err error) {
	conn, err := dial(ctx, relay)
	if err != nil {
		return nil, nil, reply, err
	}
	detach := context.AfterFunc(ctx, func() { _ = conn.Close() }) // ends the read below
	r = bufio.NewReaderSize(conn, readBufferSize)
	reply, err = requestServer(conn, r, s)
	if !detach() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = conn.Close() // nothing was sent to the server
		return nil, nil, reply, err
	}
	return conn, r, reply, nil
}

func requestServer(c net.Conn, r *bufio.Reader, s ServerConnect) (reply ServerConnectReply, err error) {
	if err := WriteFrame(c, Frame{ServerConnect: &s}); err != nil {
		return reply, err
	}
	f, err := decode(r)
	if err != nil {
		return reply, err
	}
	if f.ServerConnectReply == nil {
		return reply, errUnexpectedReply
	}
	return *f.ServerConnectReply, nil
}

var errUnexpectedReply = errors.New("reply is of another kind")

// WriteFrame writes a frame to a connection that isn't a Link.
func WriteFrame(c net.Conn, f Frame) (err error) {
	raw, err := Encode(f)
	if err != nil {
		return err
	}
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if _, err = c.Write(raw); err != nil {
		return err
	}
	return c.SetWriteDeadline(time.Time{})
}

// ServerRelay relays connections to backend servers.
type ServerRelay interface {
	// RelayServer serves a connection whose first frame is a ServerConnect. r holds what follows that frame.
	RelayServer(ctx context.Context, c net.Conn, r *bufio.Reader, s ServerConnect)
}

// ListenOption configures Listen.
type ListenOption func(*listener)

// WithServerRelay serves connections to backend servers.
func WithServerRelay(r ServerRelay) ListenOption { return func(l *listener) { l.servers = r } }
