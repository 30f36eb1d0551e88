package control

import (
	"maps"
	"slices"
	"time"

	"plantainlane/wire"
)

// keptRequests is the number of recent lease requests whose answers are accepted.
const keptRequests = 16

// maxRequestedPeers is the largest number of peers that receive one lease request while the leader is unknown.
const maxRequestedPeers = 8

// reconnectAfter is the number of lease intervals without an answer of the leader after which the connection to it is
// replaced.
const reconnectAfter = 2

// leaseHolder is the state with which an instance requests and holds its configuration lease.
type leaseHolder struct {
	// until is when the lease expires, by this instance's own clock.
	until time.Time
	// sent holds when recent requests were sent, by sequence. The length of a lease counts from the time of its
	// request.
	sent map[int]time.Time
	// sequence is the number of the newest request.
	sequence int
	// answeredAt is when the newest request was sent that the leader has answered, or when the leader became known.
	answeredAt time.Time
	// reconnectedAt is when the connection to a silent leader was last replaced.
	reconnectedAt time.Time
	// nextRequest is when the next request is due.
	nextRequest time.Time
}

// requestNow makes the next lease request due immediately.
func (l *leaseHolder) requestNow() {
	l.nextRequest = time.Time{}
}

// recordRequest records that a request is sent now, schedules the next request after interval, and returns the
// sequence of the recorded request.
func (l *leaseHolder) recordRequest(now time.Time, interval time.Duration) int {
	if l.sent == nil {
		l.sent = make(map[int]time.Time)
	}
	l.sequence++
	l.sent[l.sequence] = now
	delete(l.sent, l.sequence-keptRequests)
	l.nextRequest = now.Add(interval)
	return l.sequence
}

// runLeaseRequests sends a lease request when one is due: to the leader, or to random peers while the leader is unknown. While
// the leader is silent, peers are asked too, and twice as often. A peer that doesn't lead answers with the ID of the leader
// that the peer knows.
func (c *Core) runLeaseRequests() {
	isSilent := c.isLeaderSilent()
	isDue := !c.now.Before(c.lease.nextRequest)
	peersDue := isSilent && c.now.Sub(c.lease.sent[c.lease.sequence]) >= c.timing.LeaseInterval/2
	if !isDue && !peersDue || c.leader == "" && len(c.peers) == 0 {
		return
	}
	req := c.newLeaseRequest(isDue)
	if c.leader != "" && isDue {
		c.send(c.leader, wire.Frame{LeaseRequest: &req})
	}
	if c.leader == "" || isSilent {
		c.requestFromPeers(req, maxRequestedPeers)
	}
	if isSilent {
		c.reconnectLeader()
	}
}

// newLeaseRequest records and returns a lease request. If it is the one that was due, the next one is due a LeaseInterval
// later.
func (c *Core) newLeaseRequest(isDue bool) wire.LeaseRequest {
	next := c.lease.nextRequest
	sequence := c.lease.recordRequest(c.now, c.timing.LeaseInterval)
	if !isDue {
		c.lease.nextRequest = next
	}
	observed := c.quarantining.guard.Report(c.now, sequence)
	known := c.quarantining.guard.Known()
	return wire.LeaseRequest{
		Info:             c.self,
		Sequence:         sequence,
		Limits:           c.quotas.unconfirmedLimits(c.now, sequence),
		AppliedRevision:  c.config.Revision,
		InstancesVersion: c.instances.version,
		InstancesTerm:    c.instances.term,
		LimitsVersion:    c.quotas.limitsVersion(c.instances.term),
		InstancesDigest:  c.instances.digest(c.term),
		LostRevision:     c.freshness.lost,

		BrokenSends:       observed.Broken,
		ServedParts:       observed.Served,
		QuarantineVersion: known.Version,
		SuspectsVersion:   known.SuspectsVersion,
	}
}

// isLeaderSilent reports whether the known leader has left a lease request unanswered for half of a LeaseInterval.
func (c *Core) isLeaderSilent() bool {
	return c.leader != "" && c.now.Sub(c.lease.answeredAt) >= c.timing.LeaseInterval+c.timing.LeaseInterval/2
}

// reconnectLeader replaces the connection to a leader that has been silent for reconnectAfter although the connection is
// open: something on it may wait for good.
func (c *Core) reconnectLeader() {
	_, isConnected := c.peers[c.leader]
	since := c.lease.answeredAt
	if c.lease.reconnectedAt.After(since) {
		since = c.lease.reconnectedAt
	}
	if !isConnected || c.now.Sub(since) < reconnectAfter*c.timing.LeaseInterval {
		return
	}
	c.lease.reconnectedAt = c.now
	c.out = append(c.out, Outbound{To: c.leader, Reconnect: true})
	leader := c.leader
	c.record(wire.Event{Kind: "reconnected", Detail: &leader})
}

