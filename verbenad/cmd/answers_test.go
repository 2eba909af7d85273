package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/platform/standin"
	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbenad/internal/cutserver"
	"verbenaledge.example/verbenad/internal/hostlink"
	"verbenaledge.example/verbenad/internal/serverrelay"
	"verbenaledge.example/verbenad/internal/upstream"
)

var (
	answerHeader = []string{standin.HeaderRequestID + ": " + cutID, standin.HeaderSignature + ": signed"}
	notRunHeader = standin.HeaderNotExecuted + ": 1"
	dateLine     = regexp.MustCompile("Date: [^\r]*\r\n")
)

// maxAnswerTime is how long a caller waits at most for the end of its answer.
const maxAnswerTime = 5 * time.Second

// received is what a caller gets, byte for byte but for the time of day, and whether its connection was closed in order.
type received struct {
	text          string
	closedInOrder bool
}

// fetch sends a request with a body on a connection of its own, and reads up to the connection's end.
func (f *cutFixture) fetch(method, path string, bodyBytes int, header ...string) (r received) {
	var d net.Dialer
	conn, err := d.DialContext(f.Context(), "tcp", f.host.Listener.Addr().String())
	f.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	f.Assert(conn.SetDeadline(time.Now().Add(maxAnswerTime)), qt.IsNil)
	head := append([]string{
		method + " " + path + " HTTP/1.1", "Host: " + cutHost, "Connection: close", standin.HeaderRequestID + ": " + cutID,
		fmt.Sprint("Content-Length: ", bodyBytes),
	}, header...)
	_, err = io.WriteString(conn, strings.Join(head, "\r\n")+"\r\n\r\n"+strings.Repeat("u", bodyBytes))
	f.Assert(err, qt.IsNil)
	text, err := io.ReadAll(conn)
	f.Assert(errors.Is(err, os.ErrDeadlineExceeded), qt.IsFalse, qt.Commentf("no end of %q", text))
	f.client.CloseUnused(0, func(ids.BackendID) bool { return false })
	return received{dateLine.ReplaceAllString(string(text), ""), err == nil}
}

// sound is a whole answer of another server.
func sound(body string) cutserver.Answer {
	return cutserver.Answer{Raw: fmt.Sprintf("HTTP/1.1 200 OK\r\n%s\r\nContent-Length: %d\r\n\r\n%s", strings.Join(answerHeader, "\r\n"), len(body), body)}
}

// whole is what a caller gets of a whole answer with a length.
func whole(body string) received {
	return received{fmt.Sprintf(
		"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s\r\nConnection: close\r\n\r\n%s", len(body), strings.Join(answerHeader, "\r\n"), body,
	), true}
}

// wholeStream is what a caller gets of a whole stream, of which each part is forwarded at once.
func wholeStream(parts ...string) received {
	text := streamHead()
	for _, p := range parts {
		text += fmt.Sprintf("%x\r\n%s\r\n", len(p), p)
	}
	return received{text + "0\r\n\r\n", true}
}

func streamHead() string {
	return "HTTP/1.1 200 OK\r\n" + strings.Join(answerHeader, "\r\n") + "\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
}

// lost is what a caller gets if no answer can be trusted: the host's own 502, which says nothing of whether the request was run.
func lost(reason string) received {
	body := fmt.Sprintf("{\"error\":%q}", reason)
	return received{fmt.Sprintf(
		"HTTP/1.1 502 Bad Gateway\r\nContent-Length: %d\r\nContent-Type: application/json\r\n%s: %s\r\nConnection: close\r\n\r\n%s",
		len(body), standin.HeaderRequestID, cutID, body,
	), true}
}

