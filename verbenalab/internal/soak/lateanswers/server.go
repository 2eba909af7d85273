package lateanswers

import (
	"net"
	"net/http"
	"time"

	"verbenaledge.example/platform/standin"
	"verbenaledge.example/verbenalab/internal/relay"
)

// headerTimeout bounds the time that stand-ins take to read the headers of a request.
const headerTimeout = 10 * time.Second

// backendServer is a stand-in for a backend server, and the relay in front of it.
type backendServer struct {
	server     *standin.Server
	httpServer *http.Server
	relay      *relay.TCP
}

// startServer starts a server at an address and its relay at another one.
func startServer(s *standin.Server, r *standin.Repeater, at, relayAt string) (b *backendServer, err error) {
	l, err := net.Listen("tcp", at)
	if err != nil {
		return nil, err
	}
	b = &backendServer{server: s, httpServer: &http.Server{Handler: s, ReadHeaderTimeout: headerTimeout, ConnState: r.ConnState}}
	go func() { _ = b.httpServer.Serve(r.Listen(l)) }() // returns after Close
	b.relay, err = relay.NewTCP(relayAt, at)
	return b, err
}
