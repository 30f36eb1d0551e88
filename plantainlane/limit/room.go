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
	// underfedShare is the part of a contract's rate below which a share is taken to grow with demand.
	underfedShare = 0.5
	// maxWait bounds how long a request waits for its workspace's share.
	maxWait = 2 * time.Second
	// maxWaiting bounds how many requests of a workspace wait on one instance.
	maxWaiting = 256
	// wakeAgain is how soon waiting requests are looked at when nothing tells a better time.
	wakeAgain = 100 * time.Millisecond
)

// waiter is a request that waits for its workspace's share.
type waiter struct {
	ask      Request
	latest   time.Time
	admitted chan struct{}
	place    int
}

// room holds the requests of one workspace that wait, the earliest deadline first.
type room struct {
	workspace *workspace
	// waiting is the length of the heap, readable without the lock.
	waiting atomic.Int32
	mu      sync.Mutex
	heap    waiters
	timer   *time.Timer
}

type waiters []*waiter

func (h waiters) Len() int           { return len(h) }
func (h waiters) Less(i, j int) bool { return h[i].ask.Deadline.Before(h[j].ask.Deadline) }
func (h waiters) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}

func (h *waiters) Push(x any) {
	w := x.(*waiter)
	w.place = len(*h)
	*h = append(*h, w)
}

func (h *waiters) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	w.place = -1
	return w
}

// Admit admits the request, waiting for the workspace's share if it is expected in time. It returns a Refusal,
// or the context's error if the caller left.
func (l *Limiter) Admit(ctx context.Context, now time.Time, a Request) (Ticket, error) {
	w := l.workspace(a.Workspace)
	if w == nil {
		return Ticket{}, unknownWorkspace
	}
	if w.room.waiting.Load() > 0 {
		w.cells[0].arrivals.Add(1)
		return w.room.wait(ctx, now, a, ErrRate)
	}
	reason := w.arrive(now, &a)
	if reason == nil {
		return w.ticket(&a), nil
	}
	if errors.Is(reason, ErrBudget) {
		return Ticket{}, refuse(reason, w.retryAfter(reason))
	}
	if errors.Is(reason, ErrNoGrant) || w.isUnderfed(reason) {
		l.want()
	}
	return w.room.wait(ctx, now, a, reason)
}

// isUnderfed tells whether the next round of grants is likely to help sooner than the share held: the share is
// that of an instance without traffic, and the contract allows more.
func (w *workspace) isUnderfed(reason error) bool {
	if !errors.Is(reason, ErrRate) || w.retryAfter(reason) <= grantWait {
		return false
	}
	held := math.Float64frombits(w.requests.rate.Load()) / milli
	return held < underfedShare*w.contract.Load().Rate.PerSecond
}

// wait queues the request until it is admitted, its latest start has passed, or the caller leaves.
func (r *room) wait(ctx context.Context, now time.Time, a Request, reason error) (Ticket, error) {
	w := &waiter{ask: a, latest: a.Deadline.Add(-a.Needs), admitted: make(chan struct{})}
	if limit := now.Add(maxWait); limit.Before(w.latest) {
		w.latest = limit
	}
	expected := r.workspace.retryAfter(reason) + r.backlog()
	if errors.Is(reason, ErrNoGrant) || r.workspace.isUnderfed(reason) {
		// What is held now says nothing of how fast those that wait will be served.
		expected = grantWait
	}
	if now.Add(expected).After(w.latest) {
		return Ticket{}, refuse(reason, expected)
	}
	if !r.enter(w) {
		return Ticket{}, refuse(reason, max(expected, wakeAgain))
	}
	r.wake(now)
	timeout := time.NewTimer(w.latest.Sub(now))
	defer timeout.Stop()
	var err error
	select {
	case <-w.admitted:
		return r.workspace.ticket(&a), nil
	case <-timeout.C:
		err = refuse(reason, max(expected, wakeAgain))
	case <-ctx.Done():
		err = ctx.Err()
	}
	if !r.leave(w) {
		return r.workspace.ticket(&a), nil
	}
	return Ticket{}, err
}

// backlog is the time the rate takes to serve those that wait already.
func (r *room) backlog() time.Duration {
	n := int64(r.waiting.Load())
	if n == 0 {
		return 0
	}
	return r.workspace.requests.wait((n + 1) * milli)
}

func (r *room) enter(w *waiter) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.heap) >= maxWaiting {
		return false
	}
	heap.Push(&r.heap, w)
	r.waiting.Store(int32(len(r.heap)))
	return true
}

// leave takes the waiter out and reports whether it was still waiting.
func (r *room) leave(w *waiter) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if w.place < 0 {
		return false
	}
	heap.Remove(&r.heap, w.place)
	r.waiting.Store(int32(len(r.heap)))
	return true
}

// wake admits waiting requests as far as the workspace's share goes, and looks again later.
func (r *room) wake(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.workspace.limiter
	for len(r.heap) > 0 {
		w := r.heap[0]
		reason := r.workspace.admit(l.since(now), l.processors.current(), &w.ask)
		if reason != nil {
			r.wakeLater(reason)
			break
		}
		heap.Pop(&r.heap)
		close(w.admitted)
	}
	r.waiting.Store(int32(len(r.heap)))
}

func (r *room) wakeLater(reason error) {
	after := wakeAgain
	if errors.Is(reason, ErrRate) || errors.Is(reason, ErrTokens) {
		after = min(max(r.workspace.retryAfter(reason), time.Millisecond), wakeAgain)
	}
	if r.timer != nil {
		r.timer.Stop()
	}
	r.timer = time.AfterFunc(after, func() { r.wake(time.Now()) })
}
