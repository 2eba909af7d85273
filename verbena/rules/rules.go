// Package rules parses the operators' rules file. Each line is a rule with a comment that names who asked for
// it.
package rules

import (
	"cmp"
	"slices"

	"verbenaledge.example/verbena/ids"
)

// Rules is a validated rules file. It is immutable once parsed.
type Rules struct {
	Services map[ids.ServiceName]Service
	Opens    map[ids.ServiceName]Open
	allows   map[allowKey]Allow
}

type allowKey struct {
	workspace ids.WorkspaceID
	service   ids.ServiceName
}

// Empty returns rules that allow nothing.
func Empty() *Rules {
	return &Rules{
		Services: map[ids.ServiceName]Service{},
		Opens:    map[ids.ServiceName]Open{},
		allows:   map[allowKey]Allow{},
	}
}

// Allow returns the rule for a workspace and a service.
func (r *Rules) Allow(w ids.WorkspaceID, s ids.ServiceName) (a Allow, ok bool) {
	a, ok = r.allows[allowKey{w, s}]
	return a, ok
}

// Allows returns every allow rule, ordered by workspace and service.
func (r *Rules) Allows() []Allow {
	list := make([]Allow, 0, len(r.allows))
	for _, a := range r.allows {
		list = append(list, a)
	}
	slices.SortFunc(list, func(x, y Allow) int {
		if x.Workspace != y.Workspace {
			return cmp.Compare(x.Workspace, y.Workspace)
		}
		return cmp.Compare(x.Service, y.Service)
	})
	return list
}

// HasWorkspace reports whether any rule names the workspace.
func (r *Rules) HasWorkspace(w ids.WorkspaceID) bool {
	for k := range r.allows {
		if k.workspace == w {
			return true
		}
	}
	return false
}

// ServiceNames returns the names of the declared services in order.
func (r *Rules) ServiceNames() []ids.ServiceName {
	names := make([]ids.ServiceName, 0, len(r.Services))
	for n := range r.Services {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}
