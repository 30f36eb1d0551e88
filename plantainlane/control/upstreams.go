package control

import "plantainlane/wire"

// fullSpread is the number of peers up to which a delta is sent to every one. Beyond, it is sent to
// spreadFanout of them, which pass on what was news to them.
const (
	fullSpread   = 16
	spreadFanout = 5
)

func (c *Core) announce(in Announced) error {
	a := in.Announcement
	old, known := c.roster.View().Rows.Get(a.ID)
	if err := c.roster.Announce(a, in.Credential, c.now); err != nil {
		return err
	}
	c.dirty = true
	if !known || old.Lapsed || old.Announcement.Incarnation != a.Incarnation {
		c.record(wire.Event{Kind: "upstreamAnnounced", Upstream: &a.ID})
	}
	if a.Leaving {
		c.record(wire.Event{Kind: "upstreamLeaving", Upstream: &a.ID})
	}
	return nil
}

// runRoster spreads changed announcements, drops lapsed ones and compares with a random peer.
func (c *Core) runRoster() {
	if changed := c.roster.TakeChanged(); len(changed) > 0 {
		c.spread(changed, "")
	}
	for _, id := range c.roster.Expire(c.now) {
		c.dirty = true
		c.gone = append(c.gone, id)
		c.record(wire.Event{Kind: "upstreamLapsed", Upstream: &id})
	}
	if c.now.Before(c.digestAt) {
		return
	}
	c.digestAt = c.now.Add(c.timing.DigestInterval)
	if peer := c.anyPeer(); peer != "" {
		c.send(peer, wire.Frame{Digest: &wire.UpstreamDigest{Buckets: c.roster.Digest()}})
	}
}

func (c *Core) spread(list []wire.Announcement, except string) {
	frame := wire.Frame{Upstreams: &wire.UpstreamDelta{Announcements: list}}
	if len(c.peers) <= fullSpread {
		for id := range c.peers {
			c.send(id, frame)
		}
		return
	}
	for range spreadFanout {
		if id := c.anyPeer(); id != except {
			c.send(id, frame)
		}
	}
}

func (c *Core) takeUpstreams(from string, d wire.UpstreamDelta) {
	news := c.roster.Merge(d.Announcements, c.now)
	if len(news) == 0 {
		return
	}
	c.dirty = true
	if len(c.peers) <= fullSpread {
		return
	}
	list := make([]wire.Announcement, 0, len(news))
	for _, id := range news {
		row, _ := c.roster.View().Rows.Get(id)
		list = append(list, row.Announcement)
	}
	c.spread(list, from)
}

// takeDigest sends what differs; a first digest is answered by one, so that both sides catch up.
func (c *Core) takeDigest(from string, d wire.UpstreamDigest) {
	if differing := c.roster.Differing(d.Buckets); len(differing) > 0 {
		c.send(from, wire.Frame{Upstreams: &wire.UpstreamDelta{Announcements: differing}})
	}
	if !d.Answer {
		c.send(from, wire.Frame{Digest: &wire.UpstreamDigest{Buckets: c.roster.Digest(), Answer: true}})
	}
}

// TakeUpstreams returns the announcements that are new since the last call, and the upstreams that lapsed.
func (c *Core) TakeUpstreams() (fresh []wire.Announcement, gone []string) {
	fresh, gone = c.roster.TakeFresh(), c.gone
	c.gone = nil
	return fresh, gone
}
