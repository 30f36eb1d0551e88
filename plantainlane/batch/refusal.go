package batch

import "time"

// Refusal records why a job was rejected.
type Refusal struct {
	Job *Job
	// Estimate is the expected time until the job would have been completed.
	Estimate time.Duration
	// Left is the time to the job's deadline.
	Left time.Duration
	// Waited is how long the job had waited; 0 if it was rejected when it was added.
	Waited time.Duration
	// Ahead is the number of pieces that were waiting in the queue, of all jobs.
	Ahead int
}

// TakeRefusals returns the refusals since its last call, at most maxRefusals.
func (q *Queue) TakeRefusals() []Refusal {
	out := q.refusals
	q.refusals = nil
	return out
}

// reject ends a job that can't be completed in time.
func (q *Queue) reject(now time.Time, j *Job, estimate time.Duration) {
	q.counts.Late++
	if len(q.refusals) < maxRefusals {
		r := Refusal{Job: j, Estimate: estimate, Left: j.Deadline.Sub(now), Ahead: q.waiting}
		if !j.addedAt.IsZero() {
			r.Waited = now.Sub(j.addedAt)
		}
		q.refusals = append(q.refusals, r)
	}
	j.finish(Outcome{Reason: ReasonDeadline, RetryAfter: min(max(q.timeFor(q.waiting), minRetryAfter), maxRetryAfter)})
}
