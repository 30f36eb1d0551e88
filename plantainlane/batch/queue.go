// Package batch runs the stages of requests in batches. A stage consists of one or more pieces. Each piece runs at an
// upstream, which holds its result in memory, under a handle, for the later stages of the request. A call to an
// upstream contains pieces of many requests. One of the instances owns the queue of a service, and every instance
// submits its jobs for that service there.
//
// The queues are built for a load in which the fixed cost of a call is high and an upstream runs one call at a time,
// while each single instance receives less than one request in the duration of a call. One queue for all instances
// fills the calls: while jobs wait for a free upstream, more jobs for the same call arrive.
package batch

import (
	"math"
	"slices"
	"time"

	"plantainlane/plantainlane/site"
)

// Item is one piece in a call. Piece is the index of the piece in its job.
type Item struct {
	Job   *Job
	Piece int
}

// Call is a batch of pieces for one upstream.
type Call struct {
	// Upstream runs the pieces.
	Upstream *Upstream
	Items    []Item
	// StartedAt is when the call was sent.
	StartedAt time.Time
	// ExpectedAt is when the answer is expected, given the number of pieces and the upstream's slowdown and pace.
	ExpectedAt time.Time
	// timeout is how long the call may take.
	timeout time.Duration
	// Pace is the pace that the upstream reported with its answer, in percent; 0 if it reported none. The Executor sets it.
	Pace int
	// Broken is set if the connection broke before the answer was whole: the upstream may have ended under the pieces.
	Broken bool
}

// Result is the result of one piece in a call.
type Result struct {
	// Handle identifies the result at the upstream; empty if the piece was not completed.
	Handle string
	// Reason is why the piece was not completed.
	Reason Reason
}

const (
	// maxFailures is the number of failures that a job may have; one more fails the job. A failed call is one failure.
	maxFailures = 6
	// breaksUntilAlone is the number of broken calls after which the pieces of a job share no call with those of others, and
	// maxBreaks the number that a job may have; one more fails the job.
	breaksUntilAlone = 2
	maxBreaks        = 2
	// sameZoneBonus is how much earlier a job counts as due at an upstream in its preferred zone.
	sameZoneBonus = 150 * time.Millisecond
	// sameZoneWaitPerMB is how long a job waits for an upstream in its preferred zone, for each 1,000,000 bytes that
	// would otherwise cross zones. maxSameZoneWait is the longest such wait.
	sameZoneWaitPerMB = 160 * time.Millisecond
	maxSameZoneWait   = 420 * time.Millisecond
	// sameZoneSlack is the time that a job must have to spare before its due time to wait for an upstream in its
	// preferred zone.
	sameZoneSlack = 200 * time.Millisecond
	// priorityStep is how much later a job counts as due for each priority level below the highest.
	priorityStep = 300 * time.Millisecond
	// minDueDelay is the least time from the addition of a job with HoldsMemory until the job counts as due.
	minDueDelay = 400 * time.Millisecond
	// slowdownWeight is the weight of the newest call in the moving average of an upstream's slowdown.
	slowdownWeight = 0.4
	// deferralWait is the wait time of a later queue above which late jobs are deferred.
	deferralWait = 300 * time.Millisecond
	// firstPause and maxPause bound the time for which an upstream is paused after a failed or refused call.
	firstPause = 300 * time.Millisecond
	maxPause   = 3 * time.Second
	// slowdownLimit is the slowdown from which an upstream is sent calls only while the queue is backlogged.
	slowdownLimit = 2.0
	// slowdownValid is how long an upstream counts as slow without being measured again. It then counts as having the
	// slowdown retriedSlowdown, just below slowdownLimit, until the next measurement.
	slowdownValid   = 2 * time.Second
	retriedSlowdown = 1.9
	// toleratedNoMemory is the fraction of the pieces of a call that may lack memory without a reason to assume results that
	// are unknown. Such results count in full for unknownHold.
	toleratedNoMemory = 0.25
	unknownHold       = 150 * time.Millisecond
	// callOverhead is the time that a call takes in addition to the upstream's work, until its answer is received.
	callOverhead = 20 * time.Millisecond
	// maxUnneededFraction is the fraction of an upstream's result memory that unneeded results may occupy before they
	// are freed.
	maxUnneededFraction = 0.15
	// readTime is the time after which an upstream has read the inputs of a call.
	readTime = 150 * time.Millisecond
	// steadySlowdown is the slowdown up to which an upstream counts as running at its typical speed.
	steadySlowdown = 2
	// steadyAfter is how long all upstreams must have run at their typical speed without failures for the queue to be
	// steady.
	steadyAfter = 1500 * time.Millisecond
	// keepSlack is how much longer than its time to live, site.Batch.KeepFor, a result counts as occupying memory.
	keepSlack = 300 * time.Millisecond
	// similarSlowdown is the largest difference in slowdown at which two upstreams count as equally fast.
	similarSlowdown = 0.3
	// worthwhileFill is the least fraction of a full call for which an upstream that lacks memory for all waiting
	// pieces is sent a call.
	worthwhileFill = 0.6
	// piecesWeight is the weight of the newest call in the moving average of pieces per call.
	piecesWeight = 0.2
	// delayWeight is the weight of the newest measurement in the moving average of the delay.
	delayWeight = 0.1
	// rateWeight is the weight of the newest measurement in the moving average of the completion rate.
	rateWeight = 0.3
	// ratePeriod is how often the completion rate is measured.
	ratePeriod = 500 * time.Millisecond
	// maxRejections bounds the number of rejections kept until TakeRejections.
	maxRejections = 64
	// maxWaitFraction is the fraction of the time to its deadline within which a job without inputs must be completed.
	maxWaitFraction = 0.5
	// minRetryAfter and maxRetryAfter bound Outcome.RetryAfter of rejected jobs.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 3 * time.Second
)

