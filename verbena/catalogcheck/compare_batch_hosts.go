package catalogcheck

import (
	"fmt"

	"verbenaledge.example/verbena/catalog"
)

// compareBatchHosts reports host names at which callers can't reach their jobs any more. Calls on jobs are accepted at host names
// that have a batch route.
func (c *comparison) compareBatchHosts() {
	left := make(map[string]bool)
	for i := range c.after.Routes {
		if r := &c.after.Routes[i]; r.Kind == catalog.KindBatch {
			left[r.Host] = true
		}
	}
	for i := range c.before.Routes {
		r := &c.before.Routes[i]
		if r.Kind != catalog.KindBatch || left[r.Host] {
			continue
		}
		left[r.Host] = true // reported once
		text := fmt.Sprintf("host %q has no batch route any more: callers can't read the results of their jobs there, or end them", r.Host)
		c.report(Warning, Place{}, text, "keep a batch route at the host until the results are read")
	}
}
