package consensus

import (
	"time"

	"plantainlane/wire"
)

// progress is what a leader knows of another replica, or of itself.
type progress struct {
	// match is the newest index known to be durable there. Never falls within a term.
	match int
	// next is the index to send next. More than match.
	next int
	// probing is set until the first append was taken; only one append is sent a round.
	probing bool
	// sent is set while a probe is unanswered in this round.
	sent bool
	// inFlight holds the last index of each unanswered append, ascending.
	inFlight []int
	// round is the newest round that the replica answered.
	round int
	// caughtUpAt is the start of the newest round whose commit index the replica had reached.
	caughtUpAt time.Time
	// snapshot is being sent, in chunks, if set.
	snapshot *wire.Snapshot
	// offset of the chunk in flight.
	offset int
	// chunkAt is when the chunk in flight was sent; zero if none is.
	chunkAt time.Time
}

func newProgress(last int) *progress {
	return &progress{next: last + 1, probing: true}
}

// advance records that the replica has everything up to index.
func (p *progress) advance(index int) {
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	p.probing, p.sent = false, false
	done := 0
	for done < len(p.inFlight) && p.inFlight[done] <= p.match {
		done++
	}
	p.inFlight = p.inFlight[done:]
	if p.snapshot != nil && p.match >= p.snapshot.Index {
		p.snapshot, p.offset, p.chunkAt = nil, 0, time.Time{}
	}
}

// rewind goes back to probing from index.
func (p *progress) rewind(index int) {
	p.next = max(p.match+1, index)
	p.probing, p.sent = true, false
	p.inFlight = nil
}

// mayAppend tells whether entries may be sent now.
func (p *progress) mayAppend(maxInFlight int) bool {
	if p.probing {
		return !p.sent
	}
	return len(p.inFlight) < maxInFlight
}

// appended records an append with entries up to last.
func (p *progress) appended(last int) {
	if p.probing {
		p.sent = true
		return
	}
	p.next = last + 1
	p.inFlight = append(p.inFlight, last)
}
