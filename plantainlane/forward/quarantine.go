package forward

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"plantainlane/plantainlane/exchange"
	"plantainlane/plantainlane/quarantine"
	"plantainlane/plantainlane/quota"
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
// whether the send was answered in part. A trial is over with its send, unless that did not run.
func (q *request) reportToGuard(ctx context.Context, t route.Target, out sendOutcome, begun bool) {
	switch {
	case out.result == notRun || out.result == inputsGone:
		return
	case out.result == delivered:
		q.server.Guard.Served(time.Now(), q.content)
	case out.result == failedAnswer:
		q.server.Guard.Survived(time.Now(), q.content)
	case ctx.Err() == nil && exchange.IsBroken(out.err):
		p := quarantine.Process{Upstream: t.ID, Incarnation: t.Incarnation, Address: t.Address}
		q.server.Guard.Broke(p, q.content, quarantine.Send{ID: q.call.ID + "." + strconv.Itoa(q.sends), Begun: begun, Trial: q.trial.Number})
		q.trialFailed = q.trial.Number != 0
	default:
		// It says nothing about the request, and another one may be tried.
		q.returnTrial()
	}
	q.trial = quarantine.Trial{}
}

// obtainTrial waits until the request may be sent, and sets its trial if it needs one. It returns a refusal if the request may not be
// sent in time, or is in quarantine.
func (q *request) obtainTrial(ctx context.Context) *Refusal {
	guard := q.server.Guard
	if refusal := q.refuseQuarantined(); refusal != nil {
		return refusal
	}
	if q.trial.IsValid(time.Now()) || !guard.NeedsTrial(q.content) {
		return nil
	}
	q.returnTrial()
	var err error
	q.trial, err = guard.Try(ctx, q.content, q.deadline)
	var held *quarantine.Held
	if errors.As(err, &held) {
		return &Refusal{Status: http.StatusServiceUnavailable, Reason: held.Error(), RetryAfter: held.RetryAfter}
	}
	return q.refuseQuarantined()
}

// returnTrial gives a trial back that was not used.
func (q *request) returnTrial() {
	q.server.Guard.Return(q.content, q.trial)
	q.trial = quarantine.Trial{}
}

// checkSend returns a function that returns an error if a send with a permit may not begin now: it is called immediately before
// the request is written.
func (q *request) checkSend(p quota.Permit) func() error {
	return func() error {
		if q.trial.Number != 0 && !q.trial.IsValid(time.Now()) {
			return errTrialOver
		}
		return p.Check()
	}
}

// errTrialOver reports that a trial has ended before the request was sent.
var errTrialOver = errors.New("the trial of the request has ended before it was sent")
