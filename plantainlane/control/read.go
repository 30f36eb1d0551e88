package control

import (
	"time"

	"plantainlane/wire"
)

// readTimeout is how long a read of the site waits for a quorum to confirm the leader.
const readTimeout = 3 * time.Second

// siteRead is a query for the newest site document that waits for a quorum to confirm the leader.
type siteRead struct {
	to         origin
	receivedAt time.Time
}

// handleSiteQuery adds a query for the newest site to the waiting reads. An instance that isn't the leader sends
// an unconfirmed answer immediately.
func (c *Core) handleSiteQuery(to origin) {
	if c.lead == nil {
		c.send(to.instance, wire.Frame{Call: to.call, SiteAnswer: &wire.SiteAnswer{}})
		return
	}
	c.lead.reads = append(c.lead.reads, siteRead{to: to, receivedAt: c.now})
}

// runSiteReads answers the queries for the newest site. A leader that was replaced without its knowledge could
// return an old site, so a query is answered only after a quorum has confirmed a round that began after the query
// arrived. A query that waits longer than readTimeout is dropped without an answer.
func (c *Core) runSiteReads() {
	if c.lead == nil {
		return
	}
	kept := c.lead.reads[:0]
	for _, r := range c.lead.reads {
		switch {
		case c.log.ConfirmedSince(r.receivedAt):
			c.send(r.to.instance, wire.Frame{Call: r.to.call, SiteAnswer: &wire.SiteAnswer{Confirmed: true, Site: c.state.Config.Site}})
		case c.now.Sub(r.receivedAt) < readTimeout:
			kept = append(kept, r)
		}
	}
	c.lead.reads = kept
}
