package soak

import (
	"fmt"
	"net/http"
	"strings"

	"verbenaledge.example/platform/standin"
)

// statusAccepted is the status of the response to an accepted job.
const statusAccepted = http.StatusAccepted

// expectedBody returns the body of a server's response to a request, without software versions.
func expectedBody(c Call) string {
	if c.Route == RouteApp || c.Route == RouteOnce {
		return "answer to " + c.ID
	}
	var b strings.Builder
	for n := c.ResumedAfter + 1; n <= streamEvents; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", n, standin.EventText(c.ID, n))
	}
	return b.String()
}

// checkAnswers checks that a response belongs to its request, that one that ended without an error is complete, and
// that an incomplete one is a prefix of the expected body.
func checkAnswers(ev *Evidence) (violations []Violation) {
	for _, c := range ev.Calls {
		if c.Status != http.StatusOK {
			continue
		}
		expected := expectedBody(c)
		c.Body = standin.WithoutVersions(c.Body)                      // checkVersions compares them
		c.Body = strings.ReplaceAll(c.Body, standin.StallComment, "") // hosts forward a server's comments, which carry no data
		switch {
		case c.ResponseID != c.ID:
			violations = append(violations, Violation{"answers", c.ID, "the response has the id " + c.ResponseID, c.Ended})
		case c.Complete && c.Body != expected:
			violations = append(violations, Violation{"answers", c.ID, fmt.Sprintf("a response ended without an error but is not as expected: %q", c.Body), c.Ended})
		case !strings.HasPrefix(expected, c.Body):
			violations = append(violations, Violation{"answers", c.ID, fmt.Sprintf("the response is not a prefix of the expected body: %q", c.Body), c.Ended})
		}
	}
	return violations
}
