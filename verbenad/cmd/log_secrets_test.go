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

// syncBuffer is a buffer that several goroutines can write to.
type syncBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (s *syncBuffer) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(b)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.String()
}

// TestNoKeyOrBodyInLogs checks that no host logs keys or bodies of requests and jobs, whether they are served, refused,
// cut or malformed.
func TestNoKeyOrBodyInLogs(t *testing.T) {
	c := qt.New(t)
	lines := &syncBuffer{}
	logLines.setHandler(json.New(lines))
	defer logLines.setHandler(discard.Default)
	f := newFleet(t, 20)
	const secret, unknown = "text-of-a-body", "key-that-nobody-has"
	body := []byte(secret)
	c.Assert(f.call("POST", "/app/x", workspaceKey, nil, body).status, qt.Equals, 200)
	f.call("POST", "/app/x", unknown, nil, body)
	f.call("POST", "/none/x", workspaceKey, nil, body)
	f.call("POST", "/batch/x", workspaceKey, nil, body)
	f.injectFault("app", 3, standin.CloseWithoutAnswer)
	f.call("POST", "/app/x", workspaceKey, nil, body)
	f.injectFault("app", 1, standin.CloseWithoutAnswer)
	f.call("POST", "/once/x", workspaceKey, nil, body)
	f.injectFault("llm", 2, standin.CutAnswer)
	f.call("POST", "/stream/x", workspaceKey, streamHeaders, body)
	for range 60 {
		f.call("POST", "/app/x", "key-of-v", nil, body)
	}
	c.Assert(f.submitJob("job-x", 2).status, qt.Equals, 202)
	f.awaitResults("job-x", 2)
	text := lines.String()
	for _, w := range []string{"request ended", "request refused", "job submitted", "item ended", "over_rate", "bad_job"} {
		c.Check(strings.Contains(text, w), qt.IsTrue, qt.Commentf("no line contains %q, so the check below would prove nothing", w))
	}
	itemBody := base64.StdEncoding.EncodeToString([]byte("job-x"))
	for _, s := range []string{secret, itemBody, workspaceKey, "key-of-v", unknown} {
		c.Check(strings.Contains(text, s), qt.IsFalse, qt.Commentf("a line contains %q", s))
	}
}
