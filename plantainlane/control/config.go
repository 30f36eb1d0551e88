package control

import (
	"time"

	"plantainlane/plantainlane/state"
	"plantainlane/wire"
)

// pushRetryInterval is how long the leader waits for an instance to confirm a pushed revision before the
// leader pushes the revision again.
const pushRetryInterval = time.Second

// maxPushedChangeSets is the largest number of change sets that are pushed one by one. An instance that lacks
// more change sets receives the whole configuration.
const maxPushedChangeSets = 64

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

// pushConfig sends another instance the part of the newest configuration that the instance lacks: the missing change
// sets if all of them are kept and there are at most maxPushedChangeSets, otherwise the whole configuration. If the
// last push was less than pushRetryInterval ago, the revisions sent by then count as applied, so that they aren't sent
// twice.
func (c *Core) pushConfig(row *leaseRow) {
	newest := c.state.Config.Revision
	retry := c.now.Sub(row.pushedAt) >= pushRetryInterval
	if row.info.ID == c.self.ID || (row.pushedRevision == newest && !retry) {
		return
	}
	from := row.appliedRevision
	if !retry {
		from = max(from, row.pushedRevision)
	}
	row.pushedRevision, row.pushedAt = newest, c.now
	if from > 0 && newest-from <= maxPushedChangeSets && c.hasChangeSets(from, newest) {
		c.pushChangeSets(row.info.ID, from, newest)
		return
	}
	c.send(row.info.ID, wire.Frame{Config: &wire.ConfigUpdate{
		Revision: newest,
		Set:      c.state.Config.Declarations(),
	}})
}

// hasChangeSets reports whether the change sets of all revisions after from, up to and including to, are kept.
func (c *Core) hasChangeSets(from, to int) bool {
	for r := from + 1; r <= to; r++ {
		if c.changeSets[r] == nil {
			return false
		}
	}
	return true
}

// pushChangeSets sends an instance the change sets of all revisions after from, up to and including to, in order.
func (c *Core) pushChangeSets(instance string, from, to int) {
	for r := from + 1; r <= to; r++ {
		d := c.changeSets[r]
		c.send(instance, wire.Frame{Config: &wire.ConfigUpdate{
			FromRevision: r - 1,
			Revision:     r,
			Set:          d.Set,
			Remove:       d.Remove,
		}})
	}
}

// handleConfigUpdate applies a pushed change set, or a whole configuration if FromRevision is 0. A change set that
// isn't based on the applied revision is dropped: the next lease request reports the applied revision, and the leader
// pushes again from there.
func (c *Core) handleConfigUpdate(u wire.ConfigUpdate) {
	if u.Revision <= c.config.Revision {
		return
	}
	base := state.Config{}
	if u.FromRevision != 0 {
		if u.FromRevision != c.config.Revision {
			return
		}
		base = c.config
	}
	c.applyConfig(base.With(u.Set, u.Remove, u.Revision))
}
