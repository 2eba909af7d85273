package upstream

import (
	"bufio"
	"errors"
	"fmt"
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

// TestLateAnswerEndsSendOfOtherRequest guards against a request that fails, though its server answers it, because a late answer to an
// earlier request came first.
func TestLateAnswerEndsSendOfOtherRequest(t *testing.T) {
	files, err := filepath.Glob("testdata/late_answers/*.txt")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, files, qt.HasLen, 6)
	for _, f := range files {
		for _, relayed := range []bool{false, true} {
			for copies := 1; copies <= maxLateAnswers; copies++ {
				c := qt.New(t)
				late := lateAnswer(t, f)
				s, connections := lateAnswersServer(t, late, strings.Repeat(late, copies))
				client := NewClient(clock.System{})
				if relayed {
					client = relayedClient(t, s)
				}
				before := connections.Load()
				_, err := send(t, client, request(s, "x", nil))
				c.Assert(err, qt.IsNil)
				got, err := send(t, client, request(s, "y", nil))
				c.Assert(err, qt.IsNil, qt.Commentf("%s, %d copies", f, copies))
				c.Check(got, qt.Equals, "answer to y")
				got, err = send(t, client, request(s, "z", nil))
				c.Assert(err, qt.IsNil)
				c.Check(got, qt.Equals, "answer to z")
				c.Check(connections.Load()-before <= 1, qt.IsTrue)
			}
		}
	}
}

// lateAnswersServer answers the request x as given, and before each further answer sends late ones. connections counts its connections.
func lateAnswersServer(t *testing.T, first, late string) (s directory.Server, connections *atomic.Int64) {
	connections = new(atomic.Int64)
	s = server(t, func(_ int, r *bufio.Reader, c net.Conn) {
		connections.Add(1)
		for reply := first; ; {
			line, body := readRequest(r)
			switch {
			case line == "":
				return
			case string(body) == "first": // of relayedClient
				_, _ = io.WriteString(c, responseText("first", ""))
				continue
			}
			_, _ = io.WriteString(c, reply) // a failed one is seen by the sender
			if reply == first {
				reply = late + responseText("y", "answer to y")
				continue
			}
			reply = responseText("z", "answer to z")
		}
	})
	return s, connections
}

// TestAnswerWithinBrokenLateAnswerIsTaken guards against an answer that is found within or after another one whose end isn't certain.
func TestAnswerWithinBrokenLateAnswerIsTaken(t *testing.T) {
	own := responseText("y", "answer to y")
	for name, late := range map[string]string{
		"another request's":       responseText("foreign", ""),
		"without a length":        "HTTP/1.1 500 X\r\nId: x\r\n\r\n",
		"ends its connection":     "HTTP/1.1 500 X\r\nId: x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		"too many":                strings.Repeat(responseText("x", "late"), maxLateAnswers+1),
		"too long":                responseText("x", strings.Repeat("l", maxLateAnswerBytes+1)),
		"cut, own follows":        "HTTP/1.1 500 X\r\nId: x\r\nContent-Length: " + fmt.Sprint(4+len(own)) + "\r\n\r\nlate",
		"cut, a part follows":     "HTTP/1.1 500 X\r\nId: x\r\nContent-Length: 20\r\n\r\nlate",
		"cut, too little follows": "HTTP/1.1 500 X\r\nId: x\r\nContent-Length: 9000\r\n\r\nlate",
		"cut chunk":               "HTTP/1.1 500 X\r\nId: x\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nlate",
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s, _ := lateAnswersServer(t, responseText("x", ""), late)
			client := NewClient(clock.System{})
			_, err := send(t, client, request(s, "x", nil))
			c.Assert(err, qt.IsNil)
			start := time.Now()
			_, err = send(t, client, request(s, "y", nil))
			var failed *Error
			c.Assert(errors.As(err, &failed), qt.IsTrue)
			c.Check(failed.Execution, qt.Equals, MaybeExecuted)
			c.Check(time.Since(start) < 2*time.Second, qt.IsTrue)
		})
	}
}

// TestLateAnswerToHeadHidesOwnAnswer guards against a late answer to HEAD, which has a length and no body, that takes the next answer for
// its body.
func TestLateAnswerToHeadHidesOwnAnswer(t *testing.T) {
	c := qt.New(t)
	head := "HTTP/1.1 200 OK\r\nId: x\r\nContent-Length: 10\r\n\r\n"
	s, _ := lateAnswersServer(t, head, head)
	client := NewClient(clock.System{})
	first := request(s, "x", nil)
	first.Method = "HEAD"
	_, err := send(t, client, first)
	c.Assert(err, qt.IsNil)
	_, err = send(t, client, request(s, "y", nil))
	c.Check(err, qt.ErrorIs, ErrRequestIDMismatch)
}

// TestMismatchTellsWhoseAnswerCame checks that the error for another request's answer tells a late one from one of a server that mixes
// up connections.
func TestMismatchTellsWhoseAnswerCame(t *testing.T) {
	for answered, origin := range map[string]string{"x": "sent on this connection before", "foreign": "not sent on this connection"} {
		late := "HTTP/1.1 200 OK\r\nId: " + answered + "\r\n\r\n" // without a length
		s, _ := lateAnswersServer(t, responseText("x", ""), late)
		client := NewClient(clock.System{})
		_, err := send(t, client, request(s, "x", nil))
		qt.Assert(t, err, qt.IsNil)
		_, err = send(t, client, request(s, "y", nil))
		qt.Check(t, err, qt.ErrorIs, ErrRequestIDMismatch)
		qt.Check(t, err, qt.ErrorMatches, ".*"+answered+".*, "+origin)
	}
}
