package consensus

import (
	"time"

	"plantainlane/wire"
)

// Ready is the work that the owner of a Node has to do next, in the order of the fields. Persisting may continue
// in the background, but batches must become durable in order.
type Ready struct {
	// Batch is the number of the batch to persist, or 0 if there is nothing to persist. The owner passes it to
	// Persisted once HardState, Snapshot and Entries are durable.
	Batch int
	// HardState is the hard state to store, or nil if it didn't change.
	HardState *HardState
	// Snapshot is the new snapshot to store, or nil. Stored entries that it covers may then be deleted.
	Snapshot *wire.Snapshot
	// Install is set if Snapshot came from the leader. The whole stored log is then to be deleted, and the
	// owner's state to be replaced by the state in the snapshot.
	Install bool
	// Entries are the entries to store. Entries that are stored at the same or later indexes are to be deleted.
	Entries []wire.LogEntry
	// Messages are the messages to send. The protocol tolerates the loss of any of them.
	Messages []wire.ConsensusMessage
	// Committed are the entries to apply, in order. Their indexes directly follow those applied before.
	Committed []wire.LogEntry
}

// IsEmpty reports whether there is nothing to do.
func (r *Ready) IsEmpty() bool {
	return r.Batch == 0 && len(r.Messages) == 0 && len(r.Committed) == 0
}

// readyState holds the output that a node collects for the next call of Node.Ready, and tracks which batches
// are durable.
type readyState struct {
	// hardStateChanged, snapshot and install become part of the next batch.
	hardStateChanged bool
	snapshot         *wire.Snapshot
	install          bool
	// issuedIndex is the newest index that was issued in a batch to be persisted.
	issuedIndex int
	// stableIndex is the newest index known to be durable on this replica.
	stableIndex int
	// issuedBatch is the number of the newest batch issued.
	issuedBatch int
	// persistedBatch is the number of the newest batch reported as durable.
	persistedBatch int
	// unpersisted holds the batches that are issued but not reported as durable, ascending.
	unpersisted []batch
	// messages can be sent with the next Ready.
	messages []wire.ConsensusMessage
	// deferred holds the messages that wait for an issued batch to become durable, ascending by batch.
	deferred []deferredMessage
	// unassigned holds the messages that wait for the next batch, which has no number yet.
	unassigned []wire.ConsensusMessage
}

// batch describes a batch that was issued to be persisted.
type batch struct {
	number   int
	issuedAt time.Time
	// last and lastTerm are the index and term of the batch's last entry, or 0 if it has no entries.
	last, lastTerm int
}

// deferredMessage is a message that may be sent once the batch with the given number is durable.
type deferredMessage struct {
	batch   int
	message wire.ConsensusMessage
}

// send queues a message that can be sent before any state is durable.
func (n *Node) send(m wire.ConsensusMessage) { n.ready.messages = append(n.ready.messages, m) }

// sendDurable queues a message that may be sent only once all state up to now is durable.
func (n *Node) sendDurable(m wire.ConsensusMessage) {
	n.ready.unassigned = append(n.ready.unassigned, m)
}

// Ready returns the work to do. The owner calls Ready until the result is empty.
func (n *Node) Ready(now time.Time) Ready {
	n.replicate(now)
	r := n.issueBatch(now)
	for _, m := range n.ready.unassigned {
		n.ready.deferred = append(n.ready.deferred, deferredMessage{batch: n.ready.issuedBatch, message: m})
	}
	n.ready.unassigned = nil
	n.releaseMessages(now)
	r.Messages, n.ready.messages = n.ready.messages, nil
	r.Committed = n.takeCommitted()
	return r
}

// issueBatch returns the state to persist as a new batch, or an empty Ready if nothing changed.
func (n *Node) issueBatch(now time.Time) Ready {
	entries := n.log.slice(n.ready.issuedIndex, n.log.last())
	if !n.ready.hardStateChanged && n.ready.snapshot == nil && len(entries) == 0 {
		return Ready{}
	}
	n.ready.issuedBatch++
	r := Ready{Batch: n.ready.issuedBatch, Snapshot: n.ready.snapshot, Install: n.ready.install, Entries: entries}
	if n.ready.hardStateChanged {
		hardState := n.hardState
		r.HardState = &hardState
	}
	b := batch{number: r.Batch, issuedAt: now}
	if len(entries) > 0 {
		b.last, b.lastTerm = n.log.last(), n.log.lastTerm()
		n.acknowledgeOwnEntries(b.last)
	}
	n.ready.unpersisted = append(n.ready.unpersisted, b)
	n.ready.issuedIndex = n.log.last()
	n.ready.hardStateChanged, n.ready.snapshot, n.ready.install = false, nil, false
	return r
}

// acknowledgeOwnEntries queues a leader's answer to itself, so that its entries up to last count towards the
// commit quorum once they are durable.
func (n *Node) acknowledgeOwnEntries(last int) {
	if n.role != Leader {
		return
	}
	m := n.message(kindAppendAnswer, n.cfg.ID)
	m.Granted, m.PrevIndex = true, last
	n.sendDurable(m)
}

// Persisted must be called by the owner when all batches up to the given number are durable. It releases the
// messages that waited for these batches.
func (n *Node) Persisted(number int, now time.Time) {
	count := 0
	for _, b := range n.ready.unpersisted {
		if b.number > number {
			break
		}
		count++
		if term, ok := n.log.term(b.last); ok && b.last > 0 && term == b.lastTerm {
			n.ready.stableIndex = max(n.ready.stableIndex, b.last)
		}
	}
	n.ready.unpersisted = n.ready.unpersisted[count:]
	n.ready.persistedBatch = max(n.ready.persistedBatch, number)
	n.releaseMessages(now)
}

// releaseMessages sends the deferred messages whose batch is durable. Messages to the replica itself are handled
// immediately.
func (n *Node) releaseMessages(now time.Time) {
	for len(n.ready.deferred) > 0 && n.ready.deferred[0].batch <= n.ready.persistedBatch {
		m := n.ready.deferred[0].message
		n.ready.deferred = n.ready.deferred[1:]
		if m.To == n.cfg.ID {
			n.step(m, now)
			continue
		}
		n.send(m)
	}
}

// takeCommitted returns the entries to apply, which count as applied from then on. It returns only entries that
// are durable on this replica, so that a snapshot of the applied state never covers entries that the stored log
// doesn't have.
func (n *Node) takeCommitted() []wire.LogEntry {
	to := min(n.commit, n.ready.stableIndex)
	if to <= n.applied {
		return nil
	}
	es := n.log.slice(n.applied, to)
	n.applied = to
	n.stepDownIfRemoved()
	return es
}

// stepDownIfRemoved makes a leader step down once its removal from the voters is complete and committed.
func (n *Node) stepDownIfRemoved() {
	newest := n.memberships[len(n.memberships)-1]
	if n.role == Leader && newest.index <= n.commit && !n.isVoter(n.cfg.ID) {
		n.role, n.leader, n.leadership = Follower, "", leaderState{}
	}
}

// isStorageStalled reports whether a batch was not durable two election timeouts after it was issued. The replica
// then starts no election, and steps down as leader.
func (n *Node) isStorageStalled(now time.Time) bool {
	return len(n.ready.unpersisted) > 0 && now.Sub(n.ready.unpersisted[0].issuedAt) >= 2*n.cfg.ElectionTimeout
}
