package limit

import (
	"math"
	"sync/atomic"
	"time"

	"plantainlane/wire"
)

// milli is the number of credits for one request, token or cost unit: these credits are thousandths. Permits and slots
// are counted whole.
const milli = 1000

// bucket is a token bucket; its credits, rate and capacity are in thousandths. Times are nanoseconds since the
// Limiter's start.
type bucket struct {
	credits
	// rate is in thousandths per second, stored as the bits of a float64.
	rate atomic.Uint64
	// capacity is the burst.
	capacity atomic.Int64
	// refilledAt is the time up to which accrued credits have been added.
	refilledAt atomic.Int64
}

// set changes rate and burst. A larger burst adds no credits, and a smaller one removes the credits above it, so that
// moving a share between instances creates no credits.
func (b *bucket) set(now int64, r wire.Rate) {
	b.refill(now)
	b.rate.Store(math.Float64bits(r.PerSecond * milli))
	capacity := int64(r.Burst * milli)
	shrunk := capacity < b.capacity.Swap(capacity)
	b.setBatch(capacity)
	if shrunk {
		b.collect()
		b.clip(capacity)
	}
}

// clip reduces the credits in the pool to at most capacity.
func (b *bucket) clip(capacity int64) {
	for {
		v := b.pool.Load()
		if v <= capacity || b.pool.CompareAndSwap(v, capacity) {
			return
		}
	}
}

// refillAndTake takes n credits and reports whether it did. If there are fewer, it first refills the bucket and
// collects the credits cached in cells.
func (b *bucket) refillAndTake(now int64, processor uint32, n int64) bool {
	if b.take(processor, n) {
		return true
	}
	b.refill(now)
	return b.takeOrCollect(processor, n)
}

// empty removes all credits, including those that have accrued until now.
func (b *bucket) empty(now int64) {
	b.collect()
	b.clip(0)
	b.refilledAt.Store(now)
}

// refill adds the credits that have accrued since the last refill, up to the capacity. refilledAt advances only by the
// time in which whole credits accrued, so that frequent refills lose no fractions of credits.
func (b *bucket) refill(now int64) {
	last := b.refilledAt.Load()
	rate := math.Float64frombits(b.rate.Load())
	if now <= last {
		return
	}
	accrued := int64(float64(now-last) / float64(time.Second) * rate)
	next := now
	if accrued > 0 {
		next = last + int64(math.Ceil(float64(accrued)/rate*float64(time.Second)))
	} else if rate > 0 {
		return
	}
	if !b.refilledAt.CompareAndSwap(last, min(next, now)) || accrued == 0 {
		return
	}
	capacity := b.capacity.Load()
	free := capacity - b.total()
	if add := min(accrued, free); add > 0 {
		b.pool.Add(add)
	}
}

// waitTime returns the time until the bucket holds n credits, at most maxRetryAfter.
func (b *bucket) waitTime(n int64) time.Duration {
	rate := math.Float64frombits(b.rate.Load())
	missing := n - b.total()
	if missing <= 0 {
		return 0
	}
	if rate <= 0 {
		return maxRetryAfter
	}
	return min(time.Duration(float64(missing)/rate*float64(time.Second))+time.Microsecond, maxRetryAfter)
}
