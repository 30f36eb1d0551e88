package batch

import (
	"time"
)

// estimate returns the expected time until a job that is added now is completed: the time for all pieces that are
// served before it, plus its own call.
func (q *Queue) estimate(now time.Time, j *Job) time.Duration {
	ahead := 0
	j.ranked = j.rank(now.Add(q.typicalCallTime()))
	for _, other := range q.jobs {
		if other.ranked < j.ranked {
			ahead += other.unsent()
		}
	}
	return q.callTime(min(j.Pieces, q.spec.MaxPieces)) + q.timeFor(ahead)
}

// timeFor returns the expected time to complete a number of pieces: at the measured rate, or if that is unknown, in
// full calls to all fast upstreams. It returns 0 if there are no fast upstreams either.
func (q *Queue) timeFor(pieces int) time.Duration {
	if q.rate > 0 {
		return time.Duration(float64(pieces) / q.rate * float64(time.Second))
	}
	fast := q.fastUpstreams()
	if fast == 0 || q.spec.MaxPieces == 0 {
		return 0
	}
	perPiece := float64(q.callTime(q.spec.MaxPieces)) / float64(q.spec.MaxPieces*fast)
	return time.Duration(float64(pieces) * perPiece)
}

// fastUpstreams returns the number of fast upstreams.
func (q *Queue) fastUpstreams() int {
	n := 0
	for _, u := range q.upstreams {
		if u.isFast() {
			n++
		}
	}
	return n
}

// measureRate updates the completion rate, which is measured only while at least a full call waits. A measurement that
// took twice ratePeriod or longer is discarded.
func (q *Queue) measureRate(now time.Time) {
	span := now.Sub(q.measuredAt)
	if span < ratePeriod {
		q.fullCallWaited = q.fullCallWaited && q.waiting >= q.spec.MaxPieces
		return
	}
	if q.fullCallWaited && span < 2*ratePeriod {
		rate := float64(q.completedSince) / span.Seconds()
		if q.rate == 0 {
			q.rate = rate
		}
		q.rate += rateWeight * (rate - q.rate)
	}
	q.measuredAt, q.completedSince, q.fullCallWaited = now, 0, q.waiting >= q.spec.MaxPieces
}

// WaitTimes holds the wait times of a queue.
type WaitTimes struct {
	// OnTime is the expected time until the waiting pieces of all requests that can still meet their latency target are
	// completed. A new job of such a request waits about that long.
	OnTime time.Duration
	// All is the expected time until all waiting pieces are completed. It is at least OnTime.
	All time.Duration
}

// unservedWait is the wait time of a queue whose upstreams all leave, have ended or are paused.
const unservedWait = 2 * time.Second

// isUnserved reports whether no upstream takes calls or works.
func (q *Queue) isUnserved(now time.Time) bool {
	for _, u := range q.upstreams {
		if u.calls > 0 || accepts(now, u) {
			return false
		}
	}
	return true
}

// WaitTimes returns the current wait times of the queue.
func (q *Queue) WaitTimes(now time.Time) WaitTimes {
	if q.isUnserved(now) {
		return WaitTimes{OnTime: unservedWait, All: max(unservedWait, q.timeFor(q.waiting))}
	}
	onTime, completion := 0, now.Add(q.typicalCallTime())
	for _, j := range q.jobs {
		if !j.isLate(completion) {
			onTime += j.unsent()
		}
	}
	return WaitTimes{OnTime: q.timeFor(onTime), All: q.timeFor(q.waiting)}
}

// Counts are statistics of a queue since the last TakeCounts.
type Counts struct {
	// Calls and Pieces are the number of calls sent, and of the pieces in them.
	Calls, Pieces int
	// Answered is the number of calls that were answered, Took the sum of their durations, and Expected the sum of the
	// durations expected by the batch specification.
	Answered       int
	Took, Expected time.Duration
	// NoMemory, Failed and Gone count the pieces that were not completed: for lack of result memory, because of a
	// failure, and because an input was lost or the upstream reported ReasonDeadline.
	NoMemory, Failed, Gone int
	// Rejected counts the jobs that were rejected, when they were added or while they waited.
	Rejected int
	// Unused counts the results that arrived after their job had ended, Expired those that no one released before they
	// expired at their upstream.
	Unused, Expired int
}

// meanTimes returns the mean measured and the mean expected duration of the answered calls.
func (c *Counts) meanTimes() (took, expected time.Duration) {
	if c.Answered == 0 {
		return 0, 0
	}
	return c.Took / time.Duration(c.Answered), c.Expected / time.Duration(c.Answered)
}

// TakeCounts returns the counts and resets them.
func (q *Queue) TakeCounts() Counts {
	out := q.counts
	q.counts = Counts{}
	return out
}

// Upstreams returns the number of all upstreams, of those that run calls, and of those to which calls are restricted
// because they are leaving, slow or paused.
func (q *Queue) Upstreams(now time.Time) (all, busy, restricted int) {
	for _, u := range q.upstreams {
		all++
		if u.calls > 0 {
			busy++
		}
		if !u.isFast() || now.Before(u.notBefore) {
			restricted++
		}
	}
	return all, busy, restricted
}
