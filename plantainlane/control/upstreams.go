package control

import (
	"time"

	"plantainlane/plantainlane/roster"
	"plantainlane/wire"
)

const (
	// changeFanout is the number of peers that a change is sent and passed on to at a larger site.
	changeFanout = 8
	// renewalFanout is the number of peers of the same availability zone that a renewal is sent and passed
	// on to at a larger site.
	renewalFanout = 2
	// overduePart is the part of its time to live that is left when a missed renewal is asked for.
	overduePart = 0.25
	// expireInterval is the period at which lapsed upstreams are looked for.
	expireInterval = 500 * time.Millisecond
)

func (c *Core) announce(in UpstreamAnnounced) error {
	a := in.Announcement
	old, known := c.roster.View().Rows.Get(a.ID)
	if err := c.roster.Announce(a, in.Credential, c.now); err != nil {
		return err
	}
	c.dirty = true
	if !known || old.Expired || old.Announcement.Incarnation != a.Incarnation {
		c.record(wire.Event{Kind: "upstreamAnnounced", Upstream: &a.ID})
	}
	if a.Leaving {
		c.record(wire.Event{Kind: "upstreamLeaving", Upstream: &a.ID})
	}
	return nil
}

// runRoster spreads what was announced here, drops lapsed upstreams and compares with a random peer.
func (c *Core) runRoster() {
	changed, renewed := c.roster.TakeChanged()
	c.spreadChanges(wire.UpstreamDelta{Announcements: changed}, "")
	c.spreadRenewals(renewed, "")
	if !c.now.Before(c.expireAt) {
		c.expireAt = c.now.Add(expireInterval)
		c.expireUpstreams()
	}
	if c.now.Before(c.digestAt) {
		return
	}
	c.digestAt = c.now.Add(c.timing.DigestInterval)
	if peer := c.anyPeer(); peer != "" {
		c.send(peer, wire.Frame{Digest: &wire.UpstreamDigest{Buckets: c.roster.Digest()}})
	}
}

// spreadChanges sends changes to every peer of a small site, and to some of a larger one, which pass on what is
// news to them.
func (c *Core) spreadChanges(d wire.UpstreamDelta, except string) {
	if len(d.Announcements) == 0 && len(d.Lapsed) == 0 {
		return
	}
	peers := c.peersIn("")
	if c.isLarge() {
		peers = c.somePeers("", changeFanout)
	}
	for _, id := range peers {
		if id != except {
			c.send(id, wire.Frame{Upstreams: &d})
		}
	}
}

// spreadRenewals sends renewals in their short form. At a larger site they stay in the upstream's availability
// zone.
func (c *Core) spreadRenewals(list []wire.Announcement, except string) {
	if !c.isLarge() {
		c.sendRenewals(c.peersIn(""), list, except)
		return
	}
	zones := make(map[string][]wire.Announcement)
	for _, a := range list {
		zones[a.Zone] = append(zones[a.Zone], a)
	}
	for zone, part := range zones {
		c.sendRenewals(c.somePeers(zone, renewalFanout), part, except)
	}
}

func (c *Core) sendRenewals(to []string, list []wire.Announcement, except string) {
	if len(list) == 0 {
		return
	}
	d := &wire.UpstreamDelta{Renewals: roster.Renewals(list)}
	for _, id := range to {
		if id != except {
			c.send(id, wire.Frame{Upstreams: d})
		}
	}
}

// takeUpstreams takes what another instance sent, passes on news at a larger site, and asks for what is missing.
func (c *Core) takeUpstreams(from string, d wire.UpstreamDelta) {
	changed, renewed := c.roster.Merge(d.Announcements, c.now)
	lapsed := c.roster.ExpireReported(d.Lapsed)
	for _, l := range lapsed {
		c.gone = append(c.gone, l.ID)
	}
	var unknown []string
	if d.Renewals != nil {
		var news []wire.Announcement
		news, unknown = c.roster.Renew(*d.Renewals, c.now)
		renewed = append(renewed, news...)
	}
	if len(changed)+len(renewed)+len(lapsed) > 0 {
		c.dirty = true
	}
	if len(unknown) > 0 {
		c.send(from, wire.Frame{Upstreams: &wire.UpstreamDelta{Wanted: unknown}})
	}
	if known := c.roster.Known(d.Wanted); len(known) > 0 {
		c.send(from, wire.Frame{Upstreams: &wire.UpstreamDelta{Announcements: known}})
	}
	if !c.isLarge() {
		return
	}
	c.spreadChanges(wire.UpstreamDelta{Announcements: changed, Lapsed: lapsed}, from)
	c.spreadRenewals(renewed, from)
}

// expireUpstreams drops upstreams that were not renewed. At a larger site an upstream of another availability
// zone lapses by the word of that zone, or with all of that zone's instances; one of the own zone is asked for
// before it lapses, since a renewal may have missed this instance.
func (c *Core) expireUpstreams() {
	keep := func(wire.Announcement) bool { return false }
	if c.isLarge() {
		heard := c.zonesHeard()
		keep = func(a wire.Announcement) bool { return a.Zone != c.self.Zone && heard[a.Zone] }
		c.askOverdue()
	}
	var lapsed []wire.UpstreamLapse
	for _, a := range c.roster.Expire(c.now, keep) {
		c.dirty = true
		c.gone = append(c.gone, a.ID)
		c.record(wire.Event{Kind: "upstreamLapsed", Upstream: &a.ID})
		if a.Zone == c.self.Zone {
			lapsed = append(lapsed, wire.UpstreamLapse{ID: a.ID, Incarnation: a.Incarnation, Sequence: a.Sequence})
		}
	}
	if c.isLarge() {
		c.spreadChanges(wire.UpstreamDelta{Lapsed: lapsed}, "")
	}
}

func (c *Core) askOverdue() {
	var ids []string
	for _, a := range c.roster.Known(c.roster.Overdue(c.now, overduePart)) {
		if a.Zone == c.self.Zone {
			ids = append(ids, a.ID)
		}
	}
	if len(ids) == 0 {
		return
	}
	for _, peer := range c.somePeers(c.self.Zone, 1) {
		c.send(peer, wire.Frame{Upstreams: &wire.UpstreamDelta{Wanted: ids}})
	}
}

// zonesHeard returns the availability zones with an instance that the leader hears.
func (c *Core) zonesHeard() map[string]bool {
	zones := make(map[string]bool)
	for _, i := range c.instances.rows.All() {
		if !i.Silent {
			zones[i.Zone] = true
		}
	}
	return zones
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
	fresh, gone = c.roster.TakeNew(), c.gone
	c.gone = nil
	return fresh, gone
}
