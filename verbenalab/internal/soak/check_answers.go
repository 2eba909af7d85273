package soak

import (
	"fmt"
	"net/http"
	"strings"

	"verbenaledge.example/platform/standin"
)

// statusAccepted is the answer to a job that was accepted.
const statusAccepted = http.StatusAccepted

// wholeAnswer is what a server answers to a request.
func wholeAnswer(r Route, id string) string {
	if r == RouteApp || r == RouteOnce {
		return "answer to " + id
	}
	var b strings.Builder
	for n := 1; n <= eventsOf; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", n, standin.EventText(id, n))
	}
	return b.String()
}

// checkAnswers: an answer that looks whole is whole and its request's own; a part is the beginning of it.
func checkAnswers(e *Evidence) (broken []Violation) {
	for _, c := range e.Calls {
		if c.Status != http.StatusOK {
			continue
		}
		whole := wholeAnswer(c.Route, c.ID)
		c.Body = strings.ReplaceAll(c.Body, standin.StallComment, "") // a server's comments are passed on, and say nothing
		switch {
		case c.AnswerID != c.ID:
			broken = append(broken, Violation{"answers", c.ID, "the answer bears the id " + c.AnswerID, c.Ended})
		case c.Whole && c.Body != whole:
			broken = append(broken, Violation{"answers", c.ID, fmt.Sprintf("looks whole, and is %q", c.Body), c.Ended})
		case !strings.HasPrefix(whole, c.Body):
			broken = append(broken, Violation{"answers", c.ID, fmt.Sprintf("what came is no beginning of the answer: %q", c.Body), c.Ended})
		}
	}
	return broken
}
