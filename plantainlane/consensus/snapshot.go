package consensus

import (
	"time"

	"plantainlane/wire"

	"github.com/cockroachdb/errors"
)

// incomingSnapshot gathers the chunks of one snapshot.
type incomingSnapshot struct {
	index, term int
	data        []byte
}

// Compact makes a snapshot of the state after applying index and drops entries before it, but for the
// newest Config.KeepEntries. The snapshot comes out of Ready to be stored. Errors are ErrCompacted and
// ErrNotApplied.
func (n *Node) Compact(index int, data []byte) error {
	if index <= n.snapshot.Index {
		return errors.Wrapf(ErrCompacted, "index %d", index)
	}
	term, ok := n.log.term(index)
	if index > n.applied || !ok {
		return errors.Wrapf(ErrNotApplied, "index %d", index)
	}
	n.snapshot = wire.Snapshot{Index: index, Term: term, Replicas: cloneSet(n.membershipAt(index)), Data: data}
	n.ready.snapshot = &n.snapshot
	n.compactLog(index - n.cfg.KeepEntries)
	return nil
}

func (n *Node) compactLog(index int) {
	index = min(index, n.ready.handed)
	if index <= n.log.base {
		return
	}
	set := n.membershipAt(index)
	n.log.compact(index)
	kept := []membership{{index: index, set: set}}
	for _, m := range n.members {
		if m.index > index {
			kept = append(kept, m)
		}
	}
	n.members = kept
}

// startSnapshot begins to send the newest snapshot to a replica whose next entry is compacted.
func (n *Node) startSnapshot(id string, p *progress, now time.Time) {
	s := n.snapshot
	p.snapshot, p.offset = &s, 0
	n.sendChunk(id, p, now)
}

func (n *Node) sendChunk(id string, p *progress, now time.Time) {
	m := n.message(kindSnapshot, id)
	end := min(len(p.snapshot.Data), p.offset+n.cfg.MaxChunkBytes)
	chunk := *p.snapshot
	chunk.Data = p.snapshot.Data[p.offset:end]
	m.Snapshot, m.Offset, m.Last = &chunk, p.offset, end == len(p.snapshot.Data)
	m.Entries = []wire.LogEntry{}
	m.Round = n.newestRound().number
	p.chunkAt = now
	n.send(m)
}

// resendChunk sends the chunk in flight again once it has gone unanswered for an election timeout.
func (n *Node) resendChunk(id string, p *progress, now time.Time) {
	if now.Sub(p.chunkAt) >= n.cfg.ElectionTimeout {
		n.sendChunk(id, p, now)
	}
}

func (n *Node) handleSnapshot(m wire.ConsensusMessage, now time.Time) {
	if m.Snapshot == nil || !n.follow(m, now) {
		return
	}
	if n.hasSnapshot(m.Snapshot) {
		n.incoming = nil
		n.answerInstalled(m)
		return
	}
	if !n.gather(m) {
		a := n.message(kindSnapshotAnswer, m.From)
		a.PrevIndex, a.Hint, a.Round = m.Snapshot.Index, n.gathered(m.Snapshot), m.Round
		n.send(a)
		return
	}
	snap := *m.Snapshot
	snap.Data, n.incoming = n.incoming.data, nil
	n.install(snap)
	n.answerInstalled(m)
}

// hasSnapshot tells whether the log already holds what the snapshot covers.
func (n *Node) hasSnapshot(s *wire.Snapshot) bool {
	if s.Index <= n.commit {
		return true
	}
	term, ok := n.log.term(s.Index)
	if ok && term == s.Term {
		n.setCommit(s.Index)
		return true
	}
	return false
}

func (n *Node) answerInstalled(m wire.ConsensusMessage) {
	a := n.message(kindAppendAnswer, m.From)
	a.Granted, a.PrevIndex, a.Round = true, m.Snapshot.Index, m.Round
	n.sendDurable(a)
}

// gather takes a chunk and tells whether the snapshot is whole.
func (n *Node) gather(m wire.ConsensusMessage) bool {
	s := m.Snapshot
	if m.Offset == 0 {
		n.incoming = &incomingSnapshot{index: s.Index, term: s.Term}
	}
	if n.incoming == nil || m.Offset != n.gathered(s) {
		return false
	}
	n.incoming.data = append(n.incoming.data, s.Data...)
	return m.Last
}

// gathered returns how many bytes of a snapshot are here.
func (n *Node) gathered(s *wire.Snapshot) int {
	if n.incoming == nil || n.incoming.index != s.Index || n.incoming.term != s.Term {
		return 0
	}
	return len(n.incoming.data)
}

// install replaces the log by a snapshot.
func (n *Node) install(s wire.Snapshot) {
	n.log.reset(s)
	n.snapshot = s
	n.members = []membership{{index: s.Index, set: s.Replicas}}
	n.commit, n.applied = s.Index, s.Index
	n.ready.snapshot, n.ready.install = &n.snapshot, true
	n.ready.handed, n.ready.stable = s.Index, s.Index
}

func (n *Node) handleSnapshotAnswer(m wire.ConsensusMessage, now time.Time) {
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
	n.noteRound(p, m.Round)
	if p.snapshot == nil || p.snapshot.Index != m.PrevIndex || m.Hint == p.offset {
		return
	}
	p.offset = min(max(0, m.Hint), len(p.snapshot.Data))
	n.sendChunk(m.From, p, now)
}
