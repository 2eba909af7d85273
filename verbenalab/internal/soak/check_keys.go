package soak

import (
	"fmt"
	"net/http"
	"time"
)

// checkKeys checks that requests with an unknown key are refused, that a process that has refused a withdrawn key keeps
// refusing it (its configuration never reverts to an older version), that all hosts refuse it after recovery, and that no
// server receives a key.
func checkKeys(ev *Evidence) (violations []Violation) {
	if ev.LeakedKeys > 0 {
		violations = append(violations, Violation{"keys", "servers", fmt.Sprintf("%d requests reached a server with a caller's key", ev.LeakedKeys), ev.RecoveredAt})
	}
	refusedAt := keyRefusedAt(ev)
	for _, c := range ev.Calls {
		if c.Status != http.StatusOK {
			continue
		}
		at, refused := refusedAt[c.Process]
		switch {
		case c.Key == keyUnknown:
			violations = append(violations, Violation{"keys", c.ID, "served with an unknown key", c.Ended})
		case c.Key == keyWithdrawn && refused && c.Sent.After(at):
			violations = append(violations, Violation{"configuration", c.ID, c.Process + " served a key that it had refused before", c.Ended})
		case c.Key == keyWithdrawn && !ev.RecoveredAt.IsZero() && c.Sent.After(ev.RecoveredAt):
			violations = append(violations, Violation{"keys", c.ID, "served with a withdrawn key after recovery", c.Ended})
		}
	}
	return violations
}

// keyRefusedAt returns when each process first refused the withdrawn key.
func keyRefusedAt(ev *Evidence) map[string]time.Time {
	refusedAt := make(map[string]time.Time)
	for _, c := range ev.Calls {
		if c.Key == keyWithdrawn && c.Status == http.StatusUnauthorized && c.Process != "" {
			recordEarliest(refusedAt, c.Process, c.Ended)
		}
	}
	return refusedAt
}
