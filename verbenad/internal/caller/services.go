package caller

import (
	"net/http"
	"net/url"

	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/poison"
	"verbenaledge.example/verbena/refusal"
	"verbenaledge.example/verbena/rules"
	"verbenaledge.example/verbenad/internal/backend"
)

// forwardedHeaders are the request headers that are forwarded to plain services.
var forwardedHeaders = []string{
	"Accept", "Accept-Language", "Content-Type", "If-Match", "If-None-Match", "If-Modified-Since", "User-Agent",
}

func (h *Handler) callService(w http.ResponseWriter, c *call) *refusal.Refusal {
	snapshot := h.loop.Snapshot()
	name := ids.ServiceName(c.PathValue("service"))
	workspace, refused := bucketWorkspace(snapshot, c, name)
	if refused != nil {
		return refused
	}
	service := snapshot.Rules.Services[name]
	if service.Kind != rules.KindPlain {
		return refusal.New(refusal.BadRequest, 0, "%q is a model; call it under /v1/", name)
	}
	if refused := readBody(w, c, h.limits.MaxBodyBytes); refused != nil {
		return refused
	}
	if refused := refuseExposedKey(snapshot, c); refused != nil {
		return refused
	}
	path := servicePath(c)
	fingerprint := poison.FingerprintOf(workspace, c.Method+" "+c.URL.RequestURI(), c.body)
	if refused := h.admit(c, workspace, name, fingerprint); refused != nil {
		return refused
	}
	task := backend.Task{
		Workspace: workspace, Service: name, RequestID: c.id, Fingerprint: fingerprint,
		Method: c.Method, Path: path, Header: copyForwardedHeaders(c.Header), Body: c.body,
		Repeatable: service.Repeatable || isSafe(c.Method),
	}
	key := c.Header.Get("Idempotency-Key")
	if key == "" || isSafe(c.Method) {
		return h.runner.Run(c.Context(), task, forwardBuffered(w))
	}
	return h.claims.run(w, c, task, key)
}

func servicePath(c *call) string {
	path := (&url.URL{Path: "/" + c.PathValue("rest")}).EscapedPath()
	if c.URL.RawQuery != "" {
		path += "?" + c.URL.RawQuery
	}
	return path
}

func copyForwardedHeaders(from http.Header) http.Header {
	to := http.Header{}
	for _, n := range forwardedHeaders {
		if values := from.Values(n); len(values) > 0 {
			to[n] = values
		}
	}
	return to
}

func isSafe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}
