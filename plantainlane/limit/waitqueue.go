package limit

import (
	"container/heap"
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// fairShareFraction is the fraction of a contract's rate below which a share is expected to grow with demand.
	fairShareFraction = 0.5
	// maxWait is the maximum time that a request waits for admission.
	maxWait = 2 * time.Second
	// maxWaiting is the maximum number of requests of a workspace that wait on one instance.
	maxWaiting = 256
	// retryInterval is the maximum time between two attempts to admit waiting requests.
	retryInterval = 100 * time.Millisecond
)

// queuedRequest is a request in a waitQueue, where it waits for admission within its workspace's grant.
type queuedRequest struct {
	request Request
	// latestStart is the time at which the request stops waiting.
	latestStart time.Time
	// admitted is closed when the request is admitted.
	admitted chan struct{}
	// index is the position in the heap, -1 once removed.
	index int
}

// waitQueue holds the requests of one workspace that wait for admission, unlike a FairQueue, whose requests have been
// admitted and wait for a slot.
type waitQueue struct {
	workspace *workspace
	// waiting is the length of the heap, readable without the lock.
	waiting atomic.Int32
	// mu guards the fields below.
	mu   sync.Mutex
	heap requestHeap
	// timer runs the next admitWaiting while requests wait; nil before the first one.
	timer *time.Timer
}

// requestHeap is a heap of requests, the earliest deadline first.
type requestHeap []*queuedRequest

func (h requestHeap) Len() int           { return len(h) }
func (h requestHeap) Less(i, j int) bool { return h[i].request.Deadline.Before(h[j].request.Deadline) }

func (h requestHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *requestHeap) Push(x any) {
	w := x.(*queuedRequest)
	w.index = len(*h)
	*h = append(*h, w)
}

func (h *requestHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	w.index = -1
	return w
}

// Admit admits the request. If the workspace's grant is insufficient, Admit waits for at most maxWait, unless the
// budget is used up or the expected wait is too long for the request's deadline. It returns a Refusal, or the context's
// error if the context is done first. While other requests of the workspace wait, a new one is queued with them without
// an attempt to admit it first, and ErrRate counts as its reason.
func (l *Limiter) Admit(ctx context.Context, now time.Time, r Request) (Ticket, error) {
	w := l.workspace(r.Workspace)
	if w == nil {
		return Ticket{}, unknownWorkspaceRefusal
	}
	if w.waitQueue.waiting.Load() > 0 {
		w.cells[0].arrivals.Add(1)
		return w.waitQueue.wait(ctx, now, r, ErrRate)
	}
	reason := w.countAndAdmit(now, &r)
	if reason == nil {
		return w.newTicket(&r), nil
	}
	if errors.Is(reason, ErrBudget) {
		return Ticket{}, refuse(reason, w.retryAfter(reason))
	}
	if errors.Is(reason, ErrNoGrant) || w.isBelowFairShare(reason) {
		l.signalGrantNeeded()
	}
	return w.waitQueue.wait(ctx, now, r, reason)
}

// isBelowFairShare reports whether the next grant is likely to admit the request sooner than the current grant: the
// rate of the current grant is low, like that of an instance without traffic, and the contract allows more.
func (w *workspace) isBelowFairShare(reason error) bool {
	return errors.Is(reason, ErrRate) && w.retryAfter(reason) > grantWait && w.hasSmallRate()
}

// hasSmallRate reports whether the rate of the current grant is low, so that the next grant is likely to raise it.
func (w *workspace) hasSmallRate() bool {
	heldRate := math.Float64frombits(w.requests.rate.Load()) / milli
	return heldRate < fairShareFraction*w.contract.Load().Rate.PerSecond
}

// isGrowing reports whether the rate of requests with which the instance last requested a share is below that of its grant:
// the grant doesn't answer to the requests that wait now.
func (w *workspace) isGrowing() bool {
	return math.Float64frombits(w.requestedRate.Load()) < math.Float64frombits(w.requests.rate.Load())/milli
}

// wait queues the request until it is admitted, its latest start has passed, or the context is done. reason is why
// the request was not admitted immediately; it becomes the reason of the Refusal.
func (q *waitQueue) wait(ctx context.Context, now time.Time, r Request, reason error) (Ticket, error) {
	w := &queuedRequest{request: r, latestStart: r.Deadline.Add(-r.Needs), admitted: make(chan struct{})}
	if waitEnd := now.Add(maxWait); waitEnd.Before(w.latestStart) {
		w.latestStart = waitEnd
	}
	expectedWait := q.workspace.retryAfter(reason) + q.backlogTime()
	if errors.Is(reason, ErrNoGrant) || q.workspace.isBelowFairShare(reason) {
		// The rate of the current grant doesn't predict how fast waiting requests will be served.
		expectedWait = grantWait
	}
	if now.Add(expectedWait).After(w.latestStart) {
		return Ticket{}, refuse(reason, expectedWait)
	}
	if !q.enqueue(w) {
		return Ticket{}, refuse(reason, max(expectedWait, retryInterval))
	}
	q.admitWaiting(now)
	timeout := time.NewTimer(w.latestStart.Sub(now))
	defer timeout.Stop()
	var err error
	select {
	case <-w.admitted:
		return q.workspace.newTicket(&r), nil
	case <-timeout.C:
		err = refuse(reason, max(expectedWait, retryInterval))
	case <-ctx.Done():
		err = ctx.Err()
	}
	if !q.remove(w) {
		return q.workspace.newTicket(&r), nil
	}
	return Ticket{}, err
}

// backlogTime returns the time until the request rate allows the requests that wait already and one more; 0 if none
// waits. The rate of a small grant that was given for less traffic counts until the next grants only.
func (q *waitQueue) backlogTime() time.Duration {
	n := int64(q.waiting.Load())
	if n == 0 {
		return 0
	}
	t := q.workspace.requests.waitTime((n + 1) * milli)
	if q.workspace.hasSmallRate() && q.workspace.isGrowing() {
		t = min(t, grantWait)
	}
	return t
}

// enqueue adds the request and reports whether it did; it doesn't if maxWaiting requests wait.
func (q *waitQueue) enqueue(w *queuedRequest) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.heap) >= maxWaiting {
		return false
	}
	heap.Push(&q.heap, w)
	q.waiting.Store(int32(len(q.heap)))
	return true
}

// remove removes the request and reports whether it was still waiting.
func (q *waitQueue) remove(w *queuedRequest) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.index < 0 {
		return false
	}
	heap.Remove(&q.heap, w.index)
	q.waiting.Store(int32(len(q.heap)))
	return true
}

// admitWaiting admits waiting requests until the workspace's grant is insufficient, and then schedules the next
// attempt.
func (q *waitQueue) admitWaiting(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.workspace.limiter
	for len(q.heap) > 0 {
		w := q.heap[0]
		reason := q.workspace.admit(l.since(now), l.processors.current(), &w.request)
		if reason != nil {
			q.scheduleAdmit(reason)
			break
		}
		heap.Pop(&q.heap)
		close(w.admitted)
	}
	q.waiting.Store(int32(len(q.heap)))
}

// scheduleAdmit runs admitWaiting after the time in which a request refused for the reason may become admissible, at
// most retryInterval.
func (q *waitQueue) scheduleAdmit(reason error) {
	after := retryInterval
	if errors.Is(reason, ErrRate) || errors.Is(reason, ErrTokens) {
		after = min(max(q.workspace.retryAfter(reason), time.Millisecond), retryInterval)
	}
	if q.timer != nil {
		q.timer.Stop()
	}
	q.timer = time.AfterFunc(after, func() { q.admitWaiting(time.Now()) })
}
