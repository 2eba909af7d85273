package soak

import (
	"fmt"
	"strings"
	"time"

	"verbenaledge.example/platform/standin"
)

const (
	// limitGrace is the time from a server's first answer with a limit until hosts must keep to it.
	limitGrace = 3 * time.Second
	// limitWindow is the window in which servers count their requests.
	limitWindow = 4 * time.Second
	// In a window, limitFactor times what the limit allows and limitSlack requests more are accepted.
	limitFactor = 1.5
	limitSlack  = 5
)

// checkLimits checks that servers that name a limit get no more than it allows from hosts without faults.
func checkLimits(ev *Evidence) (violations []Violation) {
	hosts := make(map[string]string)
	for _, c := range ev.Calls {
		name, _, _ := strings.Cut(c.Process, "#")
		hosts[c.ID] = name
	}
	for _, p := range ev.LimitPeriods {
		perSecond, ok := p.perSecond()
		if !ok {
			continue
		}
		allowed := int(limitFactor*perSecond*limitWindow.Seconds()) + limitSlack
		if most := standin.MostWithin(ev.countedArrivals(p, hosts), p.NamedAt.Add(limitGrace), limitWindow); most > allowed {
			text := fmt.Sprintf("named %s a second and got %d requests in %s, %d are allowed", strings.Join(p.Lines, ","), most, limitWindow, allowed)
			violations = append(violations, Violation{"limits", p.Server, text, p.NamedAt})
		}
	}
	return violations
}

// countedArrivals returns the requests of a period from hosts without faults.
func (ev *Evidence) countedArrivals(p LimitPeriod, hosts map[string]string) (list []standin.Arrival) {
	for _, a := range p.Arrivals {
		host, isCall := hosts[a.ID]
		if !isCall {
			host = anyStorageHost // storage hosts send the items of batch jobs
		}
		inPeriod := !a.At.Before(p.NamedAt) && (p.EndedAt.IsZero() || a.At.Before(p.EndedAt))
		if inPeriod && host != "" && !ev.isDisturbed(host, a.At) && !ev.isDisturbed(p.Server, a.At) {
			list = append(list, a)
		}
	}
	return list
}

// isDisturbed reports whether a host, or a server's connections, had a fault shortly before a request arrived.
func (ev *Evidence) isDisturbed(name string, at time.Time) bool {
	for _, d := range ev.Disturbances {
		matches := d.Name == name || name == anyStorageHost && strings.HasPrefix(d.Name, anyStorageHost)
		if matches && !at.Before(d.From) && at.Before(d.To.Add(limitGrace+limitWindow)) {
			return true
		}
	}
	return false
}
