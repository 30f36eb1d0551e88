package control

import (
	"time"

	"plantainlane/wire"
)

// siteReadTimeout is how long a read of the site document waits for a quorum to confirm the leader.
const siteReadTimeout = 3 * time.Second

// siteRead is a query for the newest site document that waits for a quorum to confirm the leader.
type siteRead struct {
	origin     origin
	receivedAt time.Time
}

// handleSiteQuery adds a query for the newest site document to the waiting reads. An instance that isn't the leader
// sends an unconfirmed answer immediately.
func (c *Core) handleSiteQuery(to origin) {
	if c.leaderState == nil {
		c.send(to.instance, wire.Frame{Call: to.call, SiteAnswer: &wire.SiteAnswer{}})
		return
	}
	c.leaderState.siteReads = append(c.leaderState.siteReads, siteRead{origin: to, receivedAt: c.now})
}

// runSiteReads answers the queries for the newest site document. A leader that was replaced without its knowledge could
// return an old document, so a query is answered only after a quorum has answered a heartbeat round that began after
// the query arrived. A query that waits for siteReadTimeout is dropped without an answer.
func (c *Core) runSiteReads() {
	if c.leaderState == nil {
		return
	}
	kept := c.leaderState.siteReads[:0]
	for _, r := range c.leaderState.siteReads {
		switch {
		case c.log.ConfirmedSince(r.receivedAt):
			c.send(r.origin.instance, wire.Frame{Call: r.origin.call, SiteAnswer: &wire.SiteAnswer{Confirmed: true, Site: c.state.Config.Site}})
		case c.now.Sub(r.receivedAt) < siteReadTimeout:
			kept = append(kept, r)
		}
	}
	c.leaderState.siteReads = kept
}
