// Package expirytest makes times for tests whose two clocks have drifted apart.
package expirytest

import (
	"time"
	"unsafe"
)

// Suspend returns the time at which a machine goes on that was suspended at t for d: the time of day is d later, the monotonic
// reading that of t. A negative d sets the time of day back. It relies on the layout of time.Time with a monotonic reading:
// two words, the second of which is the monotonic reading in nanoseconds, and the location.
func Suspend(t time.Time, d time.Duration) time.Time {
	out := t.Add(d)
	(*[2]int64)(unsafe.Pointer(&out))[1] -= int64(d)
	return out
}
