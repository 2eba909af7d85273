package caller

import (
	"bytes"
	"regexp"
	"strings"
	"time"

	"verbenaledge.example/verbena/core"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/keys"
	"verbenaledge.example/verbena/refusal"
)

const (
	drainRetryAfter    = time.Second
	isolatedRetryAfter = 2 * time.Second
	overloadRetryAfter = time.Second
)

var keyPattern = regexp.MustCompile(`vk-[A-Za-z0-9_-]{32}`)

// authenticate sets the workspace of the request's key and removes the key from the headers. A request without a
// key passes without a workspace, because open services need none.
func (h *Handler) authenticate(c *call) *refusal.Refusal {
	s := h.loop.Snapshot()
	switch {
	case s.Draining:
		return refusal.New(refusal.Draining, drainRetryAfter, "this host is stopping")
	case !s.Ready:
		return refusal.New(refusal.ConfigUnavailable, drainRetryAfter, "this host has not read the rules and keys yet")
	case s.Isolated:
		return refusal.New(refusal.Isolated, isolatedRetryAfter, "this host is cut off and can't tell whether keys are still good")
	}
	header := c.Header.Get("Authorization")
	c.Header.Del("Authorization")
	if header == "" {
		return nil
	}
	key, isBearer := strings.CutPrefix(header, "Bearer ")
	record, known := s.Keys.Lookup(strings.TrimSpace(key))
	if !isBearer || !known {
		return refusal.New(refusal.BadKey, 0, "the key is not known or has been withdrawn")
	}
	c.key, c.workspace = strings.TrimSpace(key), record.Workspace
	return nil
}

// refuseExposedKey refuses a request with a key in its URL, body or headers, which could reach a backend server.
func refuseExposedKey(s *core.Snapshot, c *call) *refusal.Refusal {
	if containsKey(s.Keys, []byte(c.URL.String())) || containsKey(s.Keys, c.body) {
		return keyExposedRefusal()
	}
	for _, vs := range c.Header {
		for _, v := range vs {
			if containsKey(s.Keys, []byte(v)) {
				return keyExposedRefusal()
			}
		}
	}
	return nil
}

func keyExposedRefusal() *refusal.Refusal {
	return refusal.New(refusal.BadRequest, 0, "a key may stand in the Authorization header only")
}

func containsKey(t *keys.Table, text []byte) bool {
	if !bytes.Contains(text, []byte("vk-")) {
		return false
	}
	for _, k := range keyPattern.FindAll(text, -1) {
		if _, known := t.Lookup(string(k)); known {
			return true
		}
	}
	return false
}

// requireWorkspace refuses a request without a key.
func requireWorkspace(c *call) *refusal.Refusal {
	if c.workspace == "" {
		return refusal.New(refusal.BadKey, 0, "this page needs a key: Authorization: Bearer KEY")
	}
	return nil
}

// bucketWorkspace returns the workspace whose rate limit applies to a call. It is empty when the service is open
// and no rule allows it to the caller's workspace.
func bucketWorkspace(s *core.Snapshot, c *call, service ids.ServiceName) (w ids.WorkspaceID, refused *refusal.Refusal) {
	if _, declared := s.Rules.Services[service]; !declared {
		return "", refusal.New(refusal.NotFound, 0, "no service %q", service)
	}
	if c.workspace != "" {
		if _, allowed := s.Rules.Allow(c.workspace, service); allowed {
			return c.workspace, nil
		}
	}
	if _, open := s.Rules.Opens[service]; open {
		return "", nil
	}
	if c.workspace == "" {
		return "", requireWorkspace(c)
	}
	return "", refusal.New(refusal.Forbidden, 0, "no rule lets workspace %q use %q", c.workspace, service)
}