// TestMalformedAnswers plays answers that can't be trusted. No caller gets one, whole or in part, unless the beginning of a stream
// was sound; where the request may run again, the caller gets another server's answer.
func TestMalformedAnswers(t *testing.T) {
	const events = event1 + event2 + event3
	eachCase(t, false, func(f *cutFixture, tc cutserver.Case) {
		reason := "answer_lost"
		if tc.Late {
			reason = "answer_cut"
		}
		malformed := func(body string) cutserver.Answer { return tc.Answer(answerHeader, notRunHeader, body) }
		f.server.SetAnswers(malformed(plain), sound("for another request"))
		f.Check(f.fetch("POST", "/once/x", tc.UploadBytes), qt.Equals, lost(reason))
		f.server.SetAnswers(malformed(plain), sound("of another server"))
		f.Check(f.fetch("POST", "/plain/x", tc.UploadBytes), qt.Equals, whole("of another server"))
		f.server.SetAnswers(malformed(plain), malformed(plain))
		f.Check(f.fetch("POST", "/plain/x", tc.UploadBytes), qt.Equals, lost(reason))
		f.server.SetAnswers(malformed(events), sound(events))
		got := f.fetch("POST", "/stream/x", tc.UploadBytes)
		if tc.Late {
			f.Check(strings.HasSuffix(got.text, "0\r\n\r\n"), qt.IsFalse, qt.Commentf("%q", got.text))
			f.Check(strings.HasPrefix(wholeStream(events).text, got.text), qt.IsTrue, qt.Commentf("%q", got.text))
		} else {
			f.Check(got, qt.Equals, lost(reason))
		}
		if tc.Late {
			f.server.SetAnswers(malformed(event1+event2), sound(event3))
			f.Check(f.fetch("POST", "/resume/x", tc.UploadBytes), qt.Equals, wholeStream(event1+event2, event3))
		} else {
			f.server.SetAnswers(malformed(plain))
			head, _, _ := strings.Cut(lost(reason).text, "{")
			f.Check(f.fetch("HEAD", "/once/x", 0), qt.Equals, received{head, true})
			f.server.SetAnswers(malformed(events), sound(events))
			f.Check(f.fetch("POST", "/resume/x", tc.UploadBytes), qt.Equals, wholeStream(events))
			f.server.SetAnswers(broken(f.shapes), malformed(event2+event3), sound(event2+event3))
			f.Check(f.fetch("POST", "/resume/x", tc.UploadBytes), qt.Equals, wholeStream(event1, event2+event3))
			f.server.SetAnswers(malformed(event2+event3), sound(event2+event3))
			f.Check(f.fetch("POST", "/resume/x", tc.UploadBytes, standin.HeaderLastEvent+": 1"), qt.Equals, wholeStream(event2+event3))
		}
	})
}

// TestSoundAnswers plays answers that are odd but valid. A caller gets them whole.
func TestSoundAnswers(t *testing.T) {
	eachCase(t, true, func(f *cutFixture, tc cutserver.Case) {
		for _, path := range []string{"/once/x", "/plain/x"} {
			a := tc.Answer(answerHeader, notRunHeader, plain)
			f.server.SetAnswers(a, a)
			f.Check(f.fetch("POST", path, tc.UploadBytes), qt.Equals, received{tc.Want(answerHeader, plain), true}, qt.Commentf("%s", path))
		}
	})
}

// eachCase plays the sound answers or the others, sent directly and over a relay.
func eachCase(t *testing.T, isSound bool, play func(f *cutFixture, tc cutserver.Case)) {
	list, err := cutserver.Cases()
	qt.Assert(t, err, qt.IsNil)
	for _, path := range []string{"direct", "relayed"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			client := upstream.NewClient(clock.System{})
			var relayed *relayedServer
			if path == "relayed" {
				relayed = &relayedServer{Client: upstream.NewClient(clock.System{})}
				client = upstream.NewClient(clock.System{}, upstream.WithDialer(noPath{}), upstream.WithRelays(relayed.relay(t)))
			}
			f := newCutFixture(t, client)
			if relayed != nil {
				relayed.address = f.server.Address()
			}
			for _, tc := range list {
				if tc.Sound() == isSound {
					f.Run(tc.Name, func(c *qt.C) {
						inner := *f
						inner.C = c
						play(&inner, tc)
					})
				}
			}
		})
	}
}

// noPath is the dialer of a host that reaches no server.
type noPath struct{}

func (noPath) DialContext(context.Context, string, string) (net.Conn, error) {
	return nil, errors.New("no path")
}

// relayedServer is a server under any id that a relay reaches.
type relayedServer struct {
	*upstream.Client
	address string
}

func (r *relayedServer) Listed(id ids.BackendID) (directory.Server, bool) {
	return directory.Server{ID: id, Address: r.address}, true
}

// relay starts a host that relays connections to the server, and returns a dialer that uses it.
func (r *relayedServer) relay(t *testing.T) *serverrelay.Dialer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	address := ln.Addr().String()
	qt.Assert(t, ln.Close(), qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		ended <- hostlink.Listen(ctx, address, noOwners{}, func(l *hostlink.Link, _ hostlink.Frame) { l.Close() }, hostlink.WithServerRelay(serverrelay.NewRelay(r)))
	}()
	t.Cleanup(func() {
		cancel()
		qt.Check(t, <-ended, qt.IsNil)
	})
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			_ = conn.Close() // it only shows that the relay listens
			break
		}
		qt.Assert(t, time.Now().Before(end), qt.IsTrue)
	}
	return serverrelay.NewDialer(clock.System{}, func() []string { return []string{address} })
}

// noOwners is a map of no owners.
type noOwners struct{}

func (noOwners) IsOwner(string) bool               { return false }
func (noOwners) AsUpdate() (hostlink.Update, bool) { return hostlink.Update{}, false }
