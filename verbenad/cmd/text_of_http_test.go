package cmd

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestFleetAnswersThatSpeakOfHTTP guards against taking text of an answer for another answer: each request runs once, and its
// caller gets the whole text, also of one that exceeds a host's buffer.
func TestFleetAnswersThatSpeakOfHTTP(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 10_000)
	for _, text := range []string{
		`{"log":"GET / HTTP/1.1 200 OK\r\nContent-Type: text/plain"}`,
		"```\r\nHTTP/1.1 200 OK\r\nContent-Type: text/html\r\n\r\nhello\r\n```\r\n",
		strings.Repeat("10:00:01 GET /index HTTP/1.1 200 OK\n", 100),
		strings.Repeat("10:00:01 GET /index HTTP/1.1 200 OK\n", 30_000),
	} {
		for range 12 {
			r := f.call("POST", "/app/x", workspaceKey, nil, []byte(text))
			c.Check(r.err, qt.IsNil)
			c.Check(r.status, qt.Equals, 200)
			c.Check(r.body == "answer to "+text, qt.IsTrue, qt.Commentf("%.80q, %d bytes", r.body, len(r.body)))
			c.Check(f.runCount(r.id), qt.Equals, 1)
		}
	}
}
