package caller

import (
	"net/http"

	"verbenaledge.example/verbena/core"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/refusal"
	"verbenaledge.example/verbena/rules"
)

type modelBody struct {
	ID      ids.ServiceName `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	OwnedBy string          `json:"owned_by"`
}

func newModelBody(name ids.ServiceName) modelBody {
	return modelBody{ID: name, Object: "model", OwnedBy: "verbenaledge"}
}

// mayUseModel reports whether the caller may use a model, by a rule or because the model is open.
func mayUseModel(s *core.Snapshot, c *call, name ids.ServiceName) bool {
	if s.Rules.Services[name].Kind != rules.KindModel {
		return false
	}
	_, refused := bucketWorkspace(s, c, name)
	return refused == nil
}

func (h *Handler) listModels(w http.ResponseWriter, c *call) *refusal.Refusal {
	s := h.loop.Snapshot()
	list := []modelBody{}
	for _, n := range s.Rules.ServiceNames() {
		if mayUseModel(s, c, n) {
			list = append(list, newModelBody(n))
		}
	}
	writeJSON(w, http.StatusOK, struct {
		Object string      `json:"object"`
		Data   []modelBody `json:"data"`
	}{"list", list})
	return nil
}

func (h *Handler) showModel(w http.ResponseWriter, c *call) *refusal.Refusal {
	name := ids.ServiceName(c.PathValue("model"))
	if !mayUseModel(h.loop.Snapshot(), c, name) {
		return refusal.New(refusal.NotFound, 0, "no model %q", name)
	}
	writeJSON(w, http.StatusOK, newModelBody(name))
	return nil
}
