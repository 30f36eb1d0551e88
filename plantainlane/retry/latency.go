package retry

import (
	"math"
	"math/bits"
	"sync/atomic"
	"time"
)

const (
	// windowLength is the length of each of the two windows whose samples quantiles are computed from.
	windowLength = 5 * time.Second
	// minSamples is the least number of samples for computing quantiles.
	minSamples = 20

	// Each octave, a range of latencies from one power of two to the next, is divided into subBuckets buckets.
	subBuckets   = 8
	lowestOctave = 10 // 2^10 ns, about a microsecond
	octaves      = 28 // up to 2^38 ns, about four and a half minutes
	buckets      = subBuckets * octaves
)

// histogram counts latencies in buckets. The bounds of a bucket differ by at most an eighth.
type histogram [buckets]atomic.Uint32

// bucketOf returns the bucket that counts a latency. The three bits after the highest one choose one of the subBuckets
// buckets of an octave. Latencies below the lowest octave count in the first bucket, those above the highest in the
// last.
func bucketOf(d time.Duration) int {
	n := uint64(max(d, 1<<lowestOctave))
	octave := bits.Len64(n) - 1
	sub := int(n>>(octave-3)) & (subBuckets - 1)
	return min((octave-lowestOctave)*subBuckets+sub, buckets-1)
}

// upperBound returns the upper bound of a bucket.
func upperBound(bucket int) time.Duration {
	octave := bucket/subBuckets + lowestOctave
	return time.Duration(subBuckets+bucket%subBuckets+1) << (octave - 3)
}

// Latency estimates quantiles of the latencies of the last five to ten seconds. Its methods are safe for concurrent
// use, except that only one goroutine may call Review.
type Latency struct {
	// windows are the current and the previous window; current is the index of the current one.
	windows [2]histogram
	current atomic.Int32
	// rotatedAt is when the current window was started.
	rotatedAt time.Time

	// median, high (the 90th percentile) and hedgeDelay (the hedge quantile) are in nanoseconds; 0 while unknown.
	median     atomic.Int64
	high       atomic.Int64
	hedgeDelay atomic.Int64
}

// Observe adds a latency to the current window.
func (l *Latency) Observe(d time.Duration) {
	l.windows[l.current.Load()][bucketOf(d)].Add(1)
}

// Review recomputes the quantiles and starts a new window when the current one is complete. Only one goroutine may call
// Review. With no samples it resets the quantiles to 0, and with fewer than minSamples it keeps them. hedgeQuantile is
// the quantile that becomes the hedge delay, from 0 to 1.
func (l *Latency) Review(now time.Time, hedgeQuantile float64) {
	var counts [buckets]uint32
	total := uint32(0)
	for i := range counts {
		counts[i] = l.windows[0][i].Load() + l.windows[1][i].Load()
		total += counts[i]
	}
	if total >= minSamples {
		l.median.Store(int64(quantile(&counts, total, 0.5)))
		l.high.Store(int64(quantile(&counts, total, 0.9)))
		l.hedgeDelay.Store(int64(quantile(&counts, total, hedgeQuantile)))
	}
	if total == 0 {
		// The latency of a service that gets no calls may have changed since the last one.
		l.median.Store(0)
		l.high.Store(0)
		l.hedgeDelay.Store(0)
	}
	if now.Sub(l.rotatedAt) >= windowLength {
		next := 1 - l.current.Load()
		for i := range l.windows[next] {
			l.windows[next][i].Store(0)
		}
		l.current.Store(next)
		l.rotatedAt = now
	}
}

// quantile returns the upper bound of the bucket that contains the quantile q of total counted latencies.
func quantile(counts *[buckets]uint32, total uint32, q float64) time.Duration {
	rank := uint32(math.Ceil(q * float64(total)))
	sum := uint32(0)
	for i, n := range counts {
		if sum += n; sum >= rank && n > 0 {
			return upperBound(i)
		}
	}
	return 0
}

// Median returns the median latency; 0 while unknown.
func (l *Latency) Median() time.Duration { return time.Duration(l.median.Load()) }

// High returns the 90th percentile of the latency; 0 while unknown.
func (l *Latency) High() time.Duration { return time.Duration(l.high.Load()) }
