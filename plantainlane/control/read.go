package control

import (
	"time"

	"plantainlane/wire"
)

// readLimit is how long a read waits for a quorum.
const readLimit = 3 * time.Second

// siteRead is a question for the newest site.
type siteRead struct {
	to origin
	at time.Time
}

// takeSiteQuery notes a question for the newest site; an instance that doesn't lead says so at once.
func (c *Core) takeSiteQuery(to origin) {
	if c.lead == nil {
		c.send(to.instance, wire.Frame{Call: to.call, SiteAnswer: &wire.SiteAnswer{}})
		return
	}
	c.lead.reads = append(c.lead.reads, siteRead{to: to, at: c.now})
}

// runSiteReads answers the questions for the newest site. The answer of a replica that was replaced as leader
// might be old, so it is given once a quorum has confirmed a round that began after the question arrived.
func (c *Core) runSiteReads() {
	if c.lead == nil {
		return
	}
	kept := c.lead.reads[:0]
	for _, r := range c.lead.reads {
		switch {
		case c.log.ConfirmedSince(r.at):
			c.send(r.to.instance, wire.Frame{Call: r.to.call, SiteAnswer: &wire.SiteAnswer{Confirmed: true, Site: c.state.Config.Site}})
		case c.now.Sub(r.at) < readLimit:
			kept = append(kept, r)
		}
	}
	c.lead.reads = kept
}
