package control

import (
	"time"

	"plantainlane/wire"
)

const (
	// keepResults is how long the answer of a request that is not idempotent is kept for repeats. Its key is
	// refused after that.
	keepResults = 24 * time.Hour
	// retentionInterval is the period at which old answers are dropped.
	retentionInterval = 10 * time.Minute
)

// runRetention drops old answers, on the leader only.
func (c *Core) runRetention() {
	if c.lead == nil {
		return
	}
	if c.lead.retentionAt.IsZero() {
		c.lead.retentionAt = c.now.Add(retentionInterval)
	}
	if c.now.Before(c.lead.retentionAt) {
		return
	}
	c.lead.retentionAt = c.now.Add(retentionInterval)
	before := c.now.Add(-keepResults)
	c.leadOwn(wire.Command{Expire: &wire.ExpireClaims{BeforeMs: int(before.UnixMilli())}})
}
