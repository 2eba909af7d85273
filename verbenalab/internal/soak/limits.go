package soak

import (
	"math"
	"strconv"
	"strings"
	"time"

	"verbenaledge.example/platform/standin"
)

// limitFaultInterval is the mean time between the starts of limitFaults.
const limitFaultInterval = 3 * time.Second

// limitLines are the lines that servers may answer with; none ends a limit.
var limitLines = [...]string{"", "2", "0.5", "0", "6.5", "1e1", "-3"}

// limitFaults are drawn by a random generator of their own, for the same reason as laterFaults. A server names its limit until
// another fault changes it.
var limitFaults = map[FaultKind]fault{
	"server_names_limit": {serverCount * len(limitLines), func(e *Environment, target int) {
		if line := limitLines[target/serverCount]; line != "" {
			e.servers[target%serverCount].server.SetLimit(line)
			return
		}
		e.servers[target%serverCount].server.SetLimit()
	}, noop},
	"all_name_limits": {1, func(e *Environment, _ int) {
		for _, s := range e.servers {
			s.server.SetLimit("5")
		}
	}, noop},
}

// LimitPeriod is a time during which a server named the same limit.
type LimitPeriod struct {
	standin.LimitPeriod
	Server string
	// Arrivals are the requests that reached the server during the whole run.
	Arrivals []standin.Arrival
}

// Disturbance is a time during which a host, or the connections to a server, had a fault.
type Disturbance struct {
	// Name is that of the host or server.
	Name     string
	From, To time.Time
}

// disturbed returns the host, or the server whose connections, a fault disturbs; empty if there is none.
func (e *Environment) disturbed(f PlannedFault) string {
	kind := string(f.Kind)
	switch {
	case strings.HasPrefix(kind, "seats_"):
		return anyStorageHost
	case strings.HasPrefix(kind, "peers_"), kind == "kill", kind == "stop", kind == "pause":
		return e.hosts[f.Target].name
	case strings.HasPrefix(kind, "server_") && f.Kind.fault().targetCount == relayTargets:
		return serverName(f.Target)
	}
	return ""
}

// addDisturbance records a fault that has ended.
func (e *Environment) addDisturbance(f PlannedFault, began time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if name := e.disturbed(f); name != "" {
		e.disturbances = append(e.disturbances, Disturbance{name, began, time.Now()})
	}
	if name := e.faultyHost(f); name != "" {
		e.hostFaults = append(e.hostFaults, Disturbance{name, began, time.Now()})
	}
}

// anyStorageHost stands for all storage hosts among the disturbances.
const anyStorageHost = "storage"

func serverName(n int) string { return "server-" + strconv.Itoa(n) }

// limitPeriods returns when servers named limits.
func (e *Environment) limitPeriods() (list []LimitPeriod) {
	for n, s := range e.servers {
		periods, arrivals := s.server.Limits()
		for _, p := range periods {
			list = append(list, LimitPeriod{p, serverName(n), arrivals})
		}
	}
	return list
}

// perSecond returns the limit that a period's line names, 0 if it can't be read.
func (p LimitPeriod) perSecond() (perSecond float64, ok bool) {
	perSecond, err := strconv.ParseFloat(strings.Join(p.Lines, ","), 64)
	return perSecond, err == nil && perSecond >= 0 && !math.IsInf(perSecond, 0)
}
