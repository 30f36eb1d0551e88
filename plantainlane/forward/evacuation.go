package forward

import "net/http"

// refuseEvacuated refuses a request before its stages run if all upstreams of a service that it needs are in evacuated zones. It
// reports whether it did.
func (q *request) refuseEvacuated() bool {
	service := q.evacuatedService()
	if service == "" {
		return false
	}
	q.refuse(Refusal{
		Status: http.StatusServiceUnavailable, Reason: "all upstreams of " + service + " are in evacuated zones", RetryAfter: evacuatedRetryAfter,
	})
	return true
}

// evacuatedService returns a service that the request needs and whose upstreams are all in evacuated zones; empty if there is
// none.
func (q *request) evacuatedService() string {
	picker := q.server.Picker
	if picker.IsEvacuated(q.service) {
		return q.service
	}
	for i := range q.route.Stages {
		service := q.route.Stages[i].Service
		if i < len(q.call.Pieces) && q.call.Pieces[i] > 0 && picker.IsEvacuated(service) {
			return service
		}
	}
	return ""
}
