package batch

import (
	"slices"
	"time"
)

// rank is a job's place in the order in which jobs are served. Jobs that can still meet their latency target come
// before those that can't, and jobs within each group are ordered by due.
//
// In a burst, serving by due time alone would make every request late, since the oldest jobs would always be served
// just after their due time. Late jobs therefore get only the remaining capacity.
type rank struct {
	late bool
	due  time.Time
}

// compare returns a negative number if a job with rank r is served before one with rank other.
func (r rank) compare(other rank) int {
	switch {
	case r.late == other.late:
		return r.due.Compare(other.due)
	case other.late:
		return -1
	}
	return 1
}

// rankedJob is a job with its rank at the time of a decision.
type rankedJob struct {
	*Job
	rank
}

// sortJobs sorts jobs by rank. Jobs of the same rank keep their order.
func sortJobs(jobs []rankedJob) {
	slices.SortStableFunc(jobs, func(a, b rankedJob) int { return a.compare(b.rank) })
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
func isDeferred(j rankedJob) bool { return j.laterQueueLong && j.late }

// hasFreeUpstream reports whether at least one upstream can be sent a call.
func (q *Queue) hasFreeUpstream(now time.Time) bool {
	for _, u := range q.upstreams {
		if q.isFree(now, u) {
			return true
		}
	}
	return false
}

// isFree reports whether an upstream can be sent a call: it isn't leaving, has an unused slot and isn't paused.
func (q *Queue) isFree(now time.Time, u *Upstream) bool {
	return !u.Leaving && u.calls < max(q.spec.Slots, 1) && !now.Before(u.notBefore)
}

// chooseUpstream returns the upstream for the next call, nil if no upstream is suitable. It prefers upstreams in the
// preferred zone of the first job, then faster ones, then those with less result memory occupied.
func (q *Queue) chooseUpstream(now time.Time, jobs []rankedJob) *Upstream {
	var best *Upstream
	for _, u := range q.upstreams {
		if !q.isFree(now, u) {
			continue
		}
		if u.slowdown >= slowdownLimit && !q.isBacklogged() {
			continue
		}
		if !q.hasMemory(u, jobs) {
			continue
		}
		if q.allWaitForSameZone(now, u, jobs) {
			continue
		}
		if best == nil || u.isPreferredTo(best, jobs[0].Zone) {
			best = u
		}
	}
	return best
}

// waitsForSameZone reports whether a job still waits for an upstream in its preferred zone instead of being sent to u.
// A job waits only while it has time to spare and its zone has a fast upstream, for a time that grows with CrossBytes
// up to maxSameZoneWait.
func (q *Queue) waitsForSameZone(now time.Time, j *Job, u *Upstream) bool {
	if j.Zone == u.Zone || q.fastByZone[j.Zone] == 0 {
		return false
	}
	hasSlack := now.Add(q.spec.CallTime + sameZoneSlack).Before(j.effectiveDue)
	wait := time.Duration(float64(j.CrossBytes) / 1e6 * float64(sameZoneWaitPerMB))
	return hasSlack && now.Sub(j.addedAt) < min(wait, maxSameZoneWait)
}

// allWaitForSameZone reports whether every job still waits for an upstream in its preferred zone instead of being sent
// to u.
func (q *Queue) allWaitForSameZone(now time.Time, u *Upstream, jobs []rankedJob) bool {
	return !slices.ContainsFunc(jobs, func(j rankedJob) bool { return !q.waitsForSameZone(now, j.Job, u) })
}

// sendable updates the due times of all jobs and returns the jobs that have pieces to send now, sorted by rank.
func (q *Queue) sendable(now time.Time) []rankedJob {
	out := make([]rankedJob, 0, len(q.jobs))
	clear(q.laterWaits)
	completion := now.Add(q.typicalCallTime())
	for _, j := range q.jobs {
		q.updateDue(j)
		ranked := rankedJob{j, j.rank(completion)}
		if j.unsent() > 0 && !isDeferred(ranked) {
			out = append(out, ranked)
		}
	}
	sortJobs(out)
	return out
}

// hasMemory reports whether the free result memory of an upstream suffices for a call worth sending: for all waiting
// pieces up to a full call, or for at least the fraction worthwhileFill of a full call. It returns true for every
// upstream if MemoryBytes is 0, and for an upstream that holds no results.
func (q *Queue) hasMemory(u *Upstream, jobs []rankedJob) bool {
	if q.spec.MemoryBytes <= 0 || u.used == 0 {
		return true
	}
	free, fits, needed := q.spec.MemoryBytes-u.used, 0, 0
	for _, j := range jobs {
		n := j.unsent()
		if needed+n > q.spec.MaxPieces {
			n = q.spec.MaxPieces - needed
		}
		needed += n
		if n*j.Bytes <= free {
			free -= n * j.Bytes
			fits += n
		}
		if needed == q.spec.MaxPieces {
			break
		}
	}
	return fits == needed || float64(fits) >= worthwhileFill*float64(q.spec.MaxPieces)
}

// isBacklogged reports whether more pieces wait than fit into one full call to each fast upstream.
func (q *Queue) isBacklogged() bool {
	return q.waiting > q.fastUpstreams()*q.spec.MaxPieces
}

// fillCall removes the pieces of the next call from the waiting ones and returns them, in the order of rank. Jobs whose
// preferred zone is the upstream's are sorted as if due sameZoneBonus earlier.
func (q *Queue) fillCall(now time.Time, u *Upstream, jobs []rankedJob) []Item {
	jobs = slices.DeleteFunc(jobs, func(j rankedJob) bool { return q.waitsForSameZone(now, j.Job, u) })
	for i := range jobs {
		if jobs[i].Zone == u.Zone {
			jobs[i].due = jobs[i].due.Add(-sameZoneBonus)
		}
	}
	sortJobs(jobs)
	var items []Item
	free := q.spec.MemoryBytes - u.used
	for _, j := range jobs {
		fits := q.spec.MaxPieces - len(items)
		if q.spec.MemoryBytes > 0 && j.Bytes > 0 {
			fits = min(fits, free/j.Bytes)
		}
		// The completed pieces of a split job occupy result memory until its last piece is completed. So only the first
		// job with pieces in the call may be split.
		if j.unsent() > fits && len(items) > 0 {
			continue
		}
		for range min(fits, j.unsent()) {
			free -= j.Bytes
			items = append(items, Item{Job: j.Job, Piece: j.takePiece()})
			q.waiting--
		}
		j.sentAt = now
	}
	return items
}
