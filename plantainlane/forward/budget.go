package forward

import (
	"sync"
	"time"
)

// Budget bounds the retries of requests at further upstreams, for each service. This instance is allowed Ratio retries
// per request of its own, plus an equal fraction of Allowance, which all instances share.
//
// Without the bound, every request would be retried when a service fails, which doubles the load of the service just
// when its remaining capacity is lowest.
type Budget struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Window is the sliding window over which requests and retries are counted. Positive.
	Window time.Duration
	// Allowance is the number of retries allowed in a window in addition to Ratio, over all instances.
	Allowance float64
	// Instances returns the number of instances that share Allowance.
	Instances func() int

	mu       sync.Mutex
	services map[string]*serviceCounts
}

// serviceCounts counts the requests and retries of a service in buckets that each cover 1/windowBuckets of the window.
type serviceCounts struct {
	requests [windowBuckets]int
	retries  [windowBuckets]int
	// bucket is the number of the newest bucket, counted from the Unix epoch. Its index is bucket % windowBuckets.
	bucket int64
}

const (
	// windowBuckets is the number of buckets in a window.
	windowBuckets = 10
	// safetyFactor is the fraction of its allowed retries that an instance uses, because the windows of instances slide
	// and no instance sees the retries of the others.
	safetyFactor = 0.7
)

// RecordRequest counts a request for a service.
func (b *Budget) RecordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts(service, now)
	c.requests[c.bucket%windowBuckets]++
}

// Take reports whether one retry of a request for a service is allowed, and counts the retry if so.
func (b *Budget) Take(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts(service, now)
	requests, retries := 0, 0
	for i := range windowBuckets {
		requests += c.requests[i]
		retries += c.retries[i]
	}
	allowed := safetyFactor * (b.Ratio*float64(requests) + b.Allowance/float64(max(b.Instances(), 1)))
	if float64(retries+1) > allowed {
		return false
	}
	c.retries[c.bucket%windowBuckets]++
	return true
}

// counts clears the buckets of a service that left the window and returns its counts. b.mu must be held.
func (b *Budget) counts(service string, now time.Time) *serviceCounts {
	if b.services == nil {
		b.services = make(map[string]*serviceCounts)
	}
	c := b.services[service]
	bucket := now.UnixNano() / int64(b.Window/windowBuckets)
	if c == nil {
		c = &serviceCounts{bucket: bucket}
		b.services[service] = c
	}
	for cleared := 0; c.bucket < bucket && cleared < windowBuckets; cleared++ {
		c.bucket++
		c.requests[c.bucket%windowBuckets], c.retries[c.bucket%windowBuckets] = 0, 0
	}
	c.bucket = max(c.bucket, bucket)
	return c
}