// Queue holds the jobs of one service and chooses the calls. It does no I/O and isn't safe for concurrent use.
type Queue struct {
	spec site.Batch
	jobs []*Job
	// byRank holds the jobs that sendable returned at rankedAt.
	byRank   []*Job
	rankedAt time.Time
	// smallest is the size of the smallest result of the jobs in byRank, in bytes, and smallestPieces the number of pieces
	// with such a result.
	smallest, smallestPieces int
	// added is the number of jobs that were added.
	added     int
	upstreams map[string]*Upstream
	held      heldResults
	// unsteadyAt is when an upstream was last slow or failing; initially the time of the first check.
	unsteadyAt time.Time
	// broken holds the contents under which calls broke, the oldest first.
	broken []*breaks
	// fastByZone counts the fast upstreams of each zone, as of the last SetUpstreams.
	fastByZone map[string]int
	// waiting is the number of pieces that wait to be sent.
	waiting int
	// WaitTimesOf returns the wait times of another service's queue. If it is nil, all other queues count as empty.
	WaitTimesOf func(service string) WaitTimes
	// laterWaits holds the results of WaitTimesOf for the current decision, by service.
	laterWaits map[string]WaitTimes
	// resumedAt is when the owner of the queue last continued after it had stood still.
	resumedAt time.Time
	// expiredAt is the time of the last expire.
	expiredAt time.Time
	// typicalPieces is the moving average of pieces per call.
	typicalPieces float64
	// rate is the moving average of pieces completed per second while at least a full call waited; 0 while unknown.
	rate float64
	// completedSince counts the pieces completed since measuredAt. fullCallWaited is set if at least a full call has
	// waited since then.
	completedSince int
	measuredAt     time.Time
	fullCallWaited bool
	// delay is the moving average of the time from the end of a call until the owner of the queue handles it.
	delay time.Duration
	// largestResult is the size of the largest result of any job so far, in bytes.
	largestResult int
	counts        Counts
	// rejections holds the rejections since the last TakeRejections, oldest first.
	rejections []Rejection
}

// NewQueue returns an empty queue.
func NewQueue(spec site.Batch) *Queue {
	return &Queue{
		spec: spec, upstreams: make(map[string]*Upstream), laterWaits: make(map[string]WaitTimes),
		held: heldResults{byHandle: make(map[string]heldResult)},
	}
}

// SetSpec replaces the batch specification.
func (q *Queue) SetSpec(spec site.Batch) { q.spec = spec }

// SetUpstreams replaces the list of upstreams. The state of upstreams that aren't in the list, or which were
// started anew, is dropped.
func (q *Queue) SetUpstreams(list []Upstream) {
	seen := make(map[string]bool, len(list))
	for _, u := range list {
		seen[u.ID] = true
		known := q.upstreams[u.ID]
		if known != nil && known.Peer != u.Peer {
			q.held.removeUpstream(known)
			known = nil
		}
		if known == nil {
			known = &Upstream{Peer: u.Peer, Zone: u.Zone, slowdown: 1}
			q.upstreams[u.ID] = known
		}
		known.Leaving = u.Leaving
	}
	for id, u := range q.upstreams {
		if !seen[id] {
			q.held.removeUpstream(u)
			delete(q.upstreams, id)
		}
	}
	q.fastByZone = make(map[string]int)
	for _, u := range q.upstreams {
		if u.isFast() {
			q.fastByZone[u.Zone]++
		}
	}
}

// Waiting returns the number of pieces that wait to be sent.
func (q *Queue) Waiting() int { return q.waiting }

