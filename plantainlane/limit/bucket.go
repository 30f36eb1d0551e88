package limit

import (
	"math"
	"sync/atomic"
	"time"

	"plantainlane/wire"
)

// milli is the number of credits for one request or token.
const milli = 1000

// bucket is a token bucket in thousandths. Times are nanoseconds since the Limiter's start.
type bucket struct {
	credits
	// rate in thousandths a second, as float bits.
	rate     atomic.Uint64
	capacity atomic.Int64
	filled   atomic.Int64
}

// set changes rate and burst. A larger burst adds nothing at once, and a smaller one takes away what is over
// it, so that moving a share between instances creates no credits.
func (b *bucket) set(now int64, r wire.Rate) {
	b.refill(now)
	b.rate.Store(math.Float64bits(r.PerSecond * milli))
	capacity := int64(r.Burst * milli)
	shrunk := capacity < b.capacity.Swap(capacity)
	b.setSize(capacity)
	if shrunk {
		b.collect()
		b.clip(capacity)
	}
}

func (b *bucket) clip(capacity int64) {
	for {
		v := b.centre.Load()
		if v <= capacity || b.centre.CompareAndSwap(v, capacity) {
			return
		}
	}
}

// takeAt takes n credits, filling the bucket and calling in what cells hold when needed.
func (b *bucket) takeAt(now int64, at uint32, n int64) bool {
	if b.take(at, n) {
		return true
	}
	b.refill(now)
	return b.takeAll(at, n)
}

// empty takes all credits away. What would have accrued until now is lost.
func (b *bucket) empty(now int64) {
	b.collect()
	b.clip(0)
	b.filled.Store(now)
}

// refill adds what has accrued since the last time, up to the burst.
func (b *bucket) refill(now int64) {
	last := b.filled.Load()
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
	if !b.filled.CompareAndSwap(last, min(next, now)) || accrued == 0 {
		return
	}
	capacity := b.capacity.Load()
	room := capacity - b.total()
	if add := min(accrued, room); add > 0 {
		b.centre.Add(add)
	}
}

// wait is how long the bucket takes to gain n credits.
func (b *bucket) wait(n int64) time.Duration {
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
