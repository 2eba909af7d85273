package hostlink

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/bulk"
)

// ownerAt is a map of owners with one owner.
type ownerAt string

func (o ownerAt) IsOwner(address string) bool { return address == string(o) }
func (ownerAt) AsUpdate() (Update, bool)      { return Update{}, false }

// replyAndEnd answers pings and one call, and then ends its direction of the connection, which it closes a little later.
func replyAndEnd(c net.Conn, reply bulk.Reply) {
	defer func() { _ = c.Close() }() // all was sent
	for {
		f, err := decode(c)
		if err != nil {
			return
		}
		if f.Ping && WriteFrame(c, Frame{Ping: true}) != nil {
			return
		}
		if f.Jobs == nil {
			continue
		}
		if WriteFrame(c, Frame{CallID: f.CallID, Reply: &reply}) != nil {
			return
		}
		tcp, _ := c.(*net.TCPConn)
		_ = tcp.CloseWrite() // a failure shows as a lost reply
		time.Sleep(5 * time.Millisecond)
		return
	}
}

// TestForwardedReplyBeforeEndArrives guards against a relaying host that drops the last reply of an owner, as it closes the connection
// once the owner's has ended: with frames of the other host unread, that close is a reset.
func TestForwardedReplyBeforeEndArrives(t *testing.T) {
	const calls = 100
	owner, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = owner.Close() }()
	go func() {
		for {
			c, err := owner.Accept()
			if err != nil {
				return
			}
			go replyAndEnd(c, bulk.Reply{Code: bulk.Done, Body: make([]byte, 200<<10)})
		}
	}()
	relayed, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = relayed.Close() }()
	go func() {
		l := &listener{owners: ownerAt(owner.Addr().String())}
		for {
			c, err := relayed.Accept()
			if err != nil {
				return
			}
			go l.serve(t.Context(), c)
		}
	}()
	lost := 0
	for range calls {
		link := dialAndConfirm(t.Context(), relayed.Addr().String(), owner.Addr().String())
		qt.Assert(t, link, qt.IsNotNil)
		if _, err := callBetweenPings(t.Context(), link); err != nil {
			qt.Assert(t, err, qt.ErrorIs, ErrNoReply)
			lost++
		}
		link.Close()
	}
	qt.Assert(t, lost, qt.Equals, 0)
}

// callBetweenPings makes a call on a link on which pings are sent all the time.
func callBetweenPings(ctx context.Context, l *Link) (bulk.Reply, error) {
	client := NewRPCClient("h", func() []string { return nil })
	p := &peerConn{link: l, replies: make(map[uint64]chan bulk.Reply)}
	client.conns["owner"] = p
	go client.readReplies("owner", p)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for ctx.Err() == nil && l.Send(Frame{Ping: true}) == nil {
			time.Sleep(50 * time.Microsecond)
		}
	}()
	return client.Call(ctx, "owner", JobsCall{})
}
