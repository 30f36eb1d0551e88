package batch

import (
	"maps"
	"math"
	"time"
)

// heldResult is a result at an upstream. It counts as occupying memory until it is freed, at the latest at until.
type heldResult struct {
	upstream *Upstream
	bytes    int
	until    time.Time
	// unneeded is set once the result was released.
	unneeded bool
}

// heldResults holds the results at all upstreams.
type heldResults struct {
	byHandle map[string]heldResult
	// oldestFirst holds the handles in the order in which they were added, among them some that are no longer held.
	oldestFirst []string
}

// add adds a result to the accounting of its upstream's memory.
func (r *heldResults) add(handle string, h heldResult) {
	r.byHandle[handle] = h
	r.oldestFirst = append(r.oldestFirst, handle)
	h.upstream.used += h.bytes
}

// remove removes a result, if it is held, from the accounting of its upstream's memory.
func (r *heldResults) remove(handle string) {
	if h, ok := r.byHandle[handle]; ok {
		h.upstream.used -= h.bytes
		delete(r.byHandle, handle)
	}
}

// expire removes the results that have expired at their upstreams, oldest first. It returns the number of those that
// were never released.
func (r *heldResults) expire(now time.Time) (neverReleased int) {
	n := 0
	for _, handle := range r.oldestFirst {
		h, ok := r.byHandle[handle]
		if ok && !now.After(h.until) {
			break
		}
		if ok && !h.unneeded {
			neverReleased++
		}
		r.remove(handle)
		n++
	}
	r.oldestFirst = r.oldestFirst[n:]
	return neverReleased
}

// removeUpstream removes all results at an upstream.
func (r *heldResults) removeUpstream(u *Upstream) {
	maps.DeleteFunc(r.byHandle, func(_ string, h heldResult) bool { return h.upstream == u })
}

// Release marks results as no longer needed; it may be called again with the same ones. They count as occupying memory
// until they are freed, see Freeable. It returns the handles unknown to the queue, such as those of results of a
// previous owner.
func (q *Queue) Release(handles []string) (unknown []string) {
	for _, handle := range handles {
		h, ok := q.held.byHandle[handle]
		if !ok {
			unknown = append(unknown, handle)
			continue
		}
		if h.unneeded {
			continue
		}
		h.unneeded = true
		q.held.byHandle[handle] = h
		h.upstream.unneeded = append(h.upstream.unneeded, handle)
		h.upstream.unneededBytes += h.bytes
	}
	return unknown
}

// Freeable returns the handles of unneeded results that should be freed now, by upstream ID. An upstream's unneeded
// results are returned if its remaining memory doesn't suffice for a full call, or if they occupy at least
// maxUnneededFraction of its memory, since a new owner of the queue wouldn't know that this memory is occupied. Other
// unneeded results are left to expire. A result counts as occupying memory until it expires or Freed is called with its
// handle. Until then, Freeable returns no further results of that upstream: while memory is scarce, there would be a
// request to free results for each one that is released.
func (q *Queue) Freeable() map[string][]string {
	var out map[string][]string
	for id, u := range q.upstreams {
		if len(u.unneeded) == 0 || u.freeing {
			continue
		}
		fitsFullCall := u.used+q.spec.MaxPieces*q.largestResult < q.spec.MemoryBytes
		if fitsFullCall && float64(u.unneededBytes) < maxUnneededFraction*float64(q.spec.MemoryBytes) {
			continue
		}
		if out == nil {
			out = make(map[string][]string)
		}
		out[id], u.unneeded, u.unneededBytes, u.freeing = u.unneeded, nil, 0, true
	}
	return out
}

// Freed records that an upstream has freed results.
func (q *Queue) Freed(upstream string, handles []string) {
	for _, handle := range handles {
		q.held.remove(handle)
	}
	if u := q.upstreams[upstream]; u != nil {
		u.freeing = false
	}
}

// freeMemory returns the memory of an upstream that no result is known or expected to occupy, in bytes; a very large
// number if the memory isn't limited.
func (q *Queue) freeMemory(now time.Time, u *Upstream) int {
	if q.spec.MemoryBytes <= 0 {
		return math.MaxInt
	}
	return q.spec.MemoryBytes - u.used - u.reserved - u.unknownBytes(now, q.spec.KeepFor)
}

// callBytes returns the memory for the results of a call, in bytes.
func callBytes(c *Call) int {
	bytes := 0
	for _, item := range c.Items {
		bytes += item.Job.Bytes
	}
	return bytes
}

// Memory returns the bytes that results occupy at all upstreams, and the total result memory in bytes.
func (q *Queue) Memory() (used, all int) {
	for _, u := range q.upstreams {
		used += u.used
		all += q.spec.MemoryBytes
	}
	return used, all
}
