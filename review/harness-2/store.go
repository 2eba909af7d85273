package main

import (
	"encoding/json"
	"net/http"
	"strings"

	"verbenaledge.example/platform/standin"
	"verbenaledge.example/verbena/objects"
)

// pagedStore is the stand-in's store with pages of 500 objects or 1 MB at most.
type pagedStore struct{ *standin.Store }

const pageBytes = 1_000_000

func (s pagedStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	if r.Method != http.MethodGet || len(parts) != 2 || parts[0] != "objects" || r.URL.Query().Has("watch") {
		s.Store.ServeHTTP(w, r)
		return
	}
	l, err := s.List(r.Context(), objects.Kind(parts[1]), false)
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	type item struct {
		Meta struct {
			Name     string `json:"name"`
			Revision uint64 `json:"revision"`
		} `json:"metadata"`
		Spec   json.RawMessage `json:"spec"`
		Status json.RawMessage `json:"status"`
	}
	page := struct {
		Items   []item `json:"items"`
		HasMore bool   `json:"hasMore"`
		At      uint64 `json:"at"`
	}{At: uint64(l.Revision)}
	size := 0
	for _, o := range l.Objects {
		if o.Name <= r.URL.Query().Get("after") {
			continue
		}
		size += len(o.Spec) + len(o.Status)
		if len(page.Items) == 500 || len(page.Items) > 0 && size > pageBytes {
			page.HasMore = true
			break
		}
		var i item
		i.Meta.Name, i.Meta.Revision, i.Spec, i.Status = o.Name, uint64(o.Revision), o.Spec, o.Status
		page.Items = append(page.Items, i)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(page)
}
