package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbenad/internal/tcpstate"
)

// TestResetAfterCloseLooksComplete guards against a response without length and chunks that looks complete although its
// server reset the connection: once the server's direction has been closed, the kernel reports no reset to a read.
func TestResetAfterCloseLooksComplete(t *testing.T) {
	for name, bodyBytes := range map[string]int{"no body": 0, "body in one write": maxInlineBody, "long body": maxInlineBody + 1} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan struct{})
			s := server(t, func(_ int, r *bufio.Reader, c net.Conn) {
				defer close(ended)
				_, _ = readRequest(r)
				tcp, ok := c.(*net.TCPConn)
				if !ok {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\n\r\nhalf")
				time.Sleep(10 * time.Millisecond) // the client reads the head
				_ = tcp.CloseWrite()
				_ = tcp.SetLinger(0)
				_ = tcp.Close()
			})
			response, err := NewClient(clock.System{}).Send(t.Context(), testProtocol{}, request(s, "a", make([]byte, bodyBytes)))
			qt.Assert(t, err, qt.IsNil)
			defer response.Close()
			<-ended
			body, err := readBody(response)
			qt.Assert(t, string(body), qt.Equals, "half")
			qt.Assert(t, err, qt.IsNotNil)
		})
	}
}

// TestCloseBeforeRequestArrivedLooksComplete guards against the same if the server closes its direction in order before it
// has received the request, which waits in this host's buffers.
func TestCloseBeforeRequestArrivedLooksComplete(t *testing.T) {
	const bodyBytes = 96 << 10
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	raw, err := listener.SyscallConn()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, setReceiveBuffer(raw), qt.IsNil)
	go func() {
		c, err := listener.AcceptTCP()
		if err != nil {
			return
		}
		_, _ = bufio.NewReaderSize(c, 16).ReadString('\n')
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\n\r\nhalf")
		time.Sleep(20 * time.Millisecond)
		_ = c.CloseWrite()
		time.Sleep(2 * tcpstate.StallTimeout)
		_ = c.Close()
	}()
	s := request(server(t, nil), "a", make([]byte, bodyBytes))
	s.Server.Address = listener.Addr().String()
	response, err := NewClient(clock.System{}).Send(t.Context(), testProtocol{}, s)
	qt.Assert(t, err, qt.IsNil)
	defer response.Close()
	body, err := readBody(response)
	qt.Assert(t, string(body), qt.Equals, "half")
	qt.Assert(t, err, qt.IsNotNil)
}

// setReceiveBuffer makes the connections of a listener receive only a part of a request before it is read.
func setReceiveBuffer(raw syscall.RawConn) (err error) {
	const bytes = 4 << 10
	controlErr := raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes)
	})
	return errors.Join(controlErr, err)
}
