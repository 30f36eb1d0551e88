package batch

import (
	"cmp"
	"iter"
	"math"
	"slices"
	"time"
)

// rank is a job's place in the order in which jobs are served, lowest first: its sort time in nanoseconds since the Unix
// epoch, plus lateRank if it can no longer meet its latency target.
//
// In a burst, serving by due time alone would make every request late, since the oldest jobs would always be served
// just after their due time. Late jobs therefore get only the remaining capacity.
type rank int64

// lateRank is larger than any sort time.
const lateRank rank = 1 << 62

// isLate reports whether the rank is that of a job which can no longer meet its latency target.
func (r rank) isLate() bool { return r >= lateRank }

// compareJobs orders jobs by rank, and those of the same rank by the time of their addition.
func compareJobs(a, b *Job) int {
	return cmp.Or(cmp.Compare(a.ranked, b.ranked), cmp.Compare(a.number, b.number))
}

// updateDue recomputes effectiveDue and laterQueueLong of a job from the current wait times of the later queues of its
// request.
//
// In a burst, the queues of later stages fill while a job waits in the first queue. If the wait times were read only
// when the job was added, every request would be started and none would meet its latency target.
func (q *Queue) updateDue(j *Job) {
	j.effectiveDue, j.laterQueueLong = j.Due, false
	if q.WaitTimesOf == nil {
		return
	}
	for _, service := range j.NextServices {
		times := q.laterWait(service)
		j.effectiveDue = j.effectiveDue.Add(-times.OnTime)
		j.laterQueueLong = j.laterQueueLong || times.All > deferralWait
	}
}

// laterWait returns the wait times of another service's queue, which are read once for each decision.
func (q *Queue) laterWait(service string) WaitTimes {
	times, ok := q.laterWaits[service]
	if !ok {
		times = q.WaitTimesOf(service)
		q.laterWaits[service] = times
	}
	return times
}

// isDeferred reports whether a job must not be sent yet: it can't meet its latency target, and the queue of a later
// stage is long.
func isDeferred(j *Job) bool { return j.laterQueueLong && j.ranked.isLate() }

// hasUsableUpstream reports whether at least one upstream can be sent a call.
func (q *Queue) hasUsableUpstream(now time.Time) bool {
	for _, u := range q.upstreams {
		if q.isFree(now, u) || q.isEnding(now, u) {
			return true
		}
	}
	return false
}

// accepts reports whether an upstream can be sent calls: it isn't leaving and isn't paused.
func accepts(now time.Time, u *Upstream) bool { return !u.Leaving && !now.Before(u.notBefore) }

// isFree reports whether an upstream accepts calls and has an unused slot.
func (q *Queue) isFree(now time.Time, u *Upstream) bool {
	return accepts(now, u) && u.calls < q.slots()
}

// isEnding reports whether an upstream accepts calls and will have an unused slot by the time at which a call that is
// sent now reaches it, or the owner would otherwise learn so late that the slot is unused for that time. Only then a call
// is sent ahead, to wait at the upstream; one whose last call is overdue may be slow.
func (q *Queue) isEnding(now time.Time, u *Upstream) bool {
	if q.spec.Waiting == 0 || u.calls != q.slots() || u.failures > 0 || !accepts(now, u) {
		return false
	}
	early := u.endsAt.Sub(now)
	ahead := callOverhead + q.delay
	return early <= ahead && early >= -ahead
}

// chooseUpstream returns the upstream for the next call, nil if no upstream is suitable: a free one, or one whose call is
// ending if a full call waits that fits. It prefers upstreams in the preferred zone of the first job, then faster ones,
// then those with less result memory occupied.
func (q *Queue) chooseUpstream(now time.Time, jobs []*Job) *Upstream {
	needed := piecesUpTo(jobs, q.spec.MaxPieces)
	var best *Upstream
	for _, u := range q.upstreams {
		isFree := q.isFree(now, u)
		switch {
		case !isFree && (needed < q.spec.MaxPieces || !q.isEnding(now, u)):
		case u.slowdown >= slowdownLimit && !q.isBacklogged():
		case best != nil && !q.isPreferred(now, u, best, jobs[0].Zone):
		case !q.hasMemory(now, u, jobs, needed, isFree):
		case q.allWaitForSameZone(now, u, jobs):
		default:
			best = u
		}
	}
	return best
}

