// Package timeline records the newest events of this instance in a ring buffer, and also writes them to the log if the
// log's verbosity is at least logLevel.
package timeline

import (
	"sync"
	"time"

	"k8s.io/klog/v2"

	"plantainlane/wire"
	wiretimeline "plantainlane/wire/timeline"
)

// logLevel is the lowest log verbosity at which events are written to the log.
const logLevel = 2

// Ring is a ring buffer of the newest events. It is safe for concurrent use.
type Ring struct {
	clock       *wiretimeline.Clock
	instance    string
	incarnation int

	mu sync.Mutex
	// events holds up to size events. Once the ring is full, the oldest event is at next.
	events []wire.Event
	// size is the maximum number of events.
	size int
	// next is the index that the next event overwrites once the ring is full; 0 until then.
	next int
	// dropped counts the events that were overwritten.
	dropped int
}

// New returns an empty ring for up to size events. A ring of size 0 records and logs nothing. The events are stamped
// with the instance, its incarnation and the time of clock.
func New(clock *wiretimeline.Clock, instance string, incarnation, size int) *Ring {
	return &Ring{clock: clock, instance: instance, incarnation: incarnation, size: size}
}

// ownPointers replaces the pointers of an event by pointers to copies. The event would keep what they point into, such as a
// whole change set, as long as it is in the ring.
func ownPointers(e *wire.Event) {
	for _, text := range []**string{&e.Attempt, &e.Detail, &e.Request, &e.Upstream, &e.Workspace} {
		*text = copyOf(*text)
	}
	e.Revision = copyOf(e.Revision)
}

// copyOf returns a pointer to a copy of a value; nil for nil.
func copyOf[T any](value *T) *T {
	if value == nil {
		return nil
	}
	c := *value
	return &c
}

// Record stamps a copy of an event and adds it to the ring. A full ring drops its oldest event.
func (r *Ring) Record(now time.Time, e wire.Event) {
	if r.size == 0 {
		return
	}
	e.Instance, e.Incarnation = r.instance, r.incarnation
	ownPointers(&e)
	r.mu.Lock()
	e.Time = r.clock.Now(now)
	if len(r.events) < r.size {
		r.events = append(r.events, e)
	} else {
		r.events[r.next] = e
		r.next = (r.next + 1) % r.size
		r.dropped++
	}
	r.mu.Unlock()
	if klog.V(logLevel).Enabled() {
		klog.V(logLevel).InfoS("event", "event", e)
	}
}

// Select returns the events that match a query, oldest first, and the number of events dropped so far, whether or not
// they match. If more events match than the query's limit allows, Select returns the newest of them.
func (r *Ring) Select(q wire.TimelineQuery) wire.TimelineAnswer {
	r.mu.Lock()
	all := make([]wire.Event, 0, len(r.events))
	all = append(all, r.events[r.next:]...)
	all = append(all, r.events[:r.next]...)
	dropped := r.dropped
	r.mu.Unlock()
	return wire.TimelineAnswer{Events: wiretimeline.Select(q, all), Dropped: dropped}
}
