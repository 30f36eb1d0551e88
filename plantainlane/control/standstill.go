package control

import (
	"time"

	"plantainlane/plantainlane/expiry"
)

// maxHold is the longest time after a standstill for which an instance sends upstreams nothing while no leader has confirmed what
// it knows. A lost quorum holds it no longer.
const maxHold = time.Second

// minStandstill is the least time without a step that counts as a standstill. Control goroutines get no processor time for some
// hundred milliseconds on busy machines.
const minStandstill = time.Second

// standstillAfter returns the time without a step after which what is known of evacuated zones may be too old; 0 for none. The
// other half of the time in which orders must be obeyed is for learning of them.
func (t *Timing) standstillAfter() time.Duration {
	if t.ObeyWithin == 0 {
		return 0
	}
	return max(t.ObeyWithin/2, minStandstill)
}

// noteStandstill notes that no step ran for so long since the previous one that an order for a zone may have to be obeyed that
// this instance hasn't read yet.
func (c *Core) noteStandstill(previous time.Time) {
	limit := c.timing.standstillAfter()
	if limit == 0 || previous.IsZero() || !expiry.IsPast(c.now, previous.Add(limit)) {
		return
	}
	c.standstillEnded = c.now
	c.dirty = true
	c.lease.requestNow()
}

// heldUntil returns until when this instance sends upstreams nothing after a standstill; zero if it may, as a leader has
// confirmed since that it knows all orders.
func (c *Core) heldUntil() time.Time {
	if c.standstillEnded.IsZero() || !c.freshness.confirmedAt.Before(c.standstillEnded) {
		return time.Time{}
	}
	return c.standstillEnded.Add(maxHold)
}

// IsHeld reports whether nothing may be sent to upstreams now, because the process stood still and may not know an order for a
// zone. It is always false without Timing.ObeyWithin.
func (l *Loop) IsHeld() bool {
	limit := l.core.timing.standstillAfter()
	if limit == 0 {
		return false
	}
	now := time.Now()
	if at := l.steppedAt.Load(); at != nil && expiry.IsPast(now, at.Add(limit)) {
		return true
	}
	return now.Before(l.Publisher.View().HeldUntil)
}
