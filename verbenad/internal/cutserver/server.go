package cutserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Ending is how a server ends its connection after what it has sent.
type Ending int

// The endings.
const (
	// Close closes the connection in order.
	Close Ending = iota
	// Reset resets it.
	Reset
	// CloseThenReset closes the server's direction in order and then resets the connection.
	CloseThenReset
	// None leaves the connection to the client to close.
	None
)

// String returns the ending's name.
func (e Ending) String() string {
	return [...]string{"close", "reset", "close then reset", "none"}[e]
}

// Answer is what a server sends for a request, and how it ends the connection.
type Answer struct {
	Raw    string
	Ending Ending
	// Early is set if the server answers before it reads the request's body. One that then closes its direction of the connection
	// reads the body afterwards.
	Early bool
	// Pause is how long that server pauses before it reads the body.
	Pause time.Duration
}

const (
	// uploadBufferBytes is the receive buffer of a server that answers early, so that the rest of a long body isn't sent yet. It
	// exceeds a segment on loopback, or the kernel would send in intervals of seconds.
	uploadBufferBytes = 128 << 10
	// uploadPartBytes is how much of a body is read at once after an early answer, uploadPause the pause between two reads.
	uploadPartBytes = 16 << 10
	uploadPause     = 10 * time.Millisecond
	// earlyResetDelay is how long after an early answer its connection is reset.
	earlyResetDelay = 20 * time.Millisecond
)

// Server answers each request on a connection of its own. An answer for which none was set is an orderly close.
type Server struct {
	listener *net.TCPListener

	mu      sync.Mutex
	answers []Answer
}

// Start starts a server on loopback.
func Start() (s *Server, err error) {
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	s = &Server{listener: l}
	go s.accept()
	return s, nil
}

// Address returns the server's address.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close ends the server.
func (s *Server) Close() error { return s.listener.Close() }

// SetAnswers sets the answers to the next requests.
func (s *Server) SetAnswers(answers ...Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers = answers
}

func (s *Server) nextAnswer() (a Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.answers) > 0 {
		a, s.answers = s.answers[0], s.answers[1:]
	}
	return a
}

func (s *Server) accept() {
	for {
		c, err := s.listener.AcceptTCP()
		if err != nil {
			return // closed by the test
		}
		go s.serve(c)
	}
}

// serve answers one request. Errors show in what the test receives.
func (s *Server) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	a := s.nextAnswer()
	if a.Early {
		_ = c.SetReadBuffer(uploadBufferBytes)
	} else {
		_, _ = io.Copy(io.Discard, r.Body)
	}
	_, _ = io.WriteString(c, a.Raw)
	switch {
	case a.Early && a.Ending == Close:
		_ = c.CloseWrite()
		time.Sleep(a.Pause)
		readSlowly(r.Body)
	case a.Ending == None:
		readSlowly(c)
	case a.Early:
		time.Sleep(earlyResetDelay)
	}
	switch a.Ending {
	case Close, None:
	case CloseThenReset:
		_ = c.CloseWrite()
		time.Sleep(a.Pause)
		fallthrough
	case Reset:
		_ = c.SetLinger(0)
	}
}

// readSlowly reads to the end, a part at a time.
func readSlowly(r io.Reader) {
	for {
		if _, err := io.CopyN(io.Discard, r, uploadPartBytes); err != nil {
			return
		}
		time.Sleep(uploadPause)
	}
}
