package soak

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"verbenaledge.example/platform/standin"
)

// checkVersions checks that neither a stream, over all attempts of its caller, nor an item's output is joined from the
// text of several software versions.
func checkVersions(ev *Evidence) (violations []Violation) {
	return append(checkStreamVersions(ev), checkOutputVersions(ev)...)
}

func checkStreamVersions(ev *Evidence) (violations []Violation) {
	versions := make(map[string][]string)
	for _, c := range ev.Calls {
		if c.Status != http.StatusOK || c.Route != RouteStream && c.Route != RouteResume {
			continue
		}
		first := cmp.Or(c.FirstAttempt, c.ID)
		before := len(versions[first])
		for _, v := range standin.StreamVersions(c.Body) {
			if !slices.Contains(versions[first], v) {
				versions[first] = append(versions[first], v)
			}
		}
		if n := len(versions[first]); n > 1 && n > before {
			text := fmt.Sprintf("the stream that began with %s has text of the versions %s", first, strings.Join(versions[first], ", "))
			violations = append(violations, Violation{"versions", c.ID, text, c.Ended})
		}
	}
	return violations
}

func checkOutputVersions(ev *Evidence) (violations []Violation) {
	reported := make(map[string]bool)
	for _, c := range ev.JobCalls {
		for _, r := range c.Listing.Results {
			if versions := standin.OutputVersions(r.Output); len(versions) > 1 && !reported[r.ID] {
				reported[r.ID] = true
				text := fmt.Sprintf("the output has text of the versions %s", strings.Join(versions, ", "))
				violations = append(violations, Violation{"versions", r.ID, text, c.Ended})
			}
		}
	}
	return violations
}
