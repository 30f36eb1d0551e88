package fake

import (
	"context"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// errQueueFull is returned for a call when the maximum number of calls waits for a slot.
var errQueueFull = errors.New("queue is full")

// semaphore limits the calls that run and the calls that wait for a slot. Waiting calls acquire slots in the order of
// their arrival.
type semaphore struct {
	slots     chan struct{}
	maxQueued int64
	queued    atomic.Int64
}

func newSemaphore(capacity, maxQueued int) *semaphore {
	return &semaphore{slots: make(chan struct{}, max(capacity, 1)), maxQueued: int64(maxQueued)}
}

// acquire waits for a slot. It returns errQueueFull if too many calls wait, and the error of ctx if ctx ends first.
func (s *semaphore) acquire(ctx context.Context) error {
	select {
	case s.slots <- struct{}{}:
		return nil
	default:
	}
	if s.queued.Add(1) > s.maxQueued {
		s.queued.Add(-1)
		return errQueueFull
	}
	defer s.queued.Add(-1)
	select {
	case s.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// release returns a slot.
func (s *semaphore) release() { <-s.slots }

// inFlight returns the number of used slots.
func (s *semaphore) inFlight() int { return len(s.slots) }

// waiting returns the number of calls that wait for a slot.
func (s *semaphore) waiting() int { return int(s.queued.Load()) }
