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
	// ReviewInterval is the period at which Balancer.Review is to be called.
	ReviewInterval = 250 * time.Millisecond

	// outlierSlowdown is the slowdown from which an upstream is ejected. The slowdown is the ratio of the upstream's
	// latency to the median latency of the upstreams that serve the same models.
	outlierSlowdown = 4
	// minOutlierSamples is the number of latency samples from which an upstream can be ejected for its slowdown.
	minOutlierSamples = 5
	// minMedianMembers is the number of upstreams with latency samples from which a median is computed.
	minMedianMembers = 3
	// maxMedianMembers bounds the number of upstreams that a median is computed over.
	maxMedianMembers = 256
	// maxPeriodDoublings bounds how often repeated ejections double the ejection period.
	maxPeriodDoublings = 6
	// latencyDecay is the fraction by which each Review reduces the difference between the latency of an idle upstream
	// and the median, if the latency is higher.
	latencyDecay = 0.05
	// inFlightWeight is the weight of the current calls in flight in their moving average at each Review.
	inFlightWeight = 0.5
)

// DefaultPolicy applies to services without an upstream policy.
var DefaultPolicy = declaration.DefaultUpstreamPolicy

// currentPolicy returns the service's policy, or DefaultPolicy if it has none.
func (s *service) currentPolicy() *wire.UpstreamPolicy {
	if p := s.policy.Load(); p != nil {
		return p
	}
	return &DefaultPolicy
}

