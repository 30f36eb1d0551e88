package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"plantainlane/plantainlane/quota"
	"plantainlane/plantainlane/route"
)

// maxRestFraction is the largest fraction of the time left to a request for which it waits for upstreams whose limits
// allow no request, so that its caller has time left for a retry.
const maxRestFraction = 0.5

// errAllRest reports that all upstreams that could be chosen take no request for too long, for their limits or pauses.
var errAllRest = errors.New("upstreams take no request now: limits used up or pauses asked for")

// nextTarget chooses the upstream of the next send and obtains a permit for it. While the limits of all upstreams that
// could be chosen allow no request, it waits if they will allow one soon enough. It returns false if there is no
// upstream, and sets restsUntil if that is for their limits.
func (q *request) nextTarget(ctx context.Context) (route.Target, quota.Permit, bool) {
	s := q.server
	query := q.query()
	waitUntil := q.lastWait(time.Now())
	waits := false
	defer func() {
		if waits {
			s.backlogs.leave(q.service)
		}
	}()
	for {
		q.restsUntil = time.Time{}
		target, ok := s.Picker.Pick(time.Now(), query)
		if !ok {
			if !waits && !q.isServable(time.Now(), waitUntil) {
				return route.Target{}, quota.Permit{}, false
			}
			if !waits {
				waits = true
				s.backlogs.enter(q.service)
			}
			if !q.waitForRest(ctx, query, waitUntil) {
				return route.Target{}, quota.Permit{}, false
			}
			continue
		}
		permit, err := s.Client.Acquire(ctx, peerOf(target))
		if err == nil {
			s.backlogs.sent(q.service, time.Now(), waits)
			return target, permit, true
		}
		target.Done(time.Now(), route.Outcome{Result: route.Cancelled})
		var refusal *quota.Refusal
		if !errors.As(err, &refusal) || ctx.Err() != nil {
			return route.Target{}, quota.Permit{}, false
		}
		target.SetAside(refusal.Until, refusal.Leaving, refusal.Paused)
	}
}

// peerOf returns the process of the upstream that was chosen.
func peerOf(t route.Target) quota.Peer {
	return quota.Peer{Address: t.Address, ID: t.ID, Incarnation: t.Incarnation}
}

// query returns the query for the upstream of the next send.
func (q *request) query() route.Query {
	out := route.Query{Service: q.service, Avoid: q.tried, Preferred: q.affinity.ids, PreferredSlack: q.affinity.slack}
	if plan := q.affinity.plan; plan != nil {
		out.Weigh = func(list []route.State) int { return q.server.Prompts.Weigh(time.Now(), plan, list) }
	}
	return out
}

// refuseUnservable refuses a request before its stages run if all upstreams rest and too many requests wait for them. It
// reports whether it did.
func (q *request) refuseUnservable() bool {
	now := time.Now()
	if _, ok := q.server.Picker.RestsUntil(now, q.query()); !ok || q.isServable(now, q.lastWait(now)) {
		return false
	}
	q.refuse(Refusal{Status: http.StatusServiceUnavailable, Reason: errAllRest.Error(), RetryAfter: max(shortRetryAfter, time.Until(q.restsUntil))})
	return true
}

// isServable reports whether a request that joins those that wait for upstreams at rest is expected to be sent by
// waitUntil. Otherwise it sets restsUntil to the expected time.
func (q *request) isServable(now, waitUntil time.Time) bool {
	expected := now.Add(q.server.backlogs.expectedWait(q.service))
	if !expected.After(waitUntil) {
		return true
	}
	q.restsUntil = expected
	return false
}

// lastWait returns the time until which the request waits for upstreams that rest.
func (q *request) lastWait(now time.Time) time.Time {
	deadline := q.deadline
	if q.events == 0 {
		deadline = q.firstEventDeadline()
	}
	return now.Add(time.Duration(maxRestFraction * float64(deadline.Sub(now))))
}

// waitForRest waits until the first of the upstreams that could be chosen ends its rest. It returns false if none rests,
// if the rest ends after waitUntil, or if ctx ends.
func (q *request) waitForRest(ctx context.Context, query route.Query, waitUntil time.Time) bool {
	now := time.Now()
	until, ok := q.server.Picker.RestsUntil(now, query)
	if !ok {
		return false
	}
	q.restsUntil = until
	if until.After(waitUntil) {
		return false
	}
	timer := time.NewTimer(until.Sub(now))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	q.waited += time.Since(now)
	return true
}
