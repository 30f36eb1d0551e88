// Package timeline orders the events of several processes. It contains the hybrid logical clock for the times of
// events, and functions that merge, filter and format recorded events.
package timeline

import (
	"cmp"
	"sync"
	"time"

	"plantainlane/wire"
)

// Clock is a hybrid logical clock. Each reading is later than all readings that the clock returned or observed before,
// so that a cause is ordered before its effect even if the wall clocks of the processes differ. The zero value is ready
// for use. A Clock is safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	last wire.HLC
}

// Now returns a reading for an event at the wall time now.
func (c *Clock) Now(now time.Time) wire.HLC {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.advance(now)
}

// Observe returns a reading for the receipt, at the wall time now, of a message from another process. remote is the
// reading in the message; the returned reading and all further ones are later than remote.
func (c *Clock) Observe(now time.Time, remote wire.HLC) wire.HLC {
	c.mu.Lock()
	defer c.mu.Unlock()
	if Compare(remote, c.last) > 0 {
		c.last = remote
	}
	return c.advance(now)
}

// advance sets the clock to the wall time now if that is later than the last reading. Otherwise it increments the
// logical counter. It returns the new reading. c.mu must be held.
func (c *Clock) advance(now time.Time) wire.HLC {
	if wall := int(now.UnixMilli()); wall > c.last.WallMs {
		c.last = wire.HLC{WallMs: wall}
	} else {
		c.last.Logical++
	}
	return c.last
}

// Compare returns -1 if a is before b, 0 if they are equal and 1 if a is after b.
func Compare(a, b wire.HLC) int {
	return cmp.Or(cmp.Compare(a.WallMs, b.WallMs), cmp.Compare(a.Logical, b.Logical))
}
