package limit

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// holdShare is the weight of a new sample in the mean time a request holds its place.
const holdShare = 0.05

// Semaphore bounds the calls that an instance has in flight to one service, and shares them fairly between
// workspaces. While nobody waits, passing it uses atomics alone.
type Semaphore struct {
	processors *processors
	cells      []cell
	places     credits
	limit      atomic.Int64
	waiting    atomic.Int32
	// hold is the mean time a request keeps its place, in nanoseconds as float bits.
	hold atomic.Uint64

	mu    sync.Mutex
	queue *Queue
}

// NewSemaphore returns a Semaphore for the given number of calls in flight and of requests that wait.
func NewSemaphore(limit, queueLimit int) *Semaphore {
	g := &Semaphore{processors: newProcessors(), cells: make([]cell, cellCount()), queue: NewQueue(queueLimit)}
	g.places.cells, g.places.field = g.cells, func(c *cell) *atomic.Int64 { return &c.permits }
	g.SetLimits(time.Time{}, limit, queueLimit)
	return g
}

// SetLimits changes the bounds. It belongs to one goroutine.
func (g *Semaphore) SetLimits(now time.Time, limit, queueLimit int) {
	change := int64(limit) - g.limit.Swap(int64(limit))
	if change < 0 {
		g.places.collect()
	}
	g.places.setSize(int64(limit))
	g.places.centre.Add(change)
	g.mu.Lock()
	g.queue.limit = queueLimit
	g.mu.Unlock()
	if change > 0 && g.waiting.Load() > 0 {
		g.serve(now)
	}
}

// InFlight is the number of requests that have passed the gate and not left it.
func (g *Semaphore) InFlight() int { return int(g.limit.Load() - g.places.total()) }

// Waiting is the number of requests that wait at the gate.
func (g *Semaphore) Waiting() int { return int(g.waiting.Load()) }

// Acquire passes the gate, waiting for a place if one is expected in time. It returns a Refusal, or the
// context's error if the caller left. Leave must be called once after it succeeded.
func (g *Semaphore) Acquire(ctx context.Context, now time.Time, w *Waiter) error {
	if w.hopeless(now) {
		return refuse(ErrDeadline, 0)
	}
	if g.TryAcquire() {
		return nil
	}
	if err := g.enqueue(now, w); err != nil {
		return err
	}
	g.serve(now)
	latest := time.NewTimer(w.Deadline.Add(-w.Needs).Sub(now))
	defer latest.Stop()
	var err error
	select {
	case <-w.ended:
		return w.refusal
	case <-latest.C:
		err = refuse(ErrDeadline, g.drainTime())
	case <-ctx.Done():
		err = ctx.Err()
	}
	g.mu.Lock()
	removed := g.queue.Remove(w)
	g.waiting.Store(int32(g.queue.Len()))
	g.mu.Unlock()
	if !removed {
		<-w.ended
		return w.refusal
	}
	return err
}

// TryAcquire passes the gate if there is a place and nobody waits.
func (g *Semaphore) TryAcquire() bool {
	return g.waiting.Load() == 0 && g.places.takeAll(g.processors.current(), 1)
}

// enqueue adds the request to the queue unless its turn would come too late.
func (g *Semaphore) enqueue(now time.Time, w *Waiter) error {
	w.ended = make(chan struct{})
	g.mu.Lock()
	defer g.mu.Unlock()
	expected := g.turnTime(g.queue.Ahead(w.Workspace, w.Weight))
	if now.Add(expected + w.Needs).After(w.Deadline) {
		return refuse(ErrDeadline, expected)
	}
	if dropped := g.queue.Push(w); dropped != nil {
		dropped.refusal = refuse(ErrQueueFull, expected)
		close(dropped.ended)
	}
	g.waiting.Store(int32(g.queue.Len()))
	return nil
}

// turnTime is how long it takes to serve n requests.
func (g *Semaphore) turnTime(n float64) time.Duration {
	hold := math.Float64frombits(g.hold.Load())
	return time.Duration(hold * n / float64(max(g.limit.Load(), 1)))
}

func (g *Semaphore) drainTime() time.Duration {
	return g.turnTime(float64(g.waiting.Load()))
}

// Release gives back the place of a request that passed the gate held long ago.
func (g *Semaphore) Release(now time.Time, held time.Duration) {
	g.observe(held)
	g.places.give(g.processors.current(), 1)
	if g.waiting.Load() > 0 {
		g.serve(now)
	}
}

func (g *Semaphore) observe(held time.Duration) {
	bits := g.hold.Load()
	old := math.Float64frombits(bits)
	next := float64(held)
	if bits != 0 {
		next = old + holdShare*(next-old)
	}
	// A sample lost to another goroutine's is no harm.
	g.hold.CompareAndSwap(bits, math.Float64bits(next))
}

// serve lets requests through while there are places, and refuses those whose time has passed.
func (g *Semaphore) serve(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.queue.Len() > 0 && g.places.takeAll(g.processors.current(), 1) {
		w := g.queue.Pop()
		if w.hopeless(now) {
			g.queue.Unpop(w)
			g.places.give(g.processors.current(), 1)
			w.refusal = refuse(ErrDeadline, g.drainTime())
		}
		close(w.ended)
	}
	g.waiting.Store(int32(g.queue.Len()))
}
