package soak

import (
	"fmt"
	"net/http"
	"time"
)

// checkKeys: an unknown key opens nothing, a process that has refused a withdrawn key goes on to refuse
// it (its configuration never goes back), all hosts refuse it in the end, and no server sees a key.
func checkKeys(e *Evidence) (broken []Violation) {
	if e.KeysSeen > 0 {
		broken = append(broken, Violation{"keys", "servers", fmt.Sprintf("%d requests reached a server with a caller's key", e.KeysSeen), e.CalmFrom})
	}
	refusedAt := withdrawnAt(e)
	for _, c := range e.Calls {
		if c.Status != http.StatusOK {
			continue
		}
		at, refused := refusedAt[c.Life]
		switch {
		case c.Key == keyUnknown:
			broken = append(broken, Violation{"keys", c.ID, "served with an unknown key", c.Ended})
		case c.Key == keyWithdrawn && refused && c.Sent.After(at):
			broken = append(broken, Violation{"configuration", c.ID, c.Life + " serves a key that it had refused before", c.Ended})
		case c.Key == keyWithdrawn && !e.CalmFrom.IsZero() && c.Sent.After(e.CalmFrom):
			broken = append(broken, Violation{"keys", c.ID, "a withdrawn key is served in the calm", c.Ended})
		}
	}
	return broken
}

// withdrawnAt returns when each process first refused the withdrawn key.
func withdrawnAt(e *Evidence) map[string]time.Time {
	refusedAt := make(map[string]time.Time)
	for _, c := range e.Calls {
		if c.Key == keyWithdrawn && c.Status == http.StatusUnauthorized && c.Life != "" {
			earliest(refusedAt, c.Life, c.Ended)
		}
	}
	return refusedAt
}
