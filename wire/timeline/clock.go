// Package timeline orders the events of many processes: a hybrid logical clock that stamps them, and
// the merging, filtering and rendering of what the processes recorded.
package timeline

import (
	"cmp"
	"sync"
	"time"

	"plantainlane/wire"
)

// Clock is a hybrid logical clock. Each reading is after every reading that it gave or observed
// before, so that a cause comes before its effect however far the processes' wall clocks differ. The
// zero value is ready for use by several goroutines.
type Clock struct {
	mu   sync.Mutex
	last wire.HLC
}

// Now returns a reading for an event at now.
func (c *Clock) Now(now time.Time) wire.HLC {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.advance(now)
}

// Observe takes in a reading that a message from another process carried, and returns a reading for
// its receipt at now.
func (c *Clock) Observe(now time.Time, remote wire.HLC) wire.HLC {
	c.mu.Lock()
	defer c.mu.Unlock()
	if Compare(remote, c.last) > 0 {
		c.last = remote
	}
	return c.advance(now)
}

func (c *Clock) advance(now time.Time) wire.HLC {
	if wall := int(now.UnixMilli()); wall > c.last.WallMs {
		c.last = wire.HLC{WallMs: wall}
	} else {
		c.last.Logical++
	}
	return c.last
}

// Compare returns -1, 0 or 1 as a is before, equal to or after b.
func Compare(a, b wire.HLC) int {
	return cmp.Or(cmp.Compare(a.WallMs, b.WallMs), cmp.Compare(a.Logical, b.Logical))
}
