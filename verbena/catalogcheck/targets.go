package catalogcheck

import (
	"fmt"

	"verbenaledge.example/verbena/catalog"
	"verbenaledge.example/verbena/ids"
)

// checkTargets reports the targets of a route that get none of its requests.
func (c *findings) checkTargets(p Place, r *catalog.Route, services map[ids.ServiceName]bool) {
	seen := make(map[ids.ServiceName]bool)
	total, serving := 0, 0
	for _, t := range r.Targets {
		if !services[t.Service] {
			text := fmt.Sprintf("leads to service %q, which isn't there", t.Service)
			c.report(Error, p, text, "add the service or correct its name", FieldTargets)
		}
		if t.Weight < 0 {
			text := fmt.Sprintf("the weight %d of service %q is below 0", t.Weight, t.Service)
			c.report(Error, p, text, "state 0 or more", FieldTargets)
		}
		if seen[t.Service] {
			text := fmt.Sprintf("lists service %q more than once; its weights add up", t.Service)
			c.report(Warning, p, text, "list it once with the whole weight", FieldTargets)
		}
		seen[t.Service] = true
		total += t.Weight
		if t.Weight > 0 {
			serving++
		}
	}
	if total <= 0 {
		text := "leads to no service: it lists none, so each of its requests gets 503"
		if len(r.Targets) > 0 {
			text = fmt.Sprintf("leads to no service: the weights add up to %d, so each of its requests gets 503", total)
		}
		c.report(Error, p, text, "state a service with a weight above 0", FieldTargets)
		return
	}
	c.checkWeights(p, r, serving)
}

// checkWeights reports the targets that get nothing beside others. serving is the number of targets with a weight above 0.
func (c *findings) checkWeights(p Place, r *catalog.Route, serving int) {
	for _, t := range r.Targets {
		if t.Weight == 0 {
			text := fmt.Sprintf("service %q has weight 0 and gets none of the requests", t.Service)
			c.report(Warning, p, text, "remove it or give it a weight", FieldTargets)
		}
	}
	if serving > 1 && r.Kind == catalog.KindBatch {
		// The owner of a job sends its items to the first service with a weight.
		first := mainTarget(r)
		text := fmt.Sprintf("a batch route isn't split: all items go to service %q, the first with a weight", first)
		c.report(Warning, p, text, "list one service", FieldTargets)
	}
}

// mainTarget returns the first service with a weight above 0, or none.
func mainTarget(r *catalog.Route) ids.ServiceName {
	for _, t := range r.Targets {
		if t.Weight > 0 {
			return t.Service
		}
	}
	return ""
}
