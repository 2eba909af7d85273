package catalogcheck

import (
	"fmt"

	"verbenaledge.example/verbena/catalog"
	"verbenaledge.example/verbena/ids"
)

func serviceName(s catalog.Service) string { return string(s.Name) }

func (c *comparison) compareServices() {
	before, after := positions(c.before.Services, serviceName), positions(c.after.Services, serviceName)
	formerlyUsed, used := usedServices(c.before.Routes), usedServices(c.after.Routes)
	for i, s := range c.after.Services {
		if after[string(s.Name)] != i {
			continue // a duplicate, which Check reports
		}
		p := Place{SectionServices, i, string(s.Name)}
		n, ok := before[string(s.Name)]
		if !ok {
			c.report(Change, p, "is added", "")
			continue
		}
		c.compareService(p, c.before.Services[n], s)
		if formerlyUsed[s.Name] && !used[s.Name] {
			c.report(Change, p, "gets no requests any more: no route leads to it", "")
		}
	}
	for i, s := range c.before.Services {
		if _, ok := after[string(s.Name)]; !ok && before[string(s.Name)] == i {
			c.report(Change, Place{SectionServices, notListed, string(s.Name)}, "is removed", "")
		}
	}
}

func (c *comparison) compareService(p Place, before, after catalog.Service) {
	c.reportChanged(p, serviceFigures(before), serviceFigures(after))
	if before.HealthPath != after.HealthPath {
		c.report(Change, p, fmt.Sprintf("changes from %q to %q", before.HealthPath, after.HealthPath), "", FieldHealthPath)
	}
	if before.GeneratesTokens != after.GeneratesTokens {
		text := "counts as one that generates tokens"
		if before.GeneratesTokens {
			text = "counts as a plain service, not as one that generates tokens"
		}
		c.report(Change, p, text, "", FieldGeneratesTokens)
	}
}

// usedServices returns the services that get requests of a route.
func usedServices(routes []catalog.Route) map[ids.ServiceName]bool {
	used := make(map[ids.ServiceName]bool)
	for i := range routes {
		for s := range weights(&routes[i]) {
			used[s] = true
		}
	}
	return used
}
