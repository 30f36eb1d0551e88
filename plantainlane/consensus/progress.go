package consensus

import (
	"time"

	"plantainlane/wire"
)

// progress is the replication state of one replica, including the leader itself, as known by the leader.
type progress struct {
	// match is the newest index up to which the replica's log is known to be durable and equal to the
	// leader's. It never decreases within a term.
	match int
	// next is the index of the next entry to send. It is always greater than match.
	next int
	// probing is set until the replica accepts an append and again after it rejects one. Only one append per
	// round is then sent, to find the last entry that matches the leader's log.
	probing bool
	// probeSent is set while the current round's probe is unanswered.
	probeSent bool
	// inFlight holds the index of the last entry of each unanswered append, ascending.
	inFlight []int
	// answeredRound is the number of the newest round that the replica answered.
	answeredRound int
	// caughtUpAt is the start of the newest round that the replica answered when its match index had reached
	// the commit index at the start of that round.
	caughtUpAt time.Time
	// snapshot is the snapshot that is being sent in chunks, or nil.
	snapshot *wire.Snapshot
	// offset is the position in bytes of the chunk in flight within the snapshot's data.
	offset int
	// chunkSentAt is when the chunk in flight was sent, or zero if there is none.
	chunkSentAt time.Time
}

func newProgress(last int) *progress {
	return &progress{next: last + 1, probing: true}
}

// advance records that the replica's log is durable and equal to the leader's up to index. It ends probing, and
// ends the sending of a snapshot that index covers.
func (p *progress) advance(index int) {
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	p.probing, p.probeSent = false, false
	done := 0
	for done < len(p.inFlight) && p.inFlight[done] <= p.match {
		done++
	}
	p.inFlight = p.inFlight[done:]
	if p.snapshot != nil && p.match >= p.snapshot.Index {
		p.snapshot, p.offset, p.chunkSentAt = nil, 0, time.Time{}
	}
}

// rewind starts probing again with index as the next entry, or with match+1 if index is lower.
func (p *progress) rewind(index int) {
	p.next = max(p.match+1, index)
	p.probing, p.probeSent = true, false
	p.inFlight = nil
}

// mayAppend reports whether another append with entries may be sent now.
func (p *progress) mayAppend(maxInFlight int) bool {
	if p.probing {
		return !p.probeSent
	}
	return len(p.inFlight) < maxInFlight
}

// recordSent records that an append with entries up to last was sent.
func (p *progress) recordSent(last int) {
	if p.probing {
		p.probeSent = true
		return
	}
	p.next = last + 1
	p.inFlight = append(p.inFlight, last)
}
