package catalogcheck

import (
	"fmt"

	"verbenaledge.example/verbena/catalog"
)

func routeName(r catalog.Route) string { return r.Name }

func (c *comparison) compareRoutes() {
	before, after := positions(c.before.Routes, routeName), positions(c.after.Routes, routeName)
	for i := range c.after.Routes {
		r := &c.after.Routes[i]
		if after[r.Name] != i {
			continue // a duplicate, which Check reports
		}
		p := Place{SectionRoutes, i, r.Name}
		if n, ok := before[r.Name]; ok {
			c.compareRoute(p, &c.before.Routes[n], r)
			continue
		}
		c.report(Change, p, "is added"+c.takenFrom(r), "")
	}
	for i := range c.before.Routes {
		r := &c.before.Routes[i]
		if _, ok := after[r.Name]; !ok && before[r.Name] == i {
			c.report(Change, Place{SectionRoutes, notListed, r.Name}, "is removed: "+c.servedInstead(r)+removalEffect(r.Kind), "")
		}
	}
}

// takenFrom tells which route in force served the requests of an added one.
func (c *comparison) takenFrom(r *catalog.Route) string {
	if former, ok := c.beforeCatalog.Match(r.Host, r.Prefix); ok {
		return fmt.Sprintf(": it gets the requests to %s%s from route %q (%s)", r.Host, r.Prefix, former.Name, kindName(former.Kind))
	}
	return fmt.Sprintf(": requests to %s%s (%s) are served", r.Host, r.Prefix, kindName(r.Kind))
}

// servedInstead tells what becomes of the requests to the host and prefix of a route in force.
func (c *comparison) servedInstead(r *catalog.Route) string {
	if next, ok := c.afterCatalog.Match(r.Host, r.Prefix); ok {
		return fmt.Sprintf("requests to %s%s go to route %q (%s) instead of being %s", r.Host, r.Prefix, next.Name, kindName(next.Kind), kindName(r.Kind))
	}
	return fmt.Sprintf("requests to %s%s (%s) get 404", r.Host, r.Prefix, kindName(r.Kind))
}

// removalEffect tells what becomes of the streams and jobs of a route that is removed.
func removalEffect(k catalog.Kind) string {
	switch k {
	case catalog.KindBatch:
		return "; items of its jobs that aren't at a server end as errored (route_gone), also if a later version brings the route back"
	case catalog.KindStream:
		return "; streams that run go on, and callers that resume one are treated like new requests"
	default:
		return "; requests that run go on"
	}
}

func (c *comparison) compareRoute(p Place, before, after *catalog.Route) {
	if before.Host != after.Host || before.Prefix != after.Prefix {
		text := fmt.Sprintf("moves from %s%s to %s%s: %s", before.Host, before.Prefix, after.Host, after.Prefix, c.servedInstead(before))
		if before.Kind == catalog.KindBatch {
			text += "; its jobs go on, and their items are sent as they were submitted"
		}
		c.report(Change, p, text, "", FieldHost, FieldPrefix)
	}
	if before.Kind != after.Kind {
		text := fmt.Sprintf("becomes %s instead of %s: %s", kindName(after.Kind), kindName(before.Kind), kindEffect(before.Kind, after.Kind))
		c.report(Change, p, text, "", FieldKind)
	}
	c.compareTargets(p, before, after)
	c.reportChanged(p, routeFigures(before), routeFigures(after))
	if before.Public != after.Public {
		text := "needs no key any more"
		if before.Public {
			text = "needs a key: callers without one get 401"
		}
		c.report(Change, p, text, "", FieldPublic)
	}
	if before.Resumable != after.Resumable {
		text := "streams that break off are resumed"
		if before.Resumable {
			text = "streams that break off aren't resumed any more"
		}
		c.report(Change, p, text, "", FieldResumable)
	}
}

// kindName returns the name of a kind as it is shown to operators.
func kindName(k catalog.Kind) string {
	switch k {
	case catalog.KindIdempotent:
		return "idempotent"
	case catalog.KindNonIdempotent:
		return "not idempotent"
	case catalog.KindStream:
		return "streaming"
	default:
		return "batch"
	}
}

// kindEffect tells what another kind means for requests and jobs.
func kindEffect(before, after catalog.Kind) string {
	switch {
	case before == catalog.KindBatch:
		return "items of its jobs that aren't at a server wait until it is a batch route again, and are given up in time"
	case after == catalog.KindBatch:
		return "requests are read as submissions of jobs, and others get 400 or 405"
	case after == catalog.KindIdempotent:
		return "requests may be sent to servers more than once"
	case after == catalog.KindStream:
		return "answers are passed on event by event"
	}
	return "requests that may have run aren't sent again"
}
