package consensus

import (
	"slices"
	"time"

	"plantainlane/wire"
)

// leaderState is the state that only a leader has. It is zero in the other roles.
type leaderState struct {
	// progress holds the replication state of every voter and learner, by replica ID.
	progress map[string]*progress
	// previous is the ID of the leader before this one, until it answers a round or is no replica any more; otherwise
	// empty.
	previous string
	// firstIndex is the index of the leader's first entry in its term, a no-op.
	firstIndex int
	// rounds holds the rounds that began within the last election timeout, ascending. It is never empty.
	rounds []round
	// confirmedRound is the newest round that a quorum answered. Number 0 stands for the leader's election.
	confirmedRound round
	// changeRound is the round that this leader began when it first knew the pending change of the voters to be committed;
	// zero without one.
	changeRound round
	// resumedAt is when this replica last continued after a standstill; zero if it never stood still.
	resumedAt time.Time

	// transferTo is the ID of the target of the leader transfer in progress, or empty.
	transferTo        string
	transferStartedAt time.Time
	// timeoutNowSent is set once the target of the transfer was asked to start its election.
	timeoutNowSent bool
}

// maxStandstill is the longest standstill of a replica, in election timeouts, after which it waits for messages of the
// others. It is the longest time after which a follower starts an election.
const maxStandstill = 2

// round is one heartbeat round: the leader sends an append to every other replica, which answers with the number
// of the round.
type round struct {
	number    int
	startedAt time.Time
	// commit is the leader's commit index at the start of the round.
	commit int
}

// becomeLeader makes the replica the leader of the current term. It appends a no-op, since entries of earlier terms
// are committed only together with an entry of the leader's own term.
func (n *Node) becomeLeader(now time.Time) {
	n.role, n.leader, n.votes = Leader, n.cfg.ID, nil
	n.leadership = leaderState{progress: map[string]*progress{}, previous: n.lastLeader}
	n.syncProgress()
	n.leadership.firstIndex = n.appendEntry(KindNoop, nil)
	n.leadership.confirmedRound = round{startedAt: now}
	n.leadership.rounds = []round{n.leadership.confirmedRound}
	n.startRound(now)
}

// syncProgress makes the progress table match the newest membership. Replicas that stay keep their progress.
func (n *Node) syncProgress() {
	current := map[string]*progress{}
	for _, ids := range [][]string{n.allVoters(), n.replicas().Learners} {
		for _, id := range ids {
			p := n.leadership.progress[id]
			if p == nil {
				p = newProgress(n.log.last())
			}
			current[id] = p
		}
	}
	n.leadership.progress = current
	if current[n.leadership.previous] == nil {
		n.leadership.previous = ""
	}
}

// others returns the IDs of all replicas except this one, in the order of the membership.
func (n *Node) others() []string {
	voters, learners := n.allVoters(), n.replicas().Learners
	ids := make([]string, 0, len(voters)+len(learners))
	for _, group := range [][]string{voters, learners} {
		for _, id := range group {
			if id != n.cfg.ID && !slices.Contains(ids, id) {
				ids = append(ids, id)
			}
		}
	}
	return ids
}

// tickLeader starts a heartbeat round and ends a leader transfer when they are due. The leader steps down if no
// quorum answered a round of the last election timeout (check quorum) or if its storage is stalled.
func (n *Node) tickLeader(now time.Time) {
	if !now.Before(n.quorumAwaitedUntil()) || n.isStorageStalled(now) {
		n.becomeFollower(n.hardState.Term, "", now)
		return
	}
	if n.leadership.transferTo != "" && now.Sub(n.leadership.transferStartedAt) >= n.cfg.ElectionTimeout {
		n.abortTransfer(now)
		if n.role != Leader {
			return
		}
	}
	if now.Sub(n.newestRound().startedAt) >= n.cfg.HeartbeatInterval {
		n.startRound(now)
	}
	n.endChange(now)
}

// quorumAwaitedUntil returns until when the leader stays leader if no quorum answers another round: an election timeout
// after the newest round that a quorum answered, or after a standstill that began within maxStandstill election timeouts
// of that round.
func (n *Node) quorumAwaitedUntil() time.Time {
	confirmed := n.leadership.confirmedRound.startedAt
	stoodStill := min(max(n.leadership.resumedAt.Sub(confirmed), 0), maxStandstill*n.cfg.ElectionTimeout)
	return confirmed.Add(stoodStill + n.cfg.ElectionTimeout)
}

// startRound starts a heartbeat round, which sends an append, with or without entries, to every other replica.
func (n *Node) startRound(now time.Time) {
	number := n.newestRound().number + 1
	n.leadership.rounds = append(n.leadership.rounds, round{number: number, startedAt: now, commit: n.commit})
	for now.Sub(n.leadership.rounds[0].startedAt) > n.cfg.ElectionTimeout {
		n.leadership.rounds = n.leadership.rounds[1:]
	}
	for _, id := range n.others() {
		p := n.leadership.progress[id]
		p.probeSent = false
		if p.snapshot != nil {
			n.sendHeartbeat(id)
			n.resendChunk(id, p, now)
			continue
		}
		n.sendAppend(id, p, true, now)
	}
	if p := n.leadership.progress[n.cfg.ID]; p != nil {
		p.answeredRound = number
		n.updateConfirmedRound()
	}
}

