package forward

import (
	"net/http"
	"sync"
	"time"
)

const (
	// durationRiseWeight and durationFallWeight are the weights of a duration above and not above the moving average.
	// The average is therefore longer than most durations.
	durationRiseWeight = 0.3
	durationFallWeight = 0.03
)

// Drain is what requests need to know of an instance's drain. The zero value stands for none.
type Drain struct {
	// CallersGone is when callers have been told to use other instances. What still comes then is taken only if it must end in time.
	CallersGone time.Time
	// Ends is when the requests in flight are ended.
	Ends time.Time
}

// MayTake reports whether the instance may take a request that came at a time. The request is expected to end at expected and must
// end by deadline. No duration of other requests says how long this one takes: once callers have others to ask, only its
// deadline counts.
func (d Drain) MayTake(came, expected, deadline time.Time) bool {
	switch {
	case d.Ends.IsZero():
		return true
	case came.Before(d.CallersGone):
		return !expected.After(d.Ends)
	}
	return !deadline.After(d.Ends)
}

// durations holds how long the requests of each route take. The zero value is empty. It is safe for concurrent use.
type durations struct {
	mu       sync.Mutex
	averages map[string]time.Duration
}

// observe adds the duration of a request that was answered.
func (d *durations) observe(route string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.averages == nil {
		d.averages = make(map[string]time.Duration)
	}
	average, ok := d.averages[route]
	if !ok {
		average = took
	}
	weight := durationFallWeight
	if took > average {
		weight = durationRiseWeight
	}
	d.averages[route] = average + time.Duration(weight*float64(took-average))
}

// after returns when a request of a route is expected to end that begins at start; deadline if no request of the route was answered.
func (d *durations) after(start time.Time, route string, deadline time.Time) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	average, ok := d.averages[route]
	if !ok {
		return deadline
	}
	return earlier(start.Add(average), deadline)
}

// drain returns the instance's drain, if any.
func (s *Server) drain() Drain {
	if s.Drain == nil {
		return Drain{}
	}
	return s.Drain()
}

// refuseDraining refuses a request that the draining instance can't be expected to complete. Other instances can.
func refuseDraining() *Refusal {
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: "instance is draining", RetryAfter: shortRetryAfter}
}

// admitDraining refuses a request that the draining instance may not take at a time, see Drain.MayTake.
//
// A draining instance is still sent requests by callers that hold its address. What is accepted too late would be broken
// off at the end of the drain, though other instances could serve it.
func (q *request) admitDraining(now time.Time) *Refusal {
	if !q.server.drain().MayTake(now, q.server.durations.after(now, q.route.Name, q.deadline), q.deadline) {
		return refuseDraining()
	}
	return nil
}

// endWithDrain lets the deadline of a request be at most the end of the drain, if there is one.
func (q *request) endWithDrain() {
	if ends := q.server.drain().Ends; !ends.IsZero() {
		q.deadline = earlier(q.deadline, ends)
	}
}

// refuseBeforeSend refuses a request that has waited, before or in the drain, until it can no longer be expected to end in time once it
// is sent.
func (q *request) refuseBeforeSend(now time.Time) *Refusal {
	drain := q.server.drain()
	if drain.Ends.IsZero() || !q.hasNotRun() || !q.server.sendDurations.after(now, q.route.Name, q.deadline).After(drain.Ends) {
		return nil
	}
	return refuseDraining()
}
