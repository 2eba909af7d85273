package cmd

import (
	"bytes"
	"encoding/base64"
	"strings"
	"sync"
	"testing"

	"github.com/apex/log/handlers/discard"
	"github.com/apex/log/handlers/json"
	qt "github.com/frankban/quicktest"

	"verbenaledge.example/platform/standin"
)

// pages collects what is written by several goroutines.
type pages struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (p *pages) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.text.Write(b)
}

func (p *pages) String() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.text.String()
}

// TestNoKeyOrBodyInLines: served, refused, broken and unreadable requests and jobs leave neither keys nor
// bodies in the lines of any host.
func TestNoKeyOrBodyInLines(t *testing.T) {
	c := qt.New(t)
	lines := &pages{}
	written.choose(json.New(lines))
	defer written.choose(discard.Default)
	f := newFleet(t, 20)
	const secret, unknown = "text-of-a-body", "key-that-nobody-has"
	body := []byte(secret)
	c.Assert(f.call("POST", "/app/x", key, nil, body).status, qt.Equals, 200)
	f.call("POST", "/app/x", unknown, nil, body)
	f.call("POST", "/none/x", key, nil, body)
	f.call("POST", "/batch/x", key, nil, body)
	f.faults("app", 3, standin.CloseWithoutAnswer)
	f.call("POST", "/app/x", key, nil, body)
	f.faults("app", 1, standin.CloseWithoutAnswer)
	f.call("POST", "/once/x", key, nil, body)
	f.faults("llm", 2, standin.CutAnswer)
	f.call("POST", "/stream/x", key, tokens, body)
	for range 60 {
		f.call("POST", "/app/x", "key-of-v", nil, body)
	}
	c.Assert(f.submit("job-x", 2).status, qt.Equals, 202)
	f.whole("job-x", 2)
	text := lines.String()
	for _, want := range []string{"request ended", "request refused", "job submitted", "item ended", "over_rate", "bad_job"} {
		c.Check(strings.Contains(text, want), qt.IsTrue, qt.Commentf("the lines don't tell of %q, so nothing is shown by them", want))
	}
	itemBody := base64.StdEncoding.EncodeToString([]byte("job-x"))
	for _, secret := range []string{secret, itemBody, key, "key-of-v", unknown} {
		c.Check(strings.Contains(text, secret), qt.IsFalse, qt.Commentf("%q stands in a line", secret))
	}
}
