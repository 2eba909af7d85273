package catalogcheck

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"verbenaledge.example/verbena/catalog"
	"verbenaledge.example/verbena/ids"
)

// compareTargets reports a route whose requests are divided otherwise among services.
func (c *comparison) compareTargets(p Place, before, after *catalog.Route) {
	former, present := weights(before), weights(after)
	if division(former) == division(present) {
		return
	}
	text := fmt.Sprintf("requests go to %s instead of %s", division(present), division(former))
	switch after.Kind {
	case catalog.KindBatch:
		text += itemsEffect(mainTarget(before), mainTarget(after))
	case catalog.KindStream:
		text += "; streams that run stay at their servers, and callers that resume one are treated like new requests"
	default:
	}
	c.report(Change, p, text, "", FieldTargets)
}

// itemsEffect tells what becomes of the items of a batch route's jobs.
func itemsEffect(before, after ids.ServiceName) string {
	switch {
	case after == "":
		return "; items of its jobs wait until it leads to a service, and are given up in time"
	case before == after:
		return fmt.Sprintf("; items of its jobs stay with service %q", after)
	}
	return fmt.Sprintf("; items of its jobs that aren't at a server go to service %q", after)
}

// weights returns the weight of each service that gets requests of a route.
func weights(r *catalog.Route) map[ids.ServiceName]int {
	sum := make(map[ids.ServiceName]int)
	for _, t := range r.Targets {
		if t.Weight > 0 {
			sum[t.Service] += t.Weight
		}
	}
	return sum
}

// division describes weights as percentages. Weights of the same proportion have the same description.
func division(weights map[ids.ServiceName]int) string {
	if len(weights) == 0 {
		return "no service"
	}
	total := 0
	for _, w := range weights {
		total += w
	}
	parts := make([]string, 0, len(weights))
	for _, s := range slices.Sorted(maps.Keys(weights)) {
		if len(weights) == 1 {
			return fmt.Sprintf("service %q", s)
		}
		parts = append(parts, fmt.Sprintf("%q (%.4g in 100)", s, 100*float64(weights[s])/float64(total)))
	}
	return "services " + strings.Join(parts, " and ")
}
