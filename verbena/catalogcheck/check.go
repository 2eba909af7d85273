package catalogcheck

import (
	"fmt"

	"verbenaledge.example/verbena/catalog"
	"verbenaledge.example/verbena/ids"
)

// Check returns the errors and warnings in a configuration.
func Check(d Draft) []Finding {
	var c findings
	if d.Version == 0 {
		c.report(Error, Place{}, "has no version or version 0, so no host puts it into force", "state a version above the one in force", FieldVersion)
	}
	if len(d.Routes) == 0 {
		c.report(Warning, Place{}, "has no routes, so every request gets 404", "check that the file is a configuration")
	}
	c.checkRoutes(d)
	c.checkServices(d.Services)
	c.checkWorkspaces(d.Workspaces)
	c.reportNegative(Place{Section: SectionLimits}, limitFigures(d.Limits))
	return c.list
}

// checkName reports an empty name, and one that an earlier entry of the section has. seen holds the positions of earlier names.
func (c *findings) checkName(p Place, seen map[string]int) {
	first, ok := seen[p.Name]
	switch {
	case p.Name == "":
		c.report(Error, p, "has no name", "name it", FieldName)
	case ok:
		text := fmt.Sprintf("has the same name as %s; what refers to the name means only one of them", Place{p.Section, first, p.Name})
		c.report(Error, p, text, "rename or remove one of them", FieldName)
	default:
		seen[p.Name] = p.Index
	}
}

func (c *findings) checkServices(services []catalog.Service) {
	seen := make(map[string]int)
	for i, s := range services {
		p := Place{SectionServices, i, string(s.Name)}
		c.checkName(p, seen)
		c.reportNegative(p, serviceFigures(s))
		switch {
		case s.ColdPerSecond > 0 && s.ColdTime == 0:
			text := fmt.Sprintf("states %v requests a second for cold servers and no time for which servers are cold after a start", s.ColdPerSecond)
			c.report(Warning, p, text, "state both or neither", FieldColdPerSecond, FieldColdTime)
		case s.ColdPerSecond == 0 && s.ColdTime > 0:
			text := fmt.Sprintf("states that servers are cold for %v and no rate for cold servers, so they are treated like warm ones", s.ColdTime)
			c.report(Warning, p, text, "state both or neither", FieldColdPerSecond, FieldColdTime)
		}
	}
}

func serviceFigures(s catalog.Service) []figure {
	return []figure{
		orNone(newFigure(FieldMaxConnections, s.MaxConnections)), orNone(newFigure(FieldColdPerSecond, s.ColdPerSecond)),
		orNone(newFigure(FieldColdTime, s.ColdTime)), orNone(newFigure(FieldMemoryTokens, s.MemoryTokens)),
	}
}

func limitFigures(l catalog.Limits) []figure {
	return []figure{
		orNone(newFigure(FieldHeaderBytes, l.HeaderBytes)), orNone(newFigure(FieldBodyBytes, l.BodyBytes)),
		orNone(newFigure(FieldHeaderTimeout, l.HeaderTimeout)), orNone(newFigure(FieldIdleTimeout, l.IdleTimeout)),
	}
}

// serviceSet returns the names of the services.
func serviceSet(services []catalog.Service) map[ids.ServiceName]bool {
	set := make(map[ids.ServiceName]bool, len(services))
	for _, s := range services {
		set[s.Name] = true
	}
	return set
}
