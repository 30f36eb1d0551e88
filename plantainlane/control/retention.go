package control

import (
	"time"

	"plantainlane/wire"
)

const (
	// keepResults is how long the stored answer to a non-idempotent request is kept for repeats of the request.
	// Later requests with the same idempotency key are refused.
	keepResults = 24 * time.Hour
	// retentionInterval is the period at which old stored answers are dropped.
	retentionInterval = 10 * time.Minute
)

// runRetention drops stored answers older than keepResults every retentionInterval. Only the leader does so.
func (c *Core) runRetention() {
	if c.leaderState == nil {
		return
	}
	if c.leaderState.nextRetention.IsZero() {
		c.leaderState.nextRetention = c.now.Add(retentionInterval)
	}
	if c.now.Before(c.leaderState.nextRetention) {
		return
	}
	c.leaderState.nextRetention = c.now.Add(retentionInterval)
	cutoff := c.now.Add(-keepResults)
	c.appendWithoutReply(wire.Command{Expire: &wire.ExpireClaims{BeforeMs: int(cutoff.UnixMilli())}})
}
