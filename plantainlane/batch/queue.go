// Package batch makes the pieces of requests in calls that hold pieces of many requests. The queue of a service
// has one owner among the instances; every instance orders pieces there.
//
// Load pattern: a call takes a long time whatever it holds and an upstream makes one at a time, while each
// instance alone sees less than one request in the time of a call. One queue for all instances fills the calls:
// waiting for a free upstream is the time in which a call fills.
package batch

import (
	"math"
	"slices"
	"time"

	"plantainlane/plantainlane/site"
)

// Item is one piece in a call.
type Item struct {
	Job   *Job
	Piece int
}

// Call is pieces for one upstream.
type Call struct {
	// Upstream that makes the pieces.
	Upstream *Upstream
	Items    []Item
	// StartedAt is when the call was sent.
	StartedAt time.Time
	// Expected is when the call should end.
	Expected time.Time
}

// Result is what an upstream says of one piece.
type Result struct {
	// Handle of the result; empty if the piece was not made.
	Handle string
	// Reason why it was not made.
	Reason Reason
}

const (
	// maxTries is the number of failed pieces after which an order fails.
	maxTries = 6
	// nearBonus is how much earlier an order is served by an upstream of the zone that needs its results.
	nearBonus = 150 * time.Millisecond
	// nearWaitPerMB is how long an order waits for an upstream of its zone, for each 1,000,000 bytes that would
	// cross zones otherwise, and maxNearWait the longest wait.
	nearWaitPerMB = 160 * time.Millisecond
	maxNearWait   = 420 * time.Millisecond
	// nearSlack is the time to spare that an order needs to wait for one.
	nearSlack = 200 * time.Millisecond
	// priorityStep is how much later an order counts as due for each rank of its priority.
	priorityStep = 300 * time.Millisecond
	// lateShift is the time after its arrival at which a late order with results counts as due.
	lateShift = 400 * time.Millisecond
	// slowShare is the weight of the newest call in an upstream's slowness.
	slowShare = 0.4
	// longWait is the length from which a queue gets no more of what is late already.
	longWait = 300 * time.Millisecond
	// firstPause and maxPause bound the time an upstream is left alone after failures.
	firstPause = 300 * time.Millisecond
	maxPause   = 3 * time.Second
	// slowLimit is the slowness from which an upstream only gets calls while orders would wait too long.
	slowLimit = 2.0
	// roomPause is how long an upstream is left alone after it had no room: it holds results that this queue
	// doesn't know, such as those of an owner before.
	roomPause = 150 * time.Millisecond
	// answerTime is the time beside the work until the answer to a call is here.
	answerTime = 20 * time.Millisecond
	// unneededPart is the part of an upstream's room that results which nobody needs may take.
	unneededPart = 0.15
	// readTime is the time after which an upstream has read the inputs of a call.
	readTime = 150 * time.Millisecond
	// steadySlowness is the slowness up to which an upstream works at its usual pace.
	steadySlowness = 2
	// steadyAfter is how long all upstreams must have worked at their usual pace.
	steadyAfter = 1500 * time.Millisecond
	// keepSlack is added to the time that a result is thought to take room.
	keepSlack = 300 * time.Millisecond
	// similarSlowness is a difference between upstreams that doesn't matter.
	similarSlowness = 0.3
	// worthwhileFill is the part of a full call for which an upstream short of room is not left waiting.
	worthwhileFill = 0.6
	// sizeShare is the weight of the newest call in the usual number of pieces.
	sizeShare = 0.2
	// rateShare is the weight of the newest measurement of how quickly pieces are made.
	rateShare = 0.3
	// rateEvery is the period of measuring it.
	rateEvery = 500 * time.Millisecond
	// maxRefusals bounds the refusals that are kept.
	maxRefusals = 64
	// patientPart is the part of its time that an order without results waits.
	patientPart = 0.5
	// minRetryAfter and maxRetryAfter bound the time that callers are told to wait.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 3 * time.Second
)

