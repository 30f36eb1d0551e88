package consensus

import (
	"time"

	"plantainlane/wire"
)

// Kinds of wire.ConsensusMessage.
const (
	kindPreVote        = "preVote"
	kindPreVoteAnswer  = "preVoteAnswer"
	kindVote           = "vote"
	kindVoteAnswer     = "voteAnswer"
	kindAppend         = "append"
	kindAppendAnswer   = "appendAnswer"
	kindSnapshot       = "snapshot"
	kindSnapshotAnswer = "snapshotAnswer"
	kindTimeoutNow     = "timeoutNow"
)

func (n *Node) resetElection(now time.Time) {
	t := n.cfg.ElectionTimeout
	n.electionAt = now.Add(t + time.Duration(n.rand.Int64N(int64(t))))
}

func (n *Node) becomeFollower(term int, leader string, now time.Time) {
	if term > n.hard.Term {
		n.hard.Term, n.hard.Vote = term, ""
		n.ready.hardChanged = true
	}
	if n.role == Leader {
		n.lead = leading{}
	}
	n.role, n.leader, n.votes = Follower, leader, nil
	n.resetElection(now)
}

// preCampaign asks whether an election could be won, without raising the term.
func (n *Node) preCampaign(now time.Time) {
	n.role, n.leader = PreCandidate, ""
	n.votes = map[string]bool{n.cfg.ID: true}
	n.resetElection(now)
	if n.hasWon() {
		n.campaign(false, now)
		return
	}
	for _, id := range n.replicas().Voters {
		if id == n.cfg.ID {
			continue
		}
		m := n.message(kindPreVote, id)
		m.Term = n.hard.Term + 1
		m.PrevIndex, m.PrevTerm = n.log.last(), n.log.lastTerm()
		n.send(m)
	}
}

// campaign starts an election. The own vote counts like any other: once it is durable.
func (n *Node) campaign(transfer bool, now time.Time) {
	n.role, n.leader = Candidate, ""
	n.votes = map[string]bool{}
	n.hard.Term++
	n.hard.Vote = n.cfg.ID
	n.ready.hardChanged = true
	n.resetElection(now)
	for _, id := range n.replicas().Voters {
		if id == n.cfg.ID {
			own := n.message(kindVoteAnswer, id)
			own.Granted = true
			n.sendDurable(own)
			continue
		}
		m := n.message(kindVote, id)
		m.PrevIndex, m.PrevTerm, m.Transfer = n.log.last(), n.log.lastTerm(), transfer
		n.sendDurable(m)
	}
}

// isSticky tells whether a live leader may still rely on this voter.
func (n *Node) isSticky(now time.Time) bool {
	return n.role == Leader || now.Sub(n.heardAt) < n.cfg.ElectionTimeout
}

func (n *Node) isUpToDate(m wire.ConsensusMessage) bool {
	last := n.log.lastTerm()
	return m.PrevTerm > last || m.PrevTerm == last && m.PrevIndex >= n.log.last()
}

func (n *Node) handlePreVote(m wire.ConsensusMessage, now time.Time) {
	if n.isSticky(now) {
		return
	}
	a := n.message(kindPreVoteAnswer, m.From)
	a.Granted = m.Term > n.hard.Term && n.isUpToDate(m)
	if a.Granted {
		a.Term = m.Term
	}
	n.sendDurable(a)
}

func (n *Node) handlePreVoteAnswer(m wire.ConsensusMessage, now time.Time) {
	switch {
	case !m.Granted && m.Term > n.hard.Term:
		n.becomeFollower(m.Term, "", now)
	case n.role == PreCandidate && m.Granted && m.Term == n.hard.Term+1:
		n.votes[m.From] = true
		if n.hasWon() {
			n.campaign(false, now)
		}
	}
}

func (n *Node) handleVote(m wire.ConsensusMessage, now time.Time) {
	if n.isSticky(now) && !m.Transfer {
		return
	}
	if m.Term > n.hard.Term {
		n.becomeFollower(m.Term, "", now)
	}
	a := n.message(kindVoteAnswer, m.From)
	free := n.hard.Vote == "" || n.hard.Vote == m.From
	a.Granted = m.Term == n.hard.Term && free && n.isUpToDate(m)
	if a.Granted && n.hard.Vote == "" {
		n.hard.Vote = m.From
		n.ready.hardChanged = true
		n.becomeFollower(n.hard.Term, "", now)
	}
	n.sendDurable(a)
}

func (n *Node) handleVoteAnswer(m wire.ConsensusMessage, now time.Time) {
	switch {
	case m.Term > n.hard.Term:
		n.becomeFollower(m.Term, "", now)
	case n.role == Candidate && m.Granted && m.Term == n.hard.Term:
		n.votes[m.From] = true
		if n.hasWon() {
			n.becomeLeader(now)
		}
	}
}

func (n *Node) hasWon() bool {
	return n.countVoters(func(id string) bool { return n.votes[id] }) >= n.quorum()
}
