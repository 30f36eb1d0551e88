package control

import (
	"time"

	"plantainlane/plantainlane/roster"
	"plantainlane/wire"
)

const (
	// changeFanout is the number of peers to which each instance of a large region sends or forwards a change of an
	// upstream.
	changeFanout = 8
	// renewalFanout is the number of peers in the upstream's availability zone to which each instance of a large
	// region sends or forwards a renewal.
	renewalFanout = 2
	// overdueFraction is the fraction of an upstream's time to live that is left when its newest announcement is
	// requested from a peer, since a renewal may be missing.
	overdueFraction = 0.25
	// expireInterval is the period at which the roster is checked for expired upstreams.
	expireInterval = 500 * time.Millisecond
)

// announce adds an announcement that an upstream sent to this instance and answers it. If the announcement is refused, the error
// says why. That an upstream is leaving is answered once it is recorded.
func (c *Core) announce(in UpstreamAnnounced) {
	a := in.Announcement
	old, known := c.roster.View().Rows.Get(a.ID)
	err := c.roster.Announce(a, in.Credential, c.now)
	if a.Leaving && (err == nil || c.repeatsDeparture(err, a.ID, a.Incarnation)) {
		c.commitDeparture(a.ID, in.Reply)
	} else {
		in.Reply <- err
	}
	if err != nil {
		return
	}
	c.dirty = true
	if !known || old.Expired || old.Announcement.Incarnation != a.Incarnation {
		c.record(wire.Event{Kind: "upstreamAnnounced", Upstream: &a.ID})
	}
	if a.Leaving {
		c.record(wire.Event{Kind: "upstreamLeaving", Upstream: &a.ID})
	}
}

// runRoster propagates the announcements that this instance received from upstreams, marks upstreams as expired, and
// sends the digest of the roster to a random peer for comparison every DigestInterval.
func (c *Core) runRoster() {
	changed, renewed := c.roster.TakeChanged()
	c.propagateChanges(wire.UpstreamDelta{Announcements: changed, Departures: c.roster.TakeDepartures()}, "")
	c.propagateRenewals(renewed, "")
	if !c.now.Before(c.nextExpiry) {
		c.nextExpiry = c.now.Add(expireInterval)
		c.expireUpstreams()
	}
	if c.now.Before(c.nextDigest) {
		return
	}
	c.nextDigest = c.now.Add(c.timing.DigestInterval)
	if peer := c.randomPeer(); peer != "" {
		c.send(peer, wire.Frame{Digest: &wire.UpstreamDigest{Buckets: c.roster.Digest()}})
	}
}

// propagateChanges sends changes of upstreams to the peers other than except. In a small region it sends them to
// all peers. In a large region it sends them to changeFanout random peers, which forward the changes that are new to
// them.
func (c *Core) propagateChanges(d wire.UpstreamDelta, except string) {
	if len(d.Announcements)+len(d.Lapsed)+len(d.Departures) == 0 {
		return
	}
	peers := c.peersIn("")
	if c.isLarge() {
		peers = c.randomPeers("", changeFanout)
	}
	for _, id := range peers {
		if id != except {
			c.send(id, wire.Frame{Upstreams: &d})
		}
	}
}

// propagateRenewals sends renewals of upstreams in their short form to the peers other than except. In a large region
// renewals are sent only to peers in the upstream's availability zone.
func (c *Core) propagateRenewals(list []wire.Announcement, except string) {
	if !c.isLarge() {
		c.sendRenewals(c.peersIn(""), list, except)
		return
	}
	zones := make(map[string][]wire.Announcement)
	for _, a := range list {
		zones[a.Zone] = append(zones[a.Zone], a)
	}
	for zone, renewals := range zones {
		c.sendRenewals(c.randomPeers(zone, renewalFanout), renewals, except)
	}
}

// sendRenewals sends renewals in their short form to the instances in to, other than except.
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