// Queue holds the orders of one service and chooses the calls. It is used by one goroutine and does no I/O.
type Queue struct {
	spec      site.Batch
	orders    []*Job
	upstreams map[string]*Upstream
	// unsteadyAt is when an upstream was slow or failed last, or else when the queue began.
	unsteadyAt time.Time
	// near counts the quick upstreams of each zone.
	near map[string]int
	// waiting is the number of pieces not sent yet.
	waiting int
	// WaitTimesOf is how long the queue of another service is. Nil stands for short queues.
	WaitTimesOf func(service string) WaitTimes
	// usualSize is the number of pieces in a call, smoothed.
	usualSize float64
	// rate is the pieces made a second of late while more than a full call waited; 0 while that is unknown.
	rate float64
	// madeSince counts the pieces made since measuredAt, and backlog tells whether enough waited all the while.
	madeSince  int
	measuredAt time.Time
	backlog    bool
	// largest is the size of the largest result ordered so far, in bytes.
	largest int
	counts  Counts
	// refusals are those of late, the oldest first.
	refusals []Refusal
}

// NewQueue returns an empty queue.
func NewQueue(spec site.Batch) *Queue {
	return &Queue{spec: spec, upstreams: make(map[string]*Upstream)}
}

// SetSpec takes a changed description of the calls.
func (q *Queue) SetSpec(spec site.Batch) { q.spec = spec }

// SetUpstreams takes the upstreams known now. Those that are missing are forgotten.
func (q *Queue) SetUpstreams(list []Upstream) {
	seen := make(map[string]bool, len(list))
	for _, u := range list {
		seen[u.ID] = true
		known := q.upstreams[u.ID]
		if known == nil || known.Address != u.Address {
			known = &Upstream{ID: u.ID, Address: u.Address, Zone: u.Zone, slowness: 1, held: make(map[string]heldResult)}
			q.upstreams[u.ID] = known
		}
		known.Leaving = u.Leaving
	}
	for id := range q.upstreams {
		if !seen[id] {
			delete(q.upstreams, id)
		}
	}
	q.near = make(map[string]int)
	for _, u := range q.upstreams {
		if u.isQuick() {
			q.near[u.Zone]++
		}
	}
}

// Waiting is the number of pieces that wait for a call.
func (q *Queue) Waiting() int { return q.waiting }

// Add takes an order. One that can't be made in time is turned away at once.
func (q *Queue) Add(now time.Time, o *Job) {
	q.plan(o)
	if estimate := q.estimate(now, o); now.Add(estimate).After(o.giveUp(now)) {
		q.reject(now, o, estimate)
		return
	}
	o.added = now
	o.handles, o.zones = make([]string, o.Pieces), make(map[string]int)
	q.largest = max(q.largest, o.Bytes)
	q.orders = append(q.orders, o)
	q.waiting += o.Pieces
}

func (q *Queue) callTime(pieces int) time.Duration {
	return q.spec.CallTime + time.Duration(pieces)*q.spec.PieceTime
}

// usualCall is the time from the choice of a call until its answer is here, with as many pieces as calls have had of
// late.
func (q *Queue) usualCall() time.Duration {
	return q.callTime(int(math.Ceil(q.usualSize))) + answerTime
}

// Cancel gives an order up. Its pieces that were made are returned.
func (q *Queue) Cancel(o *Job) (made []string) {
	if !o.done {
		q.remove(o)
		for _, h := range o.handles {
			if h != "" {
				made = append(made, h)
			}
		}
		o.finish(Outcome{Reason: ReasonCancelled})
	}
	return made
}

// ReturnUnstarted ends the orders of which nothing was sent, so that they are given to the queue's next owner. It returns
// their number.
func (q *Queue) ReturnUnstarted() int {
	n := 0
	for _, o := range slices.Clone(q.orders) {
		if o.next == 0 {
			q.remove(o)
			o.finish(Outcome{Reason: ReasonNoOwner})
			n++
		}
	}
	return n
}

func (q *Queue) remove(o *Job) {
	if i := slices.Index(q.orders, o); i >= 0 {
		q.orders = slices.Delete(q.orders, i, i+1)
		q.waiting -= o.unsent()
	}
}