// Confirm starts a round immediately instead of at the next heartbeat, so that ConfirmedAt reaches now after one
// round trip. It has no effect unless the replica is the leader.
func (n *Node) Confirm(now time.Time) {
	if n.role == Leader && n.newestRound().startedAt.Before(now) {
		n.startRound(now)
	}
}

// ConfirmedAt returns the start of the newest round that a quorum answered in the leader's term: no later
// leader had been elected by that time. It is zero unless the replica is the leader and has committed an entry
// of its own term. A non-zero time therefore also means that every entry acknowledged to a client before that
// time is within this replica's commit index. It is also zero once the target of a leader transfer was asked to
// start its election, since voters then vote for it without waiting for an election timeout.
func (n *Node) ConfirmedAt() time.Time {
	if !n.isLeaderReady() || n.leadership.confirmedRound.number == 0 || n.leadership.timeoutNowSent {
		return time.Time{}
	}
	return n.leadership.confirmedRound.startedAt
}

// updateConfirmedRound sets confirmedRound to the newest round that a quorum answered.
func (n *Node) updateConfirmedRound() {
	number := n.quorumValue(func(p *progress) int { return p.answeredRound })
	for _, r := range n.leadership.rounds {
		if r.number > n.leadership.confirmedRound.number && r.number <= number {
			n.leadership.confirmedRound = r
		}
	}
}

// recordRoundAnswer records that a replica answered a round. If the replica's match index has reached the commit
// index at the start of the round, it was caught up with the leader as of that start.
func (n *Node) recordRoundAnswer(p *progress, number int) {
	for _, r := range n.leadership.rounds {
		if r.number == number && p.match >= r.commit && r.startedAt.After(p.caughtUpAt) {
			p.caughtUpAt = r.startedAt
		}
	}
	if number > p.answeredRound {
		p.answeredRound = number
		n.updateConfirmedRound()
	}
}

// isCaughtUp reports whether the replica has all entries that were committed at some time within the last election
// timeout.
func (n *Node) isCaughtUp(id string, now time.Time) bool {
	p := n.leadership.progress[id]
	return p != nil && !p.caughtUpAt.IsZero() && now.Sub(p.caughtUpAt) < n.cfg.ElectionTimeout
}

// isLeaderReady reports whether the replica is the leader and has committed an entry of its own term.
func (n *Node) isLeaderReady() bool {
	return n.role == Leader && n.commit >= n.leadership.firstIndex
}

// ReplicaStatus is the state of a replica as known by the leader.
type ReplicaStatus struct {
	// ID is the replica ID.
	ID string
	// Voter is true for a voter and false for a learner.
	Voter bool
	// Match is the newest index known to be durable on the replica.
	Match int
	// CaughtUp reports whether the replica has all entries that were committed at some time within the last
	// election timeout. It is always true for the leader itself.
	CaughtUp bool
	// Answered reports whether the replica answered a round that began within the last election timeout. It is
	// always true for the leader itself.
	Answered bool
	// SilentSince is when the leader, as a follower, received the last message of the leader before it, if that replica
	// has been a member since and hasn't answered; zero for other replicas.
	SilentSince time.Time
}

// ReplicaStatuses returns the state of all voters, then all learners, as known by the leader. It returns nil if
// this replica is not the leader.
func (n *Node) ReplicaStatuses(now time.Time) []ReplicaStatus {
	if n.role != Leader {
		return nil
	}
	var out []ReplicaStatus
	set := n.replicas()
	add := func(id string, voter bool) {
		p := n.leadership.progress[id]
		var silentSince time.Time
		if id == n.leadership.previous && p.answeredRound == 0 {
			silentSince = n.leaderSeenAt
		}
		out = append(out, ReplicaStatus{
			ID: id, Voter: voter, Match: p.match, CaughtUp: id == n.cfg.ID || n.isCaughtUp(id, now),
			SilentSince: silentSince,
			Answered:    n.hasAnswered(id, now),
		})
	}
	for _, id := range set.Voters {
		add(id, true)
	}
	for _, id := range set.Learners {
		add(id, false)
	}
	return out
}

// hasAnswered reports whether a replica answered a round that began within the last election timeout. The leader itself
// always did.
func (n *Node) hasAnswered(id string, now time.Time) bool {
	p := n.leadership.progress[id]
	return id == n.cfg.ID || p != nil && p.answeredRound > 0 && now.Sub(n.roundStartedAt(p.answeredRound)) < n.cfg.ElectionTimeout
}

// roundStartedAt returns when a round began, or the zero time if the round is no longer in rounds.
func (n *Node) roundStartedAt(number int) time.Time {
	for _, r := range n.leadership.rounds {
		if r.number == number {
			return r.startedAt
		}
	}
	return time.Time{}
}

// sendHeartbeat sends an append without entries that starts at index 0 and so matches any log. It is used while
// the replica receives a snapshot.
func (n *Node) sendHeartbeat(id string) {
	m := n.message(kindAppend, id)
	m.Round = n.newestRound().number
	m.Entries = []wire.LogEntry{}
	n.send(m)
}

func (n *Node) newestRound() round { return n.leadership.rounds[len(n.leadership.rounds)-1] }
