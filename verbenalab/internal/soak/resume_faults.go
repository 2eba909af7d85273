package soak

import (
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"verbenaledge.example/platform/standin"
)

// resumeFaultInterval is the mean time between the starts of resumeFaults.
const resumeFaultInterval = 3 * time.Second

// resumeFaults break off streams and fail the runs that resume them.
var resumeFaults = map[FaultKind]fault{
	"resumes_fail": resumeFault(standin.InternalError),
	"resumes_end":  resumeFault(standin.UnframedEmpty),
}

// resumeFault makes all stream servers cut every faultPeriod-th stream that may be resumed, and fail as many of the runs
// that resume one. Items are spared: each may fail only as often as its route allows.
func resumeFault(f standin.ServerFault) fault {
	return fault{1, func(e *Environment, _ int) {
		var n atomic.Int64
		e.setStreamFault(func(r *http.Request) standin.ServerFault {
			switch {
			case !strings.HasPrefix(r.URL.Path, "/"+string(RouteResume)+"/") || n.Add(1)%faultPeriod != 0:
				return standin.NoFault
			case r.Header.Get(standin.HeaderLastEvent) == "":
				return standin.CutAnswer
			}
			return f
		})
	}, func(e *Environment, _ int) { e.setStreamFault(nil) }}
}

func (e *Environment) setStreamFault(f func(*http.Request) standin.ServerFault) {
	for _, s := range e.servers[:streamServers] {
		s.server.SetFault(f)
	}
}
