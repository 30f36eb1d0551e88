package consensus

import (
	"time"

	"plantainlane/wire"
)

// Ready is what the owner of a Node has to do next, in the order of the fields; persisting may go on
// in the background, but batches must become durable in order.
type Ready struct {
	// Batch is 0 if there is nothing to persist. Otherwise it is to be reported by Persisted once HardState,
	// Snapshot and Entries are durable.
	Batch int
	// HardState is set if it changed.
	HardState *HardState
	// Snapshot is set if a new one is to be stored. Entries it covers may then be deleted.
	Snapshot *wire.Snapshot
	// Install tells that the snapshot came from the leader: the stored log is to be deleted as a whole and
	// the state to be replaced by the snapshot's.
	Install bool
	// Entries are to be stored; whatever is stored at their indexes and after is to be deleted.
	Entries []wire.LogEntry
	// Messages are to be sent. Any of them may get lost.
	Messages []wire.ConsensusMessage
	// Committed are to be applied, in order. Their indexes follow on the last ones.
	Committed []wire.LogEntry
}

// IsEmpty tells whether there is nothing to do.
func (r *Ready) IsEmpty() bool {
	return r.Batch == 0 && len(r.Messages) == 0 && len(r.Committed) == 0
}

// pending is what a node has gathered for its owner.
type pending struct {
	hardChanged bool
	snapshot    *wire.Snapshot
	install     bool
	// handed is the newest index given out to be persisted.
	handed int
	// stable is the newest index known to be durable.
	stable int
	// batch is the number of the newest batch given out.
	batch int
	// persisted is the newest batch reported as durable.
	persisted int
	// batches are those not reported yet, ascending.
	batches  []batch
	messages []wire.ConsensusMessage
	// held are messages that wait for a batch, ascending by batch.
	held []heldMessage
	// unbound are messages that wait for the batch that is gathered now.
	unbound []wire.ConsensusMessage
}

type batch struct {
	number int
	at     time.Time
	// last and lastTerm are the position of its last entry; 0 if it has none.
	last, lastTerm int
}

type heldMessage struct {
	batch   int
	message wire.ConsensusMessage
}

// send releases a message that promises nothing durable.
func (n *Node) send(m wire.ConsensusMessage) { n.ready.messages = append(n.ready.messages, m) }

// sendDurable releases a message once everything that happened before is durable.
func (n *Node) sendDurable(m wire.ConsensusMessage) { n.ready.unbound = append(n.ready.unbound, m) }

// Ready returns what there is to do. The owner calls it until it is empty.
func (n *Node) Ready(now time.Time) Ready {
	n.flush(now)
	r := n.gatherBatch(now)
	for _, m := range n.ready.unbound {
		n.ready.held = append(n.ready.held, heldMessage{batch: n.ready.batch, message: m})
	}
	n.ready.unbound = nil
	n.release(now)
	r.Messages, n.ready.messages = n.ready.messages, nil
	r.Committed = n.takeCommitted()
	return r
}

// gatherBatch hands out what is to be persisted.
func (n *Node) gatherBatch(now time.Time) Ready {
	entries := n.log.slice(n.ready.handed, n.log.last())
	if !n.ready.hardChanged && n.ready.snapshot == nil && len(entries) == 0 {
		return Ready{}
	}
	n.ready.batch++
	r := Ready{Batch: n.ready.batch, Snapshot: n.ready.snapshot, Install: n.ready.install, Entries: entries}
	if n.ready.hardChanged {
		hard := n.hard
		r.HardState = &hard
	}
	b := batch{number: r.Batch, at: now}
	if len(entries) > 0 {
		b.last, b.lastTerm = n.log.last(), n.log.lastTerm()
		n.acknowledgeOwn(b.last)
	}
	n.ready.batches = append(n.ready.batches, b)
	n.ready.handed = n.log.last()
	n.ready.hardChanged, n.ready.snapshot, n.ready.install = false, nil, false
	return r
}

// acknowledgeOwn lets a leader count itself once its entries are durable.
func (n *Node) acknowledgeOwn(last int) {
	if n.role != Leader {
		return
	}
	m := n.message(kindAppendAnswer, n.cfg.ID)
	m.Granted, m.PrevIndex = true, last
	n.sendDurable(m)
}

// Persisted reports that every batch up to the given one is durable.
func (n *Node) Persisted(number int, now time.Time) {
	done := 0
	for _, b := range n.ready.batches {
		if b.number > number {
			break
		}
		done++
		if term, ok := n.log.term(b.last); ok && b.last > 0 && term == b.lastTerm {
			n.ready.stable = max(n.ready.stable, b.last)
		}
	}
	n.ready.batches = n.ready.batches[done:]
	n.ready.persisted = max(n.ready.persisted, number)
	n.release(now)
}

// release sends the messages whose batch is durable; those to the replica itself take effect at once.
func (n *Node) release(now time.Time) {
	for len(n.ready.held) > 0 && n.ready.held[0].batch <= n.ready.persisted {
		m := n.ready.held[0].message
		n.ready.held = n.ready.held[1:]
		if m.To == n.cfg.ID {
			n.step(m, now)
			continue
		}
		n.send(m)
	}
}

// takeCommitted returns the entries to apply. They are also durable here, so that a snapshot never runs
// ahead of the stored log.
func (n *Node) takeCommitted() []wire.LogEntry {
	to := min(n.commit, n.ready.stable)
	if to <= n.applied {
		return nil
	}
	es := n.log.slice(n.applied, to)
	n.applied = to
	n.leaveIfRemoved()
	return es
}

// leaveIfRemoved makes a leader step down once its own removal is committed.
func (n *Node) leaveIfRemoved() {
	newest := n.members[len(n.members)-1]
	if n.role == Leader && newest.index <= n.commit && !n.isVoter(n.cfg.ID) {
		n.role, n.leader, n.lead = Follower, "", leading{}
	}
}

// isStorageStalled tells whether a batch has waited for too long to become durable.
func (n *Node) isStorageStalled(now time.Time) bool {
	return len(n.ready.batches) > 0 && now.Sub(n.ready.batches[0].at) >= 2*n.cfg.ElectionTimeout
}