// isPreferred reports whether u is a better choice than other for a job with the given preferred zone. Free upstreams
// come first.
func (q *Queue) isPreferred(now time.Time, u, other *Upstream, zone string) bool {
	if isFree := q.isFree(now, u); isFree != q.isFree(now, other) {
		return isFree
	}
	return u.isPreferredTo(other, zone, q.expectedSlowness(now, u)-q.expectedSlowness(now, other))
}

// piecesUpTo returns the number of pieces to send, at most limit.
func piecesUpTo(jobs []*Job, limit int) int {
	n := 0
	for _, j := range jobs {
		if n += j.unsent(); n >= limit {
			return limit
		}
	}
	return n
}

// waitsForSameZone reports whether a job still waits for an upstream in its preferred zone instead of being sent to u.
// A job waits only while it has time to spare and its zone has a fast upstream, for a time that grows with CrossBytes
// up to maxSameZoneWait.
func (q *Queue) waitsForSameZone(now time.Time, j *Job, u *Upstream) bool {
	if j.Zone == u.Zone || q.fastByZone[j.Zone] == 0 {
		return false
	}
	hasSlack := now.Add(q.spec.CallTime + sameZoneSlack).Before(j.effectiveDue)
	return hasSlack && now.Sub(j.addedAt) < crossingWait(j)
}

// allWaitForSameZone reports whether every job still waits for an upstream in its preferred zone instead of being sent
// to u.
func (q *Queue) allWaitForSameZone(now time.Time, u *Upstream, jobs []*Job) bool {
	return !slices.ContainsFunc(jobs, func(j *Job) bool { return !q.waitsForSameZone(now, j, u) })
}

// sendable updates the due times and the ranks of all jobs, and returns the jobs that have pieces to send now, by rank.
// Calls at the same time rank the jobs once, unless jobs were added, calls ended, or no job could be sent.
func (q *Queue) sendable(now time.Time) []*Job {
	hasSent := func(j *Job) bool { return j.done || j.unsent() == 0 }
	if now.Equal(q.rankedAt) && len(q.byRank) > 0 {
		q.byRank = slices.DeleteFunc(q.byRank, hasSent)
		return q.byRank
	}
	q.rankedAt = now
	clear(q.byRank)
	q.byRank = q.byRank[:0]
	clear(q.laterWaits)
	completion := now.Add(q.typicalCallTime())
	for _, j := range q.jobs {
		q.updateDue(j)
		j.ranked = j.rank(completion)
		if !hasSent(j) && !isDeferred(j) {
			q.byRank = append(q.byRank, j)
		}
	}
	slices.SortFunc(q.byRank, compareJobs)
	q.findSmallest()
	return q.byRank
}

// findSmallest sets smallest and smallestPieces.
func (q *Queue) findSmallest() {
	q.smallest, q.smallestPieces = math.MaxInt, 0
	for _, j := range q.byRank {
		if j.Bytes < q.smallest {
			q.smallest, q.smallestPieces = j.Bytes, 0
		}
		if j.Bytes == q.smallest {
			q.smallestPieces += j.unsent()
		}
	}
}

// fitting returns how many pieces of a job fit into the free memory of an upstream beside the taken pieces of a call. They
// leave memory for the smallest pieces that wait, so that a few large results don't keep a call from being full.
func (q *Queue) fitting(j *Job, free, taken int) int {
	n := min(j.unsent(), q.spec.MaxPieces-taken)
	if q.spec.MemoryBytes <= 0 || j.Bytes == 0 {
		return n
	}
	for ; n > 0; n-- {
		left := free - n*j.Bytes
		others := 0
		if j.Bytes > q.smallest {
			others = min(q.spec.MaxPieces-taken-n, q.smallestPieces)
		}
		if left >= others*q.smallest {
			break
		}
	}
	return n
}

