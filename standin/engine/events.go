package engine

import (
	"context"
	"math/rand/v2"
	"time"

	"plantainlane/wire"
)

// pendingEvent waits to be published.
type pendingEvent struct {
	due      time.Time
	sequence int
	event    wire.CacheEvent
	lost     bool
}

// eventLog numbers cache events and holds them back until they are due.
type eventLog struct {
	sequence int
	pending  []pendingEvent
	random   *rand.Rand
}

func (l *eventLog) add(due time.Time, loss float64, events []wire.CacheEvent) {
	for _, ev := range events {
		l.sequence++
		l.pending = append(l.pending, pendingEvent{
			due: due, sequence: l.sequence, event: ev, lost: l.random.Float64() < loss,
		})
	}
}

// take returns the due events in runs of consecutive sequence, without the lost ones.
func (l *eventLog) take(now time.Time) []wire.CacheEvents {
	var runs []wire.CacheEvents
	next := 0
	for len(l.pending) > 0 && !l.pending[0].due.After(now) {
		p := l.pending[0]
		l.pending = l.pending[1:]
		if p.lost {
			continue
		}
		if len(runs) == 0 || p.sequence != next {
			runs = append(runs, wire.CacheEvents{FirstSequence: p.sequence})
		}
		last := &runs[len(runs)-1]
		last.Events = append(last.Events, p.event)
		next = p.sequence + 1
	}
	return runs
}

// DueEvents returns the cache events to publish now.
func (e *Engine) DueEvents() []wire.CacheEvents {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := e.events.take(time.Now())
	for i := range runs {
		runs[i].Upstream, runs[i].Incarnation = e.cfg.ID, e.cfg.Incarnation
	}
	return runs
}

// PublishEvents hands due cache events to publish until ctx ends.
func (e *Engine) PublishEvents(ctx context.Context, publish func(context.Context, wire.CacheEvents)) {
	tick := time.NewTicker(e.cfg.EventEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		for _, run := range e.DueEvents() {
			publish(ctx, run)
		}
	}
}
