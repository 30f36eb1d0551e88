package batch

import (
	"time"
)

// Job asks for the pieces of one stage of one request.
type Job struct {
	// Request is the ID of the request.
	Request string
	// Stage is the index of the stage in the request's route.
	Stage int
	// Pieces is the number of pieces; at least 1 and at most MaxJobPieces.
	Pieces int
	// Key identifies the pieces of a stage that needs no inputs.
	Key string
	// Inputs are the handles of the results that each piece reads; empty for a stage that needs none.
	Inputs []string
	// Zone is the preferred availability zone for running the pieces; empty for any.
	Zone string
	// CrossBytes is the number of bytes that cross zones if the pieces run in another zone.
	CrossBytes int
	// Bytes is the approximate size of one result, in bytes.
	Bytes int
	// Due is when the results are needed for the request to meet its latency target, provided that the request doesn't
	// wait in the queue of any later stage.
	Due time.Time
	// Deadline is when the results become useless.
	Deadline time.Time
	// Remote is set if another instance submitted the job.
	Remote bool
	// Priority is the request's priority; 0 is the highest.
	Priority int
	// HoldsMemory is set if the inputs occupy much of their upstreams' result memory, so that they should be read soon.
	HoldsMemory bool
	// NextServices lists the services of the request's later stages, in order.
	NextServices []string
	// OnInputsRead is called at most once, when the upstreams can be assumed to have read the inputs of all pieces. It
	// may be nil.
	OnInputsRead func()
	// OnDone is called exactly once, with the outcome.
	OnDone func(Outcome)

	// addedAt is when the job was added to the queue; zero before that. number counts the additions.
	addedAt time.Time
	number  int
	// ranked is the rank at the last decision, or when the job was added.
	ranked rank
	// effectiveDue is Due minus the wait times of the later queues. laterQueueLong is set if one of these queues is
	// long.
	effectiveDue   time.Time
	laterQueueLong bool
	// nextPiece is the lowest piece that has never been sent.
	nextPiece int
	// sentAt is when pieces of the job were last sent. inputsRead is set once OnInputsRead was called.
	sentAt     time.Time
	inputsRead bool
	// resend holds the pieces that have to be sent again.
	resend []int
	// zones counts the completed pieces by the zone in which they ran.
	zones map[string]int
	// handles holds the result handles by piece; empty for pieces that aren't completed. completed is the number of
	// completed pieces.
	handles   []string
	completed int
	// failures counts the failed calls with pieces of the job, and the pieces that failed in calls that didn't. breaks counts the
	// calls that broke, see Call.Broken. done is set once the job has ended.
	failures int
	breaks   int
	done     bool
}

// MaxJobPieces is the largest number of pieces of a job.
const MaxJobPieces = 4096

// Outcome is how a job ended.
type Outcome struct {
	// Handles are the result handles by piece; nil unless all pieces were completed.
	Handles []string
	// Zone is where most of the results are.
	Zone string
	// Reason is why the job ended without results; empty if it was completed.
	Reason Reason
	// RetryAfter is how long the caller should wait before a retry, set if the job was rejected.
	RetryAfter time.Duration
}

// Reason is why a job or a piece was not completed.
type Reason string

const (
	// ReasonDeadline is for jobs that can't be completed before their deadline.
	ReasonDeadline Reason = "late"
	// ReasonGone is for jobs that need an input which its upstream no longer holds.
	ReasonGone Reason = "gone"
	// ReasonFailed is for jobs whose pieces failed too often.
	ReasonFailed Reason = "failed"
	// ReasonNoMemory is for pieces whose upstream had no memory left for the result.
	ReasonNoMemory Reason = "room"
	// ReasonNoOwner is for jobs that reached no owner of the queue, or whose owner was lost or replaced.
	ReasonNoOwner Reason = "noOwner"
	// ReasonCancelled is for jobs that the caller cancelled.
	ReasonCancelled Reason = "cancelled"
)

// rank returns the job's place in the order in which jobs are served, if a call that is sent now ends at completion.
func (j *Job) rank(completion time.Time) rank {
	r := rank(j.sortTime().UnixNano())
	if j.isLate(completion) {
		r += lateRank
	}
	return r
}

// sortTime returns the time by which jobs are sorted: effectiveDue, later for lower priorities. For a job with
// HoldsMemory it is at least minDueDelay after the job was added. Such a job never counts as late (see isLate) and so
// is never delayed for long; without this minimum, an overdue one would be served before the jobs that can still meet
// their latency target.
func (j *Job) sortTime() time.Time {
	due := j.effectiveDue
	if earliest := j.addedAt.Add(minDueDelay); j.HoldsMemory && due.Before(earliest) {
		due = earliest
	}
	return due.Add(time.Duration(j.Priority) * priorityStep)
}

// mainZone returns the zone with the most completed pieces, the first by name if there are several.
func (j *Job) mainZone() string {
	best := ""
	for zone, n := range j.zones {
		if best == "" || n > j.zones[best] || n == j.zones[best] && zone < best {
			best = zone
		}
	}
	return best
}

// isAlone reports whether the pieces of the job share no call with those of others, since it may be the job that ends the
// upstreams.
func (j *Job) isAlone() bool { return j.breaks >= breaksUntilAlone }

// unsent returns the number of pieces that wait to be sent.
func (j *Job) unsent() int { return j.Pieces - j.nextPiece + len(j.resend) }

// finish ends the job with an outcome, unless it has already ended.
func (j *Job) finish(out Outcome) {
	if j.done {
		return
	}
	j.done = true
	j.OnDone(out)
}

// isLate reports whether the request can no longer meet its latency target if the job's call ends at completion. A job
// with HoldsMemory never counts as late, since its inputs occupy memory until the job has run. Other jobs may wait so
// long that their inputs expire and are computed again.
//
// Late requests enter the second of three queues at the end of a burst. If they didn't count as late there, they would
// be served before requests that can still meet their latency target, and make those late in turn.
func (j *Job) isLate(completion time.Time) bool {
	return !j.HoldsMemory && completion.After(j.effectiveDue)
}

// completeBy returns the time by which the pieces must be completed; a job that can't meet it is rejected. For a job
// without inputs this is before the deadline, so that its caller has time left for a retry.
func (j *Job) completeBy(now time.Time) time.Time {
	if len(j.Inputs) > 0 {
		return j.Deadline
	}
	since := j.addedAt
	if since.IsZero() {
		since = now
	}
	return since.Add(time.Duration(maxWaitFraction * float64(j.Deadline.Sub(since))))
}

// takePiece returns the next piece to send and removes it from the unsent ones.
func (j *Job) takePiece() int {
	if n := len(j.resend); n > 0 {
		p := j.resend[n-1]
		j.resend = j.resend[:n-1]
		return p
	}
	j.nextPiece++
	return j.nextPiece - 1
}
