package catalogcheck

import (
	"fmt"

	"verbenaledge.example/verbena/catalog"
)

// Compare returns how a configuration differs from the version in force, and which requests and jobs that touches.
func Compare(inForce, next Draft) []Finding {
	c := comparison{before: inForce, after: next, beforeCatalog: newCatalog(inForce), afterCatalog: newCatalog(next)}
	if next.Version <= inForce.Version {
		text := fmt.Sprintf("version %d isn't above %d, the one in force, so no host puts it into force", next.Version, inForce.Version)
		c.report(Error, Place{}, text, fmt.Sprintf("state a version above %d", inForce.Version), FieldVersion)
	}
	c.compareRoutes()
	c.compareBatchHosts()
	c.compareServices()
	c.compareWorkspaces()
	c.reportChanged(Place{Section: SectionLimits}, limitFigures(inForce.Limits), limitFigures(next.Limits))
	return c.list
}

// comparison compares a configuration with the version in force.
type comparison struct {
	findings

	before, after               Draft
	beforeCatalog, afterCatalog *catalog.Catalog
}

// newCatalog returns the catalog of a draft, for look-ups. The draft keeps its figures, which a catalog completes.
func newCatalog(d Draft) *catalog.Catalog {
	workspaces := append([]catalog.Workspace(nil), d.Workspaces...)
	return catalog.New(d.Version, d.Routes, d.Services, workspaces, d.Limits)
}

// positions returns where each name is listed. As in a catalog, the last entry of a name counts.
func positions[E any](entries []E, name func(E) string) map[string]int {
	found := make(map[string]int, len(entries))
	for i, e := range entries {
		found[name(e)] = i
	}
	return found
}
