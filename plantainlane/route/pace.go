package route

import "time"

// An upstream's pace is the time that work takes there now, relative to the normal time. It is reported in percent and
// changes several times a second.
const (
	// paceValidity is the time over which a reported pace reverts to the normal one. Contention lasts about 600 ms, so a
	// report that is as old says nothing, and the chance that it still holds falls about evenly until then.
	paceValidity = 500 * time.Millisecond
	// contentionTime is the part of a call, the last, to which the pace at its end is applied.
	contentionTime = 600 * time.Millisecond
	// minPace and maxPace bound the paces that are used, in percent: no report makes an upstream look much better or worse
	// than its load does.
	minPace = 25
	maxPace = 1000
)

// A paceReport is a pace in percent in the upper 16 bits, and the time of the report in milliseconds since the
// Balancer's start in the lower 16 bits. Review drops old reports before the time wraps around.
type paceReport = uint32

// newPaceReport returns the report of a pace in percent.
func newPaceReport(now int64, percent int) paceReport {
	return uint32(min(max(percent, minPace), maxPace))<<16 | uint32(uint16(now/int64(time.Millisecond)))
}

// paceOf returns the pace that a report of some time ago stands for: the reported one at first, and then linearly less
// different from the normal pace, 1.
func paceOf(r paceReport, now int64) float64 {
	age := int16(uint16(now/int64(time.Millisecond)) - uint16(r))
	// A report may be slightly newer than now, which another goroutine read before.
	left := 1 - float64(max(age, 0))/float64(paceValidity/time.Millisecond)
	if left <= 0 {
		return 1
	}
	return 1 + (float64(r>>16)/100-1)*left
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

// atNormalPace returns how long something that took some time up to now would have taken at the normal pace. Only its last
// part, of contentionTime, ran at the pace known now.
func atNormalPace(took, pace float64) float64 {
	contended := min(took, float64(contentionTime))
	return took - contended + contended/pace
}
