package batch

import "time"

// Rejection records why a job was rejected.
type Rejection struct {
	Job *Job
	// Estimate is the expected time until the job would have been completed.
	Estimate time.Duration
	// Left is the time to the job's deadline.
	Left time.Duration
	// Waited is how long the job had waited; 0 if it was rejected when it was added.
	Waited time.Duration
	// PiecesWaiting is the number of pieces that were waiting in the queue, of all its jobs.
	PiecesWaiting int
}

// TakeRejections returns the rejections since its last call. Those beyond the first maxRejections are not recorded.
func (q *Queue) TakeRejections() []Rejection {
	out := q.rejections
	q.rejections = nil
	return out
}

// reject ends a job that can't be completed in time, and records the rejection.
func (q *Queue) reject(now time.Time, j *Job, estimate time.Duration) {
	q.counts.Rejected++
	if len(q.rejections) < maxRejections {
		r := Rejection{Job: j, Estimate: estimate, Left: j.Deadline.Sub(now), PiecesWaiting: q.waiting}
		if !j.addedAt.IsZero() {
			r.Waited = now.Sub(j.addedAt)
		}
		q.rejections = append(q.rejections, r)
	}
	j.finish(Outcome{Reason: ReasonDeadline, RetryAfter: min(max(q.timeFor(q.waiting), minRetryAfter), maxRetryAfter)})
}
