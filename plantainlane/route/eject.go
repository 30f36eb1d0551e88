package route

import (
	"math"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"plantainlane/wire"
	"plantainlane/wire/declaration"
)

const (
	// ReviewEvery is how often Review is to be called.
	ReviewEvery = 250 * time.Millisecond

	// outlierSlowness is the latency, over the median of comparable upstreams, that ejects an upstream.
	outlierSlowness = 4
	// outlierSamples is the number of latency samples an upstream needs before it can be an outlier.
	outlierSamples = 5
	// minComparable is the number of upstreams with samples that a median needs.
	minComparable = 3
	// maxMedianSample bounds the upstreams that a median is taken over.
	maxMedianSample = 256
	maxDoublings    = 6
	// driftShare is the part by which the latency of an idle upstream nears the median at each review.
	driftShare      = 0.05
	ownAverageShare = 0.5
)

// DefaultPolicy applies to services without an upstream policy.
var DefaultPolicy = declaration.DefaultUpstreamPolicy

func (s *service) currentPolicy() *wire.UpstreamPolicy {
	if p := s.policy.Load(); p != nil {
		return p
	}
	return &DefaultPolicy
}

// acquireEjection takes one of the ejections that the policy allows the service at once. At least one upstream
// always stays.
func (s *service) acquireEjection(p *wire.UpstreamPolicy) bool {
	size := s.size.Load()
	allowed := min(max(int32(p.MaxEjectedShare*float64(size)), 1), size-1)
	if p.MaxEjectedShare <= 0 {
		return false
	}
	for {
		n := s.ejected.Load()
		if n >= allowed {
			return false
		}
		if s.ejected.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

func (u *upstream) ejectOnFailures(now int64) {
	p := u.service.currentPolicy()
	limit := int32(max(p.EjectAfterFailures, 1))
	if u.state.Load() == probation {
		limit = 1
	}
	limit = max(limit, u.service.streaks.Load().outlier)
	if u.failures.Load() >= limit {
		u.eject(now, p)
	}
}

func (u *upstream) eject(now int64, p *wire.UpstreamPolicy) {
	if u.ejectedUntil.Load() != 0 || u.state.Load() == leaving || !u.service.acquireEjection(p) {
		return
	}
	doublings := min(u.ejections.Add(1)-1, maxDoublings)
	period := time.Duration(p.EjectForMs) * time.Millisecond << doublings
	if !u.ejectedUntil.CompareAndSwap(0, now+int64(period)) {
		u.service.ejected.Add(-1)
		return
	}
	klog.InfoS("upstream ejected", "upstream", u.info.Load().id, "service", u.service.name, "failures", u.failures.Load(),
		"slowness", u.slowness(now), "inFlight", u.inFlight.Load(), "forMs", period.Milliseconds())
	if u.state.Load() == leaving {
		u.release()
	}
}

// release ends an ejection, if there is one.
func (u *upstream) release() {
	if until := u.ejectedUntil.Load(); until != 0 && u.ejectedUntil.CompareAndSwap(until, 0) {
		u.service.ejected.Add(-1)
	}
}

// readmit ends an ejection: the upstream is on probation and starts slowly, with nothing held against it but
// the number of its ejections.
func (u *upstream) readmit(now int64) {
	klog.InfoS("upstream readmitted", "upstream", u.info.Load().id, "service", u.service.name, "ejections", u.ejections.Load())
	u.failures.Store(0)
	u.samples.Store(0)
	u.latency.Store(0)
	u.progress.Store(now)
	u.warmFrom.Store(now)
	u.wellFrom = now
	u.state.CompareAndSwap(open, probation)
	u.release()
}

// Review recomputes the median latencies, ejects outliers and readmits upstreams whose ejection has ended.
func (b *Balancer) Review(now time.Time) {
	at := b.since(now)
	for _, s := range *b.services.Load() {
		s.reviewStreaks()
		medians := s.medians()
		for _, u := range s.members {
			u.review(at, medians[u.info.Load().modelKey])
		}
		room := s.measureRoom()
		s.room.Store(&room)
	}
}

// medians returns the median latency of upstreams that serve the same models, in nanoseconds, by their model
// key.
func (s *service) medians() map[string]float64 {
	samples := map[string][]float64{}
	for _, u := range s.members {
		key := u.info.Load().modelKey
		latency := math.Float64frombits(u.latency.Load())
		if latency > 0 && u.ejectedUntil.Load() == 0 && len(samples[key]) < maxMedianSample {
			samples[key] = append(samples[key], latency)
		}
	}
	medians := map[string]float64{}
	for key, list := range samples {
		if len(list) >= minComparable {
			slices.Sort(list)
			medians[key] = list[(len(list)-1)/2]
		}
	}
	return medians
}

func (u *upstream) review(now int64, median float64) {
	u.reference.Store(math.Float32bits(float32(median)))
	own := u.inFlight.Load()
	u.ownAverage += ownAverageShare * (float64(own) - u.ownAverage)
	p := u.service.currentPolicy()
	if until := u.ejectedUntil.Load(); until != 0 {
		if until <= now {
			u.readmit(now)
		}
		return
	}
	if median > 0 && u.samples.Load() >= outlierSamples && u.slowness(now) >= outlierSlowness {
		u.eject(now, p)
		return
	}
	if own == 0 {
		u.drift(median)
	}
	u.forgive(now, p)
}

// drift moves the latency of an idle upstream towards the median, so that one that nobody chose gets another
// try.
func (u *upstream) drift(median float64) {
	bits := u.latency.Load()
	old := math.Float64frombits(bits)
	if old > median && median > 0 {
		u.latency.CompareAndSwap(bits, math.Float64bits(old+driftShare*(median-old)))
	}
}

// forgive takes back one ejection once the upstream has been well for twice the period of the last one.
func (u *upstream) forgive(now int64, p *wire.UpstreamPolicy) {
	n := u.ejections.Load()
	if n == 0 || u.failures.Load() > 0 {
		return
	}
	period := int64(time.Duration(p.EjectForMs)*time.Millisecond) << min(n-1, maxDoublings)
	if now-u.wellFrom > 2*period {
		u.ejections.Add(-1)
		u.wellFrom = now
	}
}

// Ejected reports whether the upstream is ejected, and the calls this instance has in flight to it.
func (b *Balancer) Ejected(id string) (ejected bool, inFlight int) {
	u := b.index.get(id)
	if u == nil {
		return false, 0
	}
	return u.ejectedUntil.Load() != 0, int(u.inFlight.Load())
}
