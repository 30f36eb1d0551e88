package limit

import (
	"container/heap"
	"time"
)

// minFlows is the number of flows, in addition to twice the active ones, below which idle flows are not removed.
const minFlows = 64

// Waiter is a request in a FairQueue.
type Waiter struct {
	Workspace string
	// Weight is the workspace's weight in sharing the capacity with other workspaces that wait; it is more than 0.
	Weight   float64
	Deadline time.Time
	// Needs is the expected execution time of the request once it leaves the queue.
	Needs time.Duration

	flow *flow
	// index is the position in the flow's heap, -1 once removed.
	index int
	// done is closed when the request is popped or evicted. refusal is set before if the request is refused.
	done    chan struct{}
	refusal error
}

// isTooLate reports whether the request can't finish before its deadline even if it starts now.
func (w *Waiter) isTooLate(now time.Time) bool {
	return now.Add(w.Needs).After(w.Deadline)
}

// flow holds the waiting requests of one workspace, the earliest deadline first.
type flow struct {
	workspace string
	weight    float64
	// virtualFinish is the virtual time at which the flow's last served request finishes and its next one is served.
	virtualFinish float64
	waiters       byDeadline
	// index is the position in FairQueue.active, -1 while no request waits.
	index int
}

// FairQueue is a bounded queue with weighted fair queuing. It shares capacity between workspaces in proportion to their
// weights, and serves the earliest deadline first within a workspace. It is not safe for concurrent use.
type FairQueue struct {
	// limit is the maximum number of waiting requests, size the current one.
	limit int
	size  int
	// virtualTime is the virtual time at which the last popped request was served. An idle flow that becomes active
	// starts there: it is not compensated for capacity that it did not use.
	virtualTime float64
	flows       map[string]*flow
	// active holds the flows with waiting requests.
	active byVirtualFinish
}

// NewFairQueue returns a FairQueue that holds at most limit requests.
func NewFairQueue(limit int) *FairQueue {
	return &FairQueue{limit: limit, flows: map[string]*flow{}}
}

// Len returns the number of waiting requests.
func (q *FairQueue) Len() int { return q.size }

// Push adds a request. If the queue is full, Push evicts and returns the request with the latest deadline of the
// workspace that has the most waiting requests relative to its weight. This may be the new request.
func (q *FairQueue) Push(w *Waiter) (evicted *Waiter) {
	f := q.flows[w.Workspace]
	if f == nil {
		f = &flow{workspace: w.Workspace, virtualFinish: q.virtualTime, index: -1}
		q.flows[w.Workspace] = f
	}
	f.weight = w.Weight
	w.flow = f
	heap.Push(&f.waiters, w)
	q.size++
	if f.index < 0 {
		f.virtualFinish = max(f.virtualFinish, q.virtualTime)
		heap.Push(&q.active, f)
	}
	if q.size <= q.limit {
		return nil
	}
	last := q.longestFlow().latestDeadline()
	q.Remove(last)
	return last
}

// longestFlow returns the active flow with the most waiting requests relative to its weight.
func (q *FairQueue) longestFlow() *flow {
	longest := q.active[0]
	for _, f := range q.active {
		if float64(len(f.waiters))/f.weight > float64(len(longest.waiters))/longest.weight {
			longest = f
		}
	}
	return longest
}

// latestDeadline returns the waiting request with the latest deadline.
func (f *flow) latestDeadline() *Waiter {
	last := f.waiters[0]
	for _, w := range f.waiters {
		if w.Deadline.After(last.Deadline) {
			last = w
		}
	}
	return last
}

// Pop removes and returns the next request to serve, or nil if none waits.
func (q *FairQueue) Pop() *Waiter {
	if len(q.active) == 0 {
		return nil
	}
	f := q.active[0]
	w := f.waiters[0]
	q.virtualTime = f.virtualFinish
	f.virtualFinish += 1 / f.weight
	heap.Fix(&q.active, 0)
	q.Remove(w)
	return w
}

// Unpop gives a flow its turn back for a popped request that was not served. It does not put the request back into
// the queue.
func (q *FairQueue) Unpop(w *Waiter) {
	w.flow.virtualFinish -= 1 / w.flow.weight
	if w.flow.index >= 0 {
		heap.Fix(&q.active, w.flow.index)
	}
}

// Remove removes a request and reports whether it was waiting.
func (q *FairQueue) Remove(w *Waiter) bool {
	if w.flow == nil || w.index < 0 {
		return false
	}
	f := w.flow
	heap.Remove(&f.waiters, w.index)
	q.size--
	if len(f.waiters) == 0 {
		heap.Remove(&q.active, f.index)
		q.removeIdleFlows()
	}
	return true
}

// removeIdleFlows removes the flows without waiting requests whose virtual finish time has passed, once there are many
// flows. A flow with a later virtual finish time has used more than its share and must not restart at the current
// virtual time.
func (q *FairQueue) removeIdleFlows() {
	if len(q.flows) < 2*len(q.active)+minFlows {
		return
	}
	for name, f := range q.flows {
		if f.index < 0 && f.virtualFinish <= q.virtualTime {
			delete(q.flows, name)
		}
	}
}

// Position returns the approximate position in the queue of a new request of the workspace: the number of requests that
// are served up to the new one, including it.
func (q *FairQueue) Position(workspace string, weight float64) float64 {
	own := 1.0
	if f := q.flows[workspace]; f != nil {
		own += float64(len(f.waiters))
	}
	position := own
	for _, f := range q.active {
		if f.workspace != workspace {
			position += min(float64(len(f.waiters)), own*f.weight/weight)
		}
	}
	return position
}

// byDeadline is a heap of requests, the earliest deadline first.
type byDeadline []*Waiter

func (h byDeadline) Len() int           { return len(h) }
func (h byDeadline) Less(i, j int) bool { return h[i].Deadline.Before(h[j].Deadline) }
func (h byDeadline) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *byDeadline) Push(x any) {
	w := x.(*Waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

func (h *byDeadline) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	w.index = -1
	return w
}

// byVirtualFinish is a heap of flows, the one to be served next first.
type byVirtualFinish []*flow

func (h byVirtualFinish) Len() int           { return len(h) }
func (h byVirtualFinish) Less(i, j int) bool { return h[i].virtualFinish < h[j].virtualFinish }
func (h byVirtualFinish) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *byVirtualFinish) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}

func (h *byVirtualFinish) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	f.index = -1
	return f
}
