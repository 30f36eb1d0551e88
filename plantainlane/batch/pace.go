package batch

import (
	"time"
)

// estimate is the time until an order added now would be made: the pieces that go before it, in full calls over
// all upstreams, and its own call.
func (q *Queue) estimate(now time.Time, o *Job) time.Duration {
	ahead := 0
	for _, other := range q.orders {
		if q.before(now, other, o) {
			ahead += other.unsent()
		}
	}
	return q.callTime(min(o.Pieces, q.spec.MaxPieces)) + q.timeFor(ahead)
}

// timeFor is the time that so many pieces take: at the pace at which pieces were made of late while some waited, or
// in full calls over all upstreams.
func (q *Queue) timeFor(pieces int) time.Duration {
	if q.rate > 0 {
		return time.Duration(float64(pieces) / q.rate * float64(time.Second))
	}
	usable := q.quickUpstreams()
	if usable == 0 || q.spec.MaxPieces == 0 {
		return 0
	}
	perPiece := float64(q.callTime(q.spec.MaxPieces)) / float64(q.spec.MaxPieces*usable)
	return time.Duration(float64(pieces) * perPiece)
}

func (q *Queue) quickUpstreams() int {
	n := 0
	for _, u := range q.upstreams {
		if u.isQuick() {
			n++
		}
	}
	return n
}

// measure notes how quickly pieces are made while more than a full call waits.
func (q *Queue) measure(now time.Time) {
	span := now.Sub(q.measuredAt)
	if span < rateEvery {
		q.backlog = q.backlog && q.waiting >= q.spec.MaxPieces
		return
	}
	if q.backlog && span < 2*rateEvery {
		rate := float64(q.madeSince) / span.Seconds()
		if q.rate == 0 {
			q.rate = rate
		}
		q.rate += rateShare * (rate - q.rate)
	}
	q.measuredAt, q.madeSince, q.backlog = now, 0, q.waiting >= q.spec.MaxPieces
}

// WaitTimes is how long a queue is.
type WaitTimes struct {
	// OnTime is the time until a piece ordered now is begun, if its request can be on time.
	OnTime time.Duration
	// All is the time until everything that waits is begun. At least OnTime.
	All time.Duration
}

// WaitTimes returns how long the queue is.
func (q *Queue) WaitTimes(now time.Time) WaitTimes {
	timely, callTime := 0, q.usualCall()
	for _, o := range q.orders {
		if !o.isLate(now, callTime) {
			timely += o.unsent()
		}
	}
	return WaitTimes{OnTime: q.timeFor(timely), All: q.timeFor(q.waiting)}
}

// Counts sums up what a queue did since they were last taken.
type Counts struct {
	// Calls sent, and the pieces in them.
	Calls, Pieces int
	// Ended calls that were answered, the time that they took, and the time that they usually take.
	Ended       int
	Took, Usual time.Duration
	// NoMemory, Failed and Gone count pieces by why they were not made.
	NoMemory, Failed, Gone int
	// Late counts orders that were turned away or gave up.
	Late int
}

// meanTimes returns the mean time that the calls took, and that they usually take.
func (c *Counts) meanTimes() (took, usual time.Duration) {
	if c.Ended == 0 {
		return 0, 0
	}
	return c.Took / time.Duration(c.Ended), c.Usual / time.Duration(c.Ended)
}

// TakeCounts returns the counts and begins them anew.
func (q *Queue) TakeCounts() Counts {
	out := q.counts
	q.counts = Counts{}
	return out
}

// Upstreams returns the number of upstreams, and of those that are busy and those that are left alone for a while.
func (q *Queue) Upstreams(now time.Time) (all, busy, paused int) {
	for _, u := range q.upstreams {
		all++
		if u.calls > 0 {
			busy++
		}
		if !u.isQuick() || now.Before(u.notBefore) {
			paused++
		}
	}
	return all, busy, paused
}
