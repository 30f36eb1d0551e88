package control

import (
	"time"

	"plantainlane/plantainlane/state"
	"plantainlane/wire"
)

// pushAgainAfter is how long the leader waits for an instance to confirm a pushed revision before it is
// pushed again.
const pushAgainAfter = time.Second

// maxPushedDeltas is the number of change sets pushed one by one; an instance that lacks more gets the
// whole configuration.
const maxPushedDeltas = 64

// runConfig pushes the newest configuration to instances that lack it.
func (c *Core) runConfig() {
	if c.lead == nil {
		return
	}
	for _, row := range c.lead.rows {
		if row.applied < c.state.Config.Revision {
			c.pushConfig(row)
		}
	}
}

func (c *Core) pushConfig(row *leaseRow) {
	newest := c.state.Config.Revision
	again := c.now.Sub(row.pushedAt) >= pushAgainAfter
	if row.info.ID == c.self.ID || (row.pushed == newest && !again) {
		return
	}
	from := row.applied
	if !again {
		from = max(from, row.pushed)
	}
	row.pushed, row.pushedAt = newest, c.now
	if from > 0 && newest-from <= maxPushedDeltas && c.hasDeltas(from, newest) {
		c.pushDeltas(row.info.ID, from, newest)
		return
	}
	c.send(row.info.ID, wire.Frame{Config: &wire.ConfigUpdate{
		Revision: newest,
		Set:      c.state.Config.Declarations(),
	}})
}

func (c *Core) hasDeltas(from, to int) bool {
	for r := from + 1; r <= to; r++ {
		if c.deltas[r] == nil {
			return false
		}
	}
	return true
}

func (c *Core) pushDeltas(instance string, from, to int) {
	for r := from + 1; r <= to; r++ {
		d := c.deltas[r]
		c.send(instance, wire.Frame{Config: &wire.ConfigUpdate{
			FromRevision: r - 1,
			Revision:     r,
			Set:          d.Set,
			Remove:       d.Remove,
		}})
	}
}

// takeConfig applies a pushed configuration. An update that doesn't follow on the applied revision is
// dropped; the leader pushes again from what the next lease request says.
func (c *Core) takeConfig(u wire.ConfigUpdate) {
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
	c.adopt(base.With(u.Set, u.Remove, u.Revision))
}
