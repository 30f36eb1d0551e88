package batch

import (
	"slices"
	"time"

	"plantainlane/plantainlane/quarantine"
)

// maxContents bounds the contents of jobs under which upstreams have ended that a queue remembers.
const maxContents = 64

// content identifies the pieces that jobs of different requests have in common. Jobs that need results of other stages have none in
// common.
type content struct {
	key   string
	stage int
}

// breaks is what a queue remembers of a content under which calls broke, since a piece of it was last completed.
type breaks struct {
	content
	// count is the number of calls, alone of those that had no pieces of other jobs. The last one ended at lastAt.
	count, alone int
	lastAt       time.Time
	// job is the job that is tried; nil if there is none.
	job *Job
}

// contentOf returns the content of a job; false if it has none.
func contentOf(j *Job) (content, bool) { return content{j.Key, j.Stage}, j.Key != "" }

// breaksOf returns what is remembered of a job's content; nil if nothing is.
func (q *Queue) breaksOf(j *Job) *breaks {
	c, ok := contentOf(j)
	if i := slices.IndexFunc(q.broken, func(b *breaks) bool { return b.content == c }); ok && i >= 0 {
		return q.broken[i]
	}
	return nil
}

// recordBreak remembers that a call with a job's pieces broke.
func (q *Queue) recordBreak(now time.Time, j *Job, isAlone bool) {
	b := q.breaksOf(j)
	if b == nil {
		c, ok := contentOf(j)
		if !ok {
			return
		}
		b = &breaks{content: c}
		q.broken = append(q.broken, b)
		q.broken = q.broken[max(0, len(q.broken)-maxContents):]
	}
	b.count++
	if isAlone {
		b.alone++
	}
	b.lastAt = now
}

// forgetBreaks forgets a job's content, since a piece of it was completed.
func (q *Queue) forgetBreaks(j *Job) {
	if len(q.broken) == 0 {
		return
	}
	if b := q.breaksOf(j); b != nil {
		q.broken = slices.DeleteFunc(q.broken, func(o *breaks) bool { return o == b })
	}
}

// tries reports whether a job may be added though calls with its content broke. Once one broke without pieces of other jobs, one job
// with that content is tried at a time, alone and in one call, after pauses that grow. Otherwise the job ends with the time
// after which it may come back.
func (q *Queue) tries(now time.Time, j *Job) bool {
	b := q.breaksOf(j)
	if b == nil {
		return true
	}
	j.breaks = min(b.count, maxBreaks)
	if b.alone == 0 {
		return true
	}
	wait := b.lastAt.Add(quarantine.PauseAfter(b.alone)).Sub(now)
	if b.job != nil && !b.job.done {
		wait = max(wait, q.callTime(j.Pieces))
	}
	if wait > 0 {
		j.finish(Outcome{Reason: ReasonFailed, RetryAfter: wait})
		return false
	}
	j.breaks, b.job = maxBreaks, j
	return true
}

// countFailedCall counts a failed call once for each job with pieces in it.
func (q *Queue) countFailedCall(now time.Time, c *Call) {
	var last *Job
	for _, item := range c.Items {
		q.counts.Failed++
		if item.Job == last {
			continue
		}
		last = item.Job
		if c.Broken {
			last.breaks++
			q.recordBreak(now, last, c.Items[0].Job == c.Items[len(c.Items)-1].Job)
		} else {
			last.failures++
		}
	}
}
