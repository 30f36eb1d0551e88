// Package pace holds what an upstream's pace means: the time that work takes on its machine now, relative to the normal
// time. Upstreams report it in percent. Contention changes it several times a second.
package pace

import "time"

const (
	// validity is the time over which a reported pace reverts to the normal one. Contention lasts about contentionTime, so the
	// chance that a report still holds falls about evenly with its age.
	validity = 500 * time.Millisecond
	// contentionTime is the typical time for which contention lasts. The pace is applied to that much of a call, the last part.
	contentionTime = 600 * time.Millisecond
)

// Bounds of the paces that are used.
const (
	// Min is the lowest pace, in percent: no report makes an upstream look much better than its load does.
	Min = 25
	// Max is the highest pace, in percent; a higher one counts as this.
	Max = 1000
)

// Bounded returns a reported pace within Min and Max; the normal pace, 100, for 0, which stands for an unknown one.
func Bounded(percent int) int {
	if percent == 0 {
		return 100
	}
	return min(max(percent, Min), Max)
}

// At returns the pace that a report of some time ago stands for, 1 if normal: the reported one at first, and then linearly
// less different from the normal one.
func At(percent int, age time.Duration) float64 {
	left := 1 - float64(max(age, 0))/float64(validity)
	if left <= 0 {
		return 1
	}
	return 1 + (float64(Bounded(percent))/100-1)*left
}

// Over returns the mean of At over a period that begins at an age of the report.
func Over(percent int, age, period time.Duration) float64 {
	age = max(age, 0)
	valid := min(validity-age, period)
	if valid <= 0 {
		return At(percent, age)
	}
	// At is linear while the report is valid, and 1 afterwards.
	mean := At(percent, age+valid/2)
	return 1 + (mean-1)*float64(valid)/float64(period)
}

// Normal returns how long something that took some time would have taken at the normal pace. Only its last part can have
// run at a different pace.
func Normal(took time.Duration, pace float64) time.Duration {
	contended := min(took, contentionTime)
	return took - contended + time.Duration(float64(contended)/pace)
}
