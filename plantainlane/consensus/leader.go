package consensus

import (
	"time"

	"plantainlane/wire"
)

// leading is the state of a leader; it is empty otherwise.
type leading struct {
	progress map[string]*progress
	// firstIndex is the index of the entry that opened the term.
	firstIndex int
	// rounds holds the rounds of the last election timeout, ascending; never empty.
	rounds []round
	// confirmed is the newest round that a quorum answered; number 0 stands for the election.
	confirmed round

	transferTo string
	transferAt time.Time
	// asked is set once the successor was told to start its election.
	asked bool
}

// round is one broadcast of a leader.
type round struct {
	number int
	at     time.Time
	// commit is the leader's commit index when the round began.
	commit int
}

func (n *Node) becomeLeader(now time.Time) {
	n.role, n.leader, n.votes = Leader, n.cfg.ID, nil
	n.lead = leading{progress: map[string]*progress{}}
	n.syncProgress()
	n.lead.firstIndex = n.appendOwn(KindNoop, nil)
	n.lead.confirmed = round{at: now}
	n.lead.rounds = []round{n.lead.confirmed}
	n.beginRound(now)
}

// syncProgress makes the progress table match the newest membership.
func (n *Node) syncProgress() {
	set := n.replicas()
	known := map[string]*progress{}
	for _, ids := range [][]string{set.Voters, set.Learners} {
		for _, id := range ids {
			p := n.lead.progress[id]
			if p == nil {
				p = newProgress(n.log.last())
			}
			known[id] = p
		}
	}
	n.lead.progress = known
}

// others returns the replicas besides this one, in a fixed order.
func (n *Node) others() []string {
	set := n.replicas()
	ids := make([]string, 0, len(set.Voters)+len(set.Learners))
	for _, group := range [][]string{set.Voters, set.Learners} {
		for _, id := range group {
			if id != n.cfg.ID {
				ids = append(ids, id)
			}
		}
	}
	return ids
}

func (n *Node) tickLeader(now time.Time) {
	if now.Sub(n.lead.confirmed.at) >= n.cfg.ElectionTimeout || n.isStorageStalled(now) {
		n.becomeFollower(n.hard.Term, "", now)
		return
	}
	if n.lead.transferTo != "" && now.Sub(n.lead.transferAt) >= n.cfg.ElectionTimeout {
		n.endTransfer(now)
		if n.role != Leader {
			return
		}
	}
	if now.Sub(n.newestRound().at) >= n.cfg.HeartbeatInterval {
		n.beginRound(now)
	}
}

// beginRound sends every replica an append, if only as a heartbeat.
func (n *Node) beginRound(now time.Time) {
	number := n.newestRound().number + 1
	n.lead.rounds = append(n.lead.rounds, round{number: number, at: now, commit: n.commit})
	for now.Sub(n.lead.rounds[0].at) > n.cfg.ElectionTimeout {
		n.lead.rounds = n.lead.rounds[1:]
	}
	for _, id := range n.others() {
		p := n.lead.progress[id]
		p.sent = false
		if p.snapshot != nil {
			n.sendPing(id)
			n.resendChunk(id, p, now)
			continue
		}
		n.sendAppend(id, p, true, now)
	}
	if p := n.lead.progress[n.cfg.ID]; p != nil {
		p.round = number
		n.confirmRounds()
	}
}

// Confirm begins a round at once, so that ConfirmedAt passes now after one round trip.
func (n *Node) Confirm(now time.Time) {
	if n.role == Leader && n.newestRound().at.Before(now) {
		n.beginRound(now)
	}
}

// ConfirmedAt returns the start of the newest round that a quorum answered in the leader's term: no later
// leader had been elected by then. It is zero unless the replica leads and has committed an entry of its
// own term, so that everything acknowledged before that time is committed here. It is also zero once a
// successor was asked to take over, since voters then no longer wait for this leader to fall silent.
func (n *Node) ConfirmedAt() time.Time {
	if !n.isLeaderReady() || n.lead.confirmed.number == 0 || n.lead.asked {
		return time.Time{}
	}
	return n.lead.confirmed.at
}

// confirmRounds finds the newest round that a quorum answered.
func (n *Node) confirmRounds() {
	number := n.quorumValue(func(p *progress) int { return p.round })
	for _, r := range n.lead.rounds {
		if r.number > n.lead.confirmed.number && r.number <= number {
			n.lead.confirmed = r
		}
	}
}

// noteRound records that a replica answered a round and how far its log then reached.
func (n *Node) noteRound(p *progress, number int) {
	for _, r := range n.lead.rounds {
		if r.number == number && p.match >= r.commit && r.at.After(p.caughtUpAt) {
			p.caughtUpAt = r.at
		}
	}
	if number > p.round {
		p.round = number
		n.confirmRounds()
	}
}

func (n *Node) isCaughtUp(id string, now time.Time) bool {
	p := n.lead.progress[id]
	return p != nil && !p.caughtUpAt.IsZero() && now.Sub(p.caughtUpAt) < n.cfg.ElectionTimeout
}

func (n *Node) isLeaderReady() bool {
	return n.role == Leader && n.commit >= n.lead.firstIndex
}

// ReplicaStatus is what a leader knows of a replica.
type ReplicaStatus struct {
	// ID of the replica.
	ID string
	// Voter tells voters from learners.
	Voter bool
	// Match is the newest index known to be durable there.
	Match int
	// CaughtUp tells whether it recently had everything that was committed.
	CaughtUp bool
	// Answered tells whether it answered a round within the last election timeout.
	Answered bool
}

// ReplicaStatuses returns the replicas as the leader sees them; nil on other replicas.
func (n *Node) ReplicaStatuses(now time.Time) []ReplicaStatus {
	if n.role != Leader {
		return nil
	}
	var out []ReplicaStatus
	set := n.replicas()
	add := func(id string, voter bool) {
		p := n.lead.progress[id]
		out = append(out, ReplicaStatus{
			ID: id, Voter: voter, Match: p.match, CaughtUp: id == n.cfg.ID || n.isCaughtUp(id, now),
			Answered: id == n.cfg.ID || now.Sub(n.roundStart(p.round)) < n.cfg.ElectionTimeout,
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

// roundStart returns when a round began, or the zero time if that was long ago.
func (n *Node) roundStart(number int) time.Time {
	for _, r := range n.lead.rounds {
		if r.number == number {
			return r.at
		}
	}
	return time.Time{}
}

func (n *Node) sendPing(id string) {
	m := n.message(kindAppend, id)
	m.Round = n.newestRound().number
	m.Entries = []wire.LogEntry{}
	n.send(m)
}

func (n *Node) newestRound() round { return n.lead.rounds[len(n.lead.rounds)-1] }
