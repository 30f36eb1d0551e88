package control

import (
	"plantainlane/plantainlane/state"
	"plantainlane/wire"
)

// runConfig pushes the newest configuration to instances that haven't applied it. Only the leader does so.
func (c *Core) runConfig() {
	if c.leaderState == nil {
		return
	}
	for _, row := range c.leaderState.rows {
		if row.appliedRevision < c.state.Config.Revision {
			c.pushConfig(row)
		}
	}
}

// pushConfig sends another instance one update from the revision that it confirmed to the newest one, unless an earlier
// push is unconfirmed or the instance hasn't told this leader what it has. Changes that are committed meanwhile share the
// next push, so that an instance that is behind is sent each declaration once.
func (c *Core) pushConfig(row *leaseRow) {
	newest := c.state.Config.Revision
	if !row.contacted || row.info.ID == c.self.ID || row.appliedRevision >= newest || row.pushedRevision > row.appliedRevision {
		return
	}
	row.pushedRevision = newest
	if row.appliedRevision == 0 {
		c.sendDepartures(row.info.ID)
	}
	update := c.updateSince(row.appliedRevision)
	c.send(row.info.ID, wire.Frame{Config: &update})
}

// forgetPush records that the last push to an instance may be lost, so that the next step pushes again.
func (c *Core) forgetPush(instance string) {
	if c.leaderState == nil {
		return
	}
	if row := c.leaderState.rows[instance]; row != nil {
		row.pushedRevision = 0
	}
}

// updateSince returns the update from a revision to the newest one: the merged change sets if all of them are kept,
// otherwise the whole configuration.
func (c *Core) updateSince(revision int) wire.ConfigUpdate {
	newest := c.state.Config.Revision
	evacuations := c.state.Config.EvacuationList()
	sets, isKept := c.changes.between(revision, newest)
	if revision == 0 || !isKept {
		return wire.ConfigUpdate{Revision: newest, Set: c.state.Config.Declarations(), Evacuations: evacuations}
	}
	set, remove := state.MergeChanges(sets)
	return wire.ConfigUpdate{FromRevision: revision, Revision: newest, Set: set, Remove: remove, Evacuations: evacuations}
}

// handleConfigUpdate applies an update, or a whole configuration if FromRevision is 0. An update also applies to a
// revision between its two, since it has the final value of each declaration that changed. An update from a later
// revision than the applied one shows that a push was lost.
func (c *Core) handleConfigUpdate(u wire.ConfigUpdate) {
	c.learnRevision(u.Revision)
	if u.Revision <= c.config.Revision {
		return
	}
	if u.FromRevision > c.config.Revision {
		c.learnPushed(u.Revision)
		return
	}
	base := c.config
	if u.FromRevision == 0 {
		base = state.Config{}
	}
	c.applyConfig(base.With(u.Set, u.Remove, u.Revision).WithEvacuations(u.Evacuations))
}
