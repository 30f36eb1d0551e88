package retry

import (
	"math"
	"math/bits"
	"sync/atomic"
	"time"
)

const (
	// window is the length of one of the two halves that quantiles are taken over.
	window = 5 * time.Second
	// minSamples is the number of samples that a quantile needs.
	minSamples = 20

	subBuckets   = 8
	lowestOctave = 10 // about a microsecond
	octaves      = 28 // up to about four minutes
	buckets      = subBuckets * octaves
)

// histogram counts latencies in buckets whose bounds are at most an eighth apart.
type histogram [buckets]atomic.Uint32

func bucketOf(d time.Duration) int {
	n := uint64(max(d, 1<<lowestOctave))
	octave := bits.Len64(n) - 1
	sub := int(n>>(octave-3)) & (subBuckets - 1)
	return min((octave-lowestOctave)*subBuckets+sub, buckets-1)
}

// upperBound is the upper bound of a bucket.
func upperBound(bucket int) time.Duration {
	octave := bucket/subBuckets + lowestOctave
	return time.Duration(subBuckets+bucket%subBuckets+1) << (octave - 3)
}

// Latency estimates quantiles over the last five to ten seconds.
type Latency struct {
	halves  [2]histogram
	current atomic.Int32
	turned  time.Time

	median atomic.Int64
	high   atomic.Int64
	hedge  atomic.Int64
}

// Observe counts a latency.
func (l *Latency) Observe(d time.Duration) {
	l.halves[l.current.Load()][bucketOf(d)].Add(1)
}

// Review recomputes the quantiles. It belongs to one goroutine.
func (l *Latency) Review(now time.Time, hedgeQuantile float64) {
	var counts [buckets]uint32
	total := uint32(0)
	for i := range counts {
		counts[i] = l.halves[0][i].Load() + l.halves[1][i].Load()
		total += counts[i]
	}
	if total >= minSamples {
		l.median.Store(int64(quantile(&counts, total, 0.5)))
		l.high.Store(int64(quantile(&counts, total, 0.9)))
		l.hedge.Store(int64(quantile(&counts, total, hedgeQuantile)))
	}
	if total == 0 {
		// A service that nobody called may have changed.
		l.median.Store(0)
		l.high.Store(0)
		l.hedge.Store(0)
	}
	if now.Sub(l.turned) >= window {
		next := 1 - l.current.Load()
		for i := range l.halves[next] {
			l.halves[next][i].Store(0)
		}
		l.current.Store(next)
		l.turned = now
	}
}

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

// Median is the latency that half of the calls stay under; 0 while unknown.
func (l *Latency) Median() time.Duration { return time.Duration(l.median.Load()) }

// High is the latency that nine in ten calls stay under; 0 while unknown.
func (l *Latency) High() time.Duration { return time.Duration(l.high.Load()) }
