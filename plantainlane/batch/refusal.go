package batch

import "time"

// Refusal is what decided that an order was turned away.
type Refusal struct {
	Job *Job
	// Estimate is the time until the order would have been made.
	Estimate time.Duration
	// Left is the time until its deadline.
	Left time.Duration
	// Waited is the time that it has waited.
	Waited time.Duration
	// Ahead is the number of pieces that waited.
	Ahead int
}

// TakeRefusals returns the refusals, and forgets them.
func (q *Queue) TakeRefusals() []Refusal {
	out := q.refusals
	q.refusals = nil
	return out
}

// reject ends an order that can't be made in time.
func (q *Queue) reject(now time.Time, o *Job, estimate time.Duration) {
	q.counts.Late++
	if len(q.refusals) < maxRefusals {
		r := Refusal{Job: o, Estimate: estimate, Left: o.Deadline.Sub(now), Ahead: q.waiting}
		if !o.added.IsZero() {
			r.Waited = now.Sub(o.added)
		}
		q.refusals = append(q.refusals, r)
	}
	o.finish(Outcome{Reason: ReasonLate, RetryAfter: min(max(q.timeFor(q.waiting), minRetryAfter), maxRetryAfter)})
}
