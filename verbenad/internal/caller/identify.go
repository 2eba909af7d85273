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
	drainPause    = time.Second
	isolatedPause = 2 * time.Second
	overloadPause = time.Second
)

var keyPattern = regexp.MustCompile(`vk-[A-Za-z0-9_-]{32}`)

// identify finds the workspace of the request's key and takes the key away. A
// request without a key goes on without a workspace, for open services.
func (h *Handler) identify(c *call) *refusal.Refusal {
	s := h.loop.Snapshot()
	switch {
	case s.Draining:
		return refusal.New(refusal.Draining, drainPause, "this host is stopping")
	case !s.Ready:
		return refusal.New(refusal.ConfigUnavailable, drainPause, "this host has not read the rules and keys yet")
	case s.Isolated:
		return refusal.New(refusal.Isolated, isolatedPause, "this host is cut off and can't tell whether keys are still good")
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

// keyless refuses a request that carries a key where it would reach a backend server.
func keyless(s *core.Snapshot, c *call) *refusal.Refusal {
	if holdsKey(s.Keys, []byte(c.URL.String())) || holdsKey(s.Keys, c.body) {
		return keyExposed()
	}
	for _, values := range c.Header {
		for _, v := range values {
			if holdsKey(s.Keys, []byte(v)) {
				return keyExposed()
			}
		}
	}
	return nil
}

func keyExposed() *refusal.Refusal {
	return refusal.New(refusal.BadRequest, 0, "a key may stand in the Authorization header only")
}

func holdsKey(t *keys.Table, text []byte) bool {
	if !bytes.Contains(text, []byte("vk-")) {
		return false
	}
	for _, found := range keyPattern.FindAll(text, -1) {
		if _, known := t.Lookup(string(found)); known {
			return true
		}
	}
	return false
}

// needWorkspace refuses a request without a key.
func needWorkspace(c *call) *refusal.Refusal {
	if c.workspace == "" {
		return refusal.New(refusal.BadKey, 0, "this page needs a key: Authorization: Bearer KEY")
	}
	return nil
}

// bucketOwner returns the workspace whose rate a call uses: none for a caller of
// an open service that it has no rule of its own for.
func bucketOwner(s *core.Snapshot, c *call, service ids.ServiceName) (w ids.WorkspaceID, refused *refusal.Refusal) {
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
		return "", needWorkspace(c)
	}
	return "", refusal.New(refusal.Forbidden, 0, "no rule lets workspace %q use %q", c.workspace, service)
}
