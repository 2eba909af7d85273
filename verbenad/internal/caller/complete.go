package caller

import (
	"encoding/json"
	"net/http"
	"strings"

	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/poison"
	"verbenaledge.example/verbena/refusal"
	"verbenaledge.example/verbena/rules"
	"verbenaledge.example/verbenad/internal/backend"
)

const (
	// affinityBytes is the length of the prompt prefix by which requests are routed to a server that has the
	// prefix cached.
	affinityBytes = 1024
	// minAffinityBytes is the shortest prompt that is routed by its prefix.
	minAffinityBytes = 512
)

// completionRequest holds the fields of a completion request that the daemon uses.
type completionRequest struct {
	Model    string          `json:"model"`
	Stream   bool            `json:"stream"`
	Prompt   json.RawMessage `json:"prompt"`
	Messages json.RawMessage `json:"messages"`
}

func (h *Handler) complete(w http.ResponseWriter, c *call) *refusal.Refusal {
	if refused := readBody(w, c, h.limits.MaxBodyBytes); refused != nil {
		return refused
	}
	q, refused := parseCompletion(c)
	if refused != nil {
		return refused
	}
	snapshot := h.loop.Snapshot()
	service := ids.ServiceName(q.Model)
	workspace, refused := bucketWorkspace(snapshot, c, service)
	if refused != nil {
		return refused
	}
	if snapshot.Rules.Services[service].Kind != rules.KindModel {
		return refusal.New(refusal.BadRequest, 0, "%q is not a model; call it under /services/%s/", q.Model, q.Model)
	}
	if refused := refuseExposedKey(snapshot, c); refused != nil {
		return refused
	}
	fingerprint := poison.FingerprintOf(workspace, c.URL.Path, c.body)
	if refused := h.admit(c, workspace, service, fingerprint); refused != nil {
		return refused
	}
	task := backend.Task{
		Workspace: workspace, Service: service, RequestID: c.id, Affinity: q.affinity(), Fingerprint: fingerprint,
		Method: http.MethodPost, Path: c.URL.Path, Header: http.Header{"Content-Type": {"application/json"}},
		Body: c.body, Repeatable: true,
	}
	key := c.Header.Get("Idempotency-Key")
	switch {
	case key != "" && q.Stream:
		return refusal.New(refusal.BadRequest, 0, "Idempotency-Key is not possible with stream; leave one of them out")
	case key != "":
		return h.claims.run(w, c, task, key)
	case q.Stream:
		s := newStream(w)
		return s.finish(h.runner.Run(c.Context(), task, s.forward))
	default:
		return h.runner.Run(c.Context(), task, forwardBuffered(w))
	}
}

func parseCompletion(c *call) (q completionRequest, refused *refusal.Refusal) {
	if err := json.Unmarshal(c.body, &q); err != nil {
		return completionRequest{}, refusal.New(refusal.BadRequest, 0, "the body is not a JSON object: %s", err)
	}
	if q.Model == "" {
		return completionRequest{}, refusal.New(refusal.BadRequest, 0, "model is missing")
	}
	chat := strings.HasPrefix(c.URL.Path, "/v1/chat/")
	if chat && len(q.Messages) == 0 {
		return completionRequest{}, refusal.New(refusal.BadRequest, 0, "messages are missing")
	}
	if !chat && len(q.Prompt) == 0 {
		return completionRequest{}, refusal.New(refusal.BadRequest, 0, "prompt is missing")
	}
	return q, nil
}

func (q completionRequest) affinity() string {
	text := q.Messages
	if len(text) == 0 {
		text = q.Prompt
	}
	if len(text) < minAffinityBytes {
		return "" // too short for a cached prefix to matter
	}
	return string(text[:min(len(text), affinityBytes)])
}
