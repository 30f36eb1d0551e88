package batch

import (
	"context"
	"time"

	"k8s.io/klog/v2"
)

const (
	// measurePeriod is how often a new owner measures the free memory of the upstreams, until the results that it doesn't
	// know have expired.
	measurePeriod = 500 * time.Millisecond
	// measureTimeout bounds a measurement. A new owner sends no call to an upstream during the first one.
	measureTimeout = 100 * time.Millisecond
)

// takeOver prepares the queue of a new owner, and of one that stood still: the upstreams hold results that it doesn't
// know, and would refuse calls whose results don't fit into the rest of their memory.
func (o *owner) takeOver(now time.Time) {
	o.measureUntil, o.nextMeasure = now.Add(o.queue.spec.KeepFor), now
	o.queue.HoldCalls(now.Add(measureTimeout))
}

// measureMemory starts to measure the free memory of all upstreams each measurePeriod until measureUntil.
func (o *owner) measureMemory(ctx context.Context, now time.Time) {
	if now.Before(o.nextMeasure) || now.After(o.measureUntil) || o.queue.spec.MemoryBytes <= 0 {
		return
	}
	o.nextMeasure = now.Add(measurePeriod)
	for _, u := range o.queue.upstreams {
		go o.measure(ctx, &Upstream{ID: u.ID, Address: u.Address})
	}
}

// measure measures the free memory of an upstream and reports it to the owner's main loop.
func (o *owner) measure(ctx context.Context, u *Upstream) {
	callCtx, cancel := context.WithTimeout(ctx, measureTimeout)
	defer cancel()
	low, high, err := o.executor.FreeMemory(callCtx, u)
	o.send(ctx, measured{upstream: u, low: low, high: high, err: err})
}

// recordMemory records a measurement.
func (o *owner) recordMemory(now time.Time, m measured) {
	if m.err != nil {
		klog.V(1).InfoS("free memory not known", "service", o.service, "upstream", m.upstream.ID, "err", m.err)
		return
	}
	o.queue.SetFreeMemory(now, m.upstream.ID, m.low, m.high)
}

// HoldCalls lets the queue send no calls until a time, or until the free memory of their upstream is set.
func (q *Queue) HoldCalls(until time.Time) {
	for _, u := range q.upstreams {
		u.heldUntil = until
	}
}

// SetFreeMemory sets the bounds of an upstream's free result memory, in bytes. What neither the known results nor those
// of the calls in flight occupy of the rest is occupied by unknown results.
func (q *Queue) SetFreeMemory(now time.Time, upstream string, low, high int) {
	u := q.upstreams[upstream]
	if u == nil {
		return
	}
	u.heldUntil = time.Time{}
	rest := q.spec.MemoryBytes - u.used - u.sending
	u.setUnknown(now, min(max(u.unknown, rest-high), rest-low))
}

// learnFromRefusal estimates the memory that unknown results occupied when an upstream ran a call and lacked memory for
// most of its results: all that neither the known results, when the call was sent, nor the new ones occupied.
func (q *Queue) learnFromRefusal(now time.Time, c *Call, results []Result) {
	completed := 0
	for i, r := range results {
		if r.Handle != "" {
			completed += c.Items[i].Job.Bytes
		}
	}
	c.Upstream.setUnknown(now, q.spec.MemoryBytes-c.usedBefore-completed)
}

// setUnknown sets the memory that unknown results occupy.
func (u *Upstream) setUnknown(now time.Time, bytes int) {
	u.measuredAt, u.measuredUnknown = now, max(bytes, 0)
	u.unknown = u.measuredUnknown
}

// updateUnknown updates the memory that unknown results occupy. They were made at any time within their time to live
// before the measurement, and so expire at a constant rate.
func (q *Queue) updateUnknown(now time.Time) {
	for _, u := range q.upstreams {
		if u.unknown == 0 {
			continue
		}
		left := 1 - float64(now.Sub(u.measuredAt))/float64(max(q.spec.KeepFor, 1))
		u.unknown = int(max(left, 0) * float64(u.measuredUnknown))
	}
}

// bytesOf returns the approximate size of the results of pieces, in bytes.
func bytesOf(items []Item) int {
	n := 0
	for _, item := range items {
		n += item.Job.Bytes
	}
	return n
}
