package control

import (
	"strings"
	"time"

	"plantainlane/plantainlane/consensus"
	"plantainlane/wire"
)

// transferAgainAfter is the period at which a draining leader offers its leadership.
const transferAgainAfter = 2 * time.Second

// runMembership keeps the voters of the control log: it replaces lost and draining ones by spare replicas
// that have caught up, and hands leadership over before the leader stops.
func (c *Core) runMembership() {
	if c.lead == nil {
		return
	}
	statuses := c.log.ReplicaStatuses(c.now)
	if statuses == nil {
		return
	}
	c.noteUnanswered(statuses)
	candidates := c.candidates(statuses)
	set := c.log.Replicas()
	step := nextMembership(set, placeVoters(candidates, c.voters), candidates, c.self.Replica)
	if step.change && c.log.ProposeReplicas(step.set, c.now) == nil {
		c.recordMembership(step.set)
	}
	if (step.transfer || c.draining) && c.now.Sub(c.lead.transferAt) >= transferAgainAfter {
		c.lead.transferAt = c.now
		c.log.Transfer(c.now)
	}
}

// noteUnanswered keeps since when each replica has not answered.
func (c *Core) noteUnanswered(statuses []consensus.ReplicaStatus) {
	unanswered := make(map[string]time.Time)
	for _, s := range statuses {
		if s.Answered {
			continue
		}
		since, known := c.lead.unanswered[s.ID]
		if !known {
			since = c.now
		}
		unanswered[s.ID] = since
	}
	c.lead.unanswered = unanswered
}

// candidates returns the current replicas and every spare one.
func (c *Core) candidates(statuses []consensus.ReplicaStatus) []candidate {
	var out []candidate
	known := map[string]bool{}
	for _, s := range statuses {
		known[s.ID] = true
		row := c.lead.rows[InstanceOf(s.ID)]
		out = append(out, candidate{
			replica: s.ID, voter: s.Voter, learner: !s.Voter, caughtUp: s.CaughtUp, answers: s.Answered,
			zone: zoneOf(row), usable: c.isUsable(s.ID, row),
		})
	}
	_, log := c.log.Identity()
	for _, row := range c.lead.rows {
		id := row.info.Replica
		fits := row.info.ReplicaLog == "" || row.info.ReplicaLog == log
		if id == "" || known[id] || !fits || row.info.Silent {
			continue
		}
		out = append(out, candidate{replica: id, zone: row.info.Zone, usable: c.isUsable(id, row)})
	}
	return out
}

func zoneOf(row *leaseRow) string {
	if row == nil {
		return ""
	}
	return row.info.Zone
}

// isUsable tells whether a replica may vote: its instance still has it, doesn't drain, and it was not
// unheard for too long.
func (c *Core) isUsable(id string, row *leaseRow) bool {
	since, silent := c.lead.unanswered[id]
	if silent && c.now.Sub(since) >= c.timing.ReplaceAfter {
		return false
	}
	if row == nil {
		return !silent
	}
	return row.info.Replica == id && !row.info.Draining
}

func (c *Core) recordMembership(set wire.ReplicaSet) {
	detail := "voters " + strings.Join(set.Voters, ", ") + "; learners " + strings.Join(set.Learners, ", ")
	c.record(wire.Event{Kind: "membershipProposed", Detail: &detail})
}
