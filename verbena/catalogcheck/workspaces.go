package catalogcheck

import (
	"fmt"

	"verbenaledge.example/verbena/catalog"
)

// keyPlace is a key of a workspace. Findings name keys by their position, as they are shown where keys must not be.
type keyPlace struct {
	place    Place
	position int
}

func (c *findings) checkWorkspaces(workspaces []catalog.Workspace) {
	seen, keys := make(map[string]int), make(map[string]keyPlace)
	for i, w := range workspaces {
		p := Place{SectionWorkspaces, i, string(w.ID)}
		c.checkName(p, seen)
		c.checkKeys(p, w, keys)
		c.reportNegative(p, workspaceFigures(w))
		c.checkRate(p, w)
	}
}

// checkKeys reports the keys that can't tell workspaces apart. known holds the keys of earlier workspaces.
func (c *findings) checkKeys(p Place, w catalog.Workspace, known map[string]keyPlace) {
	if len(w.Keys) == 0 {
		severity, text := Warning, "has no key, so no caller belongs to it"
		if w.RatePerSecond > 0 {
			severity, text = Error, fmt.Sprintf("has a rate of %v requests a second and no key, so no caller may use it", w.RatePerSecond)
		}
		c.report(severity, p, text, "add a key or remove the workspace", FieldKeys)
	}
	for i, k := range w.Keys {
		if k == "" {
			text := fmt.Sprintf("key %d is empty: requests without a key count as this workspace's", i+1)
			c.report(Error, p, text, "remove the empty key", FieldKeys)
			continue
		}
		earlier, ok := known[k]
		switch {
		case !ok:
			known[k] = keyPlace{p, i + 1}
		case earlier.place == p:
			text := fmt.Sprintf("key %d is the same as key %d", i+1, earlier.position)
			c.report(Warning, p, text, "remove one of them", FieldKeys)
		default:
			text := fmt.Sprintf("key %d is also key %d of %s; its requests count as those of the later workspace", i+1, earlier.position, earlier.place)
			c.report(Error, p, text, "give the key to one workspace only", FieldKeys)
		}
	}
}

// checkRate reports rates and bursts that refuse requests inside the rate, or that have no effect.
func (c *findings) checkRate(p Place, w catalog.Workspace) {
	switch inInterval := w.RatePerSecond * catalog.DefaultBurstTime.Seconds(); {
	case w.RatePerSecond <= 0 && w.Burst > 0:
		text := fmt.Sprintf("has a burst of %v requests and no rate, so its requests aren't limited", w.Burst)
		c.report(Warning, p, text, "state a rate or remove the burst", FieldRate, FieldBurst)
	case w.RatePerSecond > 0 && w.Burst > 0 && w.Burst < 1:
		text := fmt.Sprintf("a burst of %v is less than one request and counts as 1", w.Burst)
		c.report(Warning, p, text, "state how many requests may arrive together, 1 or more", FieldBurst)
	case w.RatePerSecond > 0 && w.Burst == 0 && inInterval < 1:
		text := fmt.Sprintf("has no burst, and a rate of %v requests a second allows less than one request in the %v from which the burst follows;"+
			" of two requests that arrive together one is refused", w.RatePerSecond, catalog.DefaultBurstTime)
		c.report(Warning, p, text, "state how many requests may arrive together", FieldRate, FieldBurst)
	}
}

func workspaceFigures(w catalog.Workspace) []figure {
	figures := []figure{newFigure(FieldRate, w.RatePerSecond), newFigure(FieldBurst, w.Burst)}
	if w.Priority != nil {
		figures = append(figures, newFigure(FieldPriority, *w.Priority))
	}
	return figures
}
