package engine

import (
	"context"
	"math/rand/v2"
	"time"

	"plantainlane/wire"
)

// pendingEvent is a cache event that hasn't been published yet.
type pendingEvent struct {
	due      time.Time
	sequence int
	event    wire.CacheEvent
	lost     bool // The event is never published.
}

// eventQueue numbers cache events and holds them until they are due.
type eventQueue struct {
	sequence int            // Sequence number of the latest event.
	pending  []pendingEvent // By sequence number.
	random   *rand.Rand
}

// add numbers events and queues them for publication at due. Each event is lost with probability loss.
func (q *eventQueue) add(due time.Time, loss float64, events []wire.CacheEvent) {
	for _, ev := range events {
		q.sequence++
		q.pending = append(q.pending, pendingEvent{
			due: due, sequence: q.sequence, event: ev, lost: q.random.Float64() < loss,
		})
	}
}

// takeDue removes the due events and returns them without the lost ones, in batches of consecutive sequence numbers.
func (q *eventQueue) takeDue(now time.Time) []wire.CacheEvents {
	var batches []wire.CacheEvents
	next := 0
	for len(q.pending) > 0 && !q.pending[0].due.After(now) {
		p := q.pending[0]
		q.pending = q.pending[1:]
		if p.lost {
			continue
		}
		if len(batches) == 0 || p.sequence != next {
			batches = append(batches, wire.CacheEvents{FirstSequence: p.sequence})
		}
		last := &batches[len(batches)-1]
		last.Events = append(last.Events, p.event)
		next = p.sequence + 1
	}
	return batches
}

// DueEvents removes the cache events that are due and returns them in batches, to be published in this order.
func (e *Engine) DueEvents() []wire.CacheEvents {
	e.mu.Lock()
	defer e.mu.Unlock()
	batches := e.events.takeDue(time.Now())
	for i := range batches {
		batches[i].Upstream, batches[i].Incarnation = e.cfg.ID, e.cfg.Incarnation
	}
	return batches
}

// PublishEvents calls publish for each batch of due cache events until ctx ends.
func (e *Engine) PublishEvents(ctx context.Context, publish func(context.Context, wire.CacheEvents)) {
	tick := time.NewTicker(e.cfg.EventInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		for _, batch := range e.DueEvents() {
			publish(ctx, batch)
		}
	}
}
