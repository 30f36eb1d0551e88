package control

import (
	"plantainlane/plantainlane/consensus"
	"plantainlane/plantainlane/state"
	"plantainlane/wire"
)

// keptDeltas is the number of change sets kept to bring instances up to date without the whole
// configuration.
const keptDeltas = 256

// runReplication passes time and messages between the log and the other replicas, and applies what the
// log committed.
func (c *Core) runReplication() {
	if c.log == nil {
		return
	}
	c.log.Tick(c.now)
	l := c.log.Leadership()
	if c.lead != nil && (!l.Self || l.Term != c.lead.term) {
		c.giveUpLeadership()
	}
	out := c.log.TakeOutput(c.now)
	for i := range out.Messages {
		m := out.Messages[i]
		c.send(InstanceOf(m.To), wire.Frame{Consensus: &m})
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

// compact hands a snapshot of the state to the log now and then.
func (c *Core) compact() {
	if c.applied-c.compacted < c.timing.SnapshotEvery && c.uncompacted < c.timing.SnapshotBytes {
		return
	}
	c.uncompacted = 0
	c.compacted = c.applied
	c.log.Compact(c.applied, c.state.Freeze().Encode)
}

func (c *Core) restore(s wire.Snapshot) {
	restored, err := state.Decode(s.Data)
	if err != nil {
		// The log verified the snapshot's checksum, so it was written by a version that this one can't
		// read. Going on would diverge.
		panic(err)
	}
	c.state, c.applied, c.compacted = restored, s.Index, s.Index
	c.adopt(restored.Config)
}

func (c *Core) applyEntry(e wire.LogEntry) {
	c.applied = e.Index
	c.uncompacted += len(e.Data)
	if e.Kind != consensus.KindCommand {
		return
	}
	var cmd wire.Command
	if err := wire.Decode(e.Data, &cmd); err != nil {
		panic(err)
	}
	before := c.state.Config.Revision
	out, err := c.state.Apply(cmd)
	if err != nil {
		panic(err)
	}
	if revision := c.state.Config.Revision; revision != before {
		c.deltas[revision] = cmd.Change
		delete(c.deltas, revision-keptDeltas)
		c.adopt(c.state.Config)
		c.record(wire.Event{Kind: "changeCommitted", Revision: &revision, Detail: &cmd.Change.ChangeID})
	}
	c.leadApplied(e.Index, out)
}

// adopt puts a configuration in force on this instance.
func (c *Core) adopt(config state.Config) {
	if config.Revision <= c.config.Revision {
		return
	}
	c.config = config
	c.dirty = true
	c.leases.requestNow()
	revision := config.Revision
	c.record(wire.Event{Kind: "revisionApplied", Revision: &revision})
}

// setLeader notes who leads. An older term is ignored.
func (c *Core) setLeader(instance string, term int) {
	if term < c.term || (term == c.term && instance == c.leader) {
		return
	}
	c.leader, c.term = instance, term
	c.dirty = true
	c.leases.requestNow()
	c.record(wire.Event{Kind: "leaderKnown", Detail: &instance})
}
