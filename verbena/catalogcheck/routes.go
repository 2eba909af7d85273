package catalogcheck

import (
	"fmt"
	"strings"
	"time"

	"verbenaledge.example/verbena/catalog"
)

// matched is what a request is matched by.
type matched struct {
	host, prefix string
}

// practicallyNever is a time after which no item that is still of use is given up.
const practicallyNever = 365 * 24 * time.Hour

func (c *findings) checkRoutes(d Draft) {
	services := serviceSet(d.Services)
	seen, first := make(map[string]int), make(map[matched]int)
	for i := range d.Routes {
		r := &d.Routes[i]
		p := Place{SectionRoutes, i, r.Name}
		c.checkName(p, seen)
		c.checkMatch(p, r)
		m := matched{r.Host, r.Prefix}
		if earlier, ok := first[m]; ok {
			text := fmt.Sprintf("never matches: %s has the same host and prefix and gets its requests", Place{SectionRoutes, earlier, d.Routes[earlier].Name})
			c.report(Error, p, text, "remove one of them, or change its host or prefix", FieldHost, FieldPrefix)
		} else {
			first[m] = i
		}
		c.checkTargets(p, r, services)
		c.reportNegative(p, routeFigures(r))
		c.checkTimes(p, r)
		if r.Kind == catalog.KindBatch && r.TokenCap > 0 && r.TokenCap < int64(d.MaxJobItems) {
			text := fmt.Sprintf("a job may have %d items, and the cap of %d tokens for all waiting items of a workspace refuses such a job"+
				" at any time, though each of its items has only one token", d.MaxJobItems, r.TokenCap)
			c.report(Warning, p, text, "raise the cap above the tokens of the largest job", FieldTokenCap)
		}
	}
}

// checkMatch reports what keeps a route from matching requests.
func (c *findings) checkMatch(p Place, r *catalog.Route) {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		text := fmt.Sprintf("the prefix %q doesn't begin and end with a slash", r.Prefix)
		c.report(Error, p, text, "state a prefix like /answers/; without the last slash, /answers also matches /answers-old", FieldPrefix)
	}
	switch {
	case r.Host == "":
		c.report(Error, p, "has no host, so no request that names one matches", "state the host name that callers use", FieldHost)
	case strings.Contains(r.Host, ":"):
		text := fmt.Sprintf("never matches: the host %q has a port, and requests are matched without one", r.Host)
		c.report(Error, p, text, "state the host name only", FieldHost)
	}
}

// checkTimes reports the times that contradict each other. A timeout of 0 means a default, which no figure is compared with.
func (c *findings) checkTimes(p Place, r *catalog.Route) {
	if r.Timeout > 0 && r.Timeout < r.Objective {
		text := fmt.Sprintf("requests end after %v, before their objective of %v", r.Timeout, r.Objective)
		c.report(Warning, p, text, "raise the timeout or lower the objective", FieldTimeout, FieldObjective)
	}
	if r.Timeout > 0 && r.Timeout < r.MaxEventGap {
		text := fmt.Sprintf("requests end after %v, before the longest pause between events of %v is over", r.Timeout, r.MaxEventGap)
		c.report(Warning, p, text, "raise the timeout or lower the pause", FieldTimeout, FieldMaxEventGap)
	}
	if r.Kind == catalog.KindBatch && r.GiveUpAfter > 0 && r.GiveUpAfter < r.ResultsDueAfter {
		text := fmt.Sprintf("items are given up %v after their submission, before their results are due at %v", r.GiveUpAfter, r.ResultsDueAfter)
		c.report(Warning, p, text, "give items up only after their results are due", FieldGiveUpAfter, FieldResultsDueAfter)
	}
}

func routeFigures(r *catalog.Route) []figure {
	giveUp := newFigure(FieldGiveUpAfter, r.GiveUpAfter)
	if r.GiveUpAfter >= practicallyNever {
		giveUp.text = "never"
	}
	return []figure{
		orNone(newFigure(FieldTimeout, r.Timeout)), orNone(newFigure(FieldObjective, r.Objective)), orNone(newFigure(FieldMaxEventGap, r.MaxEventGap)),
		newFigure(FieldPriority, r.Priority), newFigure(FieldMaxAttempts, r.MaxAttempts), orNone(newFigure(FieldResultsDueAfter, r.ResultsDueAfter)),
		orNone(giveUp), orNone(newFigure(FieldTokenCap, r.TokenCap)),
	}
}
