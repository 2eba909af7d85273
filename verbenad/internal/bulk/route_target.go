package bulk

import (
	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/catalog"
	"verbenaledge.example/verbena/ids"
)

// routeTarget is a job's route and the service that it leads to. Items without a service wait for a configuration that names one.
type routeTarget struct {
	// route is nil if the configuration is older than the job's and lacks it.
	route *catalog.Route
	// service is empty while the route leads to none, or isn't a batch route.
	service ids.ServiceName
}

// targetOf returns where a job's items are sent. ok is false if its route is gone: a configuration at least as new as the one under
// which the job was accepted lacks it. Items of one job are sent to one service, also if the route splits its traffic.
func (o *Owner) targetOf(j *bulk.Job) (target routeTarget, ok bool) {
	if target.route, ok = o.catalog.Route(j.Route); !ok {
		return routeTarget{}, o.catalog.Version < j.Configuration
	}
	target.service = batchService(target.route)
	return target, true
}

// batchService returns the service of a batch route, or none. A route of another kind may lead to a service that must not run a request
// twice, and its name may be that of a batch route again.
func batchService(r *catalog.Route) (service ids.ServiceName) {
	if r.Kind == catalog.KindBatch {
		service, _ = r.PickService(0)
	}
	return service
}

// serviceOf returns the service that a route leads to, or none.
func (o *Owner) serviceOf(route string) ids.ServiceName {
	if r, ok := o.catalog.Route(route); ok {
		return batchService(r)
	}
	return ""
}
