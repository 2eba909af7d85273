package slots

import (
	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/ids"
)

// SetServers sets the servers.
func (d *Dispatcher) SetServers(servers map[ids.BackendID]directory.Server) {
	d.mu.Lock()
	d.limits.removeDeparted(d.clock.Now(), servers)
	d.mu.Unlock()
	d.runner.Enqueue(dispatch.ServersChanged{Servers: servers})
}

// SetRates sets the workspaces' rates.
func (d *Dispatcher) SetRates(rates map[ids.WorkspaceID]dispatch.Rate) {
	d.runner.Enqueue(dispatch.RatesChanged{Rates: rates})
}

// SetServices sets the traits of the services.
func (d *Dispatcher) SetServices(traits map[ids.ServiceName]dispatch.ServiceTraits) {
	d.runner.Enqueue(dispatch.ServicesChanged{Services: traits})
}

// SetStandby sets whether this host decides only for hosts that can't reach the dispatcher, and how many hosts accept
// callers, as last received from the dispatcher.
func (d *Dispatcher) SetStandby(on bool, entryHosts int) {
	d.runner.Enqueue(dispatch.StandbyChanged{On: on, EntryHosts: entryHosts})
}

// HasHosts reports whether any host is connected.
func (d *Dispatcher) HasHosts() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.members) > 0
}

// SetLeaseUncertain sets whether another host may be dispatching for the hosts that disconnected from this one.
func (d *Dispatcher) SetLeaseUncertain(uncertain bool) {
	d.runner.Enqueue(dispatch.LeaseUncertain{Uncertain: uncertain})
}
