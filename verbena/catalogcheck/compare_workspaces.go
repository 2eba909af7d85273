package catalogcheck

import (
	"fmt"
	"strings"

	"verbenaledge.example/verbena/catalog"
)

func workspaceName(w catalog.Workspace) string { return string(w.ID) }

func (c *comparison) compareWorkspaces() {
	c.compareNeedForKeys()
	before, after := positions(c.before.Workspaces, workspaceName), positions(c.after.Workspaces, workspaceName)
	for i, w := range c.after.Workspaces {
		if after[string(w.ID)] != i {
			continue // a duplicate, which Check reports
		}
		p := Place{SectionWorkspaces, i, string(w.ID)}
		n, ok := before[string(w.ID)]
		if !ok {
			c.report(Change, p, fmt.Sprintf("is added with %s", count(len(w.Keys), "key")), "")
			continue
		}
		c.compareKeys(p, c.before.Workspaces[n], w)
		c.compareRates(p, c.before.Workspaces[n], w)
	}
	for i, w := range c.before.Workspaces {
		if _, ok := after[string(w.ID)]; ok || before[string(w.ID)] != i {
			continue
		}
		p := Place{SectionWorkspaces, notListed, string(w.ID)}
		c.report(Change, p, "is removed: callers can't read the results of its jobs any more", "")
		c.compareKeys(p, w, catalog.Workspace{ID: w.ID})
	}
}

// compareNeedForKeys reports that all callers need keys, or none does, other than before.
func (c *comparison) compareNeedForKeys() {
	needed, needs := len(c.before.Workspaces) > 0, len(c.after.Workspaces) > 0
	switch {
	case needed && !needs:
		c.report(Warning, Place{}, "has no workspace any more, so every route serves callers without a key", "keep a workspace", FieldKeys)
	case needs && !needed:
		c.report(Warning, Place{}, "has workspaces for the first time: callers without a key get 401 on all routes but public ones",
			"give keys to the callers first", FieldKeys)
	}
}

// compareKeys reports the keys that leave a workspace or are added to it. Keys are named by their position in the version in force.
func (c *comparison) compareKeys(p Place, before, after catalog.Workspace) {
	former, kept := make(map[string]bool), make(map[string]bool)
	for _, k := range after.Keys {
		kept[k] = true
	}
	var removed []string
	for i, k := range before.Keys {
		former[k] = true
		if kept[k] {
			continue
		}
		if owner, ok := c.afterCatalog.WorkspaceByKey(k); ok {
			text := fmt.Sprintf("key %d in force goes to workspace %q: its requests count as that workspace's, and it can't read the results of"+
				" jobs of %q", i+1, owner.ID, before.ID)
			c.report(Change, p, text, "", FieldKeys)
			continue
		}
		removed = append(removed, fmt.Sprint(i+1))
	}
	if len(removed) > 0 {
		c.report(Change, p, fmt.Sprintf("loses %s of %d in force: requests with %s get 401",
			numbered(removed), len(before.Keys), pronoun(len(removed))), "", FieldKeys)
	}
	added := 0
	for k := range kept {
		if !former[k] {
			added++
		}
	}
	if added > 0 {
		c.report(Change, p, fmt.Sprintf("gets %s more", count(added, "key")), "", FieldKeys)
	}
}

func (c *comparison) compareRates(p Place, before, after catalog.Workspace) {
	if before.RatePerSecond != after.RatePerSecond {
		verb := "rises"
		if before.RatePerSecond <= 0 || after.RatePerSecond > 0 && after.RatePerSecond < before.RatePerSecond {
			verb = "falls"
		}
		c.report(Change, p, fmt.Sprintf("its rate %s from %s to %s", verb, rateText(before), rateText(after)), "", FieldRate)
	}
	if before.Burst != after.Burst {
		text := fmt.Sprintf("its burst changes from %s to %s", burstText(before), burstText(after))
		c.report(Change, p, text, "", FieldBurst)
	}
	if priorityText(before) != priorityText(after) {
		text := fmt.Sprintf("its priority changes from %s to %s", priorityText(before), priorityText(after))
		c.report(Change, p, text, "", FieldPriority)
	}
}

func rateText(w catalog.Workspace) string {
	if w.RatePerSecond <= 0 {
		return "no limit"
	}
	return fmt.Sprintf("%v requests a second", w.RatePerSecond)
}

func burstText(w catalog.Workspace) string {
	if w.Burst == 0 {
		return "the one that follows from the rate"
	}
	return fmt.Sprintf("%v requests", w.Burst)
}

func priorityText(w catalog.Workspace) string {
	if w.Priority == nil {
		return "the routes'"
	}
	return fmt.Sprint(*w.Priority)
}

// count returns a number with its noun.
func count(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}

// numbered returns keys by their positions.
func numbered(positions []string) string {
	if len(positions) == 1 {
		return "key " + positions[0]
	}
	last := len(positions) - 1
	return "keys " + strings.Join(positions[:last], ", ") + " and " + positions[last]
}

func pronoun(n int) string {
	if n == 1 {
		return "it"
	}
	return "them"
}
