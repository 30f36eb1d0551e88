package control

import (
	"time"

	"plantainlane/wire"
)

const (
	// keepResults is how long the answer to a non-idempotent request is kept for repeats of the request. Later
	// requests with the same idempotency key are refused.
	keepResults = 24 * time.Hour
	// retentionInterval is the period at which old answers are dropped.
	retentionInterval = 10 * time.Minute
)

// runRetention drops answers older than keepResults, every retentionInterval, on the leader only.
func (c *Core) runRetention() {
	if c.lead == nil {
		return
	}
	if c.lead.nextRetention.IsZero() {
		c.lead.nextRetention = c.now.Add(retentionInterval)
	}
	if c.now.Before(c.lead.nextRetention) {
		return
	}
	c.lead.nextRetention = c.now.Add(retentionInterval)
	cutoff := c.now.Add(-keepResults)
	c.appendWithoutReply(wire.Command{Expire: &wire.ExpireClaims{BeforeMs: int(cutoff.UnixMilli())}})
}
