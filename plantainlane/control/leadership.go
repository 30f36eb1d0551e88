package control

import (
	"maps"
	"slices"
	"time"

	"plantainlane/plantainlane/limit"
	"plantainlane/plantainlane/state"
	"plantainlane/wire"
)

// leaseRow is what the leader knows of one instance.
type leaseRow struct {
	// info is the newest the instance said of itself.
	info wire.InstanceInfo
	// applied is the newest revision the instance confirmed to this leader.
	applied int
	// until is when every lease it may hold has lapsed, also those that an earlier leader granted.
	until time.Time
	// heardAt is when it last asked for a lease.
	heardAt time.Time
	// version is the leader's row version at which info last changed.
	version int
	// pushed is the newest revision sent to it, at pushedAt.
	pushed   int
	pushedAt time.Time
}

// leadership is what only the leader keeps. It is built anew by each new leader.
type leadership struct {
	term  int
	since time.Time
	// rows by instance ID, one for each registered instance.
	rows    map[string]*leaseRow
	version int
	// accepted is the newest revision known to be in force everywhere.
	accepted int
	// waiting proposals by log index.
	waiting map[int]origin
	// changes that are committed and not yet known to be in force everywhere.
	changes []waitingChange
	// registering holds instances whose registration is under way.
	registering map[string]int
	// retentionAt is when old answers are dropped next.
	retentionAt time.Time
	// unanswered holds since when a replica has not answered, by replica ID.
	unanswered map[string]time.Time
	// transferAt is when leadership was last offered to another voter.
	transferAt time.Time
	// reads of the site that wait until a quorum confirms that this instance leads.
	reads []siteRead
	// grants records what instances may be using of the contracts; nil until the first request.
	grants *limit.Allocator
	// grantsRevision is the revision whose contracts grants has.
	grantsRevision int
}

type waitingChange struct {
	outcome wire.ChangeOutcome
	to      origin
	until   time.Time
}

// runLeadership takes up and gives up leadership, and reports changes that are in force everywhere.
func (c *Core) runLeadership() {
	if c.log == nil {
		return
	}
	l := c.log.Leadership()
	if !l.Self {
		return
	}
	if c.lead == nil {
		c.takeUpLeadership(l.Term)
	}
	c.syncRows()
	c.runAcceptance()
}

func (c *Core) takeUpLeadership(term int) {
	c.lead = &leadership{
		term:        term,
		since:       c.now,
		rows:        make(map[string]*leaseRow),
		waiting:     make(map[int]origin),
		registering: make(map[string]int),
		unanswered:  make(map[string]time.Time),
	}
	c.setLeader(c.self.ID, term)
	c.announceLeadership()
	c.record(wire.Event{Kind: "leadershipTaken"})
}

// giveUpLeadership drops what only a leader keeps. Waiting proposers ask the next leader.
func (c *Core) giveUpLeadership() {
	if c.lead == nil {
		return
	}
	c.lead = nil
	if c.leader == c.self.ID {
		c.leader = ""
		c.dirty = true
	}
	c.record(wire.Event{Kind: "leadershipLost"})
}

// syncRows keeps a row for each registered instance. An instance that this leader has not heard may hold a
// lease of an earlier leader, which lapses one lease after this leader's start at the latest.
func (c *Core) syncRows() {
	for id, info := range c.state.Instances.All() {
		row := c.lead.rows[id]
		if row != nil && row.info.Incarnation >= info.Incarnation {
			continue
		}
		c.lead.version++
		fresh := &leaseRow{info: info, until: c.lead.since.Add(c.timing.Lease), heardAt: c.now, version: c.lead.version}
		if row != nil && row.until.After(fresh.until) {
			fresh.until = row.until
		}
		c.lead.rows[id] = fresh
	}
	for id := range c.lead.rows {
		if !c.state.Instances.Has(id) {
			delete(c.lead.rows, id)
			c.lead.version++
		}
	}
}

// hear notes a lease request. It returns nil for an instance that is not registered with its incarnation.
func (l *leadership) hear(r wire.LeaseRequest, now time.Time) *leaseRow {
	row := l.rows[r.Info.ID]
	if row == nil || row.info.Incarnation != r.Info.Incarnation {
		return nil
	}
	row.heardAt = now
	row.applied = max(row.applied, r.AppliedRevision)
	r.Info.Silent = false
	l.update(row, r.Info)
	return row
}

func (l *leadership) update(row *leaseRow, info wire.InstanceInfo) {
	if row.info == info {
		return
	}
	l.version++
	row.info, row.version = info, l.version
}

// rowsSince returns the instance rows that changed since a version, all of them for another term's.
func (l *leadership) rowsSince(term, version int) ([]wire.InstanceInfo, int) {
	if term != l.term {
		version = 0
	}
	var out []wire.InstanceInfo
	for _, id := range slices.Sorted(maps.Keys(l.rows)) {
		if row := l.rows[id]; row.version > version {
			out = append(out, row.info)
		}
	}
	return out, l.version
}

// runAcceptance reports changes that are in force everywhere: every registered instance applied them, or
// holds no lease any more.
func (c *Core) runAcceptance() {
	revision := c.state.Config.Revision
	for _, row := range c.lead.rows {
		if row.applied < revision && c.now.Before(row.until) {
			revision = row.applied
		}
	}
	c.lead.accepted = max(c.lead.accepted, revision)
	kept := c.lead.changes[:0]
	for _, w := range c.lead.changes {
		switch {
		case w.outcome.Revision <= c.lead.accepted:
			w.outcome.State = state.ChangeAccepted
			c.answerChange(w)
		case c.now.After(w.until):
			c.answerChange(w)
		default:
			kept = append(kept, w)
		}
	}
	c.lead.changes = kept
}

func (c *Core) answerChange(w waitingChange) {
	w.outcome.CurrentRevision = c.state.Config.Revision
	revision := w.outcome.Revision
	c.record(wire.Event{Kind: "change." + w.outcome.State, Revision: &revision, Detail: &w.outcome.ChangeID})
	c.answerProposal(w.to, wire.ProposeAnswer{Committed: true, Change: &w.outcome})
}
