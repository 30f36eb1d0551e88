package control

import (
	"github.com/cockroachdb/errors"

	"plantainlane/plantainlane/consensus"
	"plantainlane/plantainlane/state"
	"plantainlane/wire"
	"plantainlane/wire/declaration"
)

// runReplication advances the log to the current time, sends the log's messages to the other replicas, and applies the
// committed entries to the state. It ends the leadership that the log has lost, and updates the known leader.
func (c *Core) runReplication() {
	if c.log == nil {
		return
	}
	c.log.Tick(c.now)
	l := c.log.Leadership()
	if c.leaderState != nil && (!l.Self || l.Term != c.leaderState.term) {
		c.endLeadership()
	}
	out := c.log.TakeOutput(c.now)
	for i := range out.Messages {
		m := out.Messages[i]
		c.send(InstanceOf(m.To), wire.Frame{Consensus: &m})
	}
	if out.LostElection != nil {
		c.recordLostElection(*out.LostElection)
	}
	if out.Restored != nil {
		c.restore(*out.Restored)
	}
	for _, e := range out.Committed {
		c.applyEntry(e)
	}
	if l.Replica != "" {
		c.setLeader(InstanceOf(l.Replica), l.Term)
	}
	c.self.Replica, c.self.ReplicaLog = c.log.Identity()
	c.compact()
}

// compact passes a snapshot of the state to the log after every SnapshotEvery entries or SnapshotBytes of commands,
// whichever comes first.
func (c *Core) compact() {
	if c.appliedIndex-c.snapshotIndex < c.timing.SnapshotEvery && c.bytesSinceSnapshot < c.timing.SnapshotBytes {
		return
	}
	c.bytesSinceSnapshot = 0
	c.snapshotIndex = c.appliedIndex
	c.log.Compact(c.appliedIndex, c.state.Freeze().Encode)
}

// restore replaces the state by a snapshot.
func (c *Core) restore(s wire.Snapshot) {
	restored, err := state.Decode(s.Data)
	if err != nil {
		// The log verified the checksum of the snapshot, so the snapshot was written by a version of the
		// program whose format this version can't read. Continuing without the snapshot would make the
		// state differ from that of the other replicas.
		panic(errors.Wrapf(err, "restore snapshot of the entries up to %d", s.Index))
	}
	c.state, c.appliedIndex, c.snapshotIndex = restored, s.Index, s.Index
	c.applyConfig(restored.Config)
	c.restoreDepartures()
	detail := membershipText(s.Replicas)
	c.record(wire.Event{Kind: "snapshotRestored", Revision: &restored.Config.Revision, Detail: &detail})
}

// applyEntry applies a committed entry to the state, and answers its proposal on the leader. It panics if the entry
// can't be applied, since the state would otherwise differ from that of the other replicas.
func (c *Core) applyEntry(e wire.LogEntry) {
	c.appliedIndex = e.Index
	c.bytesSinceSnapshot += len(e.Data)
	if e.Kind == consensus.KindMembership {
		c.recordCommittedMembership(e)
	}
	if e.Kind != consensus.KindCommand {
		return
	}
	var cmd wire.Command
	if err := wire.Decode(e.Data, &cmd); err != nil {
		panic(errors.Wrapf(err, "log entry %d", e.Index))
	}
	oldRevision := c.state.Config.Revision
	out, err := c.state.Apply(cmd)
	if err != nil {
		panic(errors.Wrapf(err, "apply log entry %d", e.Index))
	}
	if revision := c.state.Config.Revision; revision != oldRevision {
		c.recordChange(revision, cmd, len(e.Data))
		c.applyConfig(c.state.Config)
		if cmd.Evacuate != nil {
			c.sendEvacuations()
		}
	}
	if cmd.Quarantine != nil {
		c.recordQuarantine(cmd.Quarantine)
	}
	if cmd.Depart != nil && c.roster.Record(*cmd.Depart, c.now) {
		c.dirty = true
	}
	c.answerApplied(e.Index, out)
}

// recordChange keeps the change set of a command that created a revision, for updates of instances. An order to evacuate
// counts as an empty one, since updates contain the state of all zones.
func (c *Core) recordChange(revision int, cmd wire.Command, bytes int) {
	set, detail := cmd.Change, ""
	switch {
	case set != nil:
		detail = set.ChangeID
	default:
		set = &wire.ChangeSet{Set: declaration.Empty(), Remove: []wire.DeclarationName{}}
		detail = "evacuation of " + cmd.Evacuate.Zone
	}
	c.changes.add(revision, set, bytes)
	c.record(wire.Event{Kind: "changeCommitted", Revision: &revision, Detail: &detail})
}

// applyConfig applies a configuration to this instance. An older or equal revision is ignored. States of evacuated zones that
// are newer than those of the configuration are kept.
func (c *Core) applyConfig(config state.Config) {
	if config.Revision <= c.config.Revision {
		return
	}
	c.config = config.WithEvacuations(c.config.EvacuationList())
	c.learnEvacuations()
	c.freshness.update(c.now, config.Revision)
	c.dirty = true
	c.lease.requestNow()
	revision := config.Revision
	c.record(wire.Event{Kind: "revisionApplied", Revision: &revision})
}

// setLeader records which instance leads in a term. An older term is ignored.
func (c *Core) setLeader(instance string, term int) {
	if term < c.term || (term == c.term && instance == c.leader) {
		return
	}
	c.leader, c.term = instance, term
	c.dirty = true
	c.lease.answeredAt = c.now
	c.lease.requestNow()
	c.record(wire.Event{Kind: "leaderKnown", Detail: &instance})
}
