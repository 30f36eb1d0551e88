package consensus

import (
	"fmt"
	"time"

	"plantainlane/wire"
)

// replicate sends the other replicas the entries that were not sent to them yet, up to Config.MaxInFlight
// unanswered appends each. It also continues a leader transfer.
func (n *Node) replicate(now time.Time) {
	if n.role != Leader {
		return
	}
	for _, id := range n.others() {
		p := n.leadership.progress[id]
		for p.snapshot == nil && p.next <= n.log.last() && p.mayAppend(n.cfg.MaxInFlight) {
			n.sendAppend(id, p, false, now)
		}
	}
	n.sendTimeoutNow()
}

// sendAppend sends the next entries to a replica, or starts to send the snapshot if the entry before them is
// compacted. Without entries to send, it sends an append only as a heartbeat.
func (n *Node) sendAppend(id string, p *progress, heartbeat bool, now time.Time) {
	prevTerm, ok := n.log.term(p.next - 1)
	if !ok {
		n.startSnapshot(id, p, now)
		return
	}
	m := n.message(kindAppend, id)
	m.PrevIndex, m.PrevTerm, m.Commit = p.next-1, prevTerm, n.commit
	m.Round = n.newestRound().number
	m.Entries = []wire.LogEntry{}
	if p.mayAppend(n.cfg.MaxInFlight) {
		m.Entries = n.log.limitedSlice(p.next-1, n.cfg.MaxAppendBytes)
	}
	if len(m.Entries) == 0 && !heartbeat {
		return
	}
	if len(m.Entries) > 0 || p.probing {
		p.recordSent(p.next - 1 + len(m.Entries))
	}
	n.send(m)
}

// handleAppend handles entries or a heartbeat from a leader. If the entry before them doesn't match this log,
// the answer is a rejection whose hint is the newest index at which the logs may match.
func (n *Node) handleAppend(m wire.ConsensusMessage, now time.Time) {
	if !n.acceptLeader(m, now) {
		return
	}
	a := n.message(kindAppendAnswer, m.From)
	a.Round = m.Round
	m = n.skipCommitted(m)
	term, ok := n.log.term(m.PrevIndex)
	if !ok || term != m.PrevTerm {
		a.PrevIndex = m.PrevIndex
		a.Hint = max(n.commit, min(n.log.last(), n.log.conflictHint(m.PrevIndex)))
		n.sendDurable(a)
		return
	}
	n.mergeEntries(m.Entries)
	a.Granted = true
	a.PrevIndex = m.PrevIndex + len(m.Entries)
	n.setCommit(min(m.Commit, a.PrevIndex))
	n.sendDurable(a)
}

// acceptLeader follows the sender as the leader of its term and returns true. A replica without a log joins the
// sender's. A sender with an older term gets an answer with the current term, and the result is false.
func (n *Node) acceptLeader(m wire.ConsensusMessage, now time.Time) bool {
	if m.Term < n.hardState.Term {
		kind := kindAppendAnswer
		n.sendDurable(n.message(kind, m.From))
		return false
	}
	if n.hardState.Log == "" {
		n.hardState.Log = m.Log
		n.ready.hardStateChanged = true
	}
	n.becomeFollower(m.Term, m.From, now)
	n.leaderSeenAt, n.lastLeader = now, m.From
	n.votesFrom = now.Add(n.cfg.ElectionTimeout)
	return true
}

// skipCommitted removes the entries that are committed on this replica from the start of the message. Every
// leader has the same entries there, so that they need no comparison.
func (n *Node) skipCommitted(m wire.ConsensusMessage) wire.ConsensusMessage {
	if m.PrevIndex >= n.commit {
		return m
	}
	m.Entries = m.Entries[min(len(m.Entries), n.commit-m.PrevIndex):]
	m.PrevIndex = n.commit
	m.PrevTerm, _ = n.log.term(n.commit)
	return m
}

// mergeEntries appends the entries that the log doesn't have yet, and first drops the entries of the log that
// conflict with them.
func (n *Node) mergeEntries(es []wire.LogEntry) {
	for i, e := range es {
		term, ok := n.log.term(e.Index)
		if ok && term == e.Term {
			continue
		}
		if ok {
			n.truncate(e.Index - 1)
		}
		n.log.append(es[i:]...)
		for _, added := range es[i:] {
			if err := n.addMembership(added); err != nil {
				panic(err)
			}
		}
		return
	}
}

// truncate drops the entries after index and the memberships in them. None of them may be committed.
func (n *Node) truncate(index int) {
	if index < n.commit {
		panic(fmt.Sprintf("consensus: entry %d from the leader conflicts with the committed entries up to %d", index+1, n.commit))
	}
	n.log.truncate(index)
	n.ready.issuedIndex = min(n.ready.issuedIndex, index)
	n.ready.stableIndex = min(n.ready.stableIndex, index)
	for n.memberships[len(n.memberships)-1].index > index {
		n.memberships = n.memberships[:len(n.memberships)-1]
	}
}

// handleAppendAnswer records which entries a replica has made durable, and commits the entries that are durable on a
// quorum. The leader also sends such an answer to itself when its own entries are durable.
func (n *Node) handleAppendAnswer(m wire.ConsensusMessage, now time.Time) {
	if m.Term > n.hardState.Term {
		n.becomeFollower(m.Term, "", now)
		return
	}
	if n.role != Leader || m.Term < n.hardState.Term {
		return
	}
	p := n.leadership.progress[m.From]
	if p == nil {
		return
	}
	switch {
	case m.Granted && m.PrevIndex > p.match:
		p.advance(m.PrevIndex)
		n.commitByQuorum()
	case m.Granted && m.PrevIndex == p.match:
		p.advance(m.PrevIndex)
	case !m.Granted && m.PrevIndex > p.match && p.snapshot == nil:
		p.rewind(min(m.PrevIndex, m.Hint+1))
	}
	if m.From != n.cfg.ID {
		n.recordRoundAnswer(p, m.Round)
	}
	n.endChange(now)
}
