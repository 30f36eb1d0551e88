package batch

// Release marks results as no longer needed. They count as occupying memory until they are freed, see Freeable. It
// returns the handles unknown to the queue, such as those of results of a previous owner.
func (q *Queue) Release(handles []string) (unknown []string) {
	for _, handle := range handles {
		if u := q.holder(handle); u != nil {
			h := u.held[handle]
			h.unneeded = true
			u.held[handle] = h
			u.unneeded = append(u.unneeded, handle)
			u.unneededBytes += h.bytes
			continue
		}
		unknown = append(unknown, handle)
	}
	return unknown
}

// holder returns the upstream that holds a result; nil if it is unknown.
func (q *Queue) holder(handle string) *Upstream {
	for _, u := range q.upstreams {
		if _, ok := u.held[handle]; ok {
			return u
		}
	}
	return nil
}

// Freeable returns the handles of unneeded results that should be freed now, by upstream ID. An upstream's unneeded
// results are returned if its remaining memory doesn't suffice for a full call, or if they occupy at least
// maxUnneededFraction of its memory, since a new owner of the queue wouldn't know that this memory is occupied. Other
// unneeded results are left to expire. A result counts as occupying memory until it expires or Freed is called with its
// handle.
func (q *Queue) Freeable() map[string][]string {
	var out map[string][]string
	for id, u := range q.upstreams {
		if len(u.unneeded) == 0 {
			continue
		}
		fitsFullCall := u.used+q.spec.MaxPieces*q.largestResult < q.spec.MemoryBytes
		if fitsFullCall && float64(u.unneededBytes) < maxUnneededFraction*float64(q.spec.MemoryBytes) {
			continue
		}
		if out == nil {
			out = make(map[string][]string)
		}
		out[id], u.unneeded, u.unneededBytes = u.unneeded, nil, 0
	}
	return out
}

// Freed records that an upstream has freed results.
func (q *Queue) Freed(upstream string, handles []string) {
	u := q.upstreams[upstream]
	if u == nil {
		return
	}
	for _, handle := range handles {
		u.release(handle)
	}
}

// isOutOfMemory reports whether an upstream lacked memory for more than half of the pieces of a call. Memory for a few
// pieces may be lacking at any time, because the sizes of results in the route are approximate.
func isOutOfMemory(results []Result) bool {
	noMemory := 0
	for _, r := range results {
		if r.Reason == ReasonNoMemory {
			noMemory++
		}
	}
	return 2*noMemory > len(results)
}

// Memory returns the bytes that results occupy at all upstreams, and the total result memory in bytes.
func (q *Queue) Memory() (used, all int) {
	for _, u := range q.upstreams {
		used += u.used
		all += q.spec.MemoryBytes
	}
	return used, all
}
