package bulk

import (
	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/catalog"
	"verbenaledge.example/verbena/ids"
)

// routeTarget is a job's route and the service that it leads to.
type routeTarget struct {
	route *catalog.Route
	// service is empty while the route leads to none. Items wait then: their route exists.
	service ids.ServiceName
}

// targetOf returns where a job's items are sent. ok is false if its route is gone. Items of one job are sent to one service, also if
// the route splits its traffic.
func (o *Owner) targetOf(j *bulk.Job) (target routeTarget, ok bool) {
	if target.route, ok = o.catalog.Route(j.Route); !ok {
		return target, false
	}
	target.service, _ = target.route.PickService(0)
	return target, true
}

// serviceOf returns the service that a route leads to, or none.
func (o *Owner) serviceOf(route string) (service ids.ServiceName) {
	if r, ok := o.catalog.Route(route); ok {
		service, _ = r.PickService(0)
	}
	return service
}
