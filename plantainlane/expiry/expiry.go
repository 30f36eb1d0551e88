// Package expiry judges the end of rights and the age of knowledge by both clocks of a time.Time. The monotonic clock stands
// still while the machine is suspended; the time of day goes on, but may be set back.
package expiry

import "time"

// IsPast reports whether until is past at the time now, by the monotonic clock or by the time of day.
func IsPast(now, until time.Time) bool {
	return !now.Before(until) || !timeOfDay(now).Before(timeOfDay(until))
}

// Skipped returns by how much more the time of day has advanced between two times than the monotonic clock: for how long the
// machine was suspended, or its time of day was set forward. It is never negative.
func Skipped(from, to time.Time) time.Duration {
	return max(timeOfDay(to).Sub(timeOfDay(from))-to.Sub(from), 0)
}

// timeOfDay returns t without its monotonic reading.
func timeOfDay(t time.Time) time.Time { return t.Round(0) }
