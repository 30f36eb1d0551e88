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

// lateMargin is how many times the longest duration must fit in what is left of a drain: a later request may take longer still.
const lateMargin = 1.25

// longestPeriod is the time after which the longest duration of a route is forgotten, at the latest after twice that.
const longestPeriod = time.Minute

// Drain is what requests need to know of an instance's drain.
type Drain struct {
	// CallersGone is when callers have been told to use other instances. What still comes then is accepted only if it certainly
	// ends in time.
	CallersGone time.Time
	// Ends is when the requests in flight are ended.
	Ends time.Time
}

// durations holds how long the requests of each route take. The zero value is empty. It is safe for concurrent use.
type durations struct {
	mu     sync.Mutex
	routes map[string]*duration
}

// duration is how long the requests of a route take.
type duration struct {
	// average is a moving average.
	average time.Duration
	// longest is the longest duration since began, and before the one in the longestPeriod before.
	longest, before time.Duration
	began           time.Time
}

// observe adds the duration of a request that was answered.
func (d *durations) observe(now time.Time, route string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.routes == nil {
		d.routes = make(map[string]*duration)
	}
	r, ok := d.routes[route]
	if !ok {
		r = &duration{average: took, began: now}
		d.routes[route] = r
	}
	weight := durationFallWeight
	if took > r.average {
		weight = durationRiseWeight
	}
	r.average += time.Duration(weight * float64(took-r.average))
	if now.Sub(r.began) > longestPeriod {
		r.before, r.longest, r.began = r.longest, 0, now
	}
	r.longest = max(r.longest, took)
}

// of returns the expected duration of a request of a route, and the longest one of late; 0 if none is known.
func (d *durations) of(route string) (expected, longest time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.routes[route]
	if !ok {
		return 0, 0
	}
	return r.average, max(r.longest, r.before)
}

// admitDraining refuses a request that is expected to take longer than the instance drains, and once callers have been told to use
// other instances one that may take longer. The deadline of others is at most the end of the drain.
//
// A draining instance is still sent requests by callers that hold its address. What is accepted too late would be broken
// off at the end of the drain, though other instances could serve it.
func (q *request) admitDraining() *Refusal {
	s := q.server
	if s.Drain == nil {
		return nil
	}
	drain := s.Drain()
	if drain.Ends.IsZero() {
		return nil
	}
	ends := q.received
	expected, longest := s.durations.of(q.route.Name)
	switch {
	case q.received.Before(drain.CallersGone):
		ends = ends.Add(expected)
	case longest > 0:
		ends = ends.Add(time.Duration(lateMargin * float64(longest)))
	default:
		ends = q.deadline
	}
	if ends.After(drain.Ends) {
		return &Refusal{Status: http.StatusServiceUnavailable, Reason: "instance is draining", RetryAfter: shortRetryAfter}
	}
	q.deadline = earlier(q.deadline, drain.Ends)
	return nil
}