// Next chooses the next call; nil if there is none now.
func (q *Queue) Next(now time.Time) *Call {
	q.expire(now)
	q.measure(now)
	if q.waiting == 0 || !q.hasFreeUpstream(now) {
		return nil
	}
	order := q.sendable(now)
	if len(order) == 0 {
		return nil
	}
	u := q.freeUpstream(now, order)
	if u == nil {
		return nil
	}
	items := q.fill(now, u, order)
	if len(items) == 0 {
		return nil
	}
	u.calls++
	q.usualSize += sizeShare * (float64(len(items)) - q.usualSize)
	q.counts.Calls++
	q.counts.Pieces += len(items)
	expected := time.Duration(float64(q.callTime(len(items))) * u.slowness)
	return &Call{Upstream: u, Items: items, StartedAt: now, Expected: now.Add(expected)}
}

// expire ends the orders that are of no use any more and frees the results whose time is over.
func (q *Queue) expire(now time.Time) {
	for _, o := range slices.Clone(q.orders) {
		if now.Add(q.spec.CallTime).After(o.giveUp(now)) && o.unsent() > 0 {
			q.remove(o)
			q.reject(now, o, q.estimate(now, o))
		}
	}
	q.noteBegun(now)
	for _, u := range q.upstreams {
		for handle, h := range u.held {
			if now.After(h.until) {
				u.release(handle)
			}
		}
	}
}

// noteBegun tells the orders whose calls have begun so long ago that the upstreams have read the inputs.
//
// Load pattern: results that wait for the end of the calls that read them fill the room of their upstreams, which
// then get calls that are half empty.
func (q *Queue) noteBegun(now time.Time) {
	if !q.isSteady(now) {
		return
	}
	for _, o := range q.orders {
		if o.begun || o.OnStarted == nil || o.unsent() > 0 || now.Sub(o.sentAt) < readTime {
			continue
		}
		o.begun = true
		o.OnStarted()
	}
}

// isSteady tells whether all upstreams work at their usual pace and have answered for a while, so that a call that
// was sent has begun.
func (q *Queue) isSteady(now time.Time) bool {
	if q.unsteadyAt.IsZero() {
		q.unsteadyAt = now
	}
	for _, u := range q.upstreams {
		if u.slowness > steadySlowness || u.failures > 0 {
			q.unsteadyAt = now
		}
	}
	return now.Sub(q.unsteadyAt) > steadyAfter
}

// Idle tells that there are no orders.
func (q *Queue) Idle() bool { return len(q.orders) == 0 }

// Done takes the results of a call, in the order of its items. A nil list means that the call failed; busy tells that
// the upstream refused it because it is full. It returns results that nobody waits for.
func (q *Queue) Done(now time.Time, c *Call, results []Result, busy bool) (unused []string) {
	u := c.Upstream
	u.calls--
	if results == nil {
		u.fail(now, busy)
	} else {
		took, usual := now.Sub(c.StartedAt), q.callTime(len(c.Items))
		u.succeed(took, usual)
		q.counts.Ended++
		q.counts.Took += took
		q.counts.Usual += usual
	}
	if isFull(results) {
		u.notBefore = now.Add(roomPause)
	}
	for i, item := range c.Items {
		r := Result{Reason: ReasonFailed}
		if results != nil {
			r = results[i]
		}
		if r.Handle != "" {
			q.madeSince++
			u.hold(r.Handle, item.Job.Bytes, now.Add(q.spec.KeepFor+keepSlack))
		}
		if item.Job.done {
			if r.Handle != "" {
				unused = append(unused, r.Handle)
			}
			continue
		}
		q.take(item, r, u.Zone, busy)
	}
	return unused
}

func (q *Queue) take(item Item, r Result, zone string, busy bool) {
	o := item.Job
	switch {
	case r.Handle != "":
		o.handles[item.Piece] = r.Handle
		o.made++
		o.zones[zone]++
		if o.made == o.Pieces {
			q.remove(o)
			o.finish(Outcome{Handles: o.handles, Zone: o.mainZone()})
		}
		return
	case r.Reason == ReasonGone, r.Reason == ReasonLate:
		q.counts.Gone++
		q.remove(o)
		o.finish(Outcome{Reason: r.Reason})
		return
	}
	if r.Reason == ReasonNoMemory {
		q.counts.NoMemory++
	} else if !busy {
		q.counts.Failed++
		o.tries++
	}
	if o.tries > maxTries {
		q.remove(o)
		o.finish(Outcome{Reason: ReasonFailed})
		return
	}
	o.again = append(o.again, item.Piece)
	q.waiting++
}
