package control

import (
	"slices"
	"time"

	"plantainlane/plantainlane/quarantine"
	"plantainlane/wire"
)

const (
	// blameRetry is how long the leader waits for an entry that it proposed before it proposes the entry again.
	blameRetry = 500 * time.Millisecond
	// blameInterval is the least time between two looks of the leader at its evidence, reviewInterval the time after which it
	// looks though nothing was reported, since old evidence counts no more.
	blameInterval  = 200 * time.Millisecond
	reviewInterval = time.Second
	// tellInterval is the least time after which all instances are told of other suspects.
	tellInterval = 500 * time.Millisecond
	// urgentTell is that time if other requests are to be sent as trials only.
	urgentTell = 20 * time.Millisecond
)

// quarantining is the state with which an instance reports to the leader what its guard has recorded.
type quarantining struct {
	guard *quarantine.Guard
	// reportedTerm is the term whose leader is told everything.
	reportedTerm int
}

// blaming is the state with which the leader finds content that is to blame for the ends of upstreams, and tells the
// instances.
type blaming struct {
	detector *quarantine.Detector
	// suspects are those that the instances were told, and suspectsVersion counts their changes.
	suspects        []wire.SuspectPart
	suspectsVersion int
	// toldVersion is the version of the entries that the instances were told. They are told of other suspects at nextTell.
	toldVersion int
	nextTell    time.Time
	// trials is the number of the last trial.
	trials int
	// proposed holds when entries were proposed that aren't in the state yet, by ID.
	proposed map[string]time.Time
	// nextBlame is when the evidence is looked at next if there was a report, nextReview when it is in any case.
	nextBlame, nextReview time.Time
}

// WithGuard has the core report to the leader what the guard has recorded, and supply the guard with the quarantine.
func WithGuard(g *quarantine.Guard) Option {
	return func(c *Core) { c.quarantining.guard = g }
}

// QuarantineObserved reports that the guard has something to report to the leader, which the next step does.
type QuarantineObserved struct{}

func (QuarantineObserved) input() {}

// runQuarantine makes a lease request due if the guard has something to report, since lease requests report it. A new
// leader is told everything. The leader looks at the evidence and tells the other instances what has changed.
func (c *Core) runQuarantine() {
	q := &c.quarantining
	if q.reportedTerm != c.term {
		q.reportedTerm = c.term
		q.guard.Repeat()
	}
	if q.guard.TakeChanged() {
		c.lease.requestNow()
	}
	if c.leaderState != nil {
		c.blame()
		c.tellQuarantine()
	}
}

// blame proposes entries for content that is to blame.
func (c *Core) blame() {
	b := &c.leaderState.blaming
	if c.now.Before(b.nextBlame) || !b.detector.TakeChanged(c.now) && c.now.Before(b.nextReview) {
		return
	}
	b.nextBlame, b.nextReview = c.now.Add(blameInterval), c.now.Add(reviewInterval)
	known := c.quarantineEntries()
	found := append(b.detector.Blame(c.now, known), b.detector.Narrowed(c.now, known)...)
	for i := range found {
		c.proposeEntry(&found[i])
	}
	for id, at := range b.proposed {
		if c.now.Sub(at) > blameRetry {
			delete(b.proposed, id)
		}
	}
}

// proposeEntry appends the command that sets an entry, unless that was done a short time ago.
func (c *Core) proposeEntry(e *wire.QuarantineEntry) {
	b := &c.leaderState.blaming
	if _, ok := b.proposed[e.ID]; ok {
		return
	}
	b.proposed[e.ID] = c.now
	c.appendProposal(origin{}, wire.Command{Quarantine: &wire.QuarantineChange{AtMs: int(c.now.UnixMilli()), Entry: e}})
}

// tellQuarantine sends the quarantine to all instances that this leader knows, if it has changed. Instances that miss it get
// it with the answer to their next lease request.
func (c *Core) tellQuarantine() {
	b := &c.leaderState.blaming
	isChanged := b.toldVersion != c.state.QuarantineVersion
	if !c.now.Before(b.nextTell) || !c.now.Before(b.nextTell.Add(urgentTell-tellInterval)) && b.detector.TakeTriedChanged() {
		isChanged = c.listSuspects() || isChanged
	}
	if !isChanged {
		return
	}
	b.toldVersion = c.state.QuarantineVersion
	u := c.quarantineUpdate()
	for id, row := range c.leaderState.rows {
		if row.contacted && !row.info.Silent {
			c.send(id, wire.Frame{Quarantine: u})
		}
	}
}

