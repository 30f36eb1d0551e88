package route

import (
	"time"

	"plantainlane/plantainlane/pace"
)

// A paceReport is a pace in percent in the upper 16 bits, and the time of the report in milliseconds since the
// Balancer's start in the lower 16 bits. Review drops old reports before the time wraps around.
type paceReport = uint32

// newPaceReport returns the report of a pace in percent.
func newPaceReport(now int64, percent int) paceReport {
	return uint32(pace.Bounded(percent))<<16 | uint32(uint16(now/int64(time.Millisecond)))
}

// paceOf returns the pace that a report stands for now; 1 is normal.
func paceOf(r paceReport, now int64) float64 {
	// The age is below 0 if another goroutine read now before the report was recorded.
	age := int16(uint16(now/int64(time.Millisecond)) - uint16(r))
	return pace.At(int(r>>16), time.Duration(age)*time.Millisecond)
}

// observePace records a reported pace in percent, above 0.
func (u *upstream) observePace(at int64, percent int) {
	u.pace.Store(newPaceReport(at, percent))
	if !u.service.reportsPace.Load() {
		u.service.reportsPace.Store(true)
	}
}

// ReportsPace reports whether an upstream of a service has reported a pace.
func (b *Balancer) ReportsPace(service string) bool {
	s := b.service(service)
	return s != nil && s.reportsPace.Load()
}

// paceAt returns the upstream's pace as known now; 1 if it is unknown.
func (u *upstream) paceAt(now int64) float64 {
	r := u.pace.Load()
	if r == 0 {
		return 1
	}
	return paceOf(r, now)
}

// dropOldPace drops a report that counts for nothing any more.
func (u *upstream) dropOldPace(now int64) {
	if r := u.pace.Load(); r != 0 && paceOf(r, now) == 1 {
		u.pace.CompareAndSwap(r, 0)
	}
}

// pacedLoad returns the upstream's load in calls at the normal pace: the time that they take there, relative to the normal
// time of a call.
func (u *upstream) pacedLoad(now int64) float64 { return u.load() * u.paceAt(now) }

// atNormalPace returns how many nanoseconds something that took some time up to now would have taken at the normal pace.
func atNormalPace(took time.Duration, p float64) float64 {
	if p == 1 {
		return float64(took)
	}
	return float64(pace.Normal(took, p))
}
