package fake

import (
	"context"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// errQueueFull refuses a call that found no place to wait.
var errQueueFull = errors.New("queue is full")

// gate lets a bounded number of calls run and a bounded number wait, first come first served.
type gate struct {
	slots  chan struct{}
	queue  int64
	queued atomic.Int64
}

func newGate(capacity, queue int) *gate {
	return &gate{slots: make(chan struct{}, max(capacity, 1)), queue: int64(queue)}
}

// enter waits for a slot. It returns errQueueFull, or the context's error if that ends first.
func (g *gate) enter(ctx context.Context) error {
	select {
	case g.slots <- struct{}{}:
		return nil
	default:
	}
	if g.queued.Add(1) > g.queue {
		g.queued.Add(-1)
		return errQueueFull
	}
	defer g.queued.Add(-1)
	select {
	case g.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (g *gate) leave() { <-g.slots }

func (g *gate) inFlight() int { return len(g.slots) }

func (g *gate) waiting() int { return int(g.queued.Load()) }