// handleUpstreamDelta merges upstream updates from another instance into the roster, requests the announcements that
// are missing here, and sends those that the other instance requests. In a large region it forwards new updates. To announcements
// of upstreams that have left since, it answers with the departures.
func (c *Core) handleUpstreamDelta(from string, d wire.UpstreamDelta) {
	departed := c.mergeDepartures(d.Departures)
	changed, renewed, late := c.roster.Merge(d.Announcements, c.now)
	expired := c.roster.ExpireReported(d.Lapsed)
	for _, l := range expired {
		c.expiredUpstreams = append(c.expiredUpstreams, l.ID)
	}
	var unknown []string
	if d.Renewals != nil {
		var updated []wire.Announcement
		var lateRenewals []wire.Departure
		updated, unknown, lateRenewals = c.roster.Renew(*d.Renewals, c.now)
		renewed, late = append(renewed, updated...), append(late, lateRenewals...)
	}
	if len(changed)+len(renewed)+len(expired)+len(departed) > 0 {
		c.dirty = true
	}
	if len(late) > 0 {
		c.send(from, wire.Frame{Upstreams: &wire.UpstreamDelta{Departures: late}})
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
	c.propagateChanges(wire.UpstreamDelta{Announcements: changed, Lapsed: expired, Departures: departed}, from)
	c.propagateRenewals(renewed, from)
}

// expireUpstreams marks upstreams as expired whose time to live has passed without a renewal. In a large region
// renewals don't leave their availability zone, so an upstream of another zone expires when an instance of that zone
// reports it as expired, or when all instances of that zone are silent. For an upstream of this instance's own
// zone that will soon expire, the newest announcement is first requested from a peer, since a renewal may not have
// reached this instance.
func (c *Core) expireUpstreams() {
	keep := func(wire.Announcement) bool { return false }
	if c.isLarge() {
		live := c.liveZones()
		keep = func(a wire.Announcement) bool { return a.Zone != c.self.Zone && live[a.Zone] }
		c.requestOverdue()
	}
	var expired []wire.UpstreamLapse
	for _, a := range c.roster.Expire(c.now, keep) {
		c.dirty = true
		c.expiredUpstreams = append(c.expiredUpstreams, a.ID)
		c.record(wire.Event{Kind: "upstreamLapsed", Upstream: &a.ID})
		if a.Zone == c.self.Zone {
			expired = append(expired, wire.UpstreamLapse{ID: a.ID, Incarnation: a.Incarnation, Sequence: a.Sequence})
		}
	}
	if c.isLarge() {
		c.propagateChanges(wire.UpstreamDelta{Lapsed: expired}, "")
	}
}

// requestOverdue requests the announcements of upstreams in this instance's zone that will expire soon, from a random
// peer in the zone.
func (c *Core) requestOverdue() {
	var ids []string
	for _, a := range c.roster.Known(c.roster.Overdue(c.now, overdueFraction)) {
		if a.Zone == c.self.Zone {
			ids = append(ids, a.ID)
		}
	}
	if len(ids) == 0 {
		return
	}
	for _, peer := range c.randomPeers(c.self.Zone, 1) {
		c.send(peer, wire.Frame{Upstreams: &wire.UpstreamDelta{Wanted: ids}})
	}
}

// liveZones returns the availability zones with at least one instance that isn't silent.
func (c *Core) liveZones() map[string]bool {
	zones := make(map[string]bool)
	for _, i := range c.instances.rows.All() {
		if !i.Silent {
			zones[i.Zone] = true
		}
	}
	return zones
}

// handleDigest sends the announcements and departures in which this instance differs from the digest of another instance. A digest
// that isn't an answer to a digest is answered with the digest of this instance, so that both instances receive what
// they lack.
func (c *Core) handleDigest(from string, d wire.UpstreamDigest) {
	differing, departures := c.roster.Differing(d.Buckets), c.roster.DifferingDepartures(d.Buckets)
	if len(differing)+len(departures) > 0 {
		c.send(from, wire.Frame{Upstreams: &wire.UpstreamDelta{Announcements: differing, Departures: departures}})
	}
	if !d.Answer {
		c.send(from, wire.Frame{Digest: &wire.UpstreamDigest{Buckets: c.roster.Digest(), Answer: true}})
	}
}

// TakeUpstreams returns the announcements received since the last call, and the IDs of the upstreams that have expired
// since then.
func (c *Core) TakeUpstreams() (updated []wire.Announcement, expired []string) {
	updated, expired = c.roster.TakeNew(), c.expiredUpstreams
	c.expiredUpstreams = nil
	return updated, expired
}
