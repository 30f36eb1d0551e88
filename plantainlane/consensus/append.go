package consensus

import (
	"time"

	"plantainlane/wire"
)

// flush sends what the other replicas still miss, as far as their windows allow.
func (n *Node) flush(now time.Time) {
	if n.role != Leader {
		return
	}
	for _, id := range n.others() {
		p := n.lead.progress[id]
		for p.snapshot == nil && p.next <= n.log.last() && p.mayAppend(n.cfg.MaxInFlight) {
			n.sendAppend(id, p, false, now)
		}
	}
	n.askSuccessor()
}

// sendAppend sends the next entries. As a heartbeat it is also sent without any.
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
		m.Entries = n.log.batch(p.next-1, n.cfg.MaxAppendBytes)
	}
	if len(m.Entries) == 0 && !heartbeat {
		return
	}
	if len(m.Entries) > 0 || p.probing {
		p.appended(p.next - 1 + len(m.Entries))
	}
	n.send(m)
}

// handleAppend takes entries or a heartbeat from the leader of the term.
func (n *Node) handleAppend(m wire.ConsensusMessage, now time.Time) {
	if !n.follow(m, now) {
		return
	}
	a := n.message(kindAppendAnswer, m.From)
	a.Round = m.Round
	m = n.skipCommitted(m)
	term, ok := n.log.term(m.PrevIndex)
	if !ok || term != m.PrevTerm {
		a.PrevIndex = m.PrevIndex
		a.Hint = max(n.commit, min(n.log.last(), n.log.conflict(m.PrevIndex)))
		n.sendDurable(a)
		return
	}
	n.takeEntries(m.Entries)
	a.Granted = true
	a.PrevIndex = m.PrevIndex + len(m.Entries)
	n.setCommit(min(m.Commit, a.PrevIndex))
	n.sendDurable(a)
}

// follow accepts the sender as the leader of its term; a sender of an old term is told so.
func (n *Node) follow(m wire.ConsensusMessage, now time.Time) bool {
	if m.Term < n.hard.Term {
		kind := kindAppendAnswer
		n.sendDurable(n.message(kind, m.From))
		return false
	}
	if n.hard.Log == "" {
		n.hard.Log = m.Log
		n.ready.hardChanged = true
	}
	n.becomeFollower(m.Term, m.From, now)
	n.heardAt = now
	return true
}

// skipCommitted cuts off what is committed here, since every leader has that.
func (n *Node) skipCommitted(m wire.ConsensusMessage) wire.ConsensusMessage {
	if m.PrevIndex >= n.commit {
		return m
	}
	m.Entries = m.Entries[min(len(m.Entries), n.commit-m.PrevIndex):]
	m.PrevIndex = n.commit
	m.PrevTerm, _ = n.log.term(n.commit)
	return m
}

// takeEntries appends the entries that are new, and drops what conflicts with them.
func (n *Node) takeEntries(es []wire.LogEntry) {
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
			if err := n.noteMembership(added); err != nil {
				panic(err)
			}
		}
		return
	}
}

// truncate drops the entries after index, none of which is committed.
func (n *Node) truncate(index int) {
	if index < n.commit {
		panic("consensus: leader contradicts a committed entry")
	}
	n.log.truncate(index)
	n.ready.handed = min(n.ready.handed, index)
	n.ready.stable = min(n.ready.stable, index)
	for n.members[len(n.members)-1].index > index {
		n.members = n.members[:len(n.members)-1]
	}
}

// handleAppendAnswer records what a replica, or this one, has made durable.
func (n *Node) handleAppendAnswer(m wire.ConsensusMessage, now time.Time) {
	if m.Term > n.hard.Term {
		n.becomeFollower(m.Term, "", now)
		return
	}
	if n.role != Leader || m.Term < n.hard.Term {
		return
	}
	p := n.lead.progress[m.From]
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
		n.noteRound(p, m.Round)
	}
}
