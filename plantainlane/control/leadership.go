package control

import (
	"time"

	"plantainlane/plantainlane/limit"
	"plantainlane/plantainlane/quota"
	"plantainlane/plantainlane/state"
	"plantainlane/wire"
)

// leaseRow is the leader's record of one instance.
type leaseRow struct {
	// info is the newest description that the instance sent of itself, with Silent set by the leader.
	info wire.InstanceInfo
	// appliedRevision is the newest revision that the instance confirmed to this leader as applied.
	appliedRevision int
	// leaseUntil is when every lease that the instance may hold has expired, including leases from a previous leader.
	leaseUntil time.Time
	// lastSeen is when the instance last requested a lease, or when this leadership or its registration began.
	lastSeen time.Time
	// contacted is set once the instance has requested a lease from this leader.
	contacted bool
	// nextContact is when the leader contacts the instance next while it is silent or not contacted.
	nextContact time.Time
	// version is the leader's row version at which info last changed.
	version int
	// pushedRevision is the revision of the last push to the instance; 0 if that push is known to be lost. Nothing more
	// is pushed until the instance has confirmed it.
	pushedRevision int
}

// leaderState is the state that only the leader has. Each leadership starts with an empty one.
type leaderState struct {
	term int
	// since is when this leadership started.
	since time.Time
	// rows holds one row for each registered instance, by instance ID.
	rows map[string]*leaseRow
	// version counts the changes of rows, so that an instance is sent only the rows that changed.
	version int
	// digest is that of all rows.
	digest rowDigest
	// rowBudget bounds the rows that are sent.
	rowBudget rowBudget
	// acceptedRevision is the newest revision known to be in force everywhere.
	acceptedRevision int
	// origins holds the origins of proposals that aren't committed yet, by log index.
	origins map[int]origin
	// waitingChanges holds the changes that are committed and not yet known to be in force everywhere.
	waitingChanges []waitingChange
	// registering holds the newest incarnation of each instance whose registration this leader appended, by
	// instance ID.
	registering map[string]int
	// nextRetention is when old stored answers are dropped next.
	nextRetention time.Time
	// unresponsiveSince holds the time since which each unresponsive replica has not answered, by replica ID.
	unresponsiveSince map[string]time.Time
	// lastTransfer is when leadership was last offered to another voter.
	lastTransfer time.Time
	// siteReads holds the queries for the site document that wait until a quorum confirms that this instance leads.
	siteReads []siteRead
	// allocator divides the contracts among the instances; nil until the first grant request.
	allocator *limit.Allocator
	// allocatorRevision is the configuration revision whose contracts the allocator has.
	allocatorRevision int
	// quotas issues permits for upstreams that name a limit.
	quotas *quota.Allocator
	// blaming finds content that is to blame for the ends of upstreams.
	blaming blaming
}

// waitingChange is a committed change whose origin is answered once the change is in force everywhere, or after until.
type waitingChange struct {
	outcome wire.ChangeOutcome
	origin  origin
	until   time.Time
}

// runLeadership starts the leadership once the log reports that this replica leads, updates the rows of the
// instances, and answers changes that are in force everywhere.
func (c *Core) runLeadership() {
	if c.log == nil {
		return
	}
	l := c.log.Leadership()
	if !l.Self {
		return
	}
	if c.leaderState == nil {
		c.startLeadership(l.Term)
	}
	c.syncRows()
	c.runAcceptance()
}

// startLeadership creates the leader's state and announces the leadership to the other instances.
func (c *Core) startLeadership(term int) {
	c.leaderState = &leaderState{
		term:              term,
		since:             c.now,
		rows:              make(map[string]*leaseRow),
		quotas:            quota.NewAllocator(c.random.Uint64()),
		blaming:           newBlaming(c),
		origins:           make(map[int]origin),
		registering:       make(map[string]int),
		unresponsiveSince: make(map[string]time.Time),
	}
	c.setLeader(c.self.ID, term)
	c.announceLeadership()
	c.record(wire.Event{Kind: "leadershipTaken"})
}

// endLeadership drops the state that only a leader has. Waiting proposers retry at the next leader.
func (c *Core) endLeadership() {
	if c.leaderState == nil {
		return
	}
	c.leaderState = nil
	if c.leader == c.self.ID {
		c.leader = ""
		c.dirty = true
	}
	c.record(wire.Event{Kind: "leadershipLost"})
}

// syncRows adds and removes rows so that there is one for each registered instance. A new row is as this instance knows it
// from the previous leader, if it does. An instance from which this leader
// has not received a lease request may hold a lease from a previous leader, which expires at the latest one lease
// length after the start of this leadership.
func (c *Core) syncRows() {
	for id, info := range c.state.Instances.All() {
		row := c.leaderState.rows[id]
		if row != nil && row.info.Incarnation >= info.Incarnation {
			continue
		}
		if known, ok := c.instances.rows.Get(id); ok && known.Incarnation == info.Incarnation {
			info = known
		}
		added := &leaseRow{
			info: info, leaseUntil: c.leaderState.since.Add(c.timing.Lease), lastSeen: c.now, nextContact: c.now.Add(c.timing.LeaseInterval),
		}
		if row != nil && row.leaseUntil.After(added.leaseUntil) {
			added.leaseUntil = row.leaseUntil
		}
		c.leaderState.putRow(added)
	}
	for id := range c.leaderState.rows {
		if !c.state.Instances.Has(id) {
			c.leaderState.deleteRow(id)
		}
	}
}

// recordContact updates the row of an instance from its lease request, and returns the row, or nil if the
// incarnation of the instance is not registered.
func (l *leaderState) recordContact(r wire.LeaseRequest, now time.Time) *leaseRow {
	row := l.rows[r.Info.ID]
	if row == nil || row.info.Incarnation != r.Info.Incarnation {
		return nil
	}
	row.lastSeen, row.contacted = now, true
	row.appliedRevision = max(row.appliedRevision, r.AppliedRevision)
	if r.LostRevision > 0 && r.LostRevision >= row.pushedRevision {
		row.pushedRevision = 0
	}
	r.Info.Silent = false
	l.updateRow(row, r.Info)
	return row
}

// runAcceptance answers changes that are in force everywhere: every registered instance has applied the change or no
// longer holds a lease. It answers changes that have waited for AcceptWait as pending.
func (c *Core) runAcceptance() {
	revision := c.state.Config.Revision
	for _, row := range c.leaderState.rows {
		if row.appliedRevision < revision && c.now.Before(row.leaseUntil) {
			revision = row.appliedRevision
		}
	}
	c.leaderState.acceptedRevision = max(c.leaderState.acceptedRevision, revision)
	kept := c.leaderState.waitingChanges[:0]
	for _, w := range c.leaderState.waitingChanges {
		switch {
		case w.outcome.Revision <= c.leaderState.acceptedRevision:
			w.outcome.State = state.ChangeAccepted
			c.answerChange(w)
		case c.now.After(w.until):
			c.answerChange(w)
		default:
			kept = append(kept, w)
		}
	}
	c.leaderState.waitingChanges = kept
}

// answerChange sends the outcome of a change to its origin.
func (c *Core) answerChange(w waitingChange) {
	w.outcome.CurrentRevision = c.state.Config.Revision
	revision := w.outcome.Revision
	c.record(wire.Event{Kind: "change." + w.outcome.State, Revision: &revision, Detail: &w.outcome.ChangeID})
	c.answerProposal(w.origin, wire.ProposeAnswer{Committed: true, Change: &w.outcome})
}
