package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/exchange"
)

// steppedClock is a clock that a test advances.
type steppedClock struct{ now atomic.Int64 }

func (s *steppedClock) Now() time.Time { return time.Unix(0, s.now.Load()) }

// keptConnections is a protocol whose servers keep idle connections for an hour.
type keptConnections struct{ testProtocol }

func (k keptConnections) ParseResponse(status int, h http.Header) exchange.ResponseInfo {
	info := k.testProtocol.ParseResponse(status, h)
	info.KeepAlive = time.Hour
	return info
}

// TestLateAnswerAfterLongIdleTime guards against a connection that forgets with time which requests it has carried.
func TestLateAnswerAfterLongIdleTime(t *testing.T) {
	c := qt.New(t)
	s, connections := repeatingServer(t, responseText("x", "answer to the first send"))
	clock := &steppedClock{}
	client := NewClient(clock)
	get := func(id string) (body string, used ConnectionUse) {
		response, err := client.Send(t.Context(), keptConnections{}, request(s, id, []byte(id)))
		c.Assert(err, qt.IsNil)
		defer response.Close()
		b, err := readBody(response)
		c.Assert(err, qt.IsNil)
		return string(b), response.Connection
	}
	_, first := get("x")
	clock.now.Add(int64(50 * time.Minute))
	body, second := get("x")
	c.Check(body, qt.Equals, "answer to x")
	c.Check(connections.Load(), qt.Equals, int64(2))
	c.Check([]int{first.Requests, second.Requests}, qt.DeepEquals, []int{1, 1})
	c.Check(second.Number, qt.Not(qt.Equals), first.Number)
	c.Check(first.Repeated || second.Repeated, qt.IsFalse)
	_, third := get("y")
	c.Check(third.Requests, qt.Equals, 2)
	c.Check(third.Number == first.Number || third.Number == second.Number, qt.IsTrue, qt.Commentf("the connections are used for others"))
	c.Check(connections.Load(), qt.Equals, int64(2))
}

// TestLateAnswersAreCounted guards against late answers that no metric shows.
func TestLateAnswersAreCounted(t *testing.T) {
	c := qt.New(t)
	copySent := make(chan struct{})
	s := server(t, func(_ int, r *bufio.Reader, conn net.Conn) {
		for {
			line, body := readRequest(r)
			if line == "" {
				return
			}
			id := string(body)
			_, _ = io.WriteString(conn, responseText(id, id)) // a failed write is seen by the client
			switch id {
			case "copied_at_next":
				if line, body = readRequest(r); line != "" {
					_, _ = io.WriteString(conn, responseText(id, id)+responseText(string(body), string(body)))
				}
			case "copied_when_idle":
				time.Sleep(20 * time.Millisecond) // the answer was read
				_, _ = io.WriteString(conn, responseText(id, id))
				close(copySent)
			}
		}
	})
	client := NewClient(&steppedClock{})
	counts := func() [3]uint64 {
		return [3]uint64{lateAtOtherRequest.Get(), lateOnIdleConnection.Get(), passedOver.Get()}
	}
	before := counts()
	get := func(id string) error {
		_, err := send(t, client, request(s, id, []byte(id)))
		return err
	}
	c.Assert(get("copied_at_next"), qt.IsNil)
	c.Assert(get("other"), qt.IsNil)
	c.Assert(get("copied_when_idle"), qt.IsNil)
	<-copySent
	time.Sleep(20 * time.Millisecond) // the copy has arrived
	c.Assert(get("third"), qt.IsNil)
	c.Assert(get("third"), qt.IsNil)
	after := counts()
	c.Check([3]uint64{after[0] - before[0], after[1] - before[1], after[2] - before[2]}, qt.DeepEquals, [3]uint64{1, 1, 1})
}