// requestFromPeers sends a lease request to up to count random peers, other than the known leader. Their answers name
// the leader.
func (c *Core) requestFromPeers(req wire.LeaseRequest, count int) {
	ids := slices.Sorted(maps.Keys(c.peers))
	c.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for _, id := range ids {
		if count > 0 && id != c.leader {
			c.send(id, wire.Frame{LeaseRequest: &req})
			count--
		}
	}
}

// announceLeadership sends all connected and registered instances the ID and address of this new leader, so that they
// immediately renew their leases here.
func (c *Core) announceLeadership() {
	ids := make(map[string]bool)
	for id := range c.peers {
		ids[id] = true
	}
	for id := range c.state.Instances.All() {
		ids[id] = true
	}
	delete(ids, c.self.ID)
	for _, id := range slices.Sorted(maps.Keys(ids)) {
		c.sendLeadership(id)
	}
}

// sendLeadership sends an instance the ID and address of this leader.
func (c *Core) sendLeadership(to string) {
	a := wire.LeaseAnswer{Leader: c.self.ID, Term: c.leaderState.term, LeaderAddress: c.self.PeerAddress}
	c.send(to, wire.Frame{LeaseAnswer: &a})
}

// handleLeaseAnswer updates the known leader from an answer of any instance. An answer of the leader
// itself also updates the table of instances and the lease.
func (c *Core) handleLeaseAnswer(from string, a wire.LeaseAnswer) {
	if a.Leader != "" {
		c.setLeader(a.Leader, a.Term)
		c.instances.learnLeader(a.Leader, a.LeaderAddress)
	}
	if a.Leader != from || a.Term < c.term {
		return
	}
	c.mergeInstances(a)
	c.quotas.learn(c.now, a)
	c.quotas.confirm(a.Sequence)
	c.quarantining.guard.Confirm(a.Sequence)
	c.learnQuarantine(a.Quarantine)
	c.handleEvacuations(a.Evacuations)
	c.learnRevision(a.Revision)
	c.learnPushed(a.PushedRevision)
	sent, ok := c.lease.sent[a.Sequence]
	if !ok {
		return
	}
	if sent.After(c.lease.answeredAt) {
		c.lease.answeredAt = sent
	}
	if a.DurationMs > 0 {
		c.learnConfirmed(a.Revision, sent)
	}
	if !a.Granted {
		c.lease.nextRequest = c.now.Add(minRequestInterval)
		return
	}
	until := sent.Add(time.Duration(a.DurationMs) * time.Millisecond)
	if until.After(c.lease.until) {
		c.lease.until = until
		c.dirty = true
	}
}

// handleLeaseRequest answers a lease request. The leader grants the lease if a quorum confirmed the leader within the
// last QuorumFresh and the requesting instance has applied the newest revision. If the incarnation of the requesting
// instance isn't registered, the leader registers it instead. An instance that doesn't lead answers only with the
// leader that it knows.
func (c *Core) handleLeaseRequest(from string, r wire.LeaseRequest) {
	a := wire.LeaseAnswer{Sequence: r.Sequence, Leader: c.leader, Term: c.term, LeaderAddress: c.addressOf(c.leader)}
	if c.leaderState == nil {
		c.send(from, wire.Frame{LeaseAnswer: &a})
		return
	}
	a.Leader, a.Term, a.Revision = c.self.ID, c.leaderState.term, c.state.Config.Revision
	c.leaderState.quotas.Report(c.now, r.Limits)
	c.addQuarantineReport(&r, &a)
	row := c.leaderState.recordContact(r, c.now)
	if row == nil {
		c.registerInstance(r.Info)
		c.send(from, wire.Frame{LeaseAnswer: &a})
		return
	}
	a.Instances, a.InstancesVersion = c.leaderState.rowsFor(c.now, r)
	limitsVersion := 0
	if r.InstancesTerm == c.leaderState.term {
		limitsVersion = r.LimitsVersion
	}
	a.Limits, a.LimitsVersion = c.leaderState.quotas.Since(c.now, limitsVersion)
	if row.pushedRevision > row.appliedRevision {
		a.PushedRevision = row.pushedRevision
	}
	if c.isConfirmed() {
		a.DurationMs = int(c.timing.Lease / time.Millisecond)
	}
	if a.DurationMs > 0 && r.AppliedRevision >= c.state.Config.Revision {
		a.Granted = true
		row.leaseUntil = c.now.Add(c.timing.Lease)
	}
	if r.AppliedRevision < c.state.Config.Revision {
		a.Evacuations = c.state.Config.EvacuationList()
	}
	c.send(from, wire.Frame{LeaseAnswer: &a})
	c.pushConfig(row)
}
