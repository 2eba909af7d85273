package soak

import (
	"fmt"
	"net/http"
	"strings"
)

// KeptConnectionsReport tells how the requests ended that were sent on kept connections while their host stopped.
type KeptConnectionsReport struct {
	// Answered counts the whole answers of servers, Refused the other whole answers by status.
	Answered int
	Refused  map[int]int
	// ClosedUnread counts the requests that ended without an answer and that no server ran. The host need not have read them.
	ClosedUnread int
	// Lost describes the requests that ran at a server and ended without a whole answer.
	Lost []string
	// ClosedByHost counts the requests that were read and dropped, by the hosts' logs. It is a lower bound: a host writes at most
	// 200 lines of a kind in a second, and leaves out the others.
	ClosedByHost int
	// Departed counts the requests whose callers had left, by the logs, with the same bound. These callers don't leave.
	Departed int
}

func (r *KeptConnectionsReport) add(c Call, ran bool) {
	switch {
	case c.Complete && c.Status == http.StatusOK && c.Body == "answer to "+c.ID:
		r.Answered++
	case c.Complete && c.Status != http.StatusOK:
		r.Refused[c.Status]++
	case ran:
		r.Lost = append(r.Lost, fmt.Sprintf("%s: status %d, body %q, after %s", c.ID, c.Status, c.Body, c.Ended.Sub(c.Sent)))
	default:
		r.ClosedUnread++
	}
}

// addReasons adds what the hosts' logs say.
func (r *KeptConnectionsReport) addReasons(reasons map[string]int) {
	for k, n := range reasons {
		switch outcome, _, _ := strings.Cut(k, " "); outcome {
		case "closed_by_host":
			r.ClosedByHost += n
		case "caller_left":
			r.Departed += n
		}
	}
}
