package consensus

import (
	"maps"
	"slices"
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

// Election is an election or pre-vote in which a replica got no quorum in time.
type Election struct {
	// Term is the term of the election, or the one that it would have had.
	Term int
	// Granted holds the IDs of the voters that granted their vote or pre-vote, Voters those of all voters. Both are
	// sorted.
	Granted, Voters []string
}

// TakeLostElection returns the newest election that this replica did not win since the last call; nil for none.
func (n *Node) TakeLostElection() *Election {
	e := n.lostElection
	n.lostElection = nil
	return e
}

// recordLostElection records the election in progress, if there is one, as lost.
func (n *Node) recordLostElection() {
	if n.role != PreCandidate && n.role != Candidate {
		return
	}
	term := n.hardState.Term
	if n.role == PreCandidate {
		term++
	}
	n.lostElection = &Election{
		Term: term, Granted: slices.Sorted(maps.Keys(n.votes)), Voters: slices.Sorted(slices.Values(n.allVoters())),
	}
}

// resetElection sets the time of the next election to between one and two election timeouts from now. It is
// random so that replicas rarely start elections at the same time.
func (n *Node) resetElection(now time.Time) {
	t := n.cfg.ElectionTimeout
	n.electionAt = now.Add(t + time.Duration(n.rand.Int64N(int64(t))))
}

// startupQuiet is the fraction of the election timeout for which a replica that has started answers no vote requests: a leader may
// rely for half of the timeout on a heartbeat that the replica answered just before it was restarted, and clocks drift.
// startupSpread is the fraction over which the first elections of replicas that start together are spread.
const (
	startupQuiet  = 0.6
	startupSpread = 0.5
)

// startElectionTimer sets when a replica that starts answers vote requests, and when its first election is. The first election is
// earlier than those after a lost leader: a leader that is alive is heard by the pre-vote.
func (n *Node) startElectionTimer(now time.Time) {
	t := float64(n.cfg.ElectionTimeout)
	n.votesFrom = now.Add(time.Duration(startupQuiet * t))
	n.electionAt = n.votesFrom.Add(time.Duration(n.rand.Int64N(int64(startupSpread * t))))
}

// becomeFollower makes the replica a follower of leader, which is empty while unknown, and adopts the term if it
// is newer.
func (n *Node) becomeFollower(term int, leader string, now time.Time) {
	if term > n.hardState.Term {
		n.hardState.Term, n.hardState.Vote = term, ""
		n.ready.hardStateChanged = true
	}
	if n.role == Leader {
		n.leadership = leaderState{}
	}
	n.role, n.leader, n.votes = Follower, leader, nil
	n.resetElection(now)
}

// preCampaign asks the voters whether they would grant a vote, without raising the term, so that a replica that
// can't win, for example behind a partition, doesn't depose the leader with a higher term.
func (n *Node) preCampaign(now time.Time) {
	n.recordLostElection()
	n.role, n.leader = PreCandidate, ""
	n.votes = map[string]bool{n.cfg.ID: true}
	n.resetElection(now)
	if n.hasWon() {
		n.campaign(false, now)
		return
	}
	n.requestPreVotes(now)
}

// requestPreVotes asks the voters that haven't granted the pre-vote. It is repeated at each HeartbeatInterval, since after a
// restart of all replicas the connections to them and their readiness to vote come one after the other.
func (n *Node) requestPreVotes(now time.Time) {
	n.preVoteAt = now.Add(n.cfg.HeartbeatInterval)
	for _, id := range n.allVoters() {
		if n.votes[id] {
			continue
		}
		m := n.message(kindPreVote, id)
		m.Term = n.hardState.Term + 1
		m.PrevIndex, m.PrevTerm = n.log.last(), n.log.lastTerm()
		n.send(m)
	}
}

// campaign starts an election in a new term. The vote for itself is counted once it is durable. If transfer is
// set, voters grant their vote even if they have a live leader.
func (n *Node) campaign(transfer bool, now time.Time) {
	n.role, n.leader = Candidate, ""
	n.votes = map[string]bool{}
	n.hardState.Term++
	n.hardState.Vote = n.cfg.ID
	n.ready.hardStateChanged = true
	n.resetElection(now)
	for _, id := range n.allVoters() {
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

// hasRecentLeader reports whether this replica is the leader, received a message from a leader within the last
// election timeout, or may have done so before its start. It then ignores pre-vote requests, and vote requests other
// than those of a leader transfer, because a live leader may rely on this voter.
func (n *Node) hasRecentLeader(now time.Time) bool {
	return n.role == Leader || now.Before(n.votesFrom)
}

// isUpToDate reports whether the candidate's log, whose last position is in m, is at least as up to date as this
// replica's.
func (n *Node) isUpToDate(m wire.ConsensusMessage) bool {
	last := n.log.lastTerm()
	return m.PrevTerm > last || m.PrevTerm == last && m.PrevIndex >= n.log.last()
}

// handlePreVote answers a pre-vote request unless hasRecentLeader, without any change of this replica's term or vote. A
// granted answer has the term of the request, a rejection the current term.
func (n *Node) handlePreVote(m wire.ConsensusMessage, now time.Time) {
	if n.hasRecentLeader(now) {
		return
	}
	a := n.message(kindPreVoteAnswer, m.From)
	a.Granted = m.Term > n.hardState.Term && n.isUpToDate(m)
	if a.Granted {
		a.Term = m.Term
	}
	n.sendDurable(a)
}

// handlePreVoteAnswer counts a granted pre-vote and starts the election once a quorum has granted it. A rejection with
// a newer term makes the replica a follower in that term.
func (n *Node) handlePreVoteAnswer(m wire.ConsensusMessage, now time.Time) {
	switch {
	case !m.Granted && m.Term > n.hardState.Term:
		n.becomeFollower(m.Term, "", now)
	case n.role == PreCandidate && m.Granted && m.Term == n.hardState.Term+1:
		n.votes[m.From] = true
		if n.hasWon() {
			n.campaign(false, now)
		}
	}
}

// handleVote answers a vote request, unless hasRecentLeader and the request isn't part of a leader transfer. The answer
// is sent once the vote is durable.
func (n *Node) handleVote(m wire.ConsensusMessage, now time.Time) {
	if n.hasRecentLeader(now) && !m.Transfer {
		return
	}
	if m.Term > n.hardState.Term {
		n.becomeFollower(m.Term, "", now)
	}
	a := n.message(kindVoteAnswer, m.From)
	canVote := n.hardState.Vote == "" || n.hardState.Vote == m.From
	a.Granted = m.Term == n.hardState.Term && canVote && n.isUpToDate(m)
	if a.Granted && n.hardState.Vote == "" {
		n.hardState.Vote = m.From
		n.ready.hardStateChanged = true
		n.becomeFollower(n.hardState.Term, "", now)
	}
	n.sendDurable(a)
}

// handleVoteAnswer counts a vote and makes the replica the leader once a quorum has voted for it.
func (n *Node) handleVoteAnswer(m wire.ConsensusMessage, now time.Time) {
	switch {
	case m.Term > n.hardState.Term:
		n.becomeFollower(m.Term, "", now)
	case n.role == Candidate && m.Granted && m.Term == n.hardState.Term:
		n.votes[m.From] = true
		if n.hasWon() {
			n.becomeLeader(now)
		}
	}
}

// hasWon reports whether a quorum granted the vote or pre-vote.
func (n *Node) hasWon() bool {
	return n.isQuorum(func(id string) bool { return n.votes[id] })
}
