package limit

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// holdTimeWeight is the weight of a new sample in the moving average of the hold time of a slot.
const holdTimeWeight = 0.05

// Semaphore bounds the calls that an instance has in flight to one service, and shares the slots fairly between
// workspaces. While no request waits, acquiring a slot uses only atomic operations.
type Semaphore struct {
	processors *processors
	cells      []cell
	// slots counts the free slots.
	slots credits
	// limit is the number of all slots.
	limit atomic.Int64
	// waiting is the length of the queue, readable without the lock.
	waiting atomic.Int32
	// meanHold is the mean hold time of a slot in nanoseconds, stored as the bits of a float64.
	meanHold atomic.Uint64

	// mu guards queue.
	mu    sync.Mutex
	queue *FairQueue
}

// NewSemaphore returns a Semaphore with limit slots, at which at most queueLimit requests wait.
func NewSemaphore(limit, queueLimit int) *Semaphore {
	s := &Semaphore{processors: newProcessors(), cells: make([]cell, cellCount()), queue: NewFairQueue(queueLimit)}
	s.slots.cells, s.slots.field = s.cells, func(c *cell) *atomic.Int64 { return &c.permits }
	s.SetLimits(time.Time{}, limit, queueLimit)
	return s
}

// SetLimits changes the number of slots and the maximum number of waiting requests. It must be called from one
// goroutine.
func (s *Semaphore) SetLimits(now time.Time, limit, queueLimit int) {
	change := int64(limit) - s.limit.Swap(int64(limit))
	if change < 0 {
		s.slots.collect()
	}
	s.slots.setBatch(int64(limit))
	s.slots.pool.Add(change)
	s.mu.Lock()
	s.queue.limit = queueLimit
	s.mu.Unlock()
	if change > 0 && s.waiting.Load() > 0 {
		s.serve(now)
	}
}

// InFlight returns the number of acquired slots.
func (s *Semaphore) InFlight() int { return int(s.limit.Load() - s.slots.total()) }

// Waiting returns the number of requests that wait for a slot.
func (s *Semaphore) Waiting() int { return int(s.waiting.Load()) }

// Acquire acquires a slot. If none is free, it waits, unless the expected wait is too long for the request's deadline.
// It returns a Refusal, or the context's error if the context is done first. If it returns nil, Release must be called
// exactly once.
func (s *Semaphore) Acquire(ctx context.Context, now time.Time, w *Waiter) error {
	if w.isTooLate(now) {
		return refuse(ErrDeadline, 0)
	}
	if s.TryAcquire() {
		return nil
	}
	if err := s.enqueue(now, w); err != nil {
		return err
	}
	s.serve(now)
	timeout := time.NewTimer(w.Deadline.Add(-w.Needs).Sub(now))
	defer timeout.Stop()
	var err error
	select {
	case <-w.done:
		return w.refusal
	case <-timeout.C:
		err = refuse(ErrDeadline, s.backlogTime())
	case <-ctx.Done():
		err = ctx.Err()
	}
	s.mu.Lock()
	removed := s.queue.Remove(w)
	s.waiting.Store(int32(s.queue.Len()))
	s.mu.Unlock()
	if !removed {
		<-w.done
		return w.refusal
	}
	return err
}

// TryAcquire acquires a slot if one is free and no request waits, and reports whether it did.
func (s *Semaphore) TryAcquire() bool {
	return s.waiting.Load() == 0 && s.slots.takeOrCollect(s.processors.current(), 1)
}

// enqueue adds the request to the queue. It returns a Refusal if the expected wait is too long for the request's
// deadline. If the queue is full, it refuses the request that is evicted, which may be the new one.
func (s *Semaphore) enqueue(now time.Time, w *Waiter) error {
	w.done = make(chan struct{})
	s.mu.Lock()
	defer s.mu.Unlock()
	expectedWait := s.timeToServe(s.queue.Position(w.Workspace, w.Weight))
	if now.Add(expectedWait + w.Needs).After(w.Deadline) {
		return refuse(ErrDeadline, expectedWait)
	}
	if evicted := s.queue.Push(w); evicted != nil {
		evicted.refusal = refuse(ErrQueueFull, expectedWait)
		close(evicted.done)
	}
	s.waiting.Store(int32(s.queue.Len()))
	return nil
}

// timeToServe returns the expected time until n queued requests have got a slot.
func (s *Semaphore) timeToServe(n float64) time.Duration {
	meanHold := math.Float64frombits(s.meanHold.Load())
	return time.Duration(meanHold * n / float64(max(s.limit.Load(), 1)))
}

// backlogTime returns the expected time until all waiting requests have got a slot.
func (s *Semaphore) backlogTime() time.Duration {
	return s.timeToServe(float64(s.waiting.Load()))
}

// Release releases a slot. held is the time since the slot was acquired.
func (s *Semaphore) Release(now time.Time, held time.Duration) {
	s.recordHoldTime(held)
	s.slots.give(s.processors.current(), 1)
	if s.waiting.Load() > 0 {
		s.serve(now)
	}
}

// recordHoldTime adds a sample to the mean hold time.
func (s *Semaphore) recordHoldTime(held time.Duration) {
	bits := s.meanHold.Load()
	old := math.Float64frombits(bits)
	next := float64(held)
	if bits != 0 {
		next = old + holdTimeWeight*(next-old)
	}
	// If another goroutine changes the mean at the same time, this sample is lost, which the average tolerates.
	s.meanHold.CompareAndSwap(bits, math.Float64bits(next))
}

// serve gives free slots to waiting requests, and refuses requests that can't finish before their deadline any more.
func (s *Semaphore) serve(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.queue.Len() > 0 && s.slots.takeOrCollect(s.processors.current(), 1) {
		w := s.queue.Pop()
		if w.isTooLate(now) {
			s.queue.Unpop(w)
			s.slots.give(s.processors.current(), 1)
			w.refusal = refuse(ErrDeadline, s.backlogTime())
		}
		close(w.done)
	}
	s.waiting.Store(int32(s.queue.Len()))
}
