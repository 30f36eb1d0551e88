package batch

// Release gives up results. The room they take counts until they are freed, see Freeable. It returns the results
// that the queue doesn't know, such as those of an owner before.
func (q *Queue) Release(handles []string) (unknown []string) {
	for _, handle := range handles {
		if u := q.holder(handle); u != nil {
			u.unneeded = append(u.unneeded, handle)
			u.unneededBytes += u.held[handle].bytes
			continue
		}
		unknown = append(unknown, handle)
	}
	return unknown
}

// holder returns the upstream that holds a result; nil if it is not known.
func (q *Queue) holder(handle string) *Upstream {
	for _, u := range q.upstreams {
		if _, ok := u.held[handle]; ok {
			return u
		}
	}
	return nil
}

// Freeable returns results to be freed, by the ID of the upstream that holds them: given-up ones of each upstream
// that has no room for a full call, or where they take much room, which a next owner of the queue would know nothing
// of. Others end by themselves. Their room counts until Freed.
func (q *Queue) Freeable() map[string][]string {
	var out map[string][]string
	for id, u := range q.upstreams {
		if len(u.unneeded) == 0 {
			continue
		}
		hasRoom := u.used+q.spec.MaxPieces*q.largest < q.spec.MemoryBytes
		if hasRoom && float64(u.unneededBytes) < unneededPart*float64(q.spec.MemoryBytes) {
			continue
		}
		if out == nil {
			out = make(map[string][]string)
		}
		out[id], u.unneeded, u.unneededBytes = u.unneeded, nil, 0
	}
	return out
}

// Freed notes that an upstream has freed results.
func (q *Queue) Freed(upstream string, handles []string) {
	u := q.upstreams[upstream]
	if u == nil {
		return
	}
	for _, handle := range handles {
		u.release(handle)
	}
}

// isFull tells whether an upstream had no room for most pieces of a call. Room for some may lack at any time, as results
// are only about as large as the route says.
func isFull(results []Result) bool {
	noRoom := 0
	for _, r := range results {
		if r.Reason == ReasonNoMemory {
			noRoom++
		}
	}
	return 2*noRoom > len(results)
}

// Memory is the room that results take at all upstreams, and all there is, in bytes.
func (q *Queue) Memory() (used, all int) {
	for _, u := range q.upstreams {
		used += u.used
		all += q.spec.MemoryBytes
	}
	return used, all
}
