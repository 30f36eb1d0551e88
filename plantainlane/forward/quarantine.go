package forward

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"plantainlane/plantainlane/exchange"
	"plantainlane/plantainlane/quarantine"
	"plantainlane/plantainlane/route"
)

// contentOf returns what the quarantine knows the request by: the parts of its prompt that others may share, and what only its
// own repeats have in common with it.
func (q *request) contentOf() quarantine.Request {
	return quarantine.Request{
		ID: q.call.ID, Service: q.service, Workspace: q.workspace, Parts: quarantine.Parts(q.call.sharedParts()),
		Exact: &quarantine.Exact{
			Head: []string{q.method, q.host, q.target, q.workspace}, Content: q.call.partIDs(len(q.call.Parts)), Body: q.body,
		},
	}
}

// refuseQuarantined returns the refusal of a request whose content is in quarantine; nil if it isn't.
func (q *request) refuseQuarantined() *Refusal {
	now := time.Now()
	e := q.server.Guard.Refusal(now, q.content)
	if e == nil {
		return nil
	}
	return &Refusal{
		Status: http.StatusServiceUnavailable, Reason: "content in quarantine, it has crashed upstreams: " + e.ID,
		RetryAfter: quarantine.RetryAfter(e, now),
	}
}

// reportToGuard reports to the guard that the request was answered whole, or that the connection of a send broke. begun says
// whether the send was answered in part.
func (q *request) reportToGuard(ctx context.Context, t route.Target, out sendOutcome, begun bool) {
	switch {
	case out.result == delivered:
		q.server.Guard.Served(time.Now(), q.content)
	case out.result == mayHaveRun && ctx.Err() == nil && exchange.IsBroken(out.err):
		p := quarantine.Process{Upstream: t.ID, Incarnation: t.Incarnation, Address: t.Address}
		q.server.Guard.Broke(p, q.content, q.call.ID+"."+strconv.Itoa(q.sends), begun)
	}
}
