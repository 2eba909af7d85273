package cutserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
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
)

// String returns the ending's name.
func (e Ending) String() string {
	return [...]string{"close", "reset", "close then reset"}[e]
}

// Answer is what a server sends for a request, and how it ends the connection.
type Answer struct {
	Raw    string
	Ending Ending
}

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
	_, _ = io.Copy(io.Discard, r.Body)
	a := s.nextAnswer()
	_, _ = io.WriteString(c, a.Raw)
	if a.Ending == CloseThenReset {
		_ = c.CloseWrite()
	}
	if a.Ending != Close {
		_ = c.SetLinger(0)
	}
}