// Add adds a job to the queue, or rejects it immediately if it can't be completed in time.
func (q *Queue) Add(now time.Time, j *Job) {
	clear(q.laterWaits)
	q.updateDue(j)
	if !q.tries(now, j) {
		return
	}
	if estimate := q.estimate(now, j); now.Add(estimate).After(j.completeBy(now)) {
		q.reject(now, j, estimate)
		return
	}
	q.rerank()
	q.added++
	j.addedAt, j.number = now, q.added
	j.handles, j.zones = make([]string, j.Pieces), make(map[string]int)
	q.largestResult = max(q.largestResult, j.Bytes)
	q.jobs = append(q.jobs, j)
	q.waiting += j.Pieces
}

// callTime returns the expected time that an upstream needs for a call with a number of pieces: the fixed CallTime of
// the batch specification plus PieceTime for each piece.
func (q *Queue) callTime(pieces int) time.Duration {
	return q.spec.CallTime + time.Duration(pieces)*q.spec.PieceTime
}

// typicalCallTime returns the expected time from the choice of a call until its answer is received, for a call with the
// typical number of pieces.
func (q *Queue) typicalCallTime() time.Duration {
	return q.callTime(int(math.Ceil(q.typicalPieces))) + callOverhead
}

// Cancel cancels a job. It returns the handles of the job's completed pieces, which are no longer needed.
func (q *Queue) Cancel(j *Job) (completed []string) {
	if !j.done {
		q.remove(j)
		for _, h := range j.handles {
			if h != "" {
				completed = append(completed, h)
			}
		}
		j.finish(Outcome{Reason: ReasonCancelled})
	}
	return completed
}

// ReturnUnsent ends the jobs that have no sent pieces, only those of other instances if onlyRemote is set. Their outcome
// is ReasonNoOwner, so that they are submitted to the new owner of the queue. It returns the number of these jobs.
func (q *Queue) ReturnUnsent(onlyRemote bool) int {
	n := 0
	for _, j := range slices.Clone(q.jobs) {
		if j.nextPiece == 0 && (j.Remote || !onlyRemote) {
			q.remove(j)
			j.finish(Outcome{Reason: ReasonNoOwner})
			n++
		}
	}
	return n
}

// remove removes a job from the queue, if it is there, and its unsent pieces from the waiting ones.
func (q *Queue) remove(j *Job) {
	if i := slices.Index(q.jobs, j); i >= 0 {
		q.jobs = slices.Delete(q.jobs, i, i+1)
		q.waiting -= j.unsent()
	}
}

// Next returns the next call to send, nil if no call can be sent now. Before that, it rejects the jobs that can no
// longer be completed in time, see expire.
func (q *Queue) Next(now time.Time) *Call {
	q.expire(now)
	q.measureRate(now)
	if q.waiting == 0 || !q.hasUsableUpstream(now) {
		return nil
	}
	jobs := q.sendable(now)
	if len(jobs) == 0 {
		return nil
	}
	u := q.chooseUpstream(now, jobs)
	if u == nil {
		return nil
	}
	items := q.fillCall(now, u, jobs)
	if len(items) == 0 {
		return nil
	}
	q.typicalPieces += piecesWeight * (float64(len(items)) - q.typicalPieces)
	q.counts.Calls++
	q.counts.Pieces += len(items)
	c := &Call{Upstream: u, Items: items, StartedAt: now}
	begins := now
	if u.calls > 0 && u.calls >= q.slots() {
		begins = later(now, u.endsAt)
	}
	q.expect(c, begins)
	u.calls++
	u.reserved += callBytes(c)
	u.usedAt, u.endsAt = now, c.ExpectedAt
	return c
}

// slots returns the number of calls that an upstream runs at the same time.
func (q *Queue) slots() int { return max(q.spec.Slots, 1) }

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// expire rejects the waiting jobs that can no longer be completed in time, drops the results that have expired at their
// upstreams, and calls notifyInputsRead. Calls at the same time do nothing.
func (q *Queue) expire(now time.Time) {
	if now.Equal(q.expiredAt) {
		return
	}
	q.expiredAt = now
	for _, u := range q.upstreams {
		u.retrySlow(now)
	}
	q.rejectHopeless(now)
	q.notifyInputsRead(now)
	q.counts.Expired += q.held.expire(now)
}

// rejectHopeless rejects the waiting jobs that can no longer be completed in time.
func (q *Queue) rejectHopeless(now time.Time) {
	var hopeless []*Job
	earliest := now.Add(q.spec.CallTime)
	for _, j := range q.jobs {
		if j.unsent() > 0 && earliest.After(j.completeBy(now)) {
			hopeless = append(hopeless, j)
		}
	}
	for _, j := range hopeless {
		q.remove(j)
		q.reject(now, j, q.estimate(now, j))
	}
}