// acquireEjectionSlot reports whether the policy allows the service one more ejected upstream, and counts it if so.
// It allows at least one unless MaxEjectedShare is 0, but never all members of the service.
func (s *service) acquireEjectionSlot(p *wire.UpstreamPolicy) bool {
	size := s.memberCount.Load()
	allowed := min(max(int32(p.MaxEjectedShare*float64(size)), 1), size-1)
	if p.MaxEjectedShare <= 0 {
		return false
	}
	for {
		n := s.ejectedCount.Load()
		if n >= allowed {
			return false
		}
		if s.ejectedCount.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// ejectOnFailures ejects the upstream if its run of consecutive failures has reached both the policy's
// EjectAfterFailures (1 on probation) and runLimits.outlier.
func (u *upstream) ejectOnFailures(now int64) {
	p := u.service.currentPolicy()
	ejectAfter := int32(max(p.EjectAfterFailures, 1))
	if u.state.Load() == probation {
		ejectAfter = 1
	}
	ejectAfter = max(ejectAfter, u.service.runLimits.Load().outlier)
	if u.failureRun.Load() >= ejectAfter {
		u.eject(now, p)
	}
}

// eject ejects the upstream for the policy's period, doubled for each earlier ejection that still counts. It does
// nothing if the upstream is ejected, leaving or in an evacuated zone, or if too many upstreams of the service are ejected.
func (u *upstream) eject(now int64, p *wire.UpstreamPolicy) {
	if u.ejectedUntil.Load() != 0 || u.state.Load() == leaving || u.evacuated.Load() || !u.service.acquireEjectionSlot(p) {
		return
	}
	doublings := min(u.ejections.Add(1)-1, maxPeriodDoublings)
	period := time.Duration(p.EjectForMs) * time.Millisecond << doublings
	if !u.ejectedUntil.CompareAndSwap(0, now+int64(period)) {
		u.service.ejectedCount.Add(-1)
		return
	}
	klog.InfoS("upstream ejected", "upstream", u.info.Load().id, "service", u.service.name, "failures", u.failureRun.Load(),
		"slowness", u.slowdown(now), "inFlight", u.inFlight.Load(), "forMs", period.Milliseconds())
	if u.state.Load() == leaving || u.evacuated.Load() {
		u.endEjection()
	}
}

// endEjection ends the upstream's ejection, if it is ejected, and frees its ejection slot.
func (u *upstream) endEjection() {
	if until := u.ejectedUntil.Load(); until != 0 && u.ejectedUntil.CompareAndSwap(until, 0) {
		u.service.ejectedCount.Add(-1)
	}
}

// readmit ends an ejection. The upstream is then on probation and in slow start. Its failure run and latency are reset;
// the count of its ejections is kept.
func (u *upstream) readmit(now int64) {
	klog.InfoS("upstream readmitted", "upstream", u.info.Load().id, "service", u.service.name, "ejections", u.ejections.Load())
	u.failureRun.Store(0)
	u.samples.Store(0)
	u.latency.Store(0)
	u.lastProgress.Store(now)
	u.slowStartAt.Store(now)
	u.healthySince = now
	u.state.CompareAndSwap(accepting, probation)
	u.endEjection()
}

// Review recomputes the run limits, median latencies and capacity of each service, ejects upstreams whose latency is
// an outlier, readmits upstreams whose ejection period has ended, and removes those that have said that they are leaving.
func (b *Balancer) Review(now time.Time) {
	at := b.since(now)
	left := edits{}
	defer b.publish(left)
	for _, s := range *b.services.Load() {
		s.reviewRunLimits()
		medians := s.medians()
		for _, u := range s.members {
			if u.state.Load() == leaving {
				left.of(s).add(u)
				b.markLeaving(u)
				continue
			}
			u.review(at, medians[u.info.Load().modelKey])
		}
		capacity := s.measureCapacity()
		s.capacity.Store(&capacity)
	}
	if len(b.evacuated) > 0 {
		b.markEvacuatedServices()
	}
}

// medians returns the median latency, in nanoseconds, of the upstreams that serve the same models, by info.modelKey.
// Only upstreams that have latency samples and are not ejected count. A set of models served by fewer than
// minMedianMembers of them has no median.
func (s *service) medians() map[string]float64 {
	latencies := map[string][]float64{}
	for _, u := range s.members {
		key := u.info.Load().modelKey
		latency := u.meanLatency()
		if latency > 0 && u.ejectedUntil.Load() == 0 && len(latencies[key]) < maxMedianMembers {
			latencies[key] = append(latencies[key], latency)
		}
	}
	medians := map[string]float64{}
	for key, list := range latencies {
		if len(list) >= minMedianMembers {
			slices.Sort(list)
			medians[key] = list[(len(list)-1)/2]
		}
	}
	return medians
}

// review does the part of Review that concerns this upstream. median is the median latency of the upstreams with the
// same models, in nanoseconds; 0 if unknown.
func (u *upstream) review(now int64, median float64) {
	u.dropOldPace(now)
	u.decayShared(now)
	u.endWarmup(now)
	u.medianLatency.Store(math.Float32bits(float32(median)))
	inFlight := u.inFlight.Load()
	average := math.Float32frombits(u.averageInFlight.Load())
	u.averageInFlight.Store(math.Float32bits(average + inFlightWeight*(float32(inFlight)-average)))
	p := u.service.currentPolicy()
	if until := u.ejectedUntil.Load(); until != 0 {
		if until <= now {
			u.readmit(now)
		}
		return
	}
	if median > 0 && u.samples.Load() >= minOutlierSamples && u.slowdown(now) >= outlierSlowdown {
		u.eject(now, p)
		return
	}
	if inFlight == 0 {
		u.decayLatency(median)
	}
	u.decayEjections(now, p)
}

// decayLatency moves the latency of an idle upstream towards the median. Without this, an upstream that is not chosen
// for its high latency would get no call that could show that it has recovered.
func (u *upstream) decayLatency(median float64) {
	bits := u.latency.Load()
	old := float64(math.Float32frombits(bits))
	if old > median && median > 0 {
		u.latency.CompareAndSwap(bits, math.Float32bits(float32(old+latencyDecay*(median-old))))
	}
}

// decayEjections lowers the count of ejections by one if there is no failure run and healthySince is longer ago than
// twice the ejection period for the current count.
func (u *upstream) decayEjections(now int64, p *wire.UpstreamPolicy) {
	n := u.ejections.Load()
	if n == 0 || u.failureRun.Load() > 0 {
		return
	}
	period := int64(time.Duration(p.EjectForMs)*time.Millisecond) << min(n-1, maxPeriodDoublings)
	if now-u.healthySince > 2*period {
		u.ejections.Add(-1)
		u.healthySince = now
	}
}

// Ejected reports whether the upstream is ejected, and returns the number of calls that this instance has in flight to
// it. An unknown upstream is not ejected and has no calls in flight.
func (b *Balancer) Ejected(id string) (ejected bool, inFlight int) {
	u := b.index.get(id)
	if u == nil {
		return false, 0
	}
	return u.ejectedUntil.Load() != 0, int(u.inFlight.Load())
}
