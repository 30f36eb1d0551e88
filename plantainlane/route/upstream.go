package route

import (
	"math"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"plantainlane/wire"
)

const (
	// latencyRiseWeight is the weight of a latency sample above the moving average.
	latencyRiseWeight = 0.25
	// latencyFallWeight is the weight of a latency sample that is not above the moving average.
	latencyFallWeight = 0.1
	// sharedLoadWeight is the weight of a report that another instance passed on. There are many of these.
	sharedLoadWeight = 0.4
	// sharedLoadValid is the age of the newest of these from which the other load decays at each Review, by sharedLoadDecay.
	sharedLoadValid = time.Second
	sharedLoadDecay = 0.1
	// otherLoadWeight is the weight of a new load report in the moving average of the other load.
	otherLoadWeight = 0.2
)

// info holds an upstream's last announcement. It is never changed once published.
type info struct {
	id          string
	address     string
	zone        string
	incarnation int
	// capacity is the announced capacity, without the lower bound of upstream.capacity.
	capacity     int
	announcement wire.Announcement
	// modelKey is the same for upstreams that serve the same models in the same order.
	modelKey string
}

// upstreamState is whether an upstream accepts work.
type upstreamState = int32

const (
	// accepting upstreams accept work.
	accepting upstreamState = iota
	// probation follows an ejection until one call has succeeded or was refused. It allows one call in flight.
	probation
	// leaving upstreams permanently accept no new work.
	leaving
)

// upstream holds the known state of one incarnation of an upstream. Times are in nanoseconds since Balancer.start. The
// fields that Pick reads of each candidate fill the first 64 bytes, one cache line.
type upstream struct {
	// inFlight is the number of calls that this instance has in flight.
	inFlight atomic.Int32
	// failureRun is the number of consecutive failures up to now.
	failureRun atomic.Int32
	// capacity is the number of calls that the upstream can run concurrently, at least 1.
	capacity atomic.Int32
	// state is an upstreamState.
	state atomic.Int32
	// otherLoad is the moving average of the load, in calls, that this instance did not cause, as float32 bits. It can
	// be below 0 because a load report and the calls of this instance that are subtracted are of different times.
	otherLoad atomic.Uint32
	// medianLatency is the median latency of the upstreams that serve the same models, in nanoseconds, as float32 bits;
	// 0 if unknown.
	medianLatency atomic.Uint32
	// latency is the moving average of the latency at the normal pace in nanoseconds, as float32 bits; 0 without a sample.
	latency atomic.Uint32
	// pace is a paceReport; 0 while the pace is unknown.
	pace atomic.Uint32
	// lastProgress is the last time at which a call ended or progressed, or a call started while none was in flight.
	// Cancelled calls do not count as ended.
	lastProgress atomic.Int64
	// slowStartAt is when slow start began.
	slowStartAt atomic.Int64
	// ejectedUntil is when the ejection period ends; 0 while the upstream is not ejected.
	ejectedUntil atomic.Int64
	// restsUntil is the time until which the upstream's limit allows no request.
	restsUntil atomic.Int64

	info    atomic.Pointer[info]
	service *service
	// samples is the number of latency samples since the last ejection ended.
	samples atomic.Int32
	// ejections is the number of ejections that still lengthen the next one, see decayEjections.
	ejections atomic.Int32
	// averageInFlight is the moving average of inFlight, as float32 bits. Only Review writes it.
	averageInFlight atomic.Uint32
	// evacuated is set while the upstream's availability zone is evacuated. It is then in no pool.
	evacuated atomic.Bool
	// healthySince is when the last ejection ended or when ejections was last lowered, whichever is later. Only Review
	// uses this field.
	healthySince int64
	// failuresSinceReview is the number of failures since the previous Review.
	failuresSinceReview atomic.Int32
	// samplesAtReview is the value of samples at the previous Review. Only Review uses it.
	samplesAtReview int32
	// coldUntil is when the upstream's warm-up ends; 0 while it is warm. Review resets this field.
	coldUntil atomic.Int64
	// sharedAt is when the newest load with a pace was reported, to this instance or another one; 0 if there was none.
	sharedAt atomic.Int64
}

// newUpstream returns an upstream in slow start whose other load is the whole reported load.
func newUpstream(s *service, a wire.Announcement, now int64) *upstream {
	u := &upstream{service: s}
	u.slowStartAt.Store(now)
	u.lastProgress.Store(now)
	u.otherLoad.Store(math.Float32bits(float32(a.Load.InFlight + a.Load.Queued)))
	if a.Load.Pace > 0 {
		u.observePace(now, a.Load.Pace)
	}
	u.setAnnouncement(a)
	return u
}

