package soak

import (
	"fmt"
	"time"
)

// versionFaultInterval is the mean time between the starts of versionFaults.
const versionFaultInterval = 4 * time.Second

// softwareVersions are the versions of the stream servers' software. What they write doesn't fit together.
var softwareVersions = [...]string{"1.4.0", "1.5.0"}

// otherVersion returns the version to which a server changes.
func otherVersion(version string) string {
	if version == softwareVersions[1] {
		return softwareVersions[0]
	}
	return softwareVersions[1]
}

// versionFaults are drawn by a random generator of their own, for the same reason as laterFaults.
var versionFaults = map[FaultKind]fault{
	"server_replaced_by_version": {streamServers, func(e *Environment, n int) { e.replaceServer(n) }, noop},
	"server_restarts_as_version": {streamServers, func(e *Environment, n int) { e.restartServerAsOther(n) }, noop},
	"versions_all_replaced":      {streamServers, func(e *Environment, n int) { e.replaceVersionOf(n) }, noop},
}

// replaceServer crashes a server and starts one of the other version at its address, under a new id.
func (e *Environment) replaceServer(n int) {
	b := e.servers[n]
	b.server.Crash(crashDownTime)
	b.registration.Lock()
	b.formerIDs = append(b.formerIDs, b.server.CurrentID())
	b.server.Replace(fmt.Sprintf("server-%d.%d", n, len(b.formerIDs)), otherVersion(b.server.Version()), time.Now())
	b.registration.Unlock()
	e.registrations.Go(func() { e.registerServer(n, "ready") })
}

// restartServerAsOther crashes a server and restarts it under its id as the other version. It is down until its
// registration shows the version.
func (e *Environment) restartServerAsOther(n int) {
	b := e.servers[n]
	b.server.Crash(crashDownTime)
	b.server.HoldDown()
	b.server.Replace(b.server.CurrentID(), otherVersion(b.server.Version()), time.Now())
	e.registrations.Go(func() {
		defer b.server.Release()
		for registered := false; !registered; { // an outage of the store may be longer than the attempts of registerServer
			registered = e.registerServer(n, "ready")
		}
	})
}

// replaceVersionOf replaces all servers of a server's version.
func (e *Environment) replaceVersionOf(n int) {
	version := e.servers[n].server.Version()
	for i, s := range e.servers[:streamServers] {
		if s.server.Version() == version {
			e.replaceServer(i)
		}
	}
}
