// Package catalog holds the operators' configuration: routes, services, workspaces and limits.
package catalog

import (
	"sort"
	"strings"
	"time"

	"verbenaledge.example/verbena/ids"
)

// Version orders configurations; it rises in uneven steps.
type Version uint64

// Catalog is one whole configuration. It is immutable once built.
type Catalog struct {
	Version    Version
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits

	hosts    map[string][]*Route
	names    map[string]*Route
	keys     map[string]*Workspace
	spaces   map[ids.WorkspaceID]*Workspace
	services map[ids.ServiceName]*Service
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// New builds the indexes of a configuration.
func New(version Version, routes []Route, services []Service, workspaces []Workspace, limits Limits) *Catalog {
	c := &Catalog{
		Version: version, Routes: routes, Services: services, Workspaces: workspaces, Limits: limits,
		hosts:    make(map[string][]*Route),
		names:    make(map[string]*Route, len(routes)),
		keys:     make(map[string]*Workspace),
		spaces:   make(map[ids.WorkspaceID]*Workspace, len(workspaces)),
		services: make(map[ids.ServiceName]*Service, len(services)),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		c.hosts[r.Host] = append(c.hosts[r.Host], r)
		c.names[r.Name] = r
	}
	for _, list := range c.hosts {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		c.spaces[w.ID] = w
		for _, k := range w.Keys {
			c.keys[k] = w
		}
	}
	for i := range c.Services {
		c.services[c.Services[i].Name] = &c.Services[i]
	}
	return c
}

// Match finds the route with the longest prefix of the path among those of a host.
func (c *Catalog) Match(host, path string) (route *Route, ok bool) {
	if i := strings.IndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range c.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Route finds a route by name.
func (c *Catalog) Route(name string) (route *Route, ok bool) {
	route, ok = c.names[name]
	return route, ok
}

// KeyHolder finds the workspace that holds a key.
func (c *Catalog) WorkspaceByKey(key string) (workspace *Workspace, ok bool) {
	workspace, ok = c.keys[key]
	return workspace, ok
}

// Workspace finds a workspace by id.
func (c *Catalog) Workspace(id ids.WorkspaceID) (workspace *Workspace, ok bool) {
	workspace, ok = c.spaces[id]
	return workspace, ok
}

// Keyed tells whether callers need keys.
func (c *Catalog) RequiresKeys() bool {
	return len(c.Workspaces) > 0
}

// Service finds a service by name.
func (c *Catalog) Service(name ids.ServiceName) (service *Service, ok bool) {
	service, ok = c.services[name]
	return service, ok
}
