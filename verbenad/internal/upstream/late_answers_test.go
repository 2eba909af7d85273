package upstream

import (
	"bufio"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/directory"
)

// lateAnswer returns the bytes of an answer in testdata, whose lines end with LF there.
func lateAnswer(t *testing.T, file string) string {
	text, err := os.ReadFile(file)
	qt.Assert(t, err, qt.IsNil)
	return strings.ReplaceAll(string(text), "\n", "\r\n")
}

// repeatingServer answers the first send of the request x as given, and others with their bodies. It sends the former answer again to
// each further send of x on a connection that has carried x. connections counts its connections.
func repeatingServer(t *testing.T, answer string) (s directory.Server, connections *atomic.Int64) {
	connections = new(atomic.Int64)
	var sends atomic.Int64
	s = server(t, func(_ int, r *bufio.Reader, c net.Conn) {
		connections.Add(1)
		for carried := false; ; {
			line, body := readRequest(r)
			if line == "" {
				return
			}
			reply := responseText(string(body), "answer to "+string(body))
			if string(body) == "x" {
				if sends.Add(1) == 1 {
					reply = answer
				} else if carried {
					reply = answer + reply
				}
				carried = true
			}
			_, _ = io.WriteString(c, reply) // a failed one is seen by the sender
		}
	})
	return s, connections
}

// TestLateAnswerTakenForThatToNextSend guards against an answer to an earlier send of a request that is taken for the answer to the
// present one, because the connection had carried both.
func TestLateAnswerTakenForThatToNextSend(t *testing.T) {
	files, err := filepath.Glob("testdata/late_answers/*.txt")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, files, qt.HasLen, 6)
	for _, f := range files {
		for _, relayed := range []bool{false, true} {
			for name, between := range map[string][]string{"next request": nil, "others between": {"y", "z", "y2"}} {
				path := "direct"
				if relayed {
					path = "relayed"
				}
				t.Run(strings.TrimSuffix(filepath.Base(f), ".txt")+"/"+path+"/"+name, func(t *testing.T) {
					c := qt.New(t)
					s, connections := repeatingServer(t, lateAnswer(t, f))
					client := NewClient(clock.System{})
					if relayed {
						client = relayedClient(t, s)
					}
					before := connections.Load()
					_, err := send(t, client, request(s, "x", []byte("x")))
					c.Assert(err, qt.IsNil)
					for _, id := range between {
						got, err := send(t, client, request(s, id, []byte(id)))
						c.Assert(err, qt.IsNil)
						c.Assert(got, qt.Equals, "answer to "+id)
					}
					for range 2 {
						got, err := send(t, client, request(s, "x", []byte("x")))
						c.Assert(err, qt.IsNil)
						c.Check(got, qt.Equals, "answer to x")
					}
					got, err := send(t, client, request(s, "w", []byte("w")))
					c.Assert(err, qt.IsNil)
					c.Check(got, qt.Equals, "answer to w")
					c.Check(connections.Load()-before <= 3, qt.IsTrue, qt.Commentf("other requests use the connections again"))
				})
			}
		}
	}
}

// relayedClient returns a client that reaches the server over another host only.
func relayedClient(t *testing.T, s directory.Server) *Client {
	d := &cuttableDialer{}
	d.cut.Store(true)
	relays, _ := startRelay(t, s)
	client := NewClient(clock.System{}, WithDialer(d), WithRelays(relays))
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if _, err := send(t, client, request(s, "first", []byte("first"))); err == nil { // the relay listens
			return client
		}
	}
	t.Fatal("not reached over the relay within 5 s")
	return nil
}

// TestConnectionHistoryIsBounded guards against a connection whose history of requests grows for as long as it is in use.
func TestConnectionHistoryIsBounded(t *testing.T) {
	c := qt.New(t)
	s, connections := repeatingServer(t, "")
	client := NewClient(clock.System{})
	for range maxRequestsPerConnection {
		_, err := send(t, client, nextRequest(s))
		c.Assert(err, qt.IsNil)
	}
	c.Check(connections.Load(), qt.Equals, int64(1))
	_, err := send(t, client, nextRequest(s))
	c.Assert(err, qt.IsNil)
	c.Check(connections.Load(), qt.Equals, int64(2))
}

// TestMismatchTellsWhoseAnswerCame checks that the error for another request's answer tells a late one from one of a server that mixes
// up connections.
func TestMismatchTellsWhoseAnswerCame(t *testing.T) {
	for answered, origin := range map[string]string{"x": "sent on this connection before", "foreign": "not sent on this connection"} {
		s := server(t, func(_ int, r *bufio.Reader, c net.Conn) {
			_, _ = readRequest(r)
			_, _ = io.WriteString(c, responseText("x", "")) // a failed one is seen by the sender
			_, _ = readRequest(r)
			_, _ = io.WriteString(c, responseText(answered, ""))
		})
		client := NewClient(clock.System{})
		_, err := send(t, client, request(s, "x", nil))
		qt.Assert(t, err, qt.IsNil)
		_, err = send(t, client, request(s, "y", nil))
		qt.Check(t, err, qt.ErrorIs, ErrRequestIDMismatch)
		qt.Check(t, err, qt.ErrorMatches, ".*"+answered+".*, "+origin)
	}
}
