package limit

import (
	"container/heap"
	"time"
)

// minLines is the number of lines that are kept without looking for idle ones.
const minLines = 64

// Waiter is a request in a Queue.
type Waiter struct {
	Workspace string
	// Weight is the workspace's part of the capacity against others that wait, more than 0.
	Weight   float64
	Deadline time.Time
	// Needs is the time the request is expected to take once it leaves the queue.
	Needs time.Duration

	line  *line
	place int
	// ended is closed when the request leaves the queue; refusal is set before if it may not go on.
	ended   chan struct{}
	refusal error
}

// hopeless reports whether the request can't finish by its deadline any more.
func (w *Waiter) hopeless(now time.Time) bool {
	return now.Add(w.Needs).After(w.Deadline)
}

// line is the requests of one workspace that wait, the earliest deadline first.
type line struct {
	workspace string
	weight    float64
	// pass is the virtual time at which the line is served next.
	pass    float64
	waiters byDeadline
	place   int
}

// Queue shares capacity between workspaces in proportion to their weights, and inside a workspace serves the
// earliest deadline first. It is bounded and not safe for concurrent use.
type Queue struct {
	limit int
	size  int
	// clock is the pass of the line served last. A line that comes back starts there: it has no claim on what it
	// did not use.
	clock  float64
	lines  map[string]*line
	active byPass
}

// NewQueue returns a Queue that holds at most limit requests.
func NewQueue(limit int) *Queue {
	return &Queue{limit: limit, lines: map[string]*line{}}
}

// Len is the number of requests that wait.
func (q *Queue) Len() int { return q.size }

// Push adds a request. If the queue is full, the request with the latest deadline of the workspace with the
// longest line for its weight gives way, which may be the new one; Push returns it.
func (q *Queue) Push(w *Waiter) (dropped *Waiter) {
	l := q.lines[w.Workspace]
	if l == nil {
		l = &line{workspace: w.Workspace, pass: q.clock, place: -1}
		q.lines[w.Workspace] = l
	}
	l.weight = w.Weight
	w.line = l
	heap.Push(&l.waiters, w)
	q.size++
	if l.place < 0 {
		l.pass = max(l.pass, q.clock)
		heap.Push(&q.active, l)
	}
	if q.size <= q.limit {
		return nil
	}
	last := q.longest().latest()
	q.Remove(last)
	return last
}

func (q *Queue) longest() *line {
	longest := q.active[0]
	for _, l := range q.active {
		if float64(len(l.waiters))/l.weight > float64(len(longest.waiters))/longest.weight {
			longest = l
		}
	}
	return longest
}

func (l *line) latest() *Waiter {
	last := l.waiters[0]
	for _, w := range l.waiters {
		if w.Deadline.After(last.Deadline) {
			last = w
		}
	}
	return last
}

// Pop takes the next request, or nil if none waits.
func (q *Queue) Pop() *Waiter {
	if len(q.active) == 0 {
		return nil
	}
	l := q.active[0]
	w := l.waiters[0]
	q.clock = l.pass
	l.pass += 1 / l.weight
	heap.Fix(&q.active, 0)
	q.Remove(w)
	return w
}

// Unpop gives a line back the turn that a request did not use.
func (q *Queue) Unpop(w *Waiter) {
	w.line.pass -= 1 / w.line.weight
	if w.line.place >= 0 {
		heap.Fix(&q.active, w.line.place)
	}
}

// Remove takes a request out and reports whether it was waiting.
func (q *Queue) Remove(w *Waiter) bool {
	if w.line == nil || w.place < 0 {
		return false
	}
	l := w.line
	heap.Remove(&l.waiters, w.place)
	q.size--
	if len(l.waiters) == 0 {
		heap.Remove(&q.active, l.place)
		q.forgetIdle()
	}
	return true
}

// forgetIdle drops lines that wait for nothing and have no debt, once there are many.
func (q *Queue) forgetIdle() {
	if len(q.lines) < 2*len(q.active)+minLines {
		return
	}
	for name, l := range q.lines {
		if l.place < 0 && l.pass <= q.clock {
			delete(q.lines, name)
		}
	}
}

// Ahead is the number of requests that are served before a new one of the workspace, about.
func (q *Queue) Ahead(workspace string, weight float64) float64 {
	own := 1.0
	if l := q.lines[workspace]; l != nil {
		own += float64(len(l.waiters))
	}
	ahead := own
	for _, l := range q.active {
		if l.workspace != workspace {
			ahead += min(float64(len(l.waiters)), own*l.weight/weight)
		}
	}
	return ahead
}

type byDeadline []*Waiter

func (h byDeadline) Len() int           { return len(h) }
func (h byDeadline) Less(i, j int) bool { return h[i].Deadline.Before(h[j].Deadline) }
func (h byDeadline) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}

func (h *byDeadline) Push(x any) {
	w := x.(*Waiter)
	w.place = len(*h)
	*h = append(*h, w)
}

func (h *byDeadline) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	w.place = -1
	return w
}

type byPass []*line

func (h byPass) Len() int           { return len(h) }
func (h byPass) Less(i, j int) bool { return h[i].pass < h[j].pass }
func (h byPass) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}

func (h *byPass) Push(x any) {
	l := x.(*line)
	l.place = len(*h)
	*h = append(*h, l)
}

func (h *byPass) Pop() any {
	old := *h
	l := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	l.place = -1
	return l
}