// rerank makes the next call of sendable rank the jobs again.
func (q *Queue) rerank() { q.rankedAt = time.Time{} }

// hasMemory reports whether the free result memory of an upstream suffices for a call worth sending: for needed pieces,
// or at a free upstream for at least the fraction worthwhileFill of a full call, or for fewer if it has waited for memory
// for too long. A free upstream that holds no results always suffices.
func (q *Queue) hasMemory(now time.Time, u *Upstream, jobs []*Job, needed int, isFree bool) bool {
	free := q.freeMemory(now, u)
	if q.spec.MemoryBytes <= 0 || isFree && free == q.spec.MemoryBytes {
		return true
	}
	fits := 0
	for _, j := range jobs {
		n := q.fitting(j, free, fits)
		free -= n * j.Bytes
		fits += n
		if fits >= needed {
			return true
		}
	}
	return isFree && (float64(fits) >= worthwhileFill*float64(q.spec.MaxPieces) || q.hasWaited(now, u, fits))
}

// hasWaited reports whether an upstream has waited for memory so long that a full call, if it could begin now, would not
// make up for not having sent a call with fewer pieces at once: the upstream would complete no more pieces in a time.
func (q *Queue) hasWaited(now time.Time, u *Upstream, fits int) bool {
	if fits == 0 {
		return false
	}
	full := q.spec.MaxPieces
	return now.Sub(u.endedAt) >= q.callTime(fits)*time.Duration(full)/time.Duration(fits)-q.callTime(full)
}

// isBacklogged reports whether more pieces wait than fit into one full call to each fast upstream.
func (q *Queue) isBacklogged() bool {
	return q.waiting > q.fastUpstreams()*q.spec.MaxPieces
}

// byRankAt returns jobs, which are sorted by rank, in the order in which they are served at an upstream: those whose
// preferred zone is the upstream's count as due sameZoneBonus earlier.
func byRankAt(u *Upstream, jobs []*Job) iter.Seq[*Job] {
	nextFrom := func(i int, sameZone bool) int {
		for i < len(jobs) && (jobs[i].Zone == u.Zone) != sameZone {
			i++
		}
		return i
	}
	return func(yield func(*Job) bool) {
		near, far := nextFrom(0, true), nextFrom(0, false)
		for near < len(jobs) || far < len(jobs) {
			isNearFirst := far == len(jobs) || near < len(jobs) && jobs[near].ranked-rank(sameZoneBonus) <= jobs[far].ranked
			j := far
			if isNearFirst {
				j, near = near, nextFrom(near+1, true)
			} else {
				far = nextFrom(far+1, false)
			}
			if !yield(jobs[j]) {
				return
			}
		}
	}
}

// fillCall removes the pieces of the next call from the waiting ones and returns them, in the order of
// byRankAt.
func (q *Queue) fillCall(now time.Time, u *Upstream, jobs []*Job) []Item {
	var items []Item
	free := q.freeMemory(now, u)
	for j := range byRankAt(u, jobs) {
		if len(items) == q.spec.MaxPieces {
			break
		}
		if q.waitsForSameZone(now, j, u) || len(items) > 0 && (j.isAlone() || items[0].Job.isAlone()) {
			continue
		}
		fits := q.fitting(j, free, len(items))
		// The completed pieces of a split job occupy result memory until its last piece is completed. So only the first
		// job with pieces in the call may be split.
		if fits == 0 || j.unsent() > fits && len(items) > 0 {
			continue
		}
		for range fits {
			free -= j.Bytes
			items = append(items, Item{Job: j, Piece: j.takePiece()})
			q.waiting--
		}
		j.sentAt = now
	}
	return items
}