// setAnnouncement publishes the upstream's announcement, sets the capacity, and marks the upstream as leaving if the
// announcement does.
func (u *upstream) setAnnouncement(a wire.Announcement) {
	u.info.Store(&info{
		id: a.ID, address: a.Address, zone: a.Zone, incarnation: a.Incarnation, capacity: a.Capacity,
		announcement: a, modelKey: strings.Join(a.Models, "\n"),
	})
	u.capacity.Store(int32(min(max(a.Capacity, 1), math.MaxInt32)))
	if a.Leaving {
		u.state.Store(leaving)
	}
}

// observeLoad adds a reported load, without the calls of this instance, to the moving average otherLoad, and records the
// reported pace.
func (u *upstream) observeLoad(now int64, load wire.UpstreamLoad) {
	sample := float64(load.InFlight+load.Queued) - float64(math.Float32frombits(u.averageInFlight.Load()))
	old := float64(math.Float32frombits(u.otherLoad.Load()))
	u.otherLoad.Store(math.Float32bits(float32(old + otherLoadWeight*(sample-old))))
	if load.Pace > 0 {
		u.observePace(now, load.Pace)
		u.sharedAt.Store(now)
	}
}

// observeShared records a load that another instance received from the upstream at a time, unless a newer one is known.
func (u *upstream) observeShared(at int64, load wire.UpstreamLoad) {
	if at <= u.sharedAt.Load() {
		return
	}
	sample := float64(load.InFlight+load.Queued) - float64(math.Float32frombits(u.averageInFlight.Load()))
	old := float64(math.Float32frombits(u.otherLoad.Load()))
	u.otherLoad.Store(math.Float32bits(float32(old + sharedLoadWeight*(sample-old))))
	u.sharedAt.Store(at)
	if load.Pace > 0 {
		u.observePace(at, load.Pace)
	}
}

// decayShared lowers an other load of which no instance has heard for sharedLoadValid, since an upstream that isn't chosen reports
// nothing.
func (u *upstream) decayShared(now int64) {
	at := u.sharedAt.Load()
	if at == 0 || now-at < int64(sharedLoadValid) {
		return
	}
	old := math.Float32frombits(u.otherLoad.Load())
	u.otherLoad.Store(math.Float32bits(old * (1 - sharedLoadDecay)))
}

// load returns the upstream's load in calls: the calls in flight of this instance plus the other load if above 0.
func (u *upstream) load() float64 {
	return float64(u.inFlight.Load()) + max(float64(math.Float32frombits(u.otherLoad.Load())), 0)
}

// startCall counts a call as in flight.
func (u *upstream) startCall(now int64) {
	if u.inFlight.Add(1) == 1 {
		u.lastProgress.Store(now)
	}
}

// meanLatency returns the moving average of the latency at the normal pace in nanoseconds; 0 without a sample.
func (u *upstream) meanLatency() float64 { return float64(math.Float32frombits(u.latency.Load())) }

// observeLatency adds a sample in nanoseconds, at the normal pace, to the moving average of the latency.
func (u *upstream) observeLatency(normal float64) {
	for {
		bits := u.latency.Load()
		old := float64(math.Float32frombits(bits))
		weight := latencyFallWeight
		if normal > old {
			weight = latencyRiseWeight
		}
		if bits == 0 {
			weight = 1
		}
		// The average stays at least 1 ns, because 0 stands for no sample.
		next := max(old+weight*(normal-old), 1)
		if u.latency.CompareAndSwap(bits, math.Float32bits(float32(next))) {
			u.samples.Add(1)
			return
		}
	}
}

// slowdown returns the ratio of the upstream's latency to the median latency of the upstreams that serve the same
// models, both at the normal pace. While calls are in flight, the time since the last progress counts as latency if it is
// longer. The ratio is 1 while the median is unknown.
func (u *upstream) slowdown(now int64) float64 {
	median := float64(math.Float32frombits(u.medianLatency.Load()))
	if median == 0 {
		return 1
	}
	latency := u.meanLatency()
	if u.inFlight.Load() > 0 {
		latency = max(latency, atNormalPace(time.Duration(now-u.lastProgress.Load()), u.paceAt(now)))
	}
	return latency / median
}

// serves reports whether the upstream serves the model, given as in Query.Model.
func (u *upstream) serves(model string) bool {
	if model == "" {
		return true
	}
	models := u.info.Load().announcement.Models
	return slices.ContainsFunc(models, func(m string) bool { return m == model || bareName(m) == model })
}

// bareName returns the name of a model without its version.
func bareName(model string) string {
	name, _, _ := strings.Cut(model, "@")
	return name
}
