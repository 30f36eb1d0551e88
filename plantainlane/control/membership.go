package control

import (
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"plantainlane/plantainlane/consensus"
	"plantainlane/wire"
)

// transferInterval is the period at which a leader that is draining or to be removed offers its leadership to another
// voter.
const transferInterval = 2 * time.Second

// runMembership maintains the voters of the control log. It replaces lost and draining voters with spare replicas
// that have caught up, and transfers the leadership before the leader stops. Only the leader does so.
func (c *Core) runMembership() {
	if c.leaderState == nil {
		return
	}
	statuses := c.log.ReplicaStatuses(c.now)
	if statuses == nil {
		return
	}
	c.recordUnresponsive(statuses)
	candidates := c.candidates(statuses)
	set := c.log.Replicas()
	step := nextMembership(set, placeVoters(candidates, c.voterCount), candidates, c.self.Replica)
	if step.change && c.log.ProposeReplicas(step.set, c.now) == nil {
		c.recordMembership(step.set)
	}
	if (step.transfer || c.draining) && c.now.Sub(c.leaderState.lastTransfer) >= transferInterval {
		c.leaderState.lastTransfer = c.now
		c.log.Transfer(c.now)
	}
}

// recordUnresponsive keeps the time since which each unresponsive replica has not answered, and forgets replicas that
// answer again. The previous leader has been silent since before this leadership.
func (c *Core) recordUnresponsive(statuses []consensus.ReplicaStatus) {
	unresponsive := make(map[string]time.Time)
	for _, s := range statuses {
		since, known := c.leaderState.unresponsiveSince[s.ID]
		if s.Answered {
			if known {
				c.record(wire.Event{Kind: "replicaResponds", Detail: &s.ID})
			}
			continue
		}
		if !known {
			since = c.now
			if !s.SilentSince.IsZero() {
				since = s.SilentSince
			}
			c.record(wire.Event{Kind: "replicaUnresponsive", Detail: &s.ID})
		}
		unresponsive[s.ID] = since
	}
	c.leaderState.unresponsiveSince = unresponsive
}

// candidates returns the current replicas and all spare replicas. A spare replica belongs to this log or to none, and
// to an instance that has requested a lease within ReplaceAfter.
func (c *Core) candidates(statuses []consensus.ReplicaStatus) []candidate {
	var out []candidate
	known := map[string]bool{}
	for _, s := range statuses {
		known[s.ID] = true
		row := c.leaderState.rows[InstanceOf(s.ID)]
		superseded := row != nil && row.info.Replica != "" && row.info.Replica != s.ID
		out = append(out, candidate{
			replica: s.ID, voter: s.Voter, learner: !s.Voter, caughtUp: s.CaughtUp, responsive: s.Answered && !superseded,
			zone: zoneOf(row), usable: c.isUsable(s.ID, row), superseded: superseded,
		})
	}
	_, log := c.log.Identity()
	for _, row := range c.leaderState.rows {
		id := row.info.Replica
		joinable := row.info.ReplicaLog == "" || row.info.ReplicaLog == log
		recent := row.contacted && c.now.Sub(row.lastSeen) < c.timing.ReplaceAfter
		if id == "" || known[id] || !joinable || row.info.Silent || !recent {
			continue
		}
		out = append(out, candidate{replica: id, zone: row.info.Zone, usable: c.isUsable(id, row)})
	}
	return out
}

// zoneOf returns the availability zone of an instance; empty for an instance without a row.
func zoneOf(row *leaseRow) string {
	if row == nil {
		return ""
	}
	return row.info.Zone
}

// isUsable reports whether a replica may vote: its instance still holds the replica and isn't draining, and the
// replica has not been unresponsive for ReplaceAfter or longer. A replica whose instance has no row is usable while
// the replica responds.
func (c *Core) isUsable(id string, row *leaseRow) bool {
	since, unresponsive := c.leaderState.unresponsiveSince[id]
	// A new leader gives every replica half of the time to answer.
	hadTime := c.now.Sub(c.leaderState.since) >= c.timing.ReplaceAfter/2
	if unresponsive && hadTime && c.now.Sub(since) >= c.timing.ReplaceAfter {
		return false
	}
	if row == nil {
		return !unresponsive
	}
	return row.info.Replica == id && !row.info.Draining
}

// membershipText returns the voters and learners of a membership as a text for the time line.
func membershipText(set wire.ReplicaSet) string {
	text := "voters " + strings.Join(set.Voters, ", ") + "; learners " + strings.Join(set.Learners, ", ")
	if len(set.PreviousVoters) > 0 {
		text += "; voters before, in use beside the new ones: " + strings.Join(set.PreviousVoters, ", ")
	}
	return text
}

// recordMembership adds a proposed membership to the time line.
func (c *Core) recordMembership(set wire.ReplicaSet) {
	detail := membershipText(set)
	c.record(wire.Event{Kind: "membershipProposed", Detail: &detail})
}

// recordCommittedMembership adds a committed membership to the time line.
func (c *Core) recordCommittedMembership(e wire.LogEntry) {
	var set wire.ReplicaSet
	if err := wire.Decode(e.Data, &set); err != nil {
		panic(errors.Wrapf(err, "membership in log entry %d", e.Index))
	}
	detail := membershipText(set)
	c.record(wire.Event{Kind: "membershipCommitted", Detail: &detail})
}

// recordLostElection adds an election that this replica did not win to the time line.
func (c *Core) recordLostElection(e consensus.Election) {
	detail := "term " + strconv.Itoa(e.Term) + ": votes of " + strings.Join(e.Granted, ", ") + "; voters " + strings.Join(e.Voters, ", ")
	c.record(wire.Event{Kind: "electionLost", Detail: &detail})
}
