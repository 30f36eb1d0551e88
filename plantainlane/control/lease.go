package control

import (
	"time"

	"plantainlane/wire"
)

// keptRequests is the number of lease requests whose answers are still taken.
const keptRequests = 16

// leaseHolder is an instance's side of its configuration lease.
type leaseHolder struct {
	// until is when the lease lapses, by this instance's own clock.
	until time.Time
	// sent holds when recent requests were sent, by sequence. A lease counts from then.
	sent     map[int]time.Time
	sequence int
	due      time.Time
}

func (l *leaseHolder) requestNow() {
	l.due = time.Time{}
}

func (l *leaseHolder) next(now time.Time, interval time.Duration) int {
	if l.sent == nil {
		l.sent = make(map[int]time.Time)
	}
	l.sequence++
	l.sent[l.sequence] = now
	delete(l.sent, l.sequence-keptRequests)
	l.due = now.Add(interval)
	return l.sequence
}

// runLeases asks the leader for a lease when one is due, or any peer who leads.
func (c *Core) runLeases() {
	if c.now.Before(c.leases.due) {
		return
	}
	to := c.leader
	if to == "" {
		to = c.anyPeer()
	}
	if to == "" {
		return
	}
	req := wire.LeaseRequest{
		Info:             c.self,
		Sequence:         c.leases.next(c.now, c.timing.LeaseInterval),
		AppliedRevision:  c.config.Revision,
		InstancesVersion: c.instances.version,
		InstancesTerm:    c.instances.term,
	}
	c.send(to, wire.Frame{LeaseRequest: &req})
	if to == c.leader && c.leases.sequence%4 == 0 && c.leases.until.Before(c.now.Add(c.timing.Lease/2)) {
		c.askOthersForLeader(req)
	}
}

// askOthersForLeader sends a request to another peer too, since the known leader has not granted a lease
// for a while and may be gone.
func (c *Core) askOthersForLeader(req wire.LeaseRequest) {
	if other := c.anyPeer(); other != "" && other != c.leader {
		c.send(other, wire.Frame{LeaseRequest: &req})
	}
}

func (c *Core) takeLeaseAnswer(from string, a wire.LeaseAnswer) {
	if a.Leader != "" {
		c.setLeader(a.Leader, a.Term)
		c.instances.knowLeader(a.Leader, a.LeaderAddress)
	}
	if a.Leader != from || a.Term < c.term {
		return
	}
	c.takeInstances(a)
	sent, ok := c.leases.sent[a.Sequence]
	if !ok || !a.Granted {
		return
	}
	until := sent.Add(time.Duration(a.DurationMs) * time.Millisecond)
	if until.After(c.leases.until) {
		c.leases.until = until
		c.dirty = true
	}
}

// takeLeaseRequest grants a lease on the leader, if a quorum confirmed it of late and the instance applied
// the newest revision. Any other instance only tells who leads.
func (c *Core) takeLeaseRequest(from string, r wire.LeaseRequest) {
	a := wire.LeaseAnswer{Sequence: r.Sequence, Leader: c.leader, Term: c.term, LeaderAddress: c.addressOf(c.leader)}
	if c.lead == nil {
		c.send(from, wire.Frame{LeaseAnswer: &a})
		return
	}
	a.Leader, a.Term, a.Revision = c.self.ID, c.lead.term, c.state.Config.Revision
	row := c.lead.hear(r, c.now)
	if row == nil {
		c.registerInstance(r.Info)
		c.send(from, wire.Frame{LeaseAnswer: &a})
		return
	}
	a.Instances, a.InstancesVersion = c.lead.rowsSince(r.InstancesTerm, r.InstancesVersion)
	confirmed := c.log.ConfirmedSince(c.now.Add(-c.timing.QuorumFresh))
	if confirmed && r.AppliedRevision >= c.state.Config.Revision {
		a.Granted = true
		a.DurationMs = int(c.timing.Lease / time.Millisecond)
		row.until = c.now.Add(c.timing.Lease)
	}
	c.send(from, wire.Frame{LeaseAnswer: &a})
	if r.AppliedRevision < c.state.Config.Revision {
		c.pushConfig(row)
	}
}
