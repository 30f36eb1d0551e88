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
	latencyRise = 0.25
	latencyFall = 0.1
	// othersShare is the weight of a new report against the ones before it.
	othersShare = 0.2
)

// info is what an upstream announced of itself. It is never changed once published.
type info struct {
	id          string
	address     string
	zone        string
	incarnation int
	capacity    int
	row         wire.Announcement
	modelKey    string
}

// upstreamState says whether an upstream takes work.
type upstreamState = int32

const (
	// open upstreams take work.
	open upstreamState = iota
	// probation follows an ejection until one call has succeeded.
	probation
	// leaving upstreams take no new work for good.
	leaving
)

// upstream holds what is known of one incarnation of an upstream. Times are nanoseconds since the
// Balancer's start. What Pick reads of a candidate fills the first 64 bytes, one cache line.
type upstream struct {
	// inFlight counts the calls that this instance has in flight.
	inFlight atomic.Int32
	// failures counts consecutive failures.
	failures atomic.Int32
	// capacity is the number of calls the upstream works on at once, at least 1.
	capacity atomic.Int32
	state    atomic.Int32
	// others is the smoothed load that this instance did not cause, as float32 bits. Chance may make it less
	// than 0.
	others atomic.Uint32
	// samples counts latency samples since the last ejection.
	samples atomic.Int32
	// latency is a moving average in nanoseconds as float bits; 0 without a sample.
	latency atomic.Uint64
	// reference is the median latency of comparable upstreams in nanoseconds as float32 bits; 0 when unknown.
	reference atomic.Uint32
	// ejections counts the ejections that have not been forgiven.
	ejections atomic.Int32
	// progress is when a call ended last, or when the first of the calls in flight began.
	progress atomic.Int64
	// warmFrom is when slow start began.
	warmFrom atomic.Int64
	// ejectedUntil is when an ejection ends; 0 while the upstream is not ejected.
	ejectedUntil atomic.Int64

	info    atomic.Pointer[info]
	service *service
	// ownAverage is the smoothed number of calls in flight; Review alone uses it.
	ownAverage float64
	// wellFrom is when the last ejection ended or was forgiven; Review alone uses it.
	wellFrom int64
	// failed counts failures since the last Review.
	failed atomic.Int32
	// sampled is samples as of the last Review, which alone uses it.
	sampled int32
	// The size of a multiple of 64 bytes keeps the first cache line of each upstream whole.
	_ [24]byte
}

func newUpstream(s *service, row wire.Announcement, now int64) *upstream {
	u := &upstream{service: s}
	u.warmFrom.Store(now)
	u.progress.Store(now)
	u.others.Store(math.Float32bits(float32(row.Load.InFlight + row.Load.Queued)))
	u.setRow(row)
	return u
}

func (u *upstream) setRow(row wire.Announcement) {
	u.info.Store(&info{
		id: row.ID, address: row.Address, zone: row.Zone, incarnation: row.Incarnation, capacity: row.Capacity,
		row: row, modelKey: strings.Join(row.Models, "\n"),
	})
	u.capacity.Store(int32(min(max(row.Capacity, 1), math.MaxInt32)))
	if row.Leaving {
		u.state.Store(leaving)
	}
}

// report takes in the load an upstream reported, less the part that this instance caused.
func (u *upstream) report(load wire.UpstreamLoad) {
	fresh := float64(load.InFlight+load.Queued) - u.ownAverage
	old := float64(math.Float32frombits(u.others.Load()))
	u.others.Store(math.Float32bits(float32(old + othersShare*(fresh-old))))
}

func (u *upstream) load() float64 {
	return float64(u.inFlight.Load()) + max(float64(math.Float32frombits(u.others.Load())), 0)
}

func (u *upstream) begin(now int64) {
	if u.inFlight.Add(1) == 1 {
		u.progress.Store(now)
	}
}

func (u *upstream) observe(sample time.Duration) {
	for {
		bits := u.latency.Load()
		old := math.Float64frombits(bits)
		share := latencyFall
		if float64(sample) > old {
			share = latencyRise
		}
		if bits == 0 {
			share = 1
		}
		next := max(old+share*(float64(sample)-old), 1)
		if u.latency.CompareAndSwap(bits, math.Float64bits(next)) {
			u.samples.Add(1)
			return
		}
	}
}

// slowness is the upstream's latency, or the time it has been without progress on a call, over that of
// comparable upstreams. It is 1 while either is unknown.
func (u *upstream) slowness(now int64) float64 {
	reference := float64(math.Float32frombits(u.reference.Load()))
	if reference == 0 {
		return 1
	}
	latency := math.Float64frombits(u.latency.Load())
	if u.inFlight.Load() > 0 {
		latency = max(latency, float64(now-u.progress.Load()))
	}
	return latency / reference
}

func (u *upstream) serves(model string) bool {
	if model == "" {
		return true
	}
	models := u.info.Load().row.Models
	return slices.ContainsFunc(models, func(m string) bool { return m == model || bareName(m) == model })
}

// bareName returns the name of a model without its version.
func bareName(model string) string {
	name, _, _ := strings.Cut(model, "@")
	return name
}
