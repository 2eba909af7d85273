// Package catalog models the operators' configuration: routes, services, workspaces and limits.
package catalog

import (
	"slices"
	"sort"
	"strings"
	"time"

	"verbenaledge.example/verbena/ids"
)

// Version orders configurations. It increases, but not necessarily by one.
type Version uint64

// Catalog is a complete configuration. It is immutable.
type Catalog struct {
	Version    Version
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits

	routesByHost    map[string][]*Route
	routesByName    map[string]*Route
	workspacesByKey map[string]*Workspace
	workspacesByID  map[ids.WorkspaceID]*Workspace
	services        map[ids.ServiceName]*Service
}

// Limits bound the size and the duration of callers' requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// New returns a catalog with its lookup tables.
func New(version Version, routes []Route, services []Service, workspaces []Workspace, limits Limits) *Catalog {
	c := &Catalog{
		Version: version, Routes: routes, Services: services, Workspaces: workspaces, Limits: limits,
		routesByHost:    make(map[string][]*Route),
		routesByName:    make(map[string]*Route, len(routes)),
		workspacesByKey: make(map[string]*Workspace),
		workspacesByID:  make(map[ids.WorkspaceID]*Workspace, len(workspaces)),
		services:        make(map[ids.ServiceName]*Service, len(services)),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		c.routesByHost[r.Host] = append(c.routesByHost[r.Host], r)
		c.routesByName[r.Name] = r
	}
	for _, rs := range c.routesByHost {
		sort.SliceStable(rs, func(i, j int) bool { return len(rs[i].Prefix) > len(rs[j].Prefix) })
	}
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		w.setBurst()
		c.workspacesByID[w.ID] = w
		for _, k := range w.Keys {
			c.workspacesByKey[k] = w
		}
	}
	for i := range c.Services {
		c.services[c.Services[i].Name] = &c.Services[i]
	}
	return c
}

// Match returns the route of the host name with the longest prefix that matches the path. A port in host is ignored.
func (c *Catalog) Match(host, path string) (route *Route, ok bool) {
	for _, r := range c.routesByHost[withoutPort(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// HasBatchRoute reports whether the host name has a route for batch jobs. A port in host is ignored.
func (c *Catalog) HasBatchRoute(host string) bool {
	return slices.ContainsFunc(c.routesByHost[withoutPort(host)], func(r *Route) bool { return r.Kind == KindBatch })
}

func withoutPort(host string) string {
	name, _, _ := strings.Cut(host, ":")
	return name
}

// Route returns the route with a name.
func (c *Catalog) Route(name string) (route *Route, ok bool) {
	route, ok = c.routesByName[name]
	return route, ok
}

// WorkspaceByKey returns the workspace that an API key belongs to.
func (c *Catalog) WorkspaceByKey(key string) (workspace *Workspace, ok bool) {
	workspace, ok = c.workspacesByKey[key]
	return workspace, ok
}

// Workspace returns the workspace with an id.
func (c *Catalog) Workspace(id ids.WorkspaceID) (workspace *Workspace, ok bool) {
	workspace, ok = c.workspacesByID[id]
	return workspace, ok
}

// RequiresKeys reports whether callers need API keys.
func (c *Catalog) RequiresKeys() bool {
	return len(c.Workspaces) > 0
}

// Service returns the service with a name.
func (c *Catalog) Service(name ids.ServiceName) (service *Service, ok bool) {
	service, ok = c.services[name]
	return service, ok
}