// notifyInputsRead calls OnInputsRead of the jobs whose pieces were all sent at least readTime ago, once the queue is
// steady. By then, the upstreams have read all inputs.
//
// Inputs that are kept until the calls that read them end would fill the memory of their upstreams, which would then
// get calls that are half empty.
func (q *Queue) notifyInputsRead(now time.Time) {
	if !q.isSteady(now) {
		return
	}
	for _, j := range q.jobs {
		if j.inputsRead || j.OnInputsRead == nil || j.unsent() > 0 || now.Sub(j.sentAt) < readTime {
			continue
		}
		j.inputsRead = true
		j.OnInputsRead()
	}
}

// isSteady reports whether all upstreams have run at their typical speed without failures for longer than steadyAfter.
// Only then can a call that was sent be assumed to have started.
func (q *Queue) isSteady(now time.Time) bool {
	if q.unsteadyAt.IsZero() {
		q.unsteadyAt = now
	}
	for _, u := range q.upstreams {
		if u.slowdown > steadySlowdown || u.failures > 0 {
			q.unsteadyAt = now
		}
	}
	return now.Sub(q.unsteadyAt) > steadyAfter
}

// Idle reports whether the queue holds no jobs.
func (q *Queue) Idle() bool { return len(q.jobs) == 0 }

// Resume records that the owner of the queue stood still until now. The times and the failures of the calls in flight
// then say nothing about their upstreams.
func (q *Queue) Resume(now time.Time) { q.resumedAt = now }

// ObserveDelay records the time from the end of a call until the owner of the queue handles it.
func (q *Queue) ObserveDelay(d time.Duration) {
	if q.delay == 0 {
		q.delay = d
	}
	q.delay += time.Duration(delayWeight * float64(d-q.delay))
}

// Done handles the end of a call. The results are in the order of the call's items; nil means that the call failed.
// busy is set if the upstream refused the call because it is at capacity. Done returns the handles of results whose
// jobs have already ended.
func (q *Queue) Done(now time.Time, c *Call, results []Result, busy bool) (unused []string) {
	q.rerank()
	u := c.Upstream
	u.calls--
	u.reserved -= callBytes(c)
	startedAt := later(c.StartedAt, u.endedAt)
	u.usedAt, u.endedAt = now, now
	normal := u.observePace(now, c, startedAt)
	isMeasured := !c.StartedAt.Before(q.resumedAt)
	switch {
	case !isMeasured:
	case results == nil:
		u.recordFailure(now, busy)
	default:
		expected := q.callTime(len(c.Items))
		u.recordSuccess(normal, expected)
		q.counts.Answered++
		q.counts.Took += now.Sub(startedAt)
		q.counts.Expected += expected
	}
	u.recordMemory(now, c, results, q.spec.MemoryBytes, u.used+u.reserved)
	if results == nil && isMeasured && !busy {
		q.countFailedCall(now, c)
	}
	for i, item := range c.Items {
		r := Result{Reason: ReasonFailed}
		if results != nil {
			r = results[i]
		}
		if r.Handle != "" {
			q.completedSince++
			q.held.add(r.Handle, heldResult{upstream: u, bytes: item.Job.Bytes, until: now.Add(q.spec.KeepFor + keepSlack)})
		}
		if item.Job.done {
			if r.Handle != "" {
				q.counts.Unused++
				unused = append(unused, r.Handle)
			}
			continue
		}
		q.handleResult(item, r, u.Zone, results != nil && isMeasured)
	}
	return unused
}

// handleResult handles the result of one piece. A piece that was not completed is sent again, unless the upstream lacks
// an input, reports ReasonDeadline, or too many pieces of the job have failed. A failure counts only if countsFailure is
// set.
func (q *Queue) handleResult(item Item, r Result, zone string, countsFailure bool) {
	j := item.Job
	switch {
	case r.Handle != "":
		q.forgetBreaks(j)
		j.handles[item.Piece] = r.Handle
		j.completed++
		j.zones[zone]++
		if j.completed == j.Pieces {
			q.remove(j)
			j.finish(Outcome{Handles: j.handles, Zone: j.mainZone()})
		}
		return
	case r.Reason == ReasonGone, r.Reason == ReasonDeadline:
		q.counts.Gone++
		q.remove(j)
		j.finish(Outcome{Reason: r.Reason})
		return
	}
	if r.Reason == ReasonNoMemory {
		q.counts.NoMemory++
	} else if countsFailure {
		q.counts.Failed++
		j.failures++
	}
	if j.failures > maxFailures || j.breaks > maxBreaks {
		q.remove(j)
		j.finish(Outcome{Reason: ReasonFailed})
		return
	}
	j.resend = append(j.resend, item.Piece)
	q.waiting++
}
