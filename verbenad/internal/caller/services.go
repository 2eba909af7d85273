package caller

import (
	"net/http"
	"net/url"
	"time"

	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/poison"
	"verbenaledge.example/verbena/refusal"
	"verbenaledge.example/verbena/rules"
	"verbenaledge.example/verbenad/internal/backend"
)

const platformPause = 2 * time.Second

// forwarded are the headers that plain services get from callers.
var forwarded = []string{
	"Accept", "Accept-Language", "Content-Type", "If-Match", "If-None-Match", "If-Modified-Since", "User-Agent",
}

func (h *Handler) callService(w http.ResponseWriter, c *call) *refusal.Refusal {
	snapshot := h.loop.Snapshot()
	name := ids.ServiceName(c.PathValue("service"))
	owner, refused := bucketOwner(snapshot, c, name)
	if refused != nil {
		return refused
	}
	service := snapshot.Rules.Services[name]
	if service.Kind != rules.KindPlain {
		return refusal.New(refusal.BadRequest, 0, "%q is a model; call it under /v1/", name)
	}
	if refused := readBody(w, c, h.limits.BodyBytes); refused != nil {
		return refused
	}
	if refused := keyless(snapshot, c); refused != nil {
		return refused
	}
	path := servicePath(c)
	fingerprint := poison.FingerprintOf(owner, c.Method+" "+c.URL.RequestURI(), c.body)
	if refused := h.admit(c, owner, name, fingerprint); refused != nil {
		return refused
	}
	job := backend.Task{
		Workspace: owner, Service: name, RequestID: c.id, Fingerprint: fingerprint,
		Method: c.Method, Path: path, Header: forwardedHeader(c.Header), Body: c.body,
		Repeatable: service.Repeatable || isSafe(c.Method),
	}
	key := c.Header.Get("Idempotency-Key")
	if key == "" || isSafe(c.Method) {
		return h.runner.Run(c.Context(), job, passWhole(w))
	}
	return h.claims.run(w, c, job, key)
}

func servicePath(c *call) string {
	path := (&url.URL{Path: "/" + c.PathValue("rest")}).EscapedPath()
	if c.URL.RawQuery != "" {
		path += "?" + c.URL.RawQuery
	}
	return path
}

func forwardedHeader(from http.Header) http.Header {
	to := http.Header{}
	for _, name := range forwarded {
		if values := from.Values(name); len(values) > 0 {
			to[name] = values
		}
	}
	return to
}

func isSafe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}