// listSuspects updates the suspects that instances are told of, and reports whether they have changed.
func (c *Core) listSuspects() bool {
	b := &c.leaderState.blaming
	b.nextTell = c.now.Add(tellInterval)
	suspects := b.detector.Suspects(c.now)
	if slices.Equal(b.suspects, suspects) {
		return false
	}
	b.suspects = suspects
	b.suspectsVersion++
	return true
}

// quarantineEntries returns the entries of the state, in the order of their IDs.
func (c *Core) quarantineEntries() []wire.QuarantineEntry {
	entries := make([]wire.QuarantineEntry, 0, c.state.Quarantine.Len())
	for _, e := range c.state.Quarantine.All() {
		entries = append(entries, e)
	}
	return entries
}

// quarantineUpdate returns the quarantine as this leader knows it.
func (c *Core) quarantineUpdate() *wire.QuarantineUpdate {
	b := &c.leaderState.blaming
	return &wire.QuarantineUpdate{
		Version: c.state.QuarantineVersion, Entries: c.quarantineEntries(),
		SuspectsVersion: b.suspectsVersion, Suspects: append([]wire.SuspectPart{}, b.suspects...),
	}
}

// addQuarantineReport adds what a lease request reports to the leader's evidence, and the quarantine to the answer if the
// sender may lack it.
func (c *Core) addQuarantineReport(r *wire.LeaseRequest, a *wire.LeaseAnswer) {
	b := &c.leaderState.blaming
	b.detector.Report(c.now, r.BrokenSends, r.ServedParts)
	if r.QuarantineVersion != c.state.QuarantineVersion || r.SuspectsVersion != b.suspectsVersion {
		a.Quarantine = c.quarantineUpdate()
	}
}

// handleQuarantine passes an update to the guard if it is the known leader's.
func (c *Core) handleQuarantine(from string, u *wire.QuarantineUpdate) {
	if from == c.leader {
		c.learnQuarantine(u)
	}
}

// learnQuarantine passes an update of the leader to the guard.
func (c *Core) learnQuarantine(u *wire.QuarantineUpdate) {
	if u != nil && c.quarantining.guard != nil {
		c.quarantining.guard.Learn(c.now, *u)
	}
}

// handleTrialQuery answers a query for the trial of a suspect request. Only a leader that a quorum confirmed within the last
// QuorumFresh allows trials, since another instance may lead otherwise; others don't answer.
func (c *Core) handleTrialQuery(to origin, q wire.TrialQuery) {
	if c.leaderState == nil || !c.isConfirmed() {
		return
	}
	b := &c.leaderState.blaming
	a := b.detector.Trial(c.now, q, b.trials+1)
	if a.Trial != 0 {
		b.trials = a.Trial
	}
	c.send(to.instance, wire.Frame{Call: to.call, TrialAnswer: &a})
}

// recordQuarantine records an applied change of the quarantine.
func (c *Core) recordQuarantine(change *wire.QuarantineChange) {
	switch {
	case change.Entry != nil:
		detail := change.Entry.ID + " " + change.Entry.Service + " " + quarantine.Text(change.Entry)
		c.record(wire.Event{Kind: "quarantineSet", Detail: &detail, Workspace: &change.Entry.Workspace})
	case change.Lift != nil:
		c.record(wire.Event{Kind: "quarantineLifted", Detail: change.Lift})
	}
}

// rosterUpstreams implements quarantine.Upstreams with the roster of an instance.
type rosterUpstreams struct {
	core *Core
}

// RenewedAt returns when the newest announcement of an upstream was received if it is of this incarnation.
func (u rosterUpstreams) RenewedAt(upstream string, incarnation int) time.Time {
	row, ok := u.core.roster.View().Rows.Get(upstream)
	if !ok || row.Announcement.Incarnation != incarnation {
		return time.Time{}
	}
	return row.Until.Add(-time.Duration(row.Announcement.TTLMs) * time.Millisecond)
}

// IsLeaving reports whether an upstream has announced, in this incarnation, that it is leaving, or is in an evacuated zone,
// whose processes are stopped by operators.
func (u rosterUpstreams) IsLeaving(upstream string, incarnation int) bool {
	row, ok := u.core.roster.View().Rows.Get(upstream)
	if !ok || row.Announcement.Incarnation != incarnation {
		return false
	}
	return row.Announcement.Leaving || u.core.config.IsEvacuated(row.Announcement.Zone)
}

// newBlaming returns the state of a new leader.
func newBlaming(c *Core) blaming {
	return blaming{
		detector: quarantine.NewDetector(rosterUpstreams{c}), proposed: make(map[string]time.Time),
		suspectsVersion: c.log.Leadership().Term << callBits, trials: c.log.Leadership().Term << callBits,
	}
}
