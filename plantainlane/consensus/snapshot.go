package consensus

import (
	"time"

	"plantainlane/wire"

	"github.com/cockroachdb/errors"
)

// incomingSnapshot holds the received chunks of a snapshot that is not complete yet.
type incomingSnapshot struct {
	index, term int
	data        []byte
}

// Compact makes data, the encoded state after the entry at index was applied, the newest snapshot. It drops the
// entries up to index from memory, except for the newest within Config.KeepEntries and KeepBytes. The next Ready contains the snapshot
// to store. Errors are ErrCompacted and ErrNotApplied.
func (n *Node) Compact(index int, data []byte) error {
	if index <= n.snapshot.Index {
		return errors.Wrapf(ErrCompacted, "snapshot at index %d, newest snapshot at index %d", index, n.snapshot.Index)
	}
	term, ok := n.log.term(index)
	if index > n.applied || !ok {
		return errors.Wrapf(ErrNotApplied, "snapshot at index %d, newest applied index %d", index, n.applied)
	}
	n.snapshot = wire.Snapshot{Index: index, Term: term, Replicas: cloneSet(n.membershipAt(index)), Data: data}
	n.ready.snapshot = &n.snapshot
	n.compactLog(n.log.beforeNewest(index, n.cfg.KeepEntries, n.cfg.KeepBytes))
	return nil
}

// compactLog drops the entries up to index from memory, but only entries that were already issued in a batch to be
// persisted. It keeps the membership that is active at the last dropped entry.
func (n *Node) compactLog(index int) {
	index = min(index, n.ready.issuedIndex)
	if index <= n.log.base {
		return
	}
	set := n.membershipAt(index)
	n.log.compact(index)
	kept := []membership{{index: index, set: set}}
	for _, m := range n.memberships {
		if m.index > index {
			kept = append(kept, m)
		}
	}
	n.memberships = kept
}

// startSnapshot starts to send the newest snapshot to a replica that needs entries that are compacted here.
func (n *Node) startSnapshot(id string, p *progress, now time.Time) {
	s := n.snapshot
	p.snapshot, p.offset = &s, 0
	n.sendChunk(id, p, now)
}

// sendChunk sends the chunk at p.offset of p.snapshot to the replica.
func (n *Node) sendChunk(id string, p *progress, now time.Time) {
	m := n.message(kindSnapshot, id)
	end := min(len(p.snapshot.Data), p.offset+n.cfg.MaxChunkBytes)
	chunk := *p.snapshot
	chunk.Data = p.snapshot.Data[p.offset:end]
	m.Snapshot, m.Offset, m.Last = &chunk, p.offset, end == len(p.snapshot.Data)
	m.Entries = []wire.LogEntry{}
	m.Round = n.newestRound().number
	p.chunkSentAt = now
	n.send(m)
}

// resendChunk sends the chunk in flight again if it was not answered within an election timeout.
func (n *Node) resendChunk(id string, p *progress, now time.Time) {
	if now.Sub(p.chunkSentAt) >= n.cfg.ElectionTimeout {
		n.sendChunk(id, p, now)
	}
}

// handleSnapshot handles a chunk from a leader. While the snapshot is incomplete, the answer's hint is the number
// of bytes received so far, which is the offset of the chunk to send next. A complete snapshot is installed.
func (n *Node) handleSnapshot(m wire.ConsensusMessage, now time.Time) {
	if m.Snapshot == nil || !n.acceptLeader(m, now) {
		return
	}
	if n.hasSnapshot(m.Snapshot) {
		n.incoming = nil
		n.acknowledgeSnapshot(m)
		return
	}
	if !n.addChunk(m) {
		a := n.message(kindSnapshotAnswer, m.From)
		a.PrevIndex, a.Hint, a.Round = m.Snapshot.Index, n.receivedBytes(m.Snapshot), m.Round
		n.send(a)
		return
	}
	snap := *m.Snapshot
	snap.Data, n.incoming = n.incoming.data, nil
	n.install(snap)
	n.acknowledgeSnapshot(m)
}

// hasSnapshot reports whether the log already has all entries that the snapshot covers. They are then also
// committed, since a snapshot covers only committed entries.
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

// acknowledgeSnapshot reports to the leader that everything up to the snapshot's index is durable here.
func (n *Node) acknowledgeSnapshot(m wire.ConsensusMessage) {
	a := n.message(kindAppendAnswer, m.From)
	a.Granted, a.PrevIndex, a.Round = true, m.Snapshot.Index, m.Round
	n.sendDurable(a)
}

// addChunk appends a chunk to the incoming snapshot and reports whether the snapshot is complete. It ignores a
// chunk that doesn't start where the received data ends, except that a chunk at offset 0 starts a new snapshot.
func (n *Node) addChunk(m wire.ConsensusMessage) bool {
	s := m.Snapshot
	if m.Offset == 0 {
		n.incoming = &incomingSnapshot{index: s.Index, term: s.Term}
	}
	if n.incoming == nil || m.Offset != n.receivedBytes(s) {
		return false
	}
	n.incoming.data = append(n.incoming.data, s.Data...)
	return m.Last
}

// receivedBytes returns how many bytes of a snapshot were received.
func (n *Node) receivedBytes(s *wire.Snapshot) int {
	if n.incoming == nil || n.incoming.index != s.Index || n.incoming.term != s.Term {
		return 0
	}
	return len(n.incoming.data)
}

// install replaces the log and the applied state with a snapshot from the leader.
func (n *Node) install(s wire.Snapshot) {
	n.log.reset(s)
	n.snapshot = s
	n.memberships = []membership{{index: s.Index, set: s.Replicas}}
	n.commit, n.applied = s.Index, s.Index
	n.ready.snapshot, n.ready.install = &n.snapshot, true
	n.ready.issuedIndex, n.ready.stableIndex = s.Index, s.Index
}

// handleSnapshotAnswer sends the next chunk of a snapshot. An answer whose hint is the offset of the chunk in
// flight is ignored: it doesn't show progress, and resendChunk repeats the chunk if it is lost.
func (n *Node) handleSnapshotAnswer(m wire.ConsensusMessage, now time.Time) {
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
	n.recordRoundAnswer(p, m.Round)
	if p.snapshot == nil || p.snapshot.Index != m.PrevIndex || m.Hint == p.offset {
		return
	}
	p.offset = min(max(0, m.Hint), len(p.snapshot.Data))
	n.sendChunk(m.From, p, now)
}
